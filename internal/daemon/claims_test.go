package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// pauseInjector selects operations of daemons at random and chooses the pause and the
// fault of each. It is safe for concurrent use.
type pauseInjector struct {
	mu  sync.Mutex
	rng *rand.Rand
	// share is the share of operations, 0 to 1, that get a pause.
	share float64
	// Pauses last from minPause to minPause plus pauseRange.
	minPause, pauseRange time.Duration
}

// next returns the pause of the next operation, 0 for most operations, and a number
// from 0 to 3 that selects the fault.
func (p *pauseInjector) next() (time.Duration, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rng.Float64() >= p.share {
		return 0, 0
	}
	return p.minPause + time.Duration(p.rng.Int64N(int64(p.pauseRange))), p.rng.IntN(4)
}

func (p *pauseInjector) setShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
}

// pausedLog delays appends, executes them after it has reported their result as
// unknown, or repeats them later. It passes appends to the configuration stream through
// unchanged.
type pausedLog struct {
	port.Log
	*pauseInjector
}

// Append implements port.Log.
func (l pausedLog) Append(ctx context.Context, stream string, entries []port.Entry) ([]int64, error) {
	pause, fault := l.next()
	late := func() {
		time.Sleep(pause)
		_, _ = l.Log.Append(context.Background(), stream, entries)
	}
	switch {
	case pause == 0 || stream == profile.Stream:
	case fault == 0:
		go late()
		return nil, port.ErrAppendUnknown
	case fault == 1:
		go late()
	default:
		time.Sleep(pause)
		return l.Log.Append(context.WithoutCancel(ctx), stream, entries)
	}
	return l.Log.Append(ctx, stream, entries)
}

// pausedService pauses between the health check of a new connection and the call over
// it.
type pausedService struct {
	port.Service
	*pauseInjector
}

// Open implements port.Service.
func (s pausedService) Open(ctx context.Context) (port.ServiceConn, error) {
	conn, err := s.Service.Open(ctx)
	if err != nil {
		return nil, err
	}
	return pausedConn{ServiceConn: conn, pauseInjector: s.pauseInjector}, nil
}

// pausedConn is a connection of a pausedService.
type pausedConn struct {
	port.ServiceConn
	*pauseInjector
}

// Call implements port.ServiceConn.
func (c pausedConn) Call(ctx context.Context, r port.ServiceRequest) (port.ServiceResponse, error) {
	pause, _ := c.next()
	time.Sleep(pause)
	return c.ServiceConn.Call(ctx, r)
}

// injectPauses makes daemons that are started later pause at the log and before calls.
func (c *cluster) injectPauses(share float64, pauseRange time.Duration) *pauseInjector {
	p := &pauseInjector{rng: rand.New(rand.NewPCG(c.rng.Uint64(), 1)), share: share, pauseRange: pauseRange}
	c.injectCallPauses(p)
	wrapServices := c.wrapDependencies
	c.wrapDependencies = func(deps *Dependencies) {
		deps.Log = pausedLog{Log: deps.Log, pauseInjector: p}
		wrapServices(deps)
	}
	return p
}

// injectCallPauses makes daemons that are started later pause after their claim was
// accepted and before they send the call.
func (c *cluster) injectCallPauses(p *pauseInjector) {
	c.wrapDependencies = func(deps *Dependencies) {
		dial := deps.Services
		deps.Services = func(address string) port.Service {
			return pausedService{Service: dial(address), pauseInjector: p}
		}
	}
}

// claimCluster starts services and daemons in three data centres and returns the names
// of the daemons.
func (c *cluster) claimCluster(services, daemons int) []string {
	dataCentres := []string{"anand", "kheda", "mehsana"}
	for i := range services {
		c.addService(fmt.Sprintf("service-%d", i), dataCentres[i%3])
	}
	var names []string
	for i := range daemons {
		names = append(names, fmt.Sprintf("daemon-%d", i))
		c.addDaemon(names[i], dataCentres[i%3])
	}
	c.publish("r1", 0, document())
	c.awaitReady()
	// The VM list shows the last daemon after its lag.
	time.Sleep(3 * time.Second)
	return names
}

// operation is the input of one operation on a key in the history: an attempt of a
// caller, or the execution of the call by a service.
type operation struct {
	key string
	// execution is set for the execution of the call, which takes effect when its claim
	// is accepted; answer is what the service returned.
	execution bool
	answer    string
}

// operationResult is the output of an operation. It is empty for an execution, and for an
// attempt whose caller received neither an answer nor proof that the call did not run.
type operationResult struct {
	answer string
	// notRun is set for a refusal with outcome "not-run" and scope "call".
	notRun bool
}

// keyState is the state of a key in the model: the answer of the call that ran or will
// run under an accepted claim, or empty.
type keyState string

// claimModel states that at most one execution per key has an accepted claim, that an
// answer is the one of that execution, and that "not-run" is reported for the whole call
// only before that claim is accepted.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return keyState("") },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyState), input.(operation), output.(operationResult)
		switch {
		case in.execution:
			return s == "", keyState(in.answer)
		case out.notRun:
			return s == "", s
		case out.answer != "":
			return string(s) == out.answer, s
		}
		return true, s
	},
}

// historyRecorder collects the history of all operations.
type historyRecorder struct {
	mu          sync.Mutex
	history     []porcupine.Operation
	replyCounts map[string]int
	// stream holds the records of the claim stream, recordCounts their number by kind.
	stream       []port.Record
	recordCounts map[claim.Kind]int
}

func (r *historyRecorder) add(in operation, out operationResult, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{Input: in, Output: out, Call: from.UnixNano(), Return: to.UnixNano()})
}

// send sends one attempt of a call and records it. It counts the replies by kind.
func (r *historyRecorder) send(c *cluster, daemon, key string) reply {
	from := time.Now()
	got := c.confirm(daemon, key, "delivery "+key)
	out := operationResult{}
	name := "none"
	switch {
	case got.err == nil && got.status == http.StatusOK:
		out.answer = executionID(got.body)
		name = "answer"
	case got.refusal != nil:
		out.notRun = got.refusal.Outcome == refusal.NotRun && got.refusal.Scope == refusal.ScopeCall
		name = fmt.Sprintf("%s/%s/%s", got.refusal.Code, got.refusal.Outcome, got.refusal.Scope)
	}
	r.add(operation{key: key}, out, from, time.Now())
	r.mu.Lock()
	r.replyCounts[name]++
	r.mu.Unlock()
	return got
}

// executionID identifies the execution that a service's answer comes from.
func executionID(body []byte) string {
	var result struct {
		Service string `json:"service"`
		Serial  int    `json:"serial"`
	}
	if json.Unmarshal(body, &result) != nil {
		return "malformed"
	}
	return fmt.Sprintf("%s#%d", result.Service, result.Serial)
}

// check adds the executions to the history, at the time of their claims, and checks the
// history against claimModel. It returns the number of executions.
func (r *historyRecorder) check(c *cluster) int {
	c.t.Helper()
	claimedAt := r.acceptedClaims()
	executions := 0
	counts := map[string]int{}
	for name, s := range c.services {
		for i, e := range s.Executions() {
			executions++
			counts[e.Key]++
			at, ok := claimedAt[e.Key]
			if !ok {
				c.t.Errorf("%s ran key %s without a claim in force", name, e.Key)
			}
			r.add(operation{key: e.Key, execution: true, answer: fmt.Sprintf("%s#%d", name, i+1)}, operationResult{}, at, at)
		}
	}
	for key, n := range counts {
		if n > 1 {
			c.t.Errorf("key %s ran %d times, want at most once", key, n)
		}
	}
	if !porcupine.CheckOperations(claimModel, r.history) {
		c.t.Errorf("the history of %d operations is not linearizable", len(r.history))
	}
	return executions
}

// collectStream copies the claim stream until ctx ends, because the log drops old
// records.
func (r *historyRecorder) collectStream(ctx context.Context, c *cluster) {
	for ctx.Err() == nil {
		page, err := c.platform.Log.Read(ctx, claim.StreamName(0), int64(len(r.stream)), 0, time.Second)
		if errors.Is(err, port.ErrLogTruncated) {
			c.t.Error("records of the claim stream were dropped before they were collected")
			return
		}
		if err != nil {
			// The log is unavailable.
			time.Sleep(50 * time.Millisecond)
		}
		r.stream = append(r.stream, page.Records...)
	}
}

// collectRemaining adds the records that were appended after collectStream ended.
func (r *historyRecorder) collectRemaining(c *cluster) {
	page, err := c.platform.Log.Read(context.Background(), claim.StreamName(0), int64(len(r.stream)), 0, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	r.stream = append(r.stream, page.Records...)
}

// resets returns the number of reset records on the claim stream.
func (r *historyRecorder) resets() int {
	n := 0
	for _, rec := range r.stream {
		var in claim.Record
		if json.Unmarshal(rec.Data, &in) == nil && in.Kind == claim.KindReset {
			n++
		}
	}
	return n
}

// acceptedClaims returns, by key, when the claim that is in force was appended. It
// counts the records of the stream by kind.
func (r *historyRecorder) acceptedClaims() map[string]time.Time {
	out := map[string]time.Time{}
	p := claim.NewPartition(claim.DefaultOptions())
	accepted := map[string]bool{}
	validClaims := map[string]string{}
	for _, rec := range r.stream {
		var in claim.Record
		// Every record on the stream was written by a daemon.
		_ = json.Unmarshal(rec.Data, &in)
		r.recordCounts[in.Kind]++
		decision := p.Apply(rec)
		switch {
		case decision == claim.Accepted && !accepted[in.Claim]:
			accepted[in.Claim] = true
			out[in.Key] = rec.Time
			validClaims[in.Key] = in.Claim
		case in.Kind == claim.KindWithdraw && validClaims[in.Key] == in.Claim:
			delete(out, in.Key)
		}
	}
	return out
}

// injectFault injects one random fault and removes it after a random time. Responses
// that the log or a service still has to lose, and the delay of a service, stay in
// force.
func (c *cluster) injectFault(names []string) {
	name := names[c.rng.IntN(len(names))]
	peer := names[c.rng.IntN(len(names))]
	duration := time.Duration(c.rng.IntN(12_000)) * time.Millisecond
	faults := c.platform.Log.Faults()
	service := c.services[fmt.Sprintf("service-%d", c.rng.IntN(len(c.services)))]
	switch c.rng.IntN(10) {
	case 0:
		faults.Down = true
		c.platform.Log.SetFaults(faults)
	case 1, 2:
		faults.LoseResponses = 1 + c.rng.IntN(4)
		faults.DelayMS = c.rng.Int64N(300)
		c.platform.Log.SetFaults(faults)
	case 3:
		c.restart(name, duration)
		return
	case 4:
		if name != peer {
			c.net.Block(name, peer)
		}
	case 5:
		c.net.Block(name, platformHost)
	case 6:
		c.net.Blackhole(name, peer)
	case 7:
		f := service.Faults()
		f.LoseResponses = 1 + c.rng.IntN(2)
		f.DelayMS = c.rng.Int64N(2000)
		service.SetFaults(f)
	case 8, 9:
		// No service is reachable from one or two daemons.
		for s := range c.services {
			c.net.Block(name, s)
			c.net.Block(peer, s)
		}
	}
	time.Sleep(duration)
	for s := range c.services {
		c.net.Unblock(name, s)
		c.net.Unblock(peer, s)
	}
	c.platform.Log.SetFaults(withoutOutage(faults))
	c.net.Unblock(name, peer)
	c.net.Unblock(name, platformHost)
}

// withoutOutage returns f without the outage and the delay, which would keep a cluster
// from settling. Responses that the log still has to lose remain.
func withoutOutage(f standin.LogFaults) standin.LogFaults {
	f.Down = false
	f.DelayMS = 0
	return f
}

// restart kills a daemon and starts a new incarnation on its VM.
func (c *cluster) restart(name string, after time.Duration) {
	_ = c.daemons[name].Kill()
	time.Sleep(after)
	for _, vm := range c.vms {
		if vm.ID == name {
			c.startDaemon(vm)
		}
	}
}

// testRetention is the number of records that the log retains. It is more than one
// batch, so that a daemon can write a checkpoint in time.
const testRetention = 300

// Guards against a call that runs twice, an answer of another execution, and "not-run"
// for a call that ran or will run. Callers resend each call through every daemon while
// daemons are killed, paused and cut off, appends are lost, late or repeated, the log
// is unavailable and drops old records, and services lose responses.
func TestClaimedCallsUnderFaults(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) {
			s.Claims.Partitions = 1
			s.Claims.CheckpointRecords = 20
		}
		c.platform.Log.SetRetention(testRetention)
		pauses := c.injectPauses(0.15, 40*time.Second)
		names := c.claimCluster(3, 4)
		r := &historyRecorder{replyCounts: map[string]int{}, recordCounts: map[claim.Kind]int{}}
		collecting, stopCollecting := context.WithCancel(context.Background())
		var collector sync.WaitGroup
		collector.Go(func() { r.collectStream(collecting, c) })
		var callers sync.WaitGroup
		const keys, attempts = 40, 5
		for k := range keys {
			for range 3 {
				rng := rand.New(rand.NewPCG(c.rng.Uint64(), 2))
				callers.Go(func() {
					key := fmt.Sprintf("key-%d", k)
					time.Sleep(time.Duration(k) * 2 * time.Second)
					for range attempts {
						time.Sleep(time.Duration(rng.IntN(8000)) * time.Millisecond)
						r.send(c, names[rng.IntN(len(names))], key)
					}
				})
			}
		}
		for range 25 {
			c.injectFault(names)
			time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
		}
		callers.Wait()
		pauses.setShare(0)
		c.platform.Log.SetFaults(standin.LogFaults{})
		for _, s := range c.services {
			s.SetFaults(standin.ServiceFaults{})
		}
		time.Sleep(3 * time.Minute)
		// New daemons have only the state that is left on the log.
		for _, name := range names {
			c.restart(name, 0)
		}
		c.awaitReady()
		time.Sleep(2 * claimResetDelay)
		stopCollecting()
		collector.Wait()
		// Every key has settled: it is answered, its outcome stays unknown, or, if all
		// readers lost records and the claims were reset, it is refused as expired.
		settledCodes := map[refusal.Code]bool{refusal.OutcomeUnknown: true, refusal.KeyExpired: r.resets() > 0}
		for k := range keys {
			got := r.send(c, names[k%len(names)], fmt.Sprintf("key-%d", k))
			if got.status != http.StatusOK && (got.refusal == nil || !settledCodes[got.refusal.Code]) {
				c.t.Errorf("key-%d got status %d, body %s, error %v, want an answer or a settled refusal", k, got.status, got.body, got.err)
			}
		}
		r.collectRemaining(c)
		executions := r.check(c)
		if executions < keys/2 {
			c.t.Errorf("only %d of %d calls ran, want at least half", executions, keys)
		}
		c.t.Logf("%d executions, replies %v, records %v", executions, r.replyCounts, r.recordCounts)
	})
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// reportCounter counts the calls and the bytes of reports, parameters and responses.
type reportCounter struct {
	calls, bytes atomic.Int64
	// crashReports counts, by peer address, the calls that report crashes. maxDigests is the
	// maximum number of digests in one call. Both are guarded by mu.
	mu           sync.Mutex
	crashReports map[string]int
	maxDigests   int
}

func (r *reportCounter) reset() {
	r.calls.Store(0)
	r.bytes.Store(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashReports, r.maxDigests = map[string]int{}, 0
}

func (r *reportCounter) add(address string, report quarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(report.Trials) == 0 && len(report.Entries)+len(report.Crashes) > 0 {
		r.crashReports[address]++
	}
	total := len(report.Entries)
	for _, c := range report.Crashes {
		total += len(c.Digests)
	}
	r.maxDigests = max(r.maxDigests, total)
}

// countingPeer counts the reports to a peer.
type countingPeer struct {
	port.Peer
	address string
	counter *reportCounter
}

// Call implements port.Peer.
func (p countingPeer) Call(ctx context.Context, method string, params, result any) error {
	err := p.Peer.Call(ctx, method, params, result)
	if method == quarantine.MethodReport {
		p.counter.calls.Add(1)
		if report, ok := params.(quarantine.Report); ok {
			p.counter.add(p.address, report)
		}
		for _, v := range []any{params, result} {
			// Encoding a report cannot fail.
			data, _ := json.Marshal(v)
			p.counter.bytes.Add(int64(len(data)))
		}
	}
	return err
}

// Guards against a burst of reports to every peer, one for each request that was in
// flight at a crash.
func TestCrashIsReportedOncePerPeer(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		const inFlight, local, remote, maxReports = 200, 4, 8, 3
		counter := reportCounter{crashReports: map[string]int{}}
		c.wrapDependencies = func(deps *Dependencies) {
			dial := deps.Peers
			deps.Peers = func(address string) port.Peer {
				return countingPeer{Peer: dial(address), address: address, counter: &counter}
			}
		}
		for i := range remote {
			c.addDaemon(fmt.Sprintf("remote-%d", i), "kheda")
		}
		engines, daemons := c.startSettled(4, local, standin.EngineOptions{TokenTime: 20 * time.Millisecond, Capacity: 100_000})
		time.Sleep(20 * time.Second)
		counter.reset()
		var group sync.WaitGroup
		for i := range inFlight {
			group.Go(func() {
				prompt := fmt.Sprintf("history %d tokens=100", i)
				if got := c.complete(daemons[0], prompt); got.text() != standin.Answer(testModel, prompt, 4000) {
					t.Errorf("%q is answered with status %d: %s", prompt, got.status, got.body)
				}
			})
		}
		time.Sleep(time.Second)
		running := c.engines[engines[0]].Status().Running
		c.engines[engines[0]].Crash()
		time.Sleep(100 * time.Millisecond)
		counter.mu.Lock()
		for address, n := range counter.crashReports {
			// The first attempt that fails may be reported before the others have
			// failed.
			if n > maxReports {
				t.Errorf("the crash is reported %d times to %s, want at most %d", n, address, maxReports)
			}
		}
		if running < inFlight/8 || counter.maxDigests < running/2 {
			t.Errorf("%d requests were in flight at the crash, at most %d in one report, want an eighth of all and half of those", running, counter.maxDigests)
		}
		counter.mu.Unlock()
		t.Logf("in flight at the crash: %d, calls within 100 ms: %d, bytes: %d", running, counter.calls.Load(), counter.bytes.Load())
		group.Wait()
		time.Sleep(20 * time.Second)
		t.Logf("until all requests are answered and cleared: calls %d, bytes %d", counter.calls.Load(), counter.bytes.Load())
	})
}

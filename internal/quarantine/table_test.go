package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

const (
	daemons = 3
	engines = 3
	// maxCrashes keeps the number of losses of a digest below maxTombstones.
	maxCrashes = maxTombstones - 2
)

var digests = []Digest{"a", "b"}

func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("BERGAMOT_SEEDS")); err == nil {
		return n
	}
	return 5
}

// digestLoss is a loss that counts against a digest.
type digestLoss struct {
	digest Digest
	loss   Loss
}

// knownLosses holds all losses that a daemon has received or observed, with the step at
// which it recorded them. Nothing is ever removed.
type knownLosses struct {
	lost    map[digestLoss]int
	cleared map[digestLoss]bool
}

func (f knownLosses) clone() knownLosses {
	return knownLosses{maps.Clone(f.lost), maps.Clone(f.cleared)}
}

func (f knownLosses) add(l digestLoss, step int) {
	if _, ok := f.lost[l]; !ok {
		f.lost[l] = step
	}
}

func (f knownLosses) merge(other knownLosses, step int) {
	for l := range other.lost {
		f.add(l, step)
	}
	maps.Copy(f.cleared, other.cleared)
}

func (f knownLosses) status(d Digest) Status {
	n := 0
	for l := range f.lost {
		if l.digest == d && !f.cleared[l] {
			n++
		}
	}
	return Status(min(n, int(Quarantined)))
}

func newKnownLosses() knownLosses { return knownLosses{map[digestLoss]int{}, map[digestLoss]bool{}} }

// oracleRun is the oracle's state of an attempt.
type oracleRun struct {
	daemon     int
	digestLoss digestLoss
	// ended is the step at which the run was abandoned, or 0. finished is set when
	// the outcome of the run is known.
	ended    int
	finished bool
}

// oracle holds the true state of the engines and the losses known to each daemon.
type oracle struct {
	// history[i] holds the engines' generations before step i+1.
	history    [][engines]int
	generation [engines]int
	known      [daemons]knownLosses
	runs       []oracleRun
	// delayed holds the snapshots that may still be delivered.
	delayed []knownLosses
}

func (o *oracle) clone() *oracle {
	next := &oracle{history: slices.Clone(o.history), generation: o.generation, runs: slices.Clone(o.runs), delayed: o.delayed}
	for i := range o.known {
		next.known[i] = o.known[i].clone()
	}
	return next
}

// system holds the tables under test.
type system struct {
	history    [][engines]int
	generation [engines]int
	tables     [daemons]*Table
	runs       []*Run
	delayed    [][]ReportEntry
	now        time.Time
}

// kind selects what an operation does.
type kind int

const (
	opBegin kind = iota
	opComplete
	opAbandon
	opRefused
	opCrash
	opObserve
	opUnreachable
	opSnapshot
	opDeliver
	opKinds
)

// operation is one command. Fields that its kind does not use have no effect.
type operation struct {
	kind           kind
	daemon, engine int
	digest         Digest
	pick           int
}

func (op operation) String() string {
	return fmt.Sprintf("operation %d daemon %d engine %d digest %s pick %d", op.kind, op.daemon, op.engine, op.digest, op.pick)
}

// requestedAt returns the step at which the status request was sent whose response arrives now:
// some responses are late.
func (op operation) requestedAt(step int) int { return max(1, step-op.pick%12) }

// stepTime is the time between two operations, a quarter of survivalDelay.
const stepTime = survivalDelay / 4

func at(step int) time.Time { return time.Unix(1000, 0).Add(time.Duration(step) * stepTime) }

func engineName(e int) string { return fmt.Sprintf("engine-%d", e) }

func incarnation(generation int) string { return fmt.Sprintf("incarnation-%d", generation) }

// Run implements commands.Command.
func (op operation) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*system)
	w.history = append(w.history, w.generation)
	step := len(w.history)
	w.now = at(step)
	requestedAt := op.requestedAt(step)
	table := w.tables[op.daemon]
	switch op.kind {
	case opBegin:
		w.runs = append(w.runs, table.Begin(op.digest, engineName(op.engine), incarnation(w.generation[op.engine])))
	case opComplete:
		table.Complete(w.runs[op.pick])
	case opAbandon:
		table.Abandon(w.runs[op.pick], w.now)
	case opRefused:
		table.Discard(w.runs[op.pick])
	case opCrash:
		w.generation[op.engine]++
	case opObserve:
		table.Observe(engineName(op.engine), incarnation(w.history[requestedAt-1][op.engine]), at(requestedAt), w.now)
	case opUnreachable:
		table.ObserveUnreachable(engineName(op.engine), at(requestedAt), w.now)
	case opSnapshot:
		w.delayed = append(w.delayed, table.Entries(w.now))
	case opDeliver:
		table.Merge(Report{Entries: w.delayed[op.pick]}, w.now)
	}
	return w
}

// NextState implements commands.Command.
func (op operation) NextState(state commands.State) commands.State {
	o := state.(*oracle).clone()
	o.history = append(o.history, o.generation)
	step := len(o.history)
	known := o.known[op.daemon]
	switch op.kind {
	case opBegin:
		loss := Loss{engineName(op.engine), incarnation(o.generation[op.engine])}
		o.runs = append(o.runs, oracleRun{daemon: op.daemon, digestLoss: digestLoss{op.digest, loss}})
	case opComplete:
		o.runs[op.pick].finished = true
		for f := range known.lost {
			if f.digest == o.runs[op.pick].digestLoss.digest {
				known.cleared[f] = true
			}
		}
	case opAbandon:
		o.runs[op.pick].ended = step
	case opRefused:
		o.runs[op.pick].finished = true
	case opCrash:
		o.generation[op.engine]++
	case opObserve, opUnreachable:
		o.observe(op, step)
	case opSnapshot:
		o.delayed = append(slices.Clone(o.delayed), known.clone())
	case opDeliver:
		known.merge(o.delayed[op.pick], step)
	}
	return o
}

// observe records for a daemon which of its abandoned runs an engine did not survive.
func (o *oracle) observe(op operation, step int) {
	known := o.known[op.daemon]
	requestedAt := op.requestedAt(step)
	alive := Loss{engineName(op.engine), incarnation(o.history[requestedAt-1][op.engine])}
	for f, recorded := range known.lost {
		if op.kind == opObserve && f.loss == alive && recorded < requestedAt {
			known.cleared[f] = true
		}
	}
	for i, r := range o.runs {
		open := r.daemon == op.daemon && r.digestLoss.loss.Engine == alive.Engine && r.ended > 0 && !r.finished
		if !open || r.ended > requestedAt {
			continue
		}
		switch {
		case op.kind == opUnreachable || r.digestLoss.loss != alive:
			known.add(r.digestLoss, step)
			o.runs[i].finished = true
		case requestedAt-r.ended >= int(survivalDelay/stepTime):
			o.runs[i].finished = true
		}
	}
}

// PreCondition implements commands.Command.
func (op operation) PreCondition(state commands.State) bool {
	o := state.(*oracle)
	switch op.kind {
	case opComplete, opAbandon, opRefused:
		if op.pick >= len(o.runs) {
			return false
		}
		r := o.runs[op.pick]
		return r.daemon == op.daemon && !r.finished && r.ended == 0
	case opCrash:
		return o.generation[0]+o.generation[1]+o.generation[2] < maxCrashes
	case opDeliver:
		return op.pick < len(o.delayed)
	}
	return true
}

// PostCondition implements commands.Command.
func (op operation) PostCondition(state commands.State, result commands.Result) *gopter.PropResult {
	o, w := state.(*oracle), result.(*system)
	for i, table := range w.tables {
		for _, digest := range digests {
			got, want := table.Decision(digest, w.now).Status, o.known[i].status(digest)
			if got != want {
				label := fmt.Sprintf("%s: status of %s at daemon %d is %d, want %d", op, digest, i, got, want)
				return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{label}}
			}
		}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// nextOperation generates an operation that is valid in the state.
func nextOperation(state commands.State) gopter.Gen {
	o := state.(*oracle)
	return gen.SliceOfN(5, gen.IntRange(0, 999)).Map(func(r []int) commands.Command {
		op := operation{
			kind:   kind(r[0] % int(opKinds)),
			daemon: r[1] % daemons,
			engine: r[2] % engines,
			digest: digests[r[3]%len(digests)],
		}
		switch op.kind {
		case opComplete, opAbandon, opRefused:
			if len(o.runs) == 0 {
				op.kind = opBegin
				break
			}
			op.pick = r[4] % len(o.runs)
			op.daemon = o.runs[op.pick].daemon
		case opDeliver:
			if len(o.delayed) == 0 {
				op.kind = opSnapshot
				break
			}
			op.pick = r[4] % len(o.delayed)
		case opObserve, opUnreachable:
			op.pick = max(0, r[4]%24-12)
		}
		return op
	})
}

// Guards against a crash that is not counted or is counted twice, a digest that stays
// suspect after it completed, and reports that change the result because they arrive
// late, repeatedly or in another order.
func TestTableMatchesOracle(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 100 * seeds()
	properties := gopter.NewProperties(parameters)
	properties.Property("tables match the oracle", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			w := &system{now: time.Unix(1000, 0)}
			for i := range w.tables {
				w.tables[i] = NewTable(Options{Self: fmt.Sprintf("daemon-%d", i), MaxEntries: 10, Hold: time.Hour})
			}
			return w
		},
		InitialStateGen: gen.Bool().Map(func(bool) *oracle {
			o := &oracle{}
			for i := range o.known {
				o.known[i] = newKnownLosses()
			}
			return o
		}),
		GenCommandFunc: nextOperation,
	}))
	properties.TestingRun(t)
}

// makeSuspect makes a digest suspect in a table by a crash of the engine.
func makeSuspect(table *Table, d Digest, engine string, now time.Time) {
	table.Abandon(table.Begin(d, engine, "incarnation-0"), now)
	table.Observe(engine, "incarnation-1", now, now)
}

// Guards against two trials of one digest at the same time, in any order of the daemons'
// requests to each other, and against a trial during another run of the digest.
func TestTrialsExcludeEachOther(t *testing.T) {
	for seed := range 100 * seeds() {
		rng := rand.New(rand.NewPCG(uint64(seed), 0))
		now := time.Unix(1000, 0)
		var tables [daemons]*Table
		var allowed [daemons]map[int]bool
		var running [daemons]bool
		var runs [daemons]*Run
		for i := range tables {
			tables[i] = NewTable(Options{Self: fmt.Sprintf("daemon-%d", i), MaxEntries: 10, Hold: time.Hour})
			makeSuspect(tables[i], "a", "engine-0", now)
			// A run that began before the crash was known: a daemon that knows of the
			// crash begins no other run of the digest.
			if rng.IntN(2) == 0 {
				runs[i] = tables[i].Begin("a", "engine-9", "incarnation-0")
			}
		}
		trial := func(i int) Trial { return Trial{"a", fmt.Sprintf("daemon-%d", i), engineName(i)} }
		end := func(i int) {
			released := tables[i].ReleaseTrial("a")
			allowed[i], running[i] = nil, false
			for _, table := range tables {
				table.Merge(Report{Released: []Trial{released}}, now)
			}
		}
		// A permission is requested and used in much less time than a lease, so time
		// does not advance while a daemon collects permissions.
		asking := func() bool {
			for i := range tables {
				if allowed[i] != nil && !running[i] {
					return true
				}
			}
			return false
		}
		started := 0
		for range 300 {
			i, peer := rng.IntN(daemons), rng.IntN(daemons)
			switch {
			case runs[i] != nil && rng.IntN(4) == 0:
				tables[i].Discard(runs[i])
				runs[i] = nil
			case rng.IntN(20) == 0 && !asking():
				now = now.Add(trialLease)
			case allowed[i] == nil:
				if tables[i].ReserveTrial("a", engineName(i), now) {
					allowed[i] = map[int]bool{i: true}
				}
			case running[i]:
				end(i)
			case len(allowed[i]) == daemons:
				tables[i].StartTrial("a")
				running[i] = true
				started++
				for j := range running {
					if j != i && (running[j] || runs[j] != nil) {
						t.Fatalf("seed %d: daemons %d and %d run the digest at the same time", seed, i, j)
					}
				}
			default:
				result, _ := tables[peer].Merge(Report{Trials: []Trial{trial(i)}}, now)
				if peer == i {
					continue
				}
				if len(result.Busy) > 0 {
					end(i)
					continue
				}
				allowed[i][peer] = true
			}
		}
		if started == 0 {
			t.Errorf("seed %d: no trial started", seed)
		}
	}
}

// Guards against trials of two digests on one engine when two daemons request the engine
// at the same time.
func TestTrialsOfOneEngineExcludeEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	var tables [2]*Table
	for i := range tables {
		tables[i] = NewTable(Options{Self: fmt.Sprintf("daemon-%d", i), MaxEntries: 10, Hold: time.Hour})
		if !tables[i].ReserveTrial(digests[i], "engine-0", now) {
			t.Fatal("a trial cannot be reserved")
		}
	}
	first, _ := tables[1].Merge(Report{Trials: tables[0].LocalTrials()}, now)
	second, _ := tables[0].Merge(Report{Trials: tables[1].LocalTrials()}, now)
	if len(first.Busy) != 0 || len(second.Busy) != 1 {
		t.Errorf("Busy is %v and %v, want one digest in the second only", first.Busy, second.Busy)
	}
}

// Guards against a crash during a trial that is attributed to a run that another daemon
// ended on the same engine just before.
func TestTrialWaitsForRunsThatJustEnded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Options{Self: "daemon-0", MaxEntries: 10, Hold: time.Hour})
	table.Abandon(table.Begin("b", "engine-0", "incarnation-0"), now)
	ask := Report{Trials: []Trial{{"a", "daemon-9", "engine-0"}}}
	if result, _ := table.Merge(ask, now); len(result.Busy) != 1 {
		t.Error("the trial may start just after a run on its engine")
	}
	if result, _ := table.Merge(ask, now.Add(2*survivalDelay)); len(result.Busy) != 0 {
		t.Error("the trial still waits after 2*survivalDelay")
	}
}

// Guards against a quarantine that never ends, a table that grows without bound, and a
// trial of a dead peer that blocks a digest forever.
func TestEntriesExpireAndAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Options{Self: "daemon-0", MaxEntries: 10, Hold: time.Minute})
	makeSuspect(table, "a", "engine-0", now)
	makeSuspect(table, "a", "engine-1", now)
	for i := range 50 {
		makeSuspect(table, Digest(fmt.Sprint(i)), "engine-0", now)
	}
	if table.Len() != 10 || table.Evicted() != 41 {
		t.Errorf("table holds %d entries, evicted %d", table.Len(), table.Evicted())
	}
	if v := table.Decision("a", now); v.Status != Quarantined || v.Remaining != time.Minute {
		t.Errorf("decision is %+v, want quarantined for a minute", v)
	}
	table.Merge(Report{Trials: []Trial{{"49", "daemon-9", "engine-2"}}}, now)
	if table.ReserveTrial("49", "engine-0", now) || !table.Reserved("engine-2", now) {
		t.Error("the peer's trial does not block its digest and engine")
	}
	later := now.Add(trialLease)
	if table.Reserved("engine-2", later) || !table.ReserveTrial("49", "engine-0", later) {
		t.Error("the peer's trial is still in force after its lease")
	}
	stale := table.Entries(now)
	now = now.Add(time.Minute)
	table.Expire(now)
	if v := table.Decision("a", now); v.Status != Clear || table.Len() != 0 {
		t.Errorf("decision is %+v with %d entries after Hold", v, table.Len())
	}
	for i := range stale {
		stale[i].RemainingMS = 0
	}
	if escalated := table.MergeEntries(stale, now); escalated != nil || table.Len() != 0 {
		t.Errorf("expired entries of a peer escalate %v", escalated)
	}
}

// Guards against two trials of a digest by daemons that cannot reach each other but both
// reach a third one.
func TestThirdDaemonRejectsConcurrentTrial(t *testing.T) {
	now := time.Unix(0, 0)
	third := NewTable(Options{Self: "witness", MaxEntries: 8, Hold: time.Minute})
	first := Trial{Digest: "a", Holder: "daemon-1", Engine: "engine-1"}
	second := Trial{Digest: "a", Holder: "daemon-2", Engine: "engine-2"}
	ask := func(trial Trial) bool {
		result, _ := third.Merge(Report{Trials: []Trial{trial}}, now)
		return len(result.Busy) == 0
	}
	if !ask(first) {
		t.Error("the first trial is rejected")
	}
	if !ask(first) {
		t.Error("the renewal of the first trial is rejected")
	}
	if ask(second) {
		t.Error("a second trial is admitted beside the first one")
	}
	third.Merge(Report{Released: []Trial{first}}, now)
	if !ask(second) {
		t.Error("a trial is rejected because of one that has ended")
	}
}

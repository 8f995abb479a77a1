package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

const testModel = "model"

var testNow = time.Unix(1000, 0)

func testEngine(id, dataCentre string, capacity int64) *Upstream {
	u := &Upstream{VM: port.VM{ID: id, DataCentre: dataCentre, Kind: port.KindEngine, Pool: "pool", State: port.VMLive}}
	u.report(port.EngineStatus{Capacity: capacity}, testNow)
	return u
}

func (u *Upstream) report(s port.EngineStatus, at time.Time) {
	s.Model, s.Phase = testModel, port.PhaseServing
	if s.Role == "" {
		s.Role = port.RoleMixed
	}
	if s.Capacity == 0 {
		s.Capacity = 1000
	}
	u.SetReport(&Report{Status: s, Received: at})
}

func testFleet(n int, rng *rand.Rand) []*Upstream {
	out := make([]*Upstream, n)
	for i := range out {
		out[i] = testEngine(fmt.Sprint("engine-", i), "a", 1000)
		out[i].report(port.EngineStatus{Running: rng.IntN(50), QueuedPrefillTokens: int64(rng.IntN(5000))}, testNow)
	}
	return out
}

func testRequest(rng *rand.Rand) Request {
	return Request{
		Pool: "pool", Model: testModel, DataCentre: "a", Now: testNow.Add(time.Second), Rand: rng,
		PromptTokens: 2000, OutputTokens: 100, Prefix: 1 + rng.Uint64N(1000), PrefixTokens: 1000,
	}
}

// Guards against heap allocations on the request path.
func TestDecisionDoesNotAllocate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	table := NewTable(testFleet(600, rng))
	excluded := map[string]bool{"engine-7": true}
	allocations := testing.AllocsPerRun(200, func() {
		r := testRequest(rng)
		r.Excluded = excluded
		if table.Pick(r) == nil {
			t.Fatal("no upstream was chosen")
		}
	})
	if allocations != 0 {
		t.Errorf("one decision allocates %g times", allocations)
	}
}

func BenchmarkPick600(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 0))
	table := NewTable(testFleet(600, rng))
	b.ReportAllocs()
	for b.Loop() {
		table.Pick(testRequest(rng))
	}
}

// Guards against choosing an upstream that is leaving, closed, changing, failed, excluded or
// serves another model, in every function that selects candidates.
func TestUnusableUpstreamsReceiveNoRequests(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		for _, size := range []int{3, 40} {
			list := testFleet(size, rng)
			good := list[rng.IntN(size)]
			excluded := map[string]bool{}
			for i, u := range list {
				if u != good {
					makeUnusable(u, i%7, excluded)
				}
			}
			table := NewTable(list)
			for range 50 {
				r := testRequest(rng)
				r.Excluded = excluded
				if got := table.Pick(r); got != good {
					t.Fatalf("seed %d, %d engines: picked %v, want %s", seed, size, got, good.VM.ID)
				}
				r.Rand = nil
				if got := table.Pick(r); got != good {
					t.Fatalf("seed %d, %d engines: scan picked %v, want %s", seed, size, got, good.VM.ID)
				}
			}
		}
	}
}

func makeUnusable(u *Upstream, how int, excluded map[string]bool) {
	report := *u.Report()
	switch how {
	case 0:
		u.VM.State = port.VMLeaving
	case 1:
		u.SetClosed(true)
	case 2:
		report.Status.Phase = port.PhaseChanging
	case 3:
		report.Failed = true
	case 4:
		report.Status.Leaving = true
	case 5:
		report.Status.Model = "other"
	case 6:
		excluded[u.VM.ID] = true
	}
	u.SetReport(&report)
}

// Guards against herding: while the load reports are stale, the requests that the daemon
// itself has sent must count, so that the next ones are distributed.
func TestSentRequestsCountWhileReportsAreStale(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		list := []*Upstream{testEngine("a1", "a", 1000), testEngine("a2", "a", 1000), testEngine("a3", "a", 1000)}
		table := NewTable(list)
		now := testNow.Add(5 * time.Second)
		sent := map[*Upstream]int{}
		for range 30 {
			u := table.Pick(Request{Pool: "pool", Model: testModel, DataCentre: "a", Now: now, Rand: rng, PromptTokens: 500, OutputTokens: 50})
			u.BeginTokens(now, 500, 50)
			sent[u]++
			now = now.Add(10 * time.Millisecond)
		}
		for _, u := range list {
			if sent[u] < 9 || sent[u] > 11 {
				t.Errorf("seed %d: %s got %d of 30 requests", seed, u.VM.ID, sent[u])
			}
		}
	}
}

// Guards against a predicted load that does not decay with the age of the report: a queue that
// was reported long ago has been processed since.
func TestReportedLoadDecays(t *testing.T) {
	u := testEngine("a1", "a", 1000)
	u.report(port.EngineStatus{QueuedPrefillTokens: 3000, Running: 40}, testNow)
	u.BeginTokens(testNow.Add(time.Second), 1000, 0)()
	for _, c := range []struct {
		after   time.Duration
		prefill float64
	}{{0, 3000}, {time.Second, 3000}, {2 * time.Second, 2000}, {4 * time.Second, 0}, {time.Minute, 0}} {
		l := u.predictLoad(testNow.Add(c.after))
		if diff := l.queuedTokens - c.prefill; diff < -1 || diff > 1 {
			t.Errorf("after %s %g tokens are predicted to be queued, want %g", c.after, l.queuedTokens, c.prefill)
		}
	}
	early, late := u.predictLoad(testNow).running, u.predictLoad(testNow.Add(10*time.Second)).running
	if early != 40 || late > 5 {
		t.Errorf("predicted number of running requests is %g, later %g; want 40, later at most 5", early, late)
	}
}

// Guards against a prefix that moves between engines of equal load, and against a home that
// still receives the requests of its prefix although its load exceeds the bound.
func TestPrefixAffinityIsBounded(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		list := make([]*Upstream, 20)
		for i := range list {
			list[i] = testEngine(fmt.Sprint("engine-", i), "a", 1000)
		}
		table := NewTable(list)
		r := testRequest(rng)
		r.Now = testNow
		home := table.Pick(r)
		for range 20 {
			if got := table.Pick(r); got != home {
				t.Fatalf("seed %d: prefix moved from %s to %s", seed, home.VM.ID, got.VM.ID)
			}
		}
		home.report(port.EngineStatus{Running: 9}, testNow)
		if got := table.Choose(r); got.Upstream == home {
			t.Errorf("seed %d: loaded home %s kept its prefix", seed, home.VM.ID)
		}
	}
}

// Guards against ignoring roles, and against a role that prevents an idle engine from taking
// requests of a loaded one.
func TestRolesArePreferences(t *testing.T) {
	prefill, decode := testEngine("p", "a", 1000), testEngine("d", "a", 1000)
	table := NewTable([]*Upstream{prefill, decode})
	long := Request{Pool: "pool", Model: testModel, DataCentre: "a", Now: testNow, PromptTokens: 4000, OutputTokens: 100}
	short := long
	short.PromptTokens, short.OutputTokens = 200, 300
	prefill.report(port.EngineStatus{Role: port.RolePrefill}, testNow)
	decode.report(port.EngineStatus{Role: port.RoleDecode}, testNow)
	if table.Pick(long) != prefill || table.Pick(short) != decode {
		t.Errorf("long prompt went to %s, long output to %s", table.Pick(long).VM.ID, table.Pick(short).VM.ID)
	}
	prefill.report(port.EngineStatus{Role: port.RolePrefill, QueuedPrefillTokens: 9000}, testNow)
	if table.Pick(long) != decode {
		t.Errorf("an idle decode engine receives no request of a loaded prefill engine")
	}
}

// Guards against requests that leave the local data centre without need, stay where they
// will miss their target, or move although the round trip makes them miss it as well.
func TestRemoteDataCentreOnlyToMeetTheTarget(t *testing.T) {
	local, remote := testEngine("local", "a", 1000), testEngine("remote", "b", 1000)
	table := NewTable([]*Upstream{local, remote})
	for _, c := range []struct {
		queued, queuedRemote int64
		delay                time.Duration
		want                 *Upstream
	}{
		{0, 0, 10 * time.Millisecond, local},
		{300, 0, 10 * time.Millisecond, local},
		{2000, 0, 10 * time.Millisecond, remote},
		{2000, 0, 900 * time.Millisecond, local},
		{2000, 2000, 10 * time.Millisecond, local},
	} {
		local.report(port.EngineStatus{QueuedPrefillTokens: c.queued}, testNow)
		remote.report(port.EngineStatus{QueuedPrefillTokens: c.queuedRemote}, testNow)
		got := table.Pick(Request{
			Pool: "pool", Model: testModel, DataCentre: "a", Now: testNow, PromptTokens: 200, OutputTokens: 20,
			RemainingTarget: 900 * time.Millisecond, RemoteDelay: c.delay,
		})
		if got != c.want {
			t.Errorf("with %d and %d tokens queued and a delay of %s: picked %s", c.queued, c.queuedRemote, c.delay, got.VM.ID)
		}
	}
	near, far := testEngine("near", "c", 1000), testEngine("far", "d", 1000)
	distant := NewTable([]*Upstream{far, near})
	far.report(port.EngineStatus{}, testNow)
	near.report(port.EngineStatus{QueuedPrefillTokens: 100}, testNow)
	got := distant.Pick(Request{
		Pool: "pool", Model: testModel, DataCentre: "a", Now: testNow, PromptTokens: 200, OutputTokens: 20,
		RoundTrips: map[string]time.Duration{"d": 300 * time.Millisecond}, RemoteDelay: 10 * time.Millisecond,
	})
	if got != near {
		t.Errorf("an idle engine with a round trip of 300 ms is preferred to one with 10 ms and 100 ms of queued prefill")
	}
	idle := Request{Pool: "pool", Model: testModel, DataCentre: "a", Now: testNow, ExcludeLocal: true}
	if got := table.Choose(idle); got.Upstream != remote || !got.Remote {
		t.Errorf("a request that excludes its data centre got %+v", got)
	}
	local.SetClosed(true)
	if table.Pick(Request{Pool: "pool", Model: testModel, DataCentre: "a", Now: testNow}) != remote {
		t.Errorf("a data centre without usable engines does not use a remote one")
	}
}

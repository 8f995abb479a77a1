package placement

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// newPlainFleet returns the fleet of daemon d with two instances of the plain service s.
func newPlainFleet(d string) *Fleet {
	f := NewFleet("north", d)
	f.SetRunners([]port.Runner{
		{ID: "a", Service: "s", Address: "10.0.0.1:80", DataCentre: "north", Slots: 4},
		{ID: "b", Service: "s", Address: "10.0.0.2:80", DataCentre: "north", Slots: 4},
	})
	return f
}

// shareOf returns the share of requests that f places at a runner. A request begins every 100 ms and
// takes 400 ms; every failEvery-th one at the runner ends with outcome.
func shareOf(t *testing.T, f *Fleet, runner string, now *time.Time, requests, failEvery int, outcome Outcome) float64 {
	t.Helper()
	placed := 0
	var running []*InFlightRequest
	for range requests {
		if len(running) == 4 {
			end := Completed
			if running[0].Runner().ID == runner {
				placed++
				if placed%failEvery == 0 {
					end = outcome
				}
			}
			running[0].End(*now, end)
			running = running[1:]
		}
		plan, ok := f.Place(*now, Query{Service: "s"})
		if !ok {
			t.Fatal("no runner")
		}
		running = append(running, plan.Run)
		*now = now.Add(100 * time.Millisecond)
	}
	for _, r := range running {
		r.End(*now, Completed)
	}
	return float64(placed) / float64(requests)
}

// Guards against a runner that fails every fourth request and keeps its share of them, because each
// success in between makes it count as sound.
func TestRunnerThatFailsSomeRequestsIsUsedLess(t *testing.T) {
	for _, outcome := range []Outcome{Erred, Refused, Failed} {
		now := time.Unix(1_000_000, 0)
		f := newPlainFleet("d")
		if got := shareOf(t, f, "a", &now, 300, 4, outcome); got > 0.2 {
			t.Errorf("outcome %d: the runner gets %.0f%% of the requests, want at most 20%%", outcome, 100*got)
		}
		if got := shareOf(t, f, "a", &now, 300, 1_000_000, outcome); got == 0 {
			t.Errorf("outcome %d: the runner is not used again after it has recovered", outcome)
		}
	}
}

// Guards against a pool that loses all its capacity because each of its runners has erred once.
func TestErringRunnersStayInUse(t *testing.T) {
	f := newPlainFleet("d")
	now := time.Unix(1_000_000, 0)
	for range 20 {
		plan, _ := f.Place(now, Query{Service: "s"})
		plan.Run.End(now, Erred)
		now = now.Add(minSuspectTime)
	}
	if _, ok := f.Place(now, Query{Service: "s"}); !ok {
		t.Error("no runner is usable after errors of all")
	}
	for _, m := range f.members {
		if !m.usable(now) {
			t.Errorf("%s is avoided %s after its last error", m.runner.ID, minSuspectTime)
		}
	}
}

// Guards against daemons that each learn anew that a runner fails.
func TestFailuresOfPeersCount(t *testing.T) {
	a, b := newPlainFleet("a"), newPlainFleet("b")
	now := time.Unix(1_000_000, 0)
	b.ApplyPeerLoads(now, "a", a.LoadUpdates(now, true))
	for range 2 {
		for range 10 {
			m := a.members["a"]
			a.begin(m, now, Query{Service: "s"}, 0).End(now, Erred)
		}
		b.ApplyPeerLoads(now, "a", a.LoadUpdates(now, true))
	}
	if got := b.members["a"].failureRate.probability(now); got < 0.5 {
		t.Errorf("the peer expects %.0f%% of the requests to fail, want at least half", 100*got)
	}
	if got := b.members["b"].failureRate.probability(now); got != 0 {
		t.Errorf("the peer expects failures at a sound runner: %.2f", got)
	}
}

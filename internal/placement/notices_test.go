package placement

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

func plainRunner(id string, started int64) port.Runner {
	return port.Runner{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "north", Slots: 4, StartedMS: started}
}

// usableAt reports whether a fleet with only one runner places requests there.
func usableAt(f *Fleet, now time.Time) bool {
	plan, ok := f.Place(now, Query{Service: "s"})
	if ok {
		plan.Run.End(now, Abandoned)
	}
	return ok
}

// Guards against a leaving runner that is used again because its registry entry was renewed, or
// expired and came back, and against one that stays unused after it has started again.
func TestLeavingHoldsForOneStart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := NewFleet("north", "d")
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	if !f.MarkLeaving("a", 1) || f.MarkLeaving("a", 1) {
		t.Error("an announcement is not reported as new exactly once")
	}
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	if usableAt(f, now) {
		t.Error("the runner is used after its entry was renewed")
	}
	f.SetRunners(nil)
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	if usableAt(f, now) {
		t.Error("the runner is used after its entry came back")
	}
	f.SetRunners([]port.Runner{plainRunner("a", 2)})
	if !usableAt(f, now) {
		t.Error("the runner is not used after it started again")
	}
	if f.MarkLeaving("a", 1); !usableAt(f, now) {
		t.Error("a late announcement of the earlier start counts for the new one")
	}
}

// Guards against daemons that each send a request to a leaving runner before they learn of it.
func TestLeavingIsReportedToPeers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := NewFleet("north", "a"), NewFleet("north", "b")
	for _, f := range []*Fleet{a, b} {
		f.SetRunners([]port.Runner{plainRunner("r", 7)})
	}
	a.MarkLeaving("r", 7)
	reports := a.LoadUpdates(now, false)
	if len(reports) != 1 {
		t.Fatalf("%d reports, want one", len(reports))
	}
	if forward := b.ApplyPeerLoads(now, "a", reports); len(forward) != 1 || !forward[0].Leaving {
		t.Errorf("the peer forwards %+v, want the announcement", forward)
	}
	if usableAt(b, now) {
		t.Error("the peer uses the runner")
	}
	if forward := b.ApplyPeerLoads(now, "a", reports); len(forward) != 0 {
		t.Errorf("the peer forwards a known announcement again: %+v", forward)
	}
	for _, r := range a.LoadUpdates(now, true) {
		if r.Leaving {
			t.Error("the announcement is reported again")
		}
	}
}

// Guards against a quiet period that a later, shorter one ends, and one that outlives its runner.
func TestQuietPeriods(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := NewFleet("north", "d")
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	if !f.MarkQuiet(now, "a", 1, 10*time.Second) || f.MarkQuiet(now, "a", 1, time.Second) {
		t.Error("the begin of the period is not reported exactly once")
	}
	if usableAt(f, now.Add(9*time.Second)) {
		t.Error("the runner is used within the longer period")
	}
	if got := f.AcceptsIn(now, "s"); got < 10*time.Second || got > 10*time.Second+maxQuietSpread {
		t.Errorf("the first runner returns in %s, want about 10s", got)
	}
	if !usableAt(f, now.Add(10*time.Second+maxQuietSpread)) || f.AcceptsIn(now.Add(12*time.Second), "s") != 0 {
		t.Error("the runner is not used after the period")
	}
	f.MarkQuiet(now, "a", 1, 10*time.Second)
	f.SetRunners([]port.Runner{plainRunner("a", 2)})
	if !usableAt(f, now) {
		t.Error("the runner is not used after it started again")
	}
	if f.MarkQuiet(now, "a", 1, 10*time.Second); !usableAt(f, now) {
		t.Error("a late period of the earlier start counts for the new one")
	}
}

// Guards against daemons that all return to a runner in the same moment.
func TestDaemonsReturnSpreadOut(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	returned := 0
	const daemons = 20
	for i := range daemons {
		f := NewFleet("north", fmt.Sprint("d", i))
		f.SetRunners([]port.Runner{plainRunner("a", 1)})
		f.MarkQuiet(now, "a", 1, 4*time.Second)
		if usableAt(f, now.Add(4*time.Second-time.Millisecond)) {
			t.Fatal("a daemon returns within the period")
		}
		if usableAt(f, now.Add(4*time.Second+maxQuietSpread/2)) {
			returned++
		}
	}
	if returned < daemons/5 || returned > daemons*4/5 {
		t.Errorf("%d of %d daemons return in the first half of the spread, want about half", returned, daemons)
	}
}

package placement

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against requests that are placed at an engine whose streams have stopped, and against avoiding
// one that merely has no streams, or of which one stream of several waits.
func TestSilentEngineIsAvoided(t *testing.T) {
	prompt := &port.Prompt{Model: "m", InputTokens: 500, OutputTokens: 20}
	query := Query{Service: "s", Prompt: prompt, AllowedGap: 200 * time.Millisecond, RemainingTarget: time.Second, Objective: time.Second}
	cases := []struct {
		name string
		// streams is the number of streams at the engine, events of how many of them go on.
		streams, events int
		silence         time.Duration
		silent          bool
	}{
		{"no streams", 0, 0, time.Second, false},
		{"streams that stopped", 3, 0, time.Second, true},
		{"a short pause", 3, 0, 500 * time.Millisecond, false},
		{"one stream goes on", 3, 1, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := NewFleet("north", "d")
			a := port.Runner{ID: "a", Service: "s", Address: "a:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode}
			b := port.Runner{ID: "b", Service: "s", Address: "b:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode}
			f.SetRunners([]port.Runner{a})
			var streams []*InFlightRequest
			for range c.streams {
				plan, ok := f.Place(now, query)
				if !ok {
					t.Fatal("no engine")
				}
				plan.Run.RecordEvent(now)
				streams = append(streams, plan.Run)
			}
			now = now.Add(c.silence)
			for _, s := range streams[:c.events] {
				s.RecordEvent(now)
			}
			now = now.Add(10 * time.Millisecond)
			plan, _ := f.Place(now, query)
			if plan.Run.EngineResponsive(now) == c.silent {
				t.Errorf("the engine counts as responsive: %t, want %t", c.silent, !c.silent)
			}
			plan.Run.End(now, Unsent)
			f.SetRunners([]port.Runner{a, b})
			// The other engine has more work.
			for range 20 {
				f.begin(f.members["b"], now, query, 0)
			}
			plan, _ = f.Place(now, query)
			if atA := plan.Run.Runner().ID == "a"; atA == c.silent {
				t.Errorf("placed at %s", plan.Run.Runner().ID)
			}
		})
	}
}

// Guards against engines that stopped working and that other daemons keep using, because their streams
// are not ended at once, against counting one stream twice, and against reports of engines that this
// daemon perhaps does not reach.
func TestSilenceIsReportedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet("north", "d")
	f.SetRunners([]port.Runner{{ID: "a", Service: "s", Address: "a:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode}})
	query := Query{Service: "s", Prompt: &port.Prompt{Model: "m", InputTokens: 500, OutputTokens: 20}, AllowedGap: 200 * time.Millisecond}
	plan, _ := f.Place(now, query)
	plan.Run.RecordEvent(now)
	now = now.Add(time.Second)
	f.LoadUpdates(now, true)
	plan.Run.RecordSilence(now)
	if plan.Run.EngineResponsive(now) {
		t.Error("the engine counts as responsive")
	}
	for _, step := range []struct {
		name   string
		run    func()
		failed int64
	}{
		{"silence", func() {}, 0},
		{"silence of a reached engine", func() { plan.Run.CountFailure(now) }, 1},
		{"silence again", func() { plan.Run.RecordSilence(now); plan.Run.CountFailure(now) }, 1},
		{"end", func() { plan.Run.End(now, Failed) }, 1},
		{"no contact", func() { plan, _ = f.Place(now, query); plan.Run.End(now, NoContact) }, 1},
		{"no contact with a reached engine", func() { plan.Run.CountFailure(now); plan.Run.CountFailure(now) }, 2},
	} {
		step.run()
		updates := f.LoadUpdates(now, true)
		if len(updates) != 1 || updates[0].Load.TotalFailed != step.failed {
			t.Errorf("%s: the peers learn %+v, want %d failures", step.name, updates, step.failed)
		}
	}
	if f.members["a"].usable(now) {
		t.Error("the engine is not avoided")
	}
	f.EndAvoidance("s")
	if !f.members["a"].usable(now) {
		t.Error("the engine is avoided although the failures were the daemon's own")
	}
}

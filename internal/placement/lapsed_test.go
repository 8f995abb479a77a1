package placement

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against a daemon that forgets why it does not use a runner, and what it has in flight there,
// when the registry entry of the runner lapses and comes back.
func TestStateOutlivesALapsedEntry(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	place := func(f *Fleet) *InFlightRequest {
		plan, ok := f.Place(now, Query{Service: "s"})
		if !ok {
			t.Fatal("the runner is not usable")
		}
		return plan.Run
	}
	cases := []struct {
		name    string
		observe func(f *Fleet)
		// during is called while the entry is missing.
		during func(f *Fleet)
		usable bool
	}{
		{"nothing", func(*Fleet) {}, nil, true},
		{"asked for no requests", func(f *Fleet) { f.MarkQuiet(now, "a", 1, time.Minute) }, nil, false},
		{"asked for no requests while the entry is missing", func(*Fleet) {}, func(f *Fleet) { f.MarkQuiet(now, "a", 1, time.Minute) }, false},
		{"asked for no requests in an earlier start", func(*Fleet) {}, func(f *Fleet) { f.MarkQuiet(now, "a", 0, time.Minute) }, true},
		{"is another instance", func(f *Fleet) { place(f).End(now, Misdirected) }, nil, false},
		{"is changing its role", func(f *Fleet) {
			f.members["a"].pendingRole, f.members["a"].changeDeadline = port.RolePrefill, now.Add(time.Minute)
		}, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet("north", "d")
			f.SetRunners([]port.Runner{plainRunner("a", 1)})
			c.observe(f)
			f.SetRunners(nil)
			if c.during != nil {
				c.during(f)
			}
			f.SetRunners([]port.Runner{plainRunner("a", 1)})
			if got := usableAt(f, now.Add(2*time.Second)); got != c.usable {
				t.Errorf("usable after the entry came back: %t, want %t", got, c.usable)
			}
			f.SetRunners(nil)
			f.SetRunners([]port.Runner{plainRunner("a", 2)})
			if !usableAt(f, now.Add(2*time.Second)) {
				t.Error("not usable after it started again")
			}
		})
	}
	f := NewFleet("north", "d")
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	inFlight := place(f)
	f.SetRunners(nil)
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	if got := len(f.members["a"].inFlight); got != 1 {
		t.Errorf("%d requests are in flight after the entry came back, want 1", got)
	}
	if inFlight.End(now, Completed); len(f.members["a"].inFlight) != 0 {
		t.Error("a request that has ended stays in flight")
	}
}

// Guards against memory that grows with each runner that was ever registered.
func TestLapsedMembersAreBounded(t *testing.T) {
	f := NewFleet("north", "d")
	for i := range 3 * maxLapsed {
		f.SetRunners([]port.Runner{plainRunner(fmt.Sprint("r", i), 1)})
	}
	if len(f.lapsed) > maxLapsed {
		t.Errorf("%d members of lapsed runners are kept, want at most %d", len(f.lapsed), maxLapsed)
	}
	latest := f.lapsed[len(f.lapsed)-1].runner
	if got := latest.ID; got != fmt.Sprint("r", 3*maxLapsed-2) {
		t.Errorf("the latest member that is kept is %s", got)
	}
}

package engineview

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against a fleet that starts all at once and passes on the state of every
// engine, and against changes after the first state that are not passed on.
func TestFirstStatesAreQuietAtTheStart(t *testing.T) {
	start := time.Unix(1000, 0)
	v := New(3, start.Add(time.Minute))
	v.Retain([]port.VM{
		{ID: "e1", DataCentre: "anand", Kind: port.KindEngine},
		{ID: "e2", DataCentre: "anand", Kind: port.KindEngine},
		{ID: "d1", DataCentre: "anand", Kind: port.KindDaemon},
	})
	if got := v.MissingKeys()["anand"]; len(got) != 2 {
		t.Errorf("missing states are %v, want those of both engines", got)
	}
	observe := func(vm string, at time.Time, leaving bool) {
		v.Observe(vm, Observation{Status: port.EngineStatus{Engine: vm, Leaving: leaving}, At: at})
	}
	observe("e1", start, false)
	if got := v.Changes(10, start); len(got) != 0 {
		t.Errorf("first state at the start is passed on: %v", got)
	}
	observe("e1", start.Add(time.Second), true)
	if got := v.Changes(10, start); len(got) != 1 || !got[0].Status.Leaving {
		t.Errorf("change at the start is not passed on: %v", got)
	}
	observe("e2", start.Add(2*time.Minute), false)
	if got := v.Changes(10, start); len(got) != 2 {
		t.Errorf("first state after the start is not passed on: %v", got)
	}
	if got := v.MissingKeys(); len(got) != 0 {
		t.Errorf("missing states are %v, want none", got)
	}
}

package placement_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against streams that continue at a process of which it is not certain that it is the one of the registry entry, and against
// processes that run and stay in doubt.
func TestStreamsContinueOnlyAtCertainProcesses(t *testing.T) {
	engine := port.Runner{ID: "e", Service: service, Address: "10.0.0.1:80", DataCentre: "north", Role: port.RoleDecode, Slots: 64, Version: "v1", StartedMS: 1}
	place := func(t *testing.T, f *placement.Fleet, at time.Time) *placement.InFlightRequest {
		r, ok := f.PlaceDecode(at, begunQuery(""), port.Runner{DataCentre: "north"})
		if !ok {
			t.Fatal("no engine was chosen")
		}
		return r
	}
	lostAt := start.Add(time.Minute)
	cases := []struct {
		name string
		// after is what happens after a connection was lost at lostAt, while older received events before.
		after   func(f *placement.Fleet, older *placement.InFlightRequest)
		certain bool
	}{
		{"nothing", func(*placement.Fleet, *placement.InFlightRequest) {}, false},
		{"another connection delivers an event", func(_ *placement.Fleet, older *placement.InFlightRequest) {
			older.RecordEvent(lostAt.Add(200 * time.Millisecond))
		}, true},
		{"it delivers one that may have been buffered, then another one", func(_ *placement.Fleet, older *placement.InFlightRequest) {
			older.RecordEvent(lostAt.Add(10 * time.Millisecond))
			older.RecordEvent(lostAt.Add(200 * time.Millisecond))
		}, true},
		{"it delivers one that may have been buffered, and ends", func(_ *placement.Fleet, older *placement.InFlightRequest) {
			older.RecordEvent(lostAt.Add(10 * time.Millisecond))
			older.End(lostAt.Add(11*time.Millisecond), placement.NoContact)
		}, false},
		{"a later connection delivers events", func(f *placement.Fleet, _ *placement.InFlightRequest) {
			later, ok := f.PlaceDecode(lostAt.Add(time.Second), begunQuery(""), port.Runner{DataCentre: "north"})
			if !ok {
				panic("the engine gets no new streams")
			}
			later.RecordEvent(lostAt.Add(1200 * time.Millisecond))
			later.RecordEvent(lostAt.Add(1400 * time.Millisecond))
		}, false},
		{"its entry is read again", func(f *placement.Fleet, _ *placement.InFlightRequest) { f.SetRunners([]port.Runner{engine}) }, false},
		{"its entry lapses and returns", func(f *placement.Fleet, _ *placement.InFlightRequest) {
			f.SetRunners(nil)
			f.SetRunners([]port.Runner{engine})
		}, false},
		{"its new process registers with the same version", func(f *placement.Fleet, _ *placement.InFlightRequest) {
			restarted := engine
			restarted.StartedMS++
			f.SetRunners([]port.Runner{restarted})
		}, true},
		{"evidence from before", func(f *placement.Fleet, _ *placement.InFlightRequest) {
			f.ConfirmProcess(placement.Process{ID: "e", StartedMS: 1, Since: lostAt.Add(-time.Millisecond)})
		}, false},
		{"evidence from after", func(f *placement.Fleet, _ *placement.InFlightRequest) {
			f.ConfirmProcess(placement.Process{ID: "e", StartedMS: 1, Since: lostAt})
		}, true},
		{"evidence of another process", func(f *placement.Fleet, _ *placement.InFlightRequest) {
			f.ConfirmProcess(placement.Process{ID: "e", StartedMS: 2, Since: lostAt})
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			f.SetRunners([]port.Runner{engine})
			older, lost := place(t, f, start), place(t, f, start)
			older.RecordEvent(lostAt.Add(-time.Second))
			lost.End(lostAt, placement.NoContact)
			c.after(f, older)
			now := lostAt.Add(10 * time.Second)
			if got := f.DecodeUsable(now, begunQuery("v1")); got != c.certain || f.InDoubt("e") == c.certain {
				t.Errorf("a stream may continue: %t, in doubt %t, want certain %t", got, f.InDoubt("e"), c.certain)
			}
			if !f.DecodeUsable(now, begunQuery("")) {
				t.Error("new streams may not use the engine")
			}
		})
	}
}

// Guards against streams that begin at a process of unknown version and are recorded with the version of an earlier one.
func TestVersionOfAStreamThatBeginsInDoubt(t *testing.T) {
	engine := port.Runner{ID: "e", Service: service, Address: "10.0.0.1:80", DataCentre: "north", Role: port.RoleDecode, Slots: 64, Version: "v1", StartedMS: 1}
	restarted := engine
	restarted.Version, restarted.StartedMS = "v2", 2
	cases := []struct {
		name           string
		before, during func(f *placement.Fleet)
		want           string
	}{
		{"certain", nil, nil, "v1"},
		{"in doubt", func(f *placement.Fleet) { f.DoubtProcess(start, "e", 1) }, nil, ""},
		{"in doubt before its first event", nil, func(f *placement.Fleet) { f.DoubtProcess(start, "e", 1) }, ""},
		{"in doubt, then registered", func(f *placement.Fleet) { f.DoubtProcess(start, "e", 1) }, func(f *placement.Fleet) { f.SetRunners([]port.Runner{restarted}) }, "v2"},
		{"in doubt, then confirmed", func(f *placement.Fleet) { f.DoubtProcess(start, "e", 1) },
			func(f *placement.Fleet) { f.ConfirmProcess(placement.Process{ID: "e", StartedMS: 1, Since: start}) }, "v1"},
		{"registered anew before its first event", nil, func(f *placement.Fleet) { f.SetRunners([]port.Runner{restarted}) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet()
			f.SetRunners([]port.Runner{engine})
			if c.before != nil {
				c.before(f)
			}
			r, ok := f.PlaceDecode(start, begunQuery(""), port.Runner{DataCentre: "north"})
			if !ok {
				t.Fatal("no engine was chosen")
			}
			if c.during != nil {
				c.during(f)
			}
			r.RecordEvent(start.Add(time.Second))
			if got, known := r.Version(); got != c.want || known != (c.want != "") {
				t.Errorf("the version is %q, known %t, want %q", got, known, c.want)
			}
		})
	}
}

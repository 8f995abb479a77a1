package placement_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against short urgent requests that are queued behind all others or refused because
// they will miss their objective, and against long late requests that delay those in time.
// The only engine has queued prompts of the same rank for several times the objective.
func TestClassifyRequestsThatWillMissTheirObjective(t *testing.T) {
	cases := []struct {
		name          string
		tokens        int
		clientTimeout time.Duration
		urgency       int
		accepted      bool
	}{
		{"short", 1_000, 5 * time.Second, 0, true},
		{"long", 30_000, 20 * time.Second, placement.UrgencyLate, true},
		{"short, client times out first", 1_000, time.Second, 0, false},
		{"long, client times out first", 30_000, 2 * time.Second, placement.UrgencyLate, false},
		{"long, more urgent requests take the rest of the time", 30_000, 5 * time.Second, placement.UrgencyLate, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(port.RolePrefill)
			place(t, f, start, placement.Query{Prompt: prompt(30_000)})
			place(t, f, start, placement.Query{Prompt: prompt(30_000), Urgency: 0})
			got := f.Classify(start, placement.Query{
				Service: service, Prompt: prompt(c.tokens), RemainingTarget: 300 * time.Millisecond, Objective: 300 * time.Millisecond,
				ClientTimeout: c.clientTimeout,
			}, 0)
			if got.Urgency != c.urgency || got.Accepted != c.accepted {
				t.Errorf("urgency %d, accepted %t, first event after %s; want %d, %t", got.Urgency, got.Accepted, got.FirstEvent, c.urgency, c.accepted)
			}
		})
	}
}

package placement_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Load: the only engine reads long prompts of the same rank for several times the objective.
// Guards against short urgent requests that wait behind all others, or are refused, because
// they will miss their objective, and against long late ones that delay requests in time.
func TestRequestsThatWillBeLate(t *testing.T) {
	cases := []struct {
		name     string
		tokens   int
		patience time.Duration
		urgency  int
		served   bool
	}{
		{"short", 1_000, 5 * time.Second, 0, true},
		{"long", 30_000, 20 * time.Second, placement.UrgencyLate, true},
		{"short, the client leaves before", 1_000, time.Second, 0, false},
		{"long, the client leaves before", 30_000, 2 * time.Second, placement.UrgencyLate, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(port.RolePrefill)
			place(t, f, start, placement.Query{Prompt: prompt(30_000)})
			place(t, f, start, placement.Query{Prompt: prompt(30_000), Urgency: 0})
			got := f.Classify(start, placement.Query{
				Service: service, Prompt: prompt(c.tokens), RemainingTarget: 300 * time.Millisecond, Objective: 300 * time.Millisecond,
				ClientTimeout: c.patience,
			}, 0)
			if got.Urgency != c.urgency || got.Accepted != c.served {
				t.Errorf("urgency %d, served %t, first event after %s; want %d, %t", got.Urgency, got.Accepted, got.FirstEvent, c.urgency, c.served)
			}
		})
	}
}

package daemon

import (
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against ids that do not depend on the seed alone, so that ties between daemons
// are broken differently in two runs of a test with the same seed.
func TestIDsAreDeterministicForSeed(t *testing.T) {
	collectIDs := func() (out []string) {
		inCluster(t, 1, func(c *cluster) {
			_, daemons := c.startSettled(1, 3, standin.EngineOptions{})
			for _, name := range daemons {
				out = append(out, c.daemons[name].incarnation)
			}
			out = append(out, c.daemons[daemons[0]].newID())
			c.startDaemon(port.VM{ID: "daemon-4", Address: "10.3.9.9:8100", PeerAddress: "10.3.9.9:7600", DataCentre: "anand", Kind: port.KindDaemon})
			out = append(out, c.daemons["daemon-4"].incarnation)
		})
		return out
	}
	firstIDs, secondIDs := collectIDs(), collectIDs()
	seen := map[string]bool{}
	for i, id := range firstIDs {
		// The fourth id comes from a running daemon, which has drawn a number of ids
		// before that depends on the scheduler.
		if id != secondIDs[i] && i != 3 {
			t.Errorf("id %d is %q in one run and %q in the next", i, id, secondIDs[i])
		}
		if seen[id] {
			t.Errorf("id %q is used twice", id)
		}
		seen[id] = true
	}
	if a, b := newIDGenerator(nil).next(), newIDGenerator(nil).next(); a == b {
		t.Errorf("the random source of the operating system gave id %q twice", a)
	}
}

package daemon

import (
	"context"
	"slices"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against an admin.control response that does not explain why an engine does not
// change or a request is refused: the lease holder, the drained engine, the suspect
// request and the dead daemon must be shown.
func TestControlShowsOpenState(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		engines, daemons := c.startSettled(3, 3, standin.EngineOptions{})
		observer, killed := daemons[0], daemons[2]
		_ = c.complete(observer, standin.CrashMarker+" tokens=20")
		_ = c.daemons[killed].Kill()
		doc := document()
		doc.Pools[0].Versions = []profile.ModelVersion{{Model: testModel, Version: "2"}}
		c.publish("roll", c.daemons[observer].config.Snapshot().Revision, doc)
		c.await("a drain waits for the dead daemon", time.Minute, func() bool {
			control := c.adminControl(observer)
			return len(control.Changes) == 1 && control.Changes[0].Draining &&
				slices.Contains(engines, control.Changes[0].Engine)
		})
		control := c.adminControl(observer)
		holders := []string{daemons[0], daemons[1]}
		if l := control.Leases; len(l) != 1 || !slices.Contains(holders, l[0].Holder) || l[0].Fencing == 0 || !l[0].Synced {
			t.Errorf("leases are %+v, want one synced lease with a fencing token, held by one of %v", l, holders)
		}
		if s := control.Suspects; len(s) != 1 || s[0].Status != "quarantined" || len(s[0].Engines) != maxEnginesCrashed {
			t.Errorf("suspects are %+v, want one that is quarantined and crashed %d engines", s, maxEnginesCrashed)
		}
		isDead := func(m admin.Member) bool { return m.Name == killed && m.Status == "dead" }
		c.await("the killed daemon is reported as dead", time.Minute, func() bool {
			return slices.ContainsFunc(c.adminControl(observer).Members, isDead)
		})
	})
}

// adminControl returns a daemon's response to admin.control.
func (c *cluster) adminControl(daemon string) admin.Control {
	response, err := c.daemons[daemon].adminControl(context.Background(), nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return response.(admin.Control)
}

package daemon

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// leavingBound is the time after which a leaving upstream gets no new work.
const leavingBound = 5 * time.Second

// Guards against new work at an engine that the VM list shows as leaving.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		leaving := c.addEngine("engine-1", "anand", standin.EngineOptions{})
		c.addEngine("engine-2", "anand", standin.EngineOptions{})
		daemons := []string{"daemon-1", "daemon-2"}
		c.addDaemon("daemon-1", "anand")
		c.addDaemon("daemon-2", "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		c.setVMState("engine-1", port.VMLeaving)
		time.Sleep(leavingBound)
		before := leaving.Started()
		for i := range 10 {
			prompt := fmt.Sprintf("slot %d tokens=%d", i, 1+c.rng.IntN(20))
			if got := c.complete(daemons[i%2], prompt); got.status != 200 {
				c.t.Errorf("request %d answered %d: %s", i, got.status, got.body)
			}
		}
		if n := leaving.Started() - before; n != 0 {
			c.t.Errorf("the leaving engine got %d requests", n)
		}
	})
}

package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against an even split of capacity when the balancer sends nearly all requests
// to one daemon: the busy daemon must receive the larger share.
func TestBusyDaemonGetsTheLargerShare(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.addEngine("engine-1", "anand", standin.EngineOptions{Capacity: 20000})
		c.addDaemon("daemon-1", "anand")
		c.addDaemon("daemon-2", "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		for i := range 110 {
			daemon := "daemon-1"
			if i%11 == 0 {
				daemon = "daemon-2"
			}
			group.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				c.complete(daemon, fmt.Sprintf("slot %d tokens=50", i))
			})
		}
		time.Sleep(10 * time.Second)
		busy, idle := c.daemons["daemon-1"].admission, c.daemons["daemon-2"].admission
		if busy.share() <= 2*idle.share() {
			c.t.Errorf("shares are %.2f and %.2f for a demand of 10 to 1, want the first more than twice the second", busy.share(), idle.share())
		}
		group.Wait()
	})
}

package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a planned stop that interrupts a running request, or that leaves a
// caller without a response or a refusal while the balancer still sends to the daemon.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.addEngine("engine-1", "anand", standin.EngineOptions{})
		c.addEngine("engine-2", "anand", standin.EngineOptions{})
		c.addDaemon("daemon-1", "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		stopped := make(chan error, 1)
		time.AfterFunc(2*time.Second, func() { stopped <- c.daemons["daemon-1"].Stop(context.Background()) })
		var group sync.WaitGroup
		for i := range 15 {
			delay := time.Duration(c.rng.IntN(2900)) * time.Millisecond
			prompt := fmt.Sprintf("history %d tokens=%d", i, 1+c.rng.IntN(3000))
			group.Go(func() {
				time.Sleep(delay)
				got := c.complete("daemon-1", prompt)
				if want := standin.Answer(testModel, prompt, 4000); got.text() != want {
					c.t.Errorf("request %d got status %d, error %v and %d bytes, want the complete response", i, got.status, got.err, len(got.body))
				}
			})
		}
		group.Wait()
		if err := <-stopped; err != nil {
			c.t.Errorf("stop failed: %v", err)
		}
	})
}

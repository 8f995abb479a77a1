package daemon

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a broken path from caller to engine and back, and against a call that
// runs again when it is resent through another daemon.
func TestServesFromEndToEnd(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.addEngine("engine-1", "anand", standin.EngineOptions{})
		service := c.addService("service-1", "anand")
		c.addDaemon("daemon-1", "anand")
		c.addDaemon("daemon-2", "kheda")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		for i := range 4 {
			prompt := fmt.Sprintf("slot %d tokens=20", i)
			got := c.complete(fmt.Sprintf("daemon-%d", 1+i%2), prompt)
			if want := standin.Answer(testModel, prompt, 4000); got.text() != want {
				t.Errorf("response is %q (status %d, %s), want %q", got.text(), got.status, got.body, want)
			}
		}
		for i := range 4 {
			got := c.confirm(fmt.Sprintf("daemon-%d", 1+i%2), "key-1", "delivery 7")
			if got.status != 200 {
				t.Errorf("confirmation answered %d: %s", got.status, got.body)
			}
		}
		if n := service.ExecutionCount("key-1"); n != 1 {
			t.Errorf("the service ran the confirmation %d times, want once", n)
		}
	})
}

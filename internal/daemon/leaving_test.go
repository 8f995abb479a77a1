package daemon

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// maxLeavingDelay is the time after which a leaving upstream must receive no new
// requests.
const maxLeavingDelay = 5 * time.Second

// Guards against new requests to an engine that the VM list, the configuration or the
// engine itself reports as leaving, and against running requests that such a change
// interrupts.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	sources := map[string]func(c *cluster){
		"VM list": func(c *cluster) { c.setVMState("engine-1", port.VMLeaving) },
		"engine":  func(c *cluster) { c.engines["engine-1"].SetFaults(standin.EngineFaults{Leaving: true}) },
		"configuration": func(c *cluster) {
			doc := document()
			doc.Withdrawn = profile.Withdrawn{Upstreams: []string{"engine-1"}}
			c.publish("r2", 1, doc)
		},
		"data centre in configuration": func(c *cluster) {
			doc := document()
			doc.Withdrawn = profile.Withdrawn{DataCentres: []string{"anand"}}
			c.publish("r2", 1, doc)
		},
	}
	for name, markLeaving := range sources {
		t.Run(name, func(t *testing.T) { forSeeds(t, func(c *cluster) { c.checkLeaving(markLeaving) }) })
	}
}

// checkLeaving checks that requests that run when markLeaving marks engine-1 as leaving
// are answered in full, and that engine-1 receives no new ones afterwards.
func (c *cluster) checkLeaving(markLeaving func(c *cluster)) {
	leaving := c.addEngine("engine-1", "anand", standin.EngineOptions{})
	c.addEngine("engine-2", "kheda", standin.EngineOptions{})
	daemons := []string{"daemon-1", "daemon-2"}
	c.addDaemon("daemon-1", "anand")
	c.addDaemon("daemon-2", "anand")
	c.publish("r1", 0, document())
	c.awaitReady()
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	for i := range 4 {
		prompt := fmt.Sprintf("history %d tokens=600", i)
		group.Go(func() {
			got := c.complete(daemons[i%2], prompt)
			if got.text() != standin.Answer(testModel, prompt, 4000) {
				c.t.Errorf("running request %d answered %d: %s", i, got.status, got.body)
			}
		})
	}
	time.Sleep(time.Second)
	markLeaving(c)
	time.Sleep(maxLeavingDelay)
	before := leaving.TotalStarts()
	for i := range 10 {
		prompt := fmt.Sprintf("slot %d tokens=%d", i, 1+c.rng.IntN(20))
		if got := c.complete(daemons[i%2], prompt); got.status != 200 {
			c.t.Errorf("request %d answered %d: %s", i, got.status, got.body)
		}
	}
	if n := leaving.TotalStarts() - before; n != 0 {
		c.t.Errorf("the leaving engine received %d requests, want none", n)
	}
	group.Wait()
}

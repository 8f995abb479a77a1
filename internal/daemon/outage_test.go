package daemon

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// checkServing sends a prompt and a repeatable call through each daemon.
func (c *cluster) checkServing(when string, daemons []string) {
	c.t.Helper()
	for i, d := range daemons {
		prompt := fmt.Sprintf("slot %s %d tokens=%d", when, i, 1+c.rng.IntN(40))
		if got := c.complete(d, prompt); got.text() != standin.Answer(testModel, prompt, 4000) {
			c.t.Errorf("%s: %s answered %d: %s", when, d, got.status, got.body)
		}
	}
}

// checkRefusedConfirmation checks that a non-repeatable call is refused, and that the
// refusal speaks of this attempt only.
func (c *cluster) checkRefusedConfirmation(when, daemon, key string) {
	c.t.Helper()
	got := c.confirm(daemon, key, "delivery")
	if got.refusal == nil || got.refusal.Outcome != refusal.NotRun || got.refusal.Scope != refusal.ScopeAttempt {
		c.t.Errorf("%s: confirmation answered %d: %s", when, got.status, got.body)
	}
}

// Guards against a long outage of the platform that stops what can be served, a
// refusal that claims too much, and daemons that do not catch up after.
func TestLongPlatformOutage(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		for _, dc := range []string{"anand", "kheda"} {
			c.addEngine("engine-"+dc, dc, standin.EngineOptions{})
		}
		service := c.addService("service-1", "anand")
		daemons := c.addDaemons(2, "anand", "kheda")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		c.platform.Log.SetFaults(standin.LogFaults{Down: true})
		c.platform.VMs.SetDown(true)
		time.Sleep(time.Duration(5+c.rng.IntN(20)) * time.Minute)
		c.checkServing("outage", daemons)
		for _, d := range daemons {
			c.checkRefusedConfirmation("outage", d, "key-"+d)
		}
		replaced := daemons[c.rng.IntN(len(daemons))]
		_ = c.daemons[replaced].Kill()
		c.platform.Log.SetFaults(standin.LogFaults{})
		c.platform.VMs.SetDown(false)
		c.startDaemon(c.vm(replaced))
		c.publish("r2", 1, document())
		c.await("all daemons follow after the outage", 10*time.Second, func() bool {
			for _, d := range c.daemons {
				if s := d.config.Snapshot(); s == nil || s.Revision != 2 {
					return false
				}
			}
			return true
		})
		time.Sleep(6 * time.Second)
		c.checkServing("after", daemons)
		for _, d := range daemons {
			if got := c.confirm(d, "key-"+d, "delivery"); got.status != 200 || service.Count("key-"+d) != 1 {
				c.t.Errorf("after the outage %s answered %d: %s", d, got.status, got.body)
			}
		}
	})
}

// Guards against a data centre that stops serving when it is cut off from the others
// and from the platform.
func TestEachDataCentreServesAlone(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		centres := []string{"anand", "kheda", "mehsana"}
		hosts := map[string][]string{}
		for _, dc := range centres {
			c.addEngine("engine-"+dc, dc, standin.EngineOptions{})
			hosts[dc] = append(c.addDaemons(2, dc), "engine-"+dc)
		}
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		alone := centres[c.rng.IntN(len(centres))]
		partition := func(f func(a, b string)) {
			for _, h := range hosts[alone] {
				f(h, platformHost)
				for _, dc := range centres {
					for _, other := range hosts[dc] {
						if dc != alone {
							f(h, other)
						}
					}
				}
			}
		}
		partition(c.net.Block)
		time.Sleep(time.Duration(1+c.rng.IntN(10)) * time.Minute)
		for _, dc := range centres {
			c.checkServing("partition "+dc, hosts[dc][:2])
		}
		c.checkRefusedConfirmation("partition", hosts[alone][0], "key-1")
		c.publish("r2", 1, document())
		time.Sleep(4 * time.Second)
		for name, d := range c.daemons {
			want := int64(2)
			if d.settings.DataCentre == alone {
				want = 1
			}
			if got := d.config.Snapshot().Revision; got != want {
				c.t.Errorf("during the partition %s has revision %d, want %d", name, got, want)
			}
		}
		partition(c.net.Unblock)
		c.await("the data centre follows after the partition", 30*time.Second, func() bool {
			return c.daemons[hosts[alone][0]].config.Snapshot().Revision == 2
		})
	})
}

// Guards against daemons that wait for good after a configuration record has expired
// on the log before any of them could read it.
func TestExpiredRecordDoesNotStrandDaemons(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		daemons := c.addDaemons(2, "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		for _, d := range daemons {
			c.net.Block(d, platformHost)
		}
		c.publish("r2", 1, document())
		c.platform.Log.SetRetention(1)
		c.publish("lost-race", 1, document())
		for _, d := range daemons {
			c.net.Unblock(d, platformHost)
		}
		time.Sleep(time.Minute)
		base := c.daemons[daemons[0]].config.Snapshot().Revision
		c.publish("r3", base, document())
		c.await("a revision after the loss is in force", time.Minute, func() bool {
			return c.daemons[daemons[0]].config.Snapshot().Revision > base
		})
	})
}

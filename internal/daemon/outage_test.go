package daemon

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/platform"
	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/ctl"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// checkServing sends a prompt through each daemon and checks the response. when names the
// phase of the test in messages.
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
// scope of the refusal is this attempt only.
func (c *cluster) checkRefusedConfirmation(when, daemon, key string) {
	c.t.Helper()
	got := c.confirm(daemon, key, "delivery")
	if got.refusal == nil || got.refusal.Outcome != refusal.NotRun || got.refusal.Scope != refusal.ScopeAttempt {
		c.t.Errorf("%s: confirmation answered %d: %s, want a refusal not-run for this attempt", when, got.status, got.body)
	}
}

// Guards against a long platform outage that stops requests which can be served without
// the platform, a refusal that states more than is known, and daemons that do not catch
// up afterwards.
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
		time.Sleep(maxInForceDelay)
		c.checkInForce(2, unmarked)
		time.Sleep(6 * time.Second)
		c.checkServing("after", daemons)
		for _, d := range daemons {
			if got := c.confirm(d, "key-"+d, "delivery"); got.status != 200 || service.ExecutionCount("key-"+d) != 1 {
				c.t.Errorf("after the outage %s answered %d: %s, want 200 and one execution", d, got.status, got.body)
			}
		}
	})
}

// Guards against a data centre that stops serving when it is cut off from the others
// and from the platform, and against one that misses revisions, or returns to an older
// one, while it is cut off from the platform only.
func TestEachDataCentreServesAlone(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		dataCentres := []string{"anand", "kheda", "mehsana"}
		hosts := map[string][]string{}
		for _, dc := range dataCentres {
			c.addEngine("engine-"+dc, dc, standin.EngineOptions{})
			hosts[dc] = append(c.addDaemons(2, dc), "engine-"+dc)
		}
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		isolated := dataCentres[c.rng.IntN(len(dataCentres))]
		base := c.checkWithoutLog(hosts[isolated][:2])
		partition := func(f func(a, b string)) {
			for _, h := range hosts[isolated] {
				f(h, platformHost)
				for _, dc := range dataCentres {
					for _, other := range hosts[dc] {
						if dc != isolated {
							f(h, other)
						}
					}
				}
			}
		}
		partition(c.net.Block)
		time.Sleep(time.Duration(1+c.rng.IntN(10)) * time.Minute)
		for _, dc := range dataCentres {
			c.checkServing("partition "+dc, hosts[dc][:2])
		}
		c.checkRefusedConfirmation("partition", hosts[isolated][0], "key-1")
		c.publish("r4", base, markedDocument(4))
		newest := c.platform.Log.NextOffset(profile.Stream)
		time.Sleep(maxInForceDelay)
		for name, d := range c.daemons {
			want := newest
			if d.settings.DataCentre == isolated {
				want = base
			}
			if got := d.config.Snapshot().Revision; got != want {
				c.t.Errorf("during the partition %s has revision %d, want %d", name, got, want)
			}
		}
		partition(c.net.Unblock)
		time.Sleep(maxInForceDelay)
		c.checkInForce(newest, 4)
	})
}

// checkWithoutLog runs two racing operators while the daemons are cut off from the
// platform but not from their peers, and replaces one of these daemons. It returns the
// revision that was accepted.
func (c *cluster) checkWithoutLog(daemons []string) int64 {
	c.t.Helper()
	for _, d := range daemons {
		c.net.Block(d, platformHost)
	}
	var decisions [2]profile.Decision
	var group sync.WaitGroup
	for i := range decisions {
		group.Go(func() {
			p := c.operator()
			p.Base = 1
			decisions[i], _ = p.Publish(context.Background(), "", markedJSON(2+i))
		})
	}
	group.Wait()
	winner := 0
	if decisions[1].Accepted {
		winner = 1
	}
	revision := decisions[winner].Revision
	if !decisions[winner].Accepted || decisions[1-winner].Accepted || decisions[1-winner].Revision != revision {
		c.t.Fatalf("racing operators got %+v, want one accepted, and its revision reported to both", decisions)
	}
	time.Sleep(maxInForceDelay)
	c.checkInForce(revision, 2+winner)
	_ = c.daemons[daemons[0]].Kill()
	c.adjustSettings = func(s *settings.Settings) { s.Peers = c.daemons[daemons[1]].peerAddresses() }
	c.startDaemon(c.vm(daemons[0]))
	c.adjustSettings = nil
	time.Sleep(maxInForceDelay)
	c.checkInForce(revision, 2+winner)
	for _, d := range daemons {
		c.net.Unblock(d, platformHost)
	}
	time.Sleep(maxInForceDelay)
	return revision
}

// unmarked is what markerOf returns for a document without a marker: the default weight
// of an organisation.
const unmarked = 1

// Guards against daemons that wait forever after a configuration record has expired on
// the log before any of them could read it, that do not report the loss, that do not
// serve when they start during it, or that apply a publication after the loss late or
// not at all.
func TestExpiredRecordDoesNotBlockConfiguration(t *testing.T) {
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
		_ = c.daemons[daemons[1]].Kill()
		c.startDaemon(c.vm(daemons[1]))
		time.Sleep(maxCheckpointDelay)
		for name, d := range c.daemons {
			if d.config.reportedLoss() != nil {
				c.t.Errorf("%s reports a loss while a daemon may still write a checkpoint", name)
			}
		}
		time.Sleep(time.Minute)
		base := c.checkLost(daemons)
		c.checkInForce(base, unmarked)
		decision, err := c.operator().PublishAfterLoss(context.Background(), "r3", markedJSON(3), profile.Loss{First: 2, Newest: 2})
		if err != nil || !decision.Accepted || decision.Revision <= base {
			c.t.Fatalf("publication after the loss: %+v, %v, want it accepted as a newer revision", decision, err)
		}
		time.Sleep(maxInForceDelay)
		c.checkInForce(decision.Revision, 3)
		for name, d := range c.daemons {
			if d.config.reportedLoss() != nil || d.metrics.ConfigurationLost.Value() != 0 {
				c.t.Errorf("%s reports a loss after the publication", name)
			}
		}
		decision, err = c.operator().Publish(context.Background(), "r4", markedJSON(4))
		if err != nil || !decision.Accepted {
			c.t.Fatalf("publication based on the one after the loss: %+v, %v, want it accepted", decision, err)
		}
		time.Sleep(maxInForceDelay)
		c.checkInForce(decision.Revision, 4)
	})
}

// operator returns a publisher whose publications are based on the revision in force.
func (c *cluster) operator() ctl.Publisher {
	return ctl.Publisher{Log: platform.NewLog("http://"+platformAddress, c.net.Host("operator")), Base: -1}
}

// checkLost checks that daemons and bergamotctl report a loss and returns the revision
// that the daemons kept.
func (c *cluster) checkLost(daemons []string) int64 {
	c.t.Helper()
	for _, name := range daemons {
		status, err := c.daemons[name].adminStatus(context.Background(), nil)
		if err != nil {
			c.t.Fatal(err)
		}
		lost := status.(admin.Status).ConfigLoss
		if lost == nil || *lost != (profile.Loss{First: 2, Newest: 2}) {
			c.t.Errorf("%s reports the loss %+v, want records 2 to 2", name, lost)
		}
		if c.daemons[name].metrics.ConfigurationLost.Value() != 1 {
			c.t.Errorf("%s does not count the loss", name)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.operator().Publish(ctx, "r3", markedJSON(3))
	if ctl.ExitCode(err) != ctl.ExitLost || !strings.Contains(ctl.Message(err), "--after-loss 2:2") {
		c.t.Errorf("ordinary publication: exit code %d, %v, want %d and a message with the flag --after-loss 2:2", ctl.ExitCode(err), err, ctl.ExitLost)
	}
	return c.daemons[daemons[0]].config.Snapshot().Revision
}

// checkInForce checks that a revision with a marker is in force at every daemon.
func (c *cluster) checkInForce(revision int64, marker int) {
	c.t.Helper()
	for name, d := range c.daemons {
		if s := d.config.Snapshot(); s == nil || s.Revision != revision || markerOf(s) != marker {
			c.t.Errorf("%s has marker %d of configuration %+v, want marker %d of revision %d", name, markerOf(s), s, marker, revision)
		}
	}
}

package daemon

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// statusAt returns the status of the daemon member in the member list of the daemon
// observer, or -1 if the list does not have it.
func (c *cluster) statusAt(observer, member string) membership.Status {
	address := c.daemons[member].settings.Listen.Peer
	for _, m := range c.daemons[observer].gossip.Members() {
		if m.Address == address {
			return m.Status
		}
	}
	return -1
}

// addDaemons starts perDataCentre daemons in each data centre, named DATA CENTRE-N.
func (c *cluster) addDaemons(perDataCentre int, dataCentres ...string) []string {
	var names []string
	for _, dc := range dataCentres {
		for i := range perDataCentre {
			name := fmt.Sprintf("%s-%d", dc, i+1)
			c.addDaemon(name, dc)
			names = append(names, name)
		}
	}
	return names
}

// Guards against a dead daemon that stays alive for its peers, against a live daemon
// that is considered dead, and against a data centre that is considered dead although
// only the connections to it have failed.
func TestMembershipDistinguishesDeadFromCutOff(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		names := c.addDaemons(3, "anand", "kheda")
		c.publish("r1", 0, document())
		c.awaitReady()
		killed := names[c.rng.IntN(3)]
		remote := "kheda-1"
		time.Sleep(10 * time.Second)
		for _, a := range names {
			for _, b := range names {
				if a != b && c.statusAt(a, b) != membership.Alive {
					c.t.Fatalf("%s sees %s as %s before any failure", a, b, c.statusAt(a, b))
				}
			}
		}
		_ = c.daemons[killed].Kill()
		c.await("the killed daemon is dead in the other data centre", 30*time.Second, func() bool {
			return c.statusAt(remote, killed) == membership.Dead
		})
		for _, a := range names[:3] {
			for _, b := range names[3:] {
				c.net.Block(a, b)
			}
		}
		survivor := names[0]
		if survivor == killed {
			survivor = names[1]
		}
		c.await("the other data centre is cut off", time.Minute, func() bool {
			return c.statusAt(remote, survivor) == membership.CutOff
		})
		if got := c.statusAt(remote, "kheda-2"); got != membership.Alive {
			c.t.Errorf("a daemon of the same data centre is %s during the partition, want alive", got)
		}
		for _, a := range names[:3] {
			for _, b := range names[3:] {
				c.net.Unblock(a, b)
			}
		}
		c.await("the partition is over", time.Minute, func() bool {
			return c.statusAt(remote, survivor) == membership.Alive
		})
	})
}

// Guards against a live daemon that is considered dead when only one link to it fails
// and other peers reach it.
func TestOneLostLinkMarksNoDaemonDead(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		names := c.addDaemons(4, "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(5 * time.Second)
		failed := &c.daemons[names[0]].metrics.ProbesFailed
		before := failed.Value()
		c.net.Block(names[0], names[1])
		for range 60 {
			time.Sleep(time.Second)
			if got := c.statusAt(names[0], names[1]); got == membership.Dead {
				c.t.Fatalf("%s is %s although other daemons reach it", names[1], got)
			}
		}
		if n := failed.Value() - before; n != 0 {
			c.t.Errorf("%d probes failed although other daemons reach the daemon, want none", n)
		}
	})
}

// Guards against a replacement VM on the same address that inherits the dead status of
// its predecessor.
func TestReplacedDaemonOnSameAddressIsAlive(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		names := c.addDaemons(3, "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(time.Duration(1+c.rng.IntN(8)) * time.Second)
		old := c.daemons["anand-2"]
		_ = old.Kill()
		time.Sleep(time.Duration(c.rng.IntN(20)) * time.Second)
		replacement := c.startDaemon(c.vm("anand-2"))
		c.await("all daemons consider the replacement alive", 30*time.Second, func() bool {
			for _, n := range []string{names[0], names[2]} {
				m, ok := memberOf(c.daemons[n], replacement.settings.Listen.Peer)
				if !ok || m.Status != membership.Alive || m.Run != replacement.incarnation {
					return false
				}
			}
			return true
		})
	})
}

// memberOf returns the entry for a peer address in the member list of a daemon.
func memberOf(d *Daemon, address string) (membership.Member, bool) {
	for _, m := range d.gossip.Members() {
		if m.Address == address {
			return m, true
		}
	}
	return membership.Member{}, false
}

// vm returns the VM list entry with the given id.
func (c *cluster) vm(id string) port.VM {
	for _, vm := range c.vms {
		if vm.ID == id {
			return vm
		}
	}
	c.t.Fatalf("VM %s is not listed", id)
	return port.VM{}
}

// Guards against an engine that is polled by every daemon, and against daemons that do
// not poll the engine and for this reason receive a change of its state too late.
func TestFewDaemonsPollEngineAndAllReceiveState(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) { s.Timing.VMListInterval = settings.Duration(time.Second) }
		engine := c.addEngine("engine-1", "anand", standin.EngineOptions{})
		names := c.addDaemons(8, "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(10 * time.Second)
		polling := 0
		for _, n := range names {
			if len(c.daemons[n].fleet.polled.engines) > 0 {
				polling++
			}
		}
		if polling != pollersPerTarget {
			c.t.Errorf("%d daemons poll the engine, want %d", polling, pollersPerTarget)
		}
		for _, n := range names {
			if got := c.complete(n, "slot tokens=3"); got.status != 200 {
				c.t.Fatalf("%s answered %d although the engine is up: %s", n, got.status, got.body)
			}
		}
		engine.SetFaults(standin.EngineFaults{Leaving: true})
		time.Sleep(maxLeavingDelay)
		before := engine.TotalStarts()
		for _, n := range names {
			if got := c.complete(n, "slot tokens=3"); got.refusal == nil {
				c.t.Errorf("%s still sends requests to the leaving engine", n)
			}
		}
		if engine.TotalStarts() != before {
			c.t.Errorf("the leaving engine received %d requests, want none", engine.TotalStarts()-before)
		}
	})
}

// Guards against engines whose state never reaches the daemons of the other data centre.
// All daemons start at the same time and, during startupQuietPeriod, do not pass on the
// first state that they receive of an engine, so that each must fetch what it misses.
func TestSimultaneousStartReportsEveryEngine(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		names := c.addDaemons(6, "anand", "kheda")
		c.publish("r1", 0, document())
		c.awaitReady()
		// Until daemons have each other in their member lists, they poll the engines of
		// all data centres.
		time.Sleep(3 * time.Second)
		for i := range 12 {
			c.addEngine(fmt.Sprintf("engine-%d", i), []string{"anand", "kheda"}[i%2], standin.EngineOptions{})
		}
		c.await("all daemons have the state of every engine", 20*time.Second, func() bool {
			for _, n := range names {
				upstreams := c.daemons[n].fleet.allUpstreams()
				if len(upstreams) < 12 {
					return false
				}
				for _, u := range upstreams {
					if u.Report() == nil {
						return false
					}
				}
			}
			return true
		})
	})
}

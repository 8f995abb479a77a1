package daemon

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/seedtest"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// oneWayFault injects and removes a fault in one direction between two hosts.
type oneWayFault struct {
	cut, heal func(from, to string)
}

// oneWayFaults returns the faults by name: connections in one direction are refused, or
// everything that is sent in one direction is lost.
func (c *cluster) oneWayFaults() map[string]oneWayFault {
	return map[string]oneWayFault{
		"refused": {cut: c.net.BlockOneWay, heal: c.net.UnblockOneWay},
		"lost":    {cut: c.net.DropOneWay, heal: c.net.UndropOneWay},
	}
}

// forOneWayFaults runs f for each one-way fault and seed, each time with a new cluster.
func forOneWayFaults(t *testing.T, f func(*cluster, oneWayFault)) {
	for _, name := range []string{"refused", "lost"} {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, func(c *cluster) { f(c, c.oneWayFaults()[name]) })
		})
	}
}

// forEachPair calls f for each pair of a host in from and a host in to.
func forEachPair(from, to []string, f func(a, b string)) {
	for _, a := range from {
		for _, b := range to {
			f(a, b)
		}
	}
}

// awaitAllAlive waits until all running daemons consider each other alive.
func (c *cluster) awaitAllAlive(when string, limit time.Duration) {
	c.t.Helper()
	c.await(when+": all daemons consider each other alive", limit, func() bool {
		for a := range c.daemons {
			for b := range c.daemons {
				if a != b && c.statusAt(a, b) != membership.Alive {
					return false
				}
			}
		}
		return true
	})
}

// awaitRevision waits until a revision is in force at the daemons.
func (c *cluster) awaitRevision(when string, revision int64, limit time.Duration, daemons []string) {
	c.t.Helper()
	c.await(fmt.Sprintf("%s: revision %d is in force", when, revision), limit, func() bool {
		for _, name := range daemons {
			if s := c.daemons[name].config.Snapshot(); s == nil || s.Revision != revision {
				return false
			}
		}
		return true
	})
}

// revise publishes a revision and waits until it is in force at the daemons. The number
// of the revision is its offset on the log, which is not known in advance because
// checkpoints take offsets too.
func (c *cluster) revise(when string, daemons []string) {
	c.t.Helper()
	base := c.daemons[daemons[0]].config.Snapshot().Revision
	c.publish(fmt.Sprintf("revise-%d", base), base, document())
	c.await(when+": the new revision is in force", 4*time.Second, func() bool {
		return c.daemons[daemons[0]].config.Snapshot().Revision > base
	})
	c.awaitRevision(when, c.daemons[daemons[0]].config.Snapshot().Revision, 4*time.Second, daemons)
}

// checkNoNewRequests checks that requests sent to the daemons do not reach an engine.
func (c *cluster) checkNoNewRequests(when, engine string, daemons []string) {
	c.t.Helper()
	before := c.engines[engine].TotalStarts()
	for i := range 3 {
		for _, d := range daemons {
			c.complete(d, fmt.Sprintf("%s %s %d tokens=3", when, d, i))
		}
	}
	if n := c.engines[engine].TotalStarts() - before; n != 0 {
		c.t.Errorf("%s: the leaving engine %s received %d requests, want none", when, engine, n)
	}
}

// Guards against a live daemon that is considered dead because one direction of one
// link fails.
func TestOneWayLinkFailureMarksNoDaemonDead(t *testing.T) {
	forOneWayFaults(t, func(c *cluster, fault oneWayFault) {
		names := append(c.addDaemons(3, "anand"), c.addDaemons(2, "kheda")...)
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(5 * time.Second)
		from, to := names[0], names[1+c.rng.IntN(len(names)-1)]
		fault.cut(from, to)
		for range 60 {
			time.Sleep(time.Second)
			for _, a := range names {
				for _, b := range names {
					if s := c.statusAt(a, b); a != b && s > membership.Suspect {
						c.t.Fatalf("%s is %s at %s although other daemons reach it", b, s, a)
					}
				}
			}
		}
		fault.heal(from, to)
		c.awaitAllAlive("after", time.Minute)
	})
}

// Guards against failures of a daemon to which no peer can open a connection, although it
// can open connections itself, and which is later cut off from the platform too. The
// daemon must continue to serve, put the newest configuration in force, send no requests
// to leaving engines, and run confirmations at most once.
func TestDaemonWithoutInboundConnections(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.addEngine("engine-1", "anand", standin.EngineOptions{})
		c.addEngine("engine-2", "anand", standin.EngineOptions{})
		service := c.addService("service-1", "anand")
		names := c.addDaemons(5, "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		unreachable := names[c.rng.IntN(len(names))]
		peers := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == unreachable })
		forEachPair(peers, []string{unreachable}, c.net.BlockOneWay)
		time.Sleep(time.Duration(1+c.rng.IntN(60)) * time.Second)
		c.checkServing("cut", names)
		for i, d := range names {
			key := fmt.Sprintf("key-%d", i)
			for _, at := range []string{d, unreachable, peers[0]} {
				if got := c.confirm(at, key, "delivery"); got.status != 200 {
					c.t.Errorf("%s answered the confirmation with %d: %s", at, got.status, got.body)
				}
			}
			if n := service.ExecutionCount(key); n != 1 {
				c.t.Errorf("%s ran %d times", key, n)
			}
		}
		c.net.Block(unreachable, platformHost)
		c.publish("r2", 1, document())
		c.awaitRevision("cut", 2, 4*time.Second, names)
		c.engines["engine-1"].SetFaults(standin.EngineFaults{Leaving: true})
		time.Sleep(maxLeavingDelay)
		c.checkNoNewRequests("cut", "engine-1", names)
		c.checkServing("cut, one engine leaving", names)
		c.net.Unblock(unreachable, platformHost)
		forEachPair(peers, []string{unreachable}, c.net.UnblockOneWay)
		c.awaitAllAlive("after", time.Minute)
	})
}

// Guards against a data centre that stops serving, sends requests to a leaving engine
// or misses a configuration when one direction of its connections fails.
func TestOneWayCutOfADataCentre(t *testing.T) {
	forOneWayFaults(t, func(c *cluster, fault oneWayFault) {
		c.adjustSettings = func(s *settings.Settings) { s.Timing.VMListInterval = settings.Duration(time.Second) }
		hosts := map[string][]string{}
		var daemons []string
		for _, dc := range []string{"anand", "kheda"} {
			for i := range 2 {
				name := fmt.Sprintf("engine-%s-%d", dc, i+1)
				c.addEngine(name, dc, standin.EngineOptions{})
				hosts[dc] = append(hosts[dc], name)
			}
			names := c.addDaemons(3, dc)
			hosts[dc] = append(hosts[dc], names...)
			daemons = append(daemons, names...)
		}
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		forEachPair(hosts["anand"], hosts["kheda"], fault.cut)
		time.Sleep(time.Duration(1+c.rng.IntN(120)) * time.Second)
		c.checkServing("cut", daemons)
		c.publish("r2", 1, document())
		c.awaitRevision("cut", 2, 4*time.Second, daemons)
		leaving := fmt.Sprintf("engine-%s-1", []string{"anand", "kheda"}[c.rng.IntN(2)])
		c.engines[leaving].SetFaults(standin.EngineFaults{Leaving: true})
		time.Sleep(maxLeavingDelay)
		c.checkNoNewRequests("cut", leaving, daemons)
		c.checkServing("cut, one engine leaving", daemons)
		forEachPair(hosts["anand"], hosts["kheda"], fault.heal)
		c.awaitAllAlive("after", time.Minute)
		c.checkServing("after", daemons)
	})
}

// Guards against callers of other data centres that get no response when a data centre
// fails while it runs their requests, and against claims that are lost with the
// daemons that wrote them.
func TestDataCentreLostWithRunningCalls(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		for _, dc := range []string{"anand", "kheda"} {
			for i := range 2 {
				c.addEngine(fmt.Sprintf("engine-%s-%d", dc, i+1), dc, standin.EngineOptions{})
			}
			c.addService("service-"+dc, dc)
		}
		lost := []string{"engine-anand-1", "engine-anand-2", "service-anand"}
		// mehsana has no engines, so its requests run in both of the other data
		// centres.
		lostDaemons := c.addDaemons(2, "anand")
		remaining := c.addDaemons(2, "kheda", "mehsana")
		lost = append(lost, lostDaemons...)
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		for i := range 4 {
			key := fmt.Sprintf("recorded-%d", i)
			if got := c.confirm(lostDaemons[i%2], key, "delivery"); got.status != 200 {
				c.t.Fatalf("confirmation before the loss answered %d: %s", got.status, got.body)
			}
		}
		for _, s := range c.services {
			s.SetFaults(standin.ServiceFaults{DelayMS: 3000})
		}
		var group sync.WaitGroup
		started := c.engines["engine-anand-1"].TotalStarts() + c.engines["engine-anand-2"].TotalStarts()
		for i := range 12 {
			prompt := fmt.Sprintf("history %d tokens=600", i)
			group.Go(func() {
				got := c.complete(remaining[i%len(remaining)], prompt)
				if got.text() != standin.Answer(testModel, prompt, 4000) {
					c.t.Errorf("request %d at %s answered %d: %s", i, remaining[i%len(remaining)], got.status, got.body)
				}
			})
		}
		for i := range 4 {
			key := fmt.Sprintf("running-%d", i)
			group.Go(func() { c.confirm(lostDaemons[i%2], key, "delivery") })
		}
		time.Sleep(time.Duration(1000+c.rng.IntN(1500)) * time.Millisecond)
		if c.engines["engine-anand-1"].TotalStarts()+c.engines["engine-anand-2"].TotalStarts() == started {
			c.t.Error("no request of another data centre runs in the data centre to be lost")
		}
		c.loseHosts(lost, append(slices.Clone(remaining), platformHost, "engine-kheda-1", "engine-kheda-2", "service-kheda"))
		group.Wait()
		c.checkServing("lost", remaining)
		for _, s := range c.services {
			s.SetFaults(standin.ServiceFaults{})
		}
		for i := range 4 {
			c.checkRecorded(fmt.Sprintf("recorded-%d", i), remaining[i])
			c.checkRunAtMostOnce(fmt.Sprintf("running-%d", i), remaining)
			key := fmt.Sprintf("new-%d", i)
			if got := c.confirm(remaining[i], key, "delivery"); got.status != 200 || c.runCount(key) != 1 {
				c.t.Errorf("%s answered %d after the loss: %s", key, got.status, got.body)
			}
		}
	})
}

// loseHosts kills the daemons among the lost hosts and cuts off all lost hosts.
func (c *cluster) loseHosts(lost, remaining []string) {
	forEachPair(lost, append(slices.Clone(remaining), callerHost), c.net.Block)
	for _, name := range lost {
		if d, ok := c.daemons[name]; ok {
			_ = d.Kill()
			c.mu.Lock()
			delete(c.daemons, name)
			c.mu.Unlock()
		}
	}
}

// runCount returns how often a call with a key ran at any service.
func (c *cluster) runCount(key string) int {
	n := 0
	for _, s := range c.services {
		n += s.ExecutionCount(key)
	}
	return n
}

// checkRecorded resends a call that was answered before, and checks that the daemon
// answers it and that the call ran only once.
func (c *cluster) checkRecorded(key, daemon string) {
	c.t.Helper()
	if got := c.confirm(daemon, key, "delivery"); got.status != 200 || c.runCount(key) != 1 {
		c.t.Errorf("%s ran %d times, want once; a resend was answered %d: %s, want 200", key, c.runCount(key), got.status, got.body)
	}
}

// checkRunAtMostOnce resends a call that ran on a lost daemon until its outcome is
// settled: it stays unknown, or the call runs now because it had not been claimed.
func (c *cluster) checkRunAtMostOnce(key string, daemons []string) {
	c.t.Helper()
	settled := func(r reply) bool {
		return r.status == 200 || r.refusal != nil && r.refusal.Code == refusal.OutcomeUnknown
	}
	c.await("the outcome of "+key+" is settled", 2*time.Minute, func() bool {
		return settled(c.confirm(daemons[c.rng.IntN(len(daemons))], key, "delivery"))
	})
	for _, d := range daemons {
		if got := c.confirm(d, key, "delivery"); !settled(got) {
			c.t.Errorf("a resend of %s at %s was answered %d: %s", key, d, got.status, got.body)
		}
	}
	if n := c.runCount(key); n > 1 {
		c.t.Errorf("%s ran %d times", key, n)
	}
}

// Guards against regions that do not serve while they are disconnected for an hour, and
// that do not find each other, the newest configuration or a replaced daemon
// afterwards. A seed takes up to half a minute, so CI runs only the first one.
func TestRegionsDisconnectedForAnHour(t *testing.T) {
	seeds := seedtest.Seeds()
	if os.Getenv("BERGAMOT_SEEDS") == "" {
		seeds = seeds[:1]
	}
	scenario := func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) {
			s.Timing.VMListInterval = settings.Duration(5 * time.Second)
			s.Timing.ProbeInterval = settings.Duration(time.Second)
			s.Timing.StatusInterval = settings.Duration(2 * time.Second)
			// Each partition is polled throughout the hour.
			s.Claims.Partitions = 2
		}
		connected, remote := c.addRegion("anand", "kheda"), c.addRegion("lake-a", "lake-b")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(10 * time.Second)
		remoteHosts, connectedHosts := remote.hosts(), append(connected.hosts(), platformHost)
		forEachPair(remoteHosts, connectedHosts, c.net.Block)
		for i := range 4 {
			time.Sleep(15 * time.Minute)
			c.checkServing(fmt.Sprintf("apart %d", i), append(slices.Clone(connected.daemons), remote.daemons...))
			c.revise("apart", connected.daemons)
			c.checkRefusedConfirmation("apart", remote.daemons[i], fmt.Sprintf("far-%d", i))
			if got := c.confirm(connected.daemons[i], fmt.Sprintf("near-%d", i), "delivery"); got.status != 200 {
				c.t.Errorf("confirmation near the platform answered %d: %s", got.status, got.body)
			}
		}
		for _, d := range remote.daemons {
			if got := c.daemons[d].config.Snapshot().Revision; got != 1 {
				c.t.Errorf("%s has revision %d although it is disconnected", d, got)
			}
		}
		replaced := connected.daemons[c.rng.IntN(len(connected.daemons))]
		_ = c.daemons[replaced].Kill()
		c.startDaemon(c.vm(replaced))
		c.engines["engine-anand"].SetFaults(standin.EngineFaults{Leaving: true})
		time.Sleep(time.Minute)
		forEachPair(remoteHosts, connectedHosts, c.net.Unblock)
		all := append(slices.Clone(connected.daemons), remote.daemons...)
		c.awaitRevision("met", c.daemons[connected.daemons[0]].config.Snapshot().Revision, 10*time.Second, all)
		c.awaitAllAlive("met", 2*time.Minute)
		c.checkNoNewRequests("met", "engine-anand", all)
		c.checkServing("met", all)
		for i, d := range remote.daemons {
			key := fmt.Sprintf("far-%d", i)
			if got := c.confirm(d, key, "delivery"); got.status != 200 || c.runCount(key) != 1 {
				c.t.Errorf("%s ran %d times; %s answered %d: %s", key, c.runCount(key), d, got.status, got.body)
			}
			c.checkRecorded(fmt.Sprintf("near-%d", i), d)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { inCluster(t, seed, scenario) })
	}
}

// region is a group of data centres in a test.
type region struct {
	daemons, upstreams []string
}

func (r region) hosts() []string { return append(slices.Clone(r.daemons), r.upstreams...) }

// addRegion starts two daemons, an engine and a service in each data centre.
func (c *cluster) addRegion(dataCentres ...string) region {
	var r region
	for _, dc := range dataCentres {
		c.addEngine("engine-"+dc, dc, standin.EngineOptions{})
		c.addService("service-"+dc, dc)
		r.upstreams = append(r.upstreams, "engine-"+dc, "service-"+dc)
	}
	r.daemons = c.addDaemons(2, dataCentres...)
	return r
}

// replacementCount is the number of daemons replaced in the test below, as on an
// ordinary day at the target of docs/design.md, section 1.7.
const replacementCount = 60

// Guards against members that stay dead or unknown, requests that fail, calls that run
// twice and configuration updates that stop when many daemons are replaced in a short
// time, by a planned stop or a crash, on a new address or the same one.
func TestManyReplacementsInAShortTime(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		for _, dc := range []string{"anand", "kheda"} {
			c.addEngine("engine-"+dc+"-1", dc, standin.EngineOptions{})
			c.addEngine("engine-"+dc+"-2", dc, standin.EngineOptions{})
		}
		c.addService("service-1", "anand")
		c.adjustSettings = func(s *settings.Settings) { s.Claims.Partitions = 2 }
		names := c.addDaemons(5, "anand", "kheda")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(6 * time.Second)
		// One daemon in each data centre is not replaced and receives requests
		// throughout.
		kept := []string{names[0], names[5]}
		replaced := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(kept, n) })
		done := make(chan struct{})
		var callers sync.WaitGroup
		for _, at := range kept {
			callers.Go(func() { c.sendUntil(done, at) })
		}
		for i := range replacementCount {
			name := replaced[c.rng.IntN(len(replaced))]
			key := fmt.Sprintf("confirmed-%d", i)
			// A daemon that was replaced recently refuses calls until it is ready.
			c.await(name+" is ready", 10*time.Second, func() bool { return c.daemons[name].Ready() })
			if got := c.confirm(name, key, "delivery"); got.status != 200 {
				c.t.Errorf("%s at %s answered %d: %s", key, name, got.status, got.body)
			}
			c.replace(name, i)
			time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
			c.checkRecorded(key, kept[i%2])
		}
		c.await("the replacements are ready", 10*time.Second, func() bool {
			return !slices.ContainsFunc(names, func(n string) bool { return !c.daemons[n].Ready() })
		})
		c.awaitAllAlive("after", 30*time.Second)
		c.await("the member lists have the current incarnation of every peer", 30*time.Second, c.allMembersCurrent)
		c.revise("after", names)
		c.engines["engine-anand-1"].SetFaults(standin.EngineFaults{Leaving: true})
		time.Sleep(maxLeavingDelay)
		close(done)
		callers.Wait()
		c.checkNoNewRequests("after", "engine-anand-1", names)
		c.checkServing("after", names)
	})
}

// sendUntil sends prompts and confirmations to a daemon one after another until done is
// closed, and checks that all are answered.
func (c *cluster) sendUntil(done <-chan struct{}, daemon string) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		prompt := fmt.Sprintf("slot %s %d tokens=20", daemon, i)
		if got := c.complete(daemon, prompt); got.text() != standin.Answer(testModel, prompt, 4000) {
			c.t.Errorf("%s answered %d: %s %v", daemon, got.status, got.body, got.err)
		}
		key := fmt.Sprintf("%s-%d", daemon, i)
		if got := c.confirm(daemon, key, "delivery"); got.status != 200 || c.runCount(key) != 1 {
			c.t.Errorf("%s ran %d times, answered %d: %s", key, c.runCount(key), got.status, got.body)
		}
	}
}

// replace stops or kills a daemon and starts another one under its name, on the same
// address or on a new one derived from serial.
func (c *cluster) replace(name string, serial int) {
	old := c.daemons[name]
	if c.rng.IntN(2) == 0 {
		_ = old.Stop(context.Background())
	} else {
		_ = old.Kill()
	}
	i := slices.IndexFunc(c.vms, func(vm port.VM) bool { return vm.ID == name })
	if c.rng.IntN(2) == 0 {
		host := fmt.Sprintf("10.4.0.%d", serial+1)
		c.vms[i].Address, c.vms[i].PeerAddress = host+":8100", host+":7600"
		c.platform.VMs.Set(c.vms)
	}
	c.startDaemon(c.vms[i])
}

// allMembersCurrent reports whether the member list of each daemon has the current
// incarnation of every peer.
func (c *cluster) allMembersCurrent() bool {
	for a, observer := range c.daemons {
		for b, observed := range c.daemons {
			if m, ok := memberOf(observer, observed.settings.Listen.Peer); a != b && (!ok || m.Run != observed.incarnation) {
				return false
			}
		}
	}
	return true
}

// startBesideUpstreams starts two engines, a service and three daemons in one data centre.
func (c *cluster) startBesideUpstreams() (upstreams, daemons []string) {
	upstreams = []string{"engine-1", "engine-2", "service-1"}
	for _, name := range upstreams[:2] {
		c.addEngine(name, "anand", standin.EngineOptions{})
	}
	c.addService(upstreams[2], "anand")
	daemons = c.addDaemons(3, "anand")
	c.publish("r1", 0, document())
	c.awaitReady()
	time.Sleep(6 * time.Second)
	return upstreams, daemons
}

// Guards against callers who are refused at a daemon that has lost its paths to all upstreams, although
// other daemons reach these.
func TestCallersOfADaemonCutOffFromUpstreamsAreServed(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		upstreams, names := c.startBesideUpstreams()
		forEachPair(names[:1], upstreams, c.net.Block)
		time.Sleep(3 * time.Second)
		served, calls := 0, 0
		for i := range 10 {
			for _, got := range []reply{c.complete(names[0], fmt.Sprintf("cut %d tokens=3", i)), c.confirm(names[0], fmt.Sprintf("cut-%d", i), "delivery")} {
				if calls++; got.status == 200 {
					served++
				}
			}
		}
		if served < calls {
			c.t.Errorf("the daemon that is cut off from upstreams serves %d of %d calls", served, calls)
		}
	})
}

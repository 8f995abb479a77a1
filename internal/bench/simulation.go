package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	tickInterval   = 100 * time.Millisecond
	statusInterval = 200 * time.Millisecond
	// defaultLag is the delay of load reports without faults.
	defaultLag = 300 * time.Millisecond
	// demandInterval is the time between demand reports of daemons.
	demandInterval = 500 * time.Millisecond
	// maxRetries is the maximum number of retries of a request after failed attempts.
	maxRetries = 3
	// localDelay is the one-way network delay within a data centre.
	localDelay = 500 * time.Microsecond
)

// scheduler makes the scheduling decisions of one daemon under a policy.
type scheduler interface {
	// schedule sends, queues or refuses a new request, or a request whose attempt failed.
	schedule(r *request)
	// onReport receives the status of an engine, which is lag old.
	onReport(e *engine, s port.EngineStatus, lag time.Duration)
	// tick is called every tickInterval.
	tick()
	// onFirstToken and onEnd are called for the first token and the end of an attempt.
	onFirstToken(j *job)
	onEnd(j *job, ok bool)
}

// fault is a change to the simulation at a given time since the start of the run.
type fault struct {
	at    time.Duration
	apply func(sim *simulation)
}

// simulation is one run of a scenario under one policy.
type simulation struct {
	clock     clock
	fleet     *fleet
	engines   []*engine
	nodes     []*node
	rng       *rand.Rand
	reportLag time.Duration
	// isolatedCentre is the data centre that is cut off from all others, or -1.
	isolatedCentre int
	roleChanges    int
	// maxRoleGain is the largest predicted gain of a role change; see Result.RoleGain.
	maxRoleGain float64
	// arrivalPeriod is the length of the scenario, in which all requests arrive.
	arrivalPeriod time.Duration
	// lastEnd is when the last attempt ended.
	lastEnd  time.Duration
	requests []*request
}

// node is one simulated daemon and its scheduler.
type node struct {
	sim       *simulation
	id        int
	dc        int
	scheduler scheduler
}

func newSimulation(f *fleet, sc *scenario, p *policy, seed uint64) *simulation {
	sim := &simulation{fleet: f, reportLag: defaultLag, isolatedCentre: sc.isolatedCentre, rng: rand.New(rand.NewPCG(seed, 1))}
	for dc, n := range f.engines {
		for i := range n {
			e := newEngine(&sim.clock, fmt.Sprintf("engine-%d-%d", dc, i), dc)
			if p.fixedSplit {
				e.role = fixedSplitRole(i)
			}
			sim.engines = append(sim.engines, e)
		}
	}
	for dc, n := range f.daemons {
		for range n {
			sim.nodes = append(sim.nodes, &node{sim: sim, id: len(sim.nodes), dc: dc})
		}
	}
	for _, n := range sim.nodes {
		n.scheduler = p.newScheduler(n)
	}
	return sim
}

// reaches reports whether a daemon can connect to an engine.
func (n *node) reaches(e *engine) bool {
	return n.dc == e.dc || n.sim.isolatedCentre != n.dc && n.sim.isolatedCentre != e.dc
}

// networkDelay returns the one-way delay between a daemon and an engine.
func (n *node) networkDelay(e *engine) time.Duration {
	if n.dc == e.dc {
		return localDelay
	}
	return n.sim.fleet.remoteDelay
}

// send sends a request to an engine as a new attempt.
func (n *node) send(r *request, e *engine, priority int) *job {
	j := &job{request: r, priority: priority, sent: n.sim.clock.now, engine: e}
	delay := n.networkDelay(e)
	j.onFirstToken = func() {
		if r.firstTokenDelay == 0 {
			r.firstTokenDelay = j.firstTokenAt + delay - r.arrived
		}
		n.scheduler.onFirstToken(j)
	}
	j.onEnd = func(ok bool) { n.handleEnd(j, delay, ok) }
	n.sim.clock.after(delay, func() { e.submit(j) })
	return j
}

// handleEnd records the end of an attempt, whose response arrives after delay, and retries
// a failed request up to maxRetries times.
func (n *node) handleEnd(j *job, delay time.Duration, ok bool) {
	n.scheduler.onEnd(j, ok)
	n.sim.lastEnd = n.sim.clock.now
	r := j.request
	if ok {
		r.recordCompletion(n.sim.clock.now + delay)
		return
	}
	r.retries++
	if r.retries > maxRetries {
		r.outcome = lost
		return
	}
	n.scheduler.schedule(r)
}

// recordCompletion sets the outcome of a request whose complete response arrived at a
// time.
func (r *request) recordCompletion(at time.Duration) {
	p := &r.workload.profile
	r.outcome = late
	if r.firstTokenDelay.Milliseconds() <= p.FirstTokenMS && (at-r.arrived).Milliseconds() <= p.TotalMS {
		r.outcome = withinTarget
	}
}

// drainTime is simulated after the last arrival, so that the end of a run does not cut
// off a response that could still meet its target.
const drainTime = 2 * time.Minute

// run simulates a scenario to its end. Requests without a complete response by then
// count as late.
func (sim *simulation) run(sc *scenario, requests []*request) {
	sim.requests, sim.arrivalPeriod = requests, sc.length()
	for _, r := range requests {
		sim.clock.after(r.arrived, func() { sim.nodes[r.daemon].scheduler.schedule(r) })
	}
	for _, f := range sc.faults {
		sim.clock.after(f.at, func() { f.apply(sim) })
	}
	sim.repeat(tickInterval, func() {
		for _, n := range sim.nodes {
			n.scheduler.tick()
		}
	})
	sim.repeat(statusInterval, sim.sendReports)
	sim.clock.runUntil(sim.arrivalPeriod + drainTime)
}

// repeat calls f at the current time and then at every interval until the end of the run.
func (sim *simulation) repeat(interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		sim.clock.after(interval, again)
	}
	sim.clock.after(0, again)
}

// sendReports delivers the status of all engines after the report lag. The first reports
// of a run have no lag. Daemons detect a crashed engine without a report,
// because its connections break.
func (sim *simulation) sendReports() {
	for _, e := range sim.engines {
		s, lag := e.status(), sim.reportLag
		if sim.clock.now < statusInterval {
			lag = 0
		}
		sim.clock.after(lag, func() {
			for _, n := range sim.nodes {
				if n.reaches(e) {
					n.scheduler.onReport(e, s, lag)
				}
			}
		})
	}
}

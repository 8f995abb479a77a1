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
	// maxRetries bounds the attempts after a crash.
	maxRetries = 3
	// localDelay is the one-way delay inside a data centre.
	localDelay = 500 * time.Microsecond
)

// decider is the policy of one daemon.
type decider interface {
	// arrive decides about a new request, or about one that lost its engine.
	arrive(r *request)
	// report delivers an engine's status, which is lag old.
	report(e *engine, s port.EngineStatus, lag time.Duration)
	// tick runs at every tickInterval.
	tick()
	// firstToken and ended follow an attempt.
	firstToken(j *job)
	ended(j *job, ok bool)
}

// fault changes the world at a time.
type fault struct {
	at    time.Duration
	apply func(w *world)
}

// world is one run of a scenario under one policy.
type world struct {
	clock     clock
	fleet     *fleet
	engines   []*engine
	nodes     []*node
	rng       *rand.Rand
	reportLag time.Duration
	// isolatedCentre is the data centre that reaches no other, or -1.
	isolatedCentre int
	roleChanges    int
	maxRoleGain    float64
	arrivalPeriod  time.Duration
	// lastEnd is when the last attempt ended.
	lastEnd  time.Duration
	requests []*request
}

// node is one daemon.
type node struct {
	w       *world
	id      int
	dc      int
	decider decider
}

func newWorld(f *fleet, sc *scenario, p *policy, seed uint64) *world {
	w := &world{fleet: f, reportLag: defaultLag, isolatedCentre: sc.isolatedCentre, rng: rand.New(rand.NewPCG(seed, 1))}
	for dc, n := range f.engines {
		for i := range n {
			e := newEngine(&w.clock, fmt.Sprintf("engine-%d-%d", dc, i), dc)
			if p.fixedSplit {
				e.role = fixedSplitRole(i)
			}
			w.engines = append(w.engines, e)
		}
	}
	for dc, n := range f.daemons {
		for range n {
			w.nodes = append(w.nodes, &node{w: w, id: len(w.nodes), dc: dc})
		}
	}
	for _, n := range w.nodes {
		n.decider = p.newDecider(n)
	}
	return w
}

// reaches tells whether a daemon can talk to an engine.
func (n *node) reaches(e *engine) bool {
	return n.dc == e.dc || n.w.isolatedCentre != n.dc && n.w.isolatedCentre != e.dc
}

func (n *node) networkDelay(e *engine) time.Duration {
	if n.dc == e.dc {
		return localDelay
	}
	return n.w.fleet.remoteDelay
}

// send starts an attempt at an engine.
func (n *node) send(r *request, e *engine, priority int) *job {
	j := &job{request: r, priority: priority, sent: n.w.clock.now, engine: e}
	delay := n.networkDelay(e)
	j.onFirstToken = func() {
		if r.firstTokenDelay == 0 {
			r.firstTokenDelay = j.firstTokenAt + delay - r.arrived
		}
		n.decider.firstToken(j)
	}
	j.onEnd = func(ok bool) { n.end(j, delay, ok) }
	n.w.clock.after(delay, func() { e.submit(j) })
	return j
}

func (n *node) end(j *job, delay time.Duration, ok bool) {
	n.decider.ended(j, ok)
	n.w.lastEnd = n.w.clock.now
	r := j.request
	if ok {
		r.recordCompletion(n.w.clock.now + delay)
		return
	}
	r.retries++
	if r.retries > maxRetries {
		r.outcome = lost
		return
	}
	n.decider.arrive(r)
}

// recordCompletion notes a whole answer that arrived at a time.
func (r *request) recordCompletion(at time.Duration) {
	p := &r.workload.profile
	r.outcome = late
	if r.firstTokenDelay.Milliseconds() <= p.FirstTokenMS && (at-r.arrived).Milliseconds() <= p.TotalMS {
		r.outcome = withinTarget
	}
}

// drainTime is played after the last arrival, so that the end of a run cuts no
// answer that could still be within its target.
const drainTime = 2 * time.Minute

// run plays a scenario to its end. Requests that have no answer by then are late.
func (w *world) run(sc *scenario, requests []*request) {
	w.requests, w.arrivalPeriod = requests, sc.length()
	for _, r := range requests {
		w.clock.after(r.arrived, func() { w.nodes[r.daemon].decider.arrive(r) })
	}
	for _, f := range sc.faults {
		w.clock.after(f.at, func() { f.apply(w) })
	}
	w.repeat(tickInterval, func() {
		for _, n := range w.nodes {
			n.decider.tick()
		}
	})
	w.repeat(statusInterval, w.sendReports)
	w.clock.runUntil(w.arrivalPeriod + drainTime)
}

func (w *world) repeat(interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		w.clock.after(interval, again)
	}
	w.clock.after(0, again)
}

// sendReports delivers the status of all engines after the lag. A daemon notices
// a crashed engine at once by its connections.
func (w *world) sendReports() {
	for _, e := range w.engines {
		s, lag := e.status(), w.reportLag
		if w.clock.now < statusInterval {
			lag = 0
		}
		w.clock.after(lag, func() {
			for _, n := range w.nodes {
				if n.reaches(e) {
					n.decider.report(e, s, lag)
				}
			}
		})
	}
}

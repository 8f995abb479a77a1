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

// decider makes the scheduling decisions of one daemon.
type decider interface {
	// arrive schedules a new request, or a request whose attempt failed.
	arrive(r *request)
	// report delivers the status of an engine, which is lag old.
	report(e *engine, s port.EngineStatus, lag time.Duration)
	// tick is called every tickInterval.
	tick()
	// firstToken and ended are called for the first token and the end of an attempt.
	firstToken(j *job)
	ended(j *job, ok bool)
}

// fault changes the simulated world at a time.
type fault struct {
	at    time.Duration
	apply func(w *world)
}

// world simulates one run of a scenario under one policy.
type world struct {
	clock     clock
	fleet     *fleet
	engines   []*engine
	nodes     []*node
	rng       *rand.Rand
	reportLag time.Duration
	// isolatedCentre is the data centre that is cut off from all others, or -1.
	isolatedCentre int
	roleChanges    int
	maxRoleGain    float64
	arrivalPeriod  time.Duration
	// lastEnd is when the last attempt ended.
	lastEnd  time.Duration
	requests []*request
}

// node is one simulated daemon.
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

// reaches reports whether a daemon can connect to an engine.
func (n *node) reaches(e *engine) bool {
	return n.dc == e.dc || n.w.isolatedCentre != n.dc && n.w.isolatedCentre != e.dc
}

// networkDelay returns the one-way delay between a daemon and an engine.
func (n *node) networkDelay(e *engine) time.Duration {
	if n.dc == e.dc {
		return localDelay
	}
	return n.w.fleet.remoteDelay
}

// send starts an attempt on an engine.
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

// end records the end of an attempt and retries a failed request up to maxRetries
// times.
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

// sendReports delivers the status of all engines after the report lag, or without a
// lag at the start of the run. Daemons detect a crashed engine without a report,
// because its connections break.
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

package bench

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// baselineScheduler sends every request immediately to the engine with the fewest known
// connections, preferring engines of its data centre.
type baselineScheduler struct {
	*node
	useRanks      bool
	inFlight      map[*engine]int
	reported      map[*engine]port.EngineStatus
	failedEngines map[*engine]bool
}

// newBaseline returns a constructor of baseline schedulers. With useRanks, engines serve
// requests by rank; otherwise all requests have the same priority.
func newBaseline(useRanks bool) func(n *node) scheduler {
	return func(n *node) scheduler {
		return &baselineScheduler{
			node: n, useRanks: useRanks, inFlight: map[*engine]int{},
			reported: map[*engine]port.EngineStatus{}, failedEngines: map[*engine]bool{},
		}
	}
}

func (b *baselineScheduler) schedule(r *request) {
	best := b.pick(r)
	if best == nil {
		r.outcome = lost
		return
	}
	priority := 1
	if b.useRanks {
		priority = r.rank
	}
	b.inFlight[best]++
	b.send(r, best, priority)
}

func (b *baselineScheduler) pick(r *request) *engine {
	var best *engine
	for _, e := range b.sim.engines {
		if e.draining || !e.serving() || !b.reaches(e) {
			continue
		}
		if best == nil || b.score(r, e) < b.score(r, best) {
			best = e
		}
	}
	return best
}

// score returns the load of an engine, lower is better: the requests that this daemon has
// in flight on it or, if higher, the requests in its last report. An engine in another
// data centre gets a penalty that exceeds any load, and an engine whose role does not
// match the request gets half of that penalty.
func (b *baselineScheduler) score(r *request, e *engine) int {
	const penalty = 1 << 30
	s := b.reported[e]
	load := max(b.inFlight[e], s.Running+s.Queued)
	if e.dc != b.dc {
		load += penalty
	}
	heavy := routing.PrefillHeavy(r.prompt, r.output)
	if e.role == port.RolePrefill && !heavy || e.role == port.RoleDecode && heavy {
		load += penalty / 2
	}
	return load
}

func (b *baselineScheduler) onReport(e *engine, s port.EngineStatus, _ time.Duration) {
	b.reported[e] = s
}
func (b *baselineScheduler) tick()             {}
func (b *baselineScheduler) onFirstToken(*job) {}
func (b *baselineScheduler) onEnd(j *job, _ bool) {
	b.inFlight[j.engine]--
}

const (
	// thresholdInterval is the time between two evaluations of the threshold rule.
	// thresholdRatio is the ratio between the loads per engine of the two roles above
	// which the rule changes the role of an engine.
	thresholdInterval = 5 * time.Second
	thresholdRatio    = 1.2
)

// thresholdRoles changes the role of an engine whenever one role has more load per
// engine than the other, without hysteresis.
func thresholdRoles(sim *simulation) {
	sim.repeat(thresholdInterval, func() {
		for dc := range sim.fleet.engines {
			sim.applyThresholdRule(dc)
		}
	})
}

// applyThresholdRule changes the role of at most one engine of a data centre. Index 0 of
// the arrays is prefill and index 1 is decode; work is in seconds of engine time.
func (sim *simulation) applyThresholdRule(dc int) {
	var engines, work [2]float64
	var candidates [2]*engine
	for _, e := range sim.engines {
		if e.dc != dc || !e.serving() || e.draining {
			continue
		}
		i := 0
		if e.role == port.RoleDecode {
			i = 1
		}
		s := e.status()
		engines[i]++
		work[0] += float64(s.QueuedPrefillTokens) * stepPerPromptToken.Seconds()
		work[1] += float64(s.Running) * typicalOutput * (stepPerSequence + stepBase/typicalBatch).Seconds()
		candidates[i] = e
	}
	for i, role := range []port.Role{port.RolePrefill, port.RoleDecode} {
		other := 1 - i
		if engines[other] > 1 && work[i]*max(engines[other], 1) > thresholdRatio*work[other]*max(engines[i], 1) {
			sim.roleChanges++
			candidates[other].changeRole(role, func() {})
			return
		}
	}
}

// typicalOutput is the number of output tokens that the threshold rule assumes for a
// running request.
const typicalOutput = 100

package bench

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// baselineNode sends every request immediately to the engine with the fewest known
// connections, preferring engines of its data centre.
type baselineNode struct {
	*node
	useRanks      bool
	inFlight      map[*engine]int
	reported      map[*engine]port.EngineStatus
	failedEngines map[*engine]bool
}

func newBaseline(useRanks bool) func(n *node) decider {
	return func(n *node) decider {
		return &baselineNode{
			node: n, useRanks: useRanks, inFlight: map[*engine]int{},
			reported: map[*engine]port.EngineStatus{}, failedEngines: map[*engine]bool{},
		}
	}
}

func (b *baselineNode) arrive(r *request) {
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

func (b *baselineNode) pick(r *request) *engine {
	var best *engine
	for _, e := range b.w.engines {
		if e.draining || !e.serving() || !b.reaches(e) {
			continue
		}
		if best == nil || b.score(r, e) < b.score(r, best) {
			best = e
		}
	}
	return best
}

// score returns the number of connections of an engine, plus a penalty for an engine
// in another data centre and a smaller one for an engine whose role does not match the
// request.
func (b *baselineNode) score(r *request, e *engine) int {
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

func (b *baselineNode) report(e *engine, s port.EngineStatus, _ time.Duration) { b.reported[e] = s }
func (b *baselineNode) tick()                                                  {}
func (b *baselineNode) firstToken(*job)                                        {}
func (b *baselineNode) ended(j *job, _ bool) {
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
func thresholdRoles(w *world) {
	w.repeat(thresholdInterval, func() {
		for dc := range w.fleet.engines {
			w.applyThresholdRule(dc)
		}
	})
}

// applyThresholdRule changes the role of at most one engine of a data centre.
func (w *world) applyThresholdRule(dc int) {
	var engines, work [2]float64
	var candidates [2]*engine
	for _, e := range w.engines {
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
			w.roleChanges++
			candidates[other].change(role, func() {})
			return
		}
	}
}

// typicalOutput is the number of output tokens that the threshold rule assumes for a
// running request.
const typicalOutput = 100

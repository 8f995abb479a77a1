package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Query asks for a place for a request.
type Query struct {
	Service string
	// Prompt is nil for plain services.
	Prompt *port.Prompt
	// BodyBytes is the size of the request.
	BodyBytes int
	// Urgency is the class of the request.
	Urgency int
	// RemainingTarget is what is left until the objective for the first event, Patience until the
	// client leaves without one. 0 means that there is no limit.
	RemainingTarget time.Duration
	ClientTimeout   time.Duration
	// Objective is the whole time that the first event may take.
	Objective time.Duration
	// AllowedGap is the longest pause between events that is on time; 0 means that there
	// is no limit.
	AllowedGap time.Duration
	// Excluded holds ids of runners that failed the request.
	Excluded map[string]bool
	// NoPrefill asks for an engine that reads the prompt itself.
	NoPrefill bool
}

// Plan is a place for a request. Its works are counted until they end.
type Plan struct {
	// Prefill is nil when the decode engine reads the prompt itself, or when the
	// request has none.
	Prefill *InFlightRequest
	// Run is nil in a plan with a Prefill: the decode engine is chosen when the prompt
	// has been read.
	Run *InFlightRequest
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Wait is the part of it that the request waits for others.
	Wait time.Duration
}

// option is one way to run a request.
type option struct {
	member *member
	unread int
	// source is where the engine fetches cached parts from before it reads, or nil.
	source *member
	first  time.Duration
	wait   time.Duration
	cost   time.Duration
}

func (o *option) better(than *option) bool {
	return than.member == nil || o.cost < than.cost
}

// Place chooses where a request runs and counts it there. It returns false when no
// runner of the service is usable.
func (f *Fleet) Place(now time.Time, q Query) (Plan, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.best(now, q)
	if best.member == nil {
		return Plan{}, false
	}
	w := f.begin(best.member, now, q, best.unread)
	if best.source != nil {
		w.fetchFrom = best.source.runner.Address
	}
	plan := Plan{FirstEvent: best.first, Wait: best.wait}
	if q.Prompt != nil && best.member.runner.Role == port.RolePrefill {
		plan.Prefill = w
	} else {
		plan.Run = w
	}
	return plan, true
}

// Predict returns the shortest predicted time to the first event, and the part of it
// that is waiting, without counting the request.
func (f *Fleet) Predict(now time.Time, q Query) (first, wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.best(now, q)
	return best.first, best.wait, best.member != nil
}

// best compares all usable runners. When all are suspect, the one that was avoided
// longest is tried.
func (f *Fleet) best(now time.Time, q Query) option {
	var best option
	var fallback *member
	h := f.holders(now, q)
	for _, m := range f.services[q.Service] {
		if q.Excluded[m.runner.ID] || q.NoPrefill && m.runner.Role == port.RolePrefill {
			continue
		}
		if !m.usable(now) || f.cut(m.runner.DataCentre, now) {
			if !m.runner.Draining && !m.leaving && !m.away(now) && (fallback == nil || m.suspectUntil.Before(fallback.suspectUntil)) {
				fallback = m
			}
			continue
		}
		if o := f.evaluate(now, m, q, h); o.better(&best) {
			best = o
		}
	}
	if best.member == nil && fallback != nil && (q.Prompt == nil || fallback.runner.Role != port.RolePrefill) {
		return f.evaluate(now, fallback, q, h)
	}
	return best
}

// evaluate predicts a request's way through a member.
func (f *Fleet) evaluate(now time.Time, m *member, q Query, h holders) option {
	if q.Prompt == nil {
		return f.evaluateService(now, m, q)
	}
	l := f.loadOf(m, now)
	cached := m.cache.cached(q.Prompt)
	o := option{member: m, wait: l.wait(q.Urgency)}
	if source, more := h.beyond(m, cached); more > 0 {
		move, penalty := moveTime(m.limits, more, source.runner.DataCentre != m.runner.DataCentre)
		o.source = source
		o.first += move
		o.cost += penalty
		cached += more
	}
	o.unread = q.Prompt.InputTokens - cached
	reading := m.readingTime(o.unread, q.Prompt.InputTokens)
	o.first += o.wait + reading + firstEvent
	o.cost += time.Duration(shareOfOthers * float64(reading))
	if m.runner.Role == port.RolePrefill {
		move, penalty := moveTime(m.limits, q.Prompt.InputTokens, false)
		o.first += prefillTrip + move
		o.cost += penalty
	} else {
		o.cost += time.Duration(l.Running)*streamPenalty + m.pausePenalty(&l, reading, q)
	}
	if m.full(&l, q.Prompt.InputTokens+q.Prompt.OutputTokens) {
		o.cost += fullPenalty
	}
	f.addDistance(&o, q)
	o.cost += o.first + limitPenalty(o.first, q) + m.affinityPenalty()
	return o
}

// pausePenalty is the price of the pauses that reading a prompt between the tokens of
// others causes: for the streams that run there, and for the request itself if prompts
// wait behind its own.
func (m *member) pausePenalty(l *Load, reading time.Duration, q Query) time.Duration {
	others := float64(l.OnTimeStreams) * lateShare(m.models.pauses.predict(l.backlog()+reading), l.AllowedGap)
	return time.Duration(others*float64(latePenalty)) + m.ownPausePenalty(l.wait(UrgencyCount-1)-l.wait(q.Urgency), q)
}

// ownPausePenalty is the price of the pauses of a request that runs while so much is read.
func (m *member) ownPausePenalty(reading time.Duration, q Query) time.Duration {
	if q.Urgency == UrgencyLate {
		return 0
	}
	return time.Duration(lateShare(m.models.pauses.predict(reading), q.AllowedGap) * float64(latePenalty))
}

// limitPenalty keeps requests from places where they would miss a limit.
func limitPenalty(first time.Duration, q Query) time.Duration {
	switch {
	case q.ClientTimeout > 0 && first > q.ClientTimeout:
		return abandonedPenalty
	case q.Urgency != UrgencyLate && q.RemainingTarget > 0 && first > q.RemainingTarget:
		return latePenalty
	}
	return 0
}

// affinityPenalty spreads daemons that see the same loads over engines of nearly equal cost.
func (m *member) affinityPenalty() time.Duration {
	return time.Duration(m.affinity * float64(affinitySpread))
}

func (f *Fleet) addDistance(o *option, q Query) {
	if o.member.outside && q.Prompt != nil {
		o.cost += outsidePenalty
	}
	if o.member.runner.DataCentre != f.dataCentre {
		o.first += remoteTrip
		o.cost += time.Duration(q.BodyBytes) * remotePenalty / 1000
	}
}

// serviceTime is the assumed time of a call to a plain service; only its relation to a
// round trip matters.
const serviceTime = 40 * time.Millisecond

// evaluateService spreads calls by the share of taken slots.
func (f *Fleet) evaluateService(now time.Time, m *member, q Query) option {
	l := m.load(now)
	waiting := max(0, l.Running+1-m.runner.Slots)
	busy := time.Duration(float64(l.Running) / float64(m.runner.Slots) * float64(serviceTime) / 2)
	wait := time.Duration(waiting) * serviceTime / time.Duration(m.runner.Slots)
	o := option{member: m, wait: wait, first: wait + serviceTime}
	f.addDistance(&o, q)
	o.cost += o.first + busy
	if waiting > m.runner.Slots {
		o.cost += fullPenalty
	}
	return o
}

// PlaceDecode chooses the decode engine that goes on from a KV cache, and counts the
// request there.
func (f *Fleet) PlaceDecode(now time.Time, q Query, source port.Runner) (*InFlightRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best option
	for _, m := range f.services[q.Service] {
		if m.runner.Role == port.RolePrefill || q.Excluded[m.runner.ID] || !m.usable(now) || f.cut(m.runner.DataCentre, now) {
			continue
		}
		if o := f.evaluateMove(now, m, q, source); o.better(&best) {
			best = o
		}
	}
	if best.member == nil {
		return nil, false
	}
	w := f.begin(best.member, now, q, 0)
	// The engine keeps what it fetched like parts that it read.
	best.member.cache.add(w.parts)
	return w, true
}

func (f *Fleet) evaluateMove(now time.Time, m *member, q Query, source port.Runner) option {
	l := f.loadOf(m, now)
	moved := q.Prompt.InputTokens - m.cache.cached(q.Prompt)
	move, penalty := moveTime(m.limits, moved, m.runner.DataCentre != source.DataCentre)
	// A request with a KV cache goes before waiting prompts, but not before the one that
	// is being read.
	o := option{member: m, first: move + l.CurrentPrefill + firstEvent}
	o.cost = penalty + m.ownPausePenalty(l.backlog(), q) + time.Duration(l.Running)*streamPenalty
	if m.full(&l, q.Prompt.InputTokens+q.Prompt.OutputTokens) {
		o.cost += fullPenalty
	}
	f.addDistance(&o, q)
	o.cost += o.first + m.affinityPenalty()
	return o
}

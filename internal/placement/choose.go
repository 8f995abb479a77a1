package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Query describes a request that needs a runner.
type Query struct {
	Service string
	// Prompt is nil for plain services.
	Prompt *port.Prompt
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Urgency is the class of the request; see UrgencyCount.
	Urgency int
	// RemainingTarget is the time left until the objective for the first event,
	// ClientTimeout the time until the client disconnects if it receives no event. 0 means
	// no limit, except for Classify.
	RemainingTarget time.Duration
	ClientTimeout   time.Duration
	// Objective is the whole time allowed for the first event.
	Objective time.Duration
	// AllowedGap is the longest gap between events that is on time; 0 means no limit.
	AllowedGap time.Duration
	// Excluded holds the ids of runners that already failed the request.
	Excluded map[string]bool
	// NoPrefill excludes prefill engines: the decode engine prefills the prompt itself.
	NoPrefill bool
	// Version is the software version that began the stream, at which alone it may continue; empty if any
	// runner may take the request.
	Version string
}

// excludes reports whether a runner must not take the request, whatever its state. A stream that has begun continues only at a
// process that is certainly of its version. A prefill engine writes no events, so that its version does not matter.
func (q *Query) excludes(m *member) bool {
	foreign := q.Version != "" && m.runner.Role != port.RolePrefill && (m.runner.Version != q.Version || m.inDoubt())
	return foreign || q.Excluded[m.runner.ID]
}

// Plan is the placement of a request. Its in-flight requests are counted until End is
// called on them.
type Plan struct {
	// Prefill is nil if the decode engine prefills the prompt itself, or if the request has
	// no prompt.
	Prefill *InFlightRequest
	// Run is nil if Prefill is set: the decode engine is chosen once the prompt is
	// prefilled.
	Run *InFlightRequest
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Wait is the part of FirstEvent that the request spends in the queue.
	Wait time.Duration
}

// option is one possible placement of a request with its predicted times and its cost.
type option struct {
	member *member
	// uncached is the number of prompt tokens to prefill, prefill the predicted time for it without
	// queueing.
	uncached int
	prefill  time.Duration
	// source is the engine from which cached parts are fetched before the prefill, or nil.
	source     *member
	firstEvent time.Duration
	wait       time.Duration
	// interrupts is set if the prefill would interrupt streams at a decode engine.
	interrupts bool
	// cost is firstEvent plus penalties; the option with the lowest cost is chosen.
	cost time.Duration
}

func (o *option) better(than *option) bool {
	return than.member == nil || o.cost < than.cost
}

// Place chooses the runner for a request and registers the request there. It returns false
// if no runner of the service is usable, not even as a fallback; see best.
func (f *Fleet) Place(now time.Time, q Query) (Plan, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.countDeferred(now, q)
	c := candidates{collect: f.cellPeers > 0, all: f.options[:0]}
	best := f.bestOf(now, q, &c)
	if best.member == nil {
		return Plan{}, false
	}
	if c.collect {
		f.options = c.all
		best = f.spread(now, q.Service, best, c.all)
		f.arrivalsOf(q.Service).add(now, best.work())
	}
	r := f.begin(best.member, now, q, best.uncached)
	if best.source != nil {
		r.fetchFrom = best.source.runner.Address
	}
	plan := Plan{FirstEvent: best.firstEvent, Wait: best.wait}
	if q.Prompt != nil && best.member.runner.Role == port.RolePrefill {
		plan.Prefill = r
	} else {
		plan.Run = r
	}
	return plan, true
}

// Predict returns the shortest predicted time to the first event and the queueing part of
// it, without registering the request. It returns false where Place does.
func (f *Fleet) Predict(now time.Time, q Query) (firstEvent, wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.best(now, q)
	return best.firstEvent, best.wait, best.member != nil
}

// PredictAlternative is like Predict for a request that waits at another runner: it also returns false
// if the chosen runner is silent itself.
func (f *Fleet) PredictAlternative(now time.Time, q Query) (firstEvent time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := f.best(now, q)
	return best.firstEvent, best.member != nil && !best.member.silent(now)
}

// best returns the usable runner with the lowest cost; see candidates for the exception. If no
// runner is usable, best falls back to the suspect or unreachable runner whose suspect time ends
// first, unless that is a prefill engine. The member of the result is nil if there is no such runner
// either. The caller holds f.mu.
func (f *Fleet) best(now time.Time, q Query) option { return f.bestOf(now, q, &candidates{}) }

// bestOf implements best and adds the options to c.
func (f *Fleet) bestOf(now time.Time, q Query, c *candidates) option {
	var fallback *member
	h := f.holders(now, q)
	// A prefill is in vain if no decode engine may take the request after it.
	q.NoPrefill = q.NoPrefill || f.decodeDeferred(now, q) || f.decodeMissing(now, q)
	for _, m := range f.services[q.Service] {
		if q.excludes(m) || q.NoPrefill && m.runner.Role == port.RolePrefill {
			continue
		}
		if !f.usable(now, m) {
			if f.accepts(now, m) && (fallback == nil || m.suspectUntil.Before(fallback.suspectUntil)) {
				fallback = m
			}
			continue
		}
		c.add(f.evaluate(now, m, q, h), q)
	}
	best := c.best(q)
	if best.member == nil && fallback != nil && (q.Prompt == nil || fallback.runner.Role != port.RolePrefill) {
		return f.evaluate(now, fallback, q, h)
	}
	return best
}

// evaluate predicts the times and the cost of a request at a member.
func (f *Fleet) evaluate(now time.Time, m *member, q Query, h holders) option {
	if q.Prompt == nil {
		return f.evaluateService(now, m, q)
	}
	l := f.estimatedLoad(m, now)
	cached := m.cache.cached(q.Prompt)
	o := option{member: m, wait: l.wait(q.Urgency)}
	if source, more := h.fetchSource(m, cached); more > 0 {
		transfer, penalty := transferTime(m.limits, more, source.runner.DataCentre != m.runner.DataCentre)
		o.source = source
		o.firstEvent += transfer
		o.cost += penalty
		cached += more
	}
	o.uncached = q.Prompt.InputTokens - cached
	o.prefill = m.prefillTime(o.uncached, q.Prompt.InputTokens)
	o.firstEvent += o.wait + o.prefill + firstEventDelay
	o.cost += time.Duration(queueDelayFactor * float64(o.prefill))
	if m.runner.Role == port.RolePrefill {
		transfer, penalty := transferTime(m.limits, q.Prompt.InputTokens, false)
		o.firstEvent += prefillRoundTrip + transfer
		o.cost += penalty
	} else {
		o.cost += time.Duration(l.Running)*streamPenalty + m.gapPenalty(&l, o.prefill, q)
	}
	if m.full(&l, q.Prompt.InputTokens+q.Prompt.OutputTokens) || f.awaited(m, &q) {
		o.cost += fullPenalty
	}
	if m.silent(now) {
		o.cost += runFailurePenalty
	}
	f.addDistance(&o, q)
	o.cost += o.firstEvent + deadlinePenalty(o.firstEvent, q) + m.affinityPenalty() + m.failurePenalty(now)
	return o
}

// gapPenalty is the cost of the gaps that a prefill between the tokens of other requests
// causes: for the streams that run on the engine, and for the request itself if prompts of
// lower urgency are queued behind its own.
func (m *member) gapPenalty(l *Load, prefill time.Duration, q Query) time.Duration {
	lateStreams := float64(l.OnTimeStreams) * lateProbability(m.models.gaps.predict(l.backlog()+prefill), l.AllowedGap)
	return time.Duration(lateStreams*float64(latePenalty)) + m.requestGapPenalty(l.wait(UrgencyCount-1)-l.wait(q.Urgency), q)
}

// requestGapPenalty is the cost of the gaps in the request's own stream while the engine has
// the given prefill time outstanding. It is 0 for late requests.
func (m *member) requestGapPenalty(prefill time.Duration, q Query) time.Duration {
	if q.Urgency == UrgencyLate {
		return 0
	}
	return time.Duration(lateProbability(m.models.gaps.predict(prefill), q.AllowedGap) * float64(latePenalty))
}

// deadlinePenalty is the cost of a placement that misses the objective or the client timeout.
func deadlinePenalty(firstEvent time.Duration, q Query) time.Duration {
	switch {
	case q.ClientTimeout > 0 && firstEvent > q.ClientTimeout:
		return abandonedPenalty
	case q.Urgency != UrgencyLate && q.RemainingTarget > 0 && firstEvent > q.RemainingTarget:
		return latePenalty
	}
	return 0
}

// affinityPenalty distributes daemons with the same load reports over engines of nearly
// equal cost.
func (m *member) affinityPenalty() time.Duration {
	return time.Duration(m.affinity * float64(maxAffinityPenalty))
}

// addDistance adds the time and the cost of a runner in another cell or data centre.
func (f *Fleet) addDistance(o *option, q Query) {
	if o.member.inOtherCell && q.Prompt != nil {
		o.cost += otherCellPenalty
	}
	if o.member.runner.DataCentre != f.dataCentre {
		o.firstEvent += remoteRoundTrip
		o.cost += time.Duration(q.BodyBytes) * remoteBodyPenalty / 1000
	}
}

// assumedServiceTime is the duration assumed for a call to a plain service. Only its ratio
// to a round trip matters.
const assumedServiceTime = 40 * time.Millisecond

// evaluateService predicts the time and the cost of a call to a plain service. The cost
// grows with the share of occupied slots.
func (f *Fleet) evaluateService(now time.Time, m *member, q Query) option {
	l := m.load(now)
	waiting := max(0, l.Running+1-m.runner.Slots)
	busy := time.Duration(float64(l.Running) / float64(m.runner.Slots) * float64(assumedServiceTime) / 2)
	wait := time.Duration(waiting) * assumedServiceTime / time.Duration(m.runner.Slots)
	o := option{member: m, wait: wait, firstEvent: wait + assumedServiceTime}
	f.addDistance(&o, q)
	o.cost += o.firstEvent + busy + m.failurePenalty(now)
	if waiting > m.runner.Slots {
		o.cost += fullPenalty
	}
	return o
}

// PlaceDecode chooses the decode engine that continues from the KV cache of a prefill engine
// and registers the request there. It returns false if no decode engine is usable.
func (f *Fleet) PlaceDecode(now time.Time, q Query, source port.Runner) (*InFlightRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best option
	options := f.options[:0]
	for _, m := range f.services[q.Service] {
		if m.runner.Role == port.RolePrefill || q.excludes(m) || !f.usable(now, m) {
			continue
		}
		o := f.evaluateDecode(now, m, q, source)
		if o.better(&best) {
			best = o
		}
		if f.cellPeers > 0 {
			options = append(options, o)
		}
	}
	if best.member == nil {
		return nil, false
	}
	if f.cellPeers > 0 {
		f.options = options
		key := q.Service + decodeArrivals
		best = f.spread(now, key, best, options)
		f.arrivalsOf(key).add(now, streamPenalty)
	}
	r := f.begin(best.member, now, q, 0)
	// The engine caches parts that it fetched like parts that it prefilled.
	best.member.cache.add(r.parts)
	return r, true
}

// evaluateDecode predicts the time and the cost of continuing at a member from the KV cache
// of source.
func (f *Fleet) evaluateDecode(now time.Time, m *member, q Query, source port.Runner) option {
	l := f.estimatedLoad(m, now)
	transferred := q.Prompt.InputTokens - m.cache.cached(q.Prompt)
	transfer, penalty := transferTime(m.limits, transferred, m.runner.DataCentre != source.DataCentre)
	// A request whose KV cache is transferred runs before queued prompts, but only after the
	// prefill in progress.
	o := option{member: m, firstEvent: transfer + l.CurrentPrefill + firstEventDelay}
	o.cost = penalty + m.requestGapPenalty(l.backlog(), q) + time.Duration(l.Running)*streamPenalty
	if m.full(&l, q.Prompt.InputTokens+q.Prompt.OutputTokens) || f.awaited(m, &q) {
		o.cost += fullPenalty
	}
	if m.silent(now) {
		o.cost += runFailurePenalty
	}
	f.addDistance(&o, q)
	o.cost += o.firstEvent + m.affinityPenalty() + m.failurePenalty(now)
	return o
}

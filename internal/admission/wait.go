package admission

import "time"

// predictWait returns the time until a request of the ticket's rank and
// organisation would start.
func (q *Queue) predictWait(t *Ticket) time.Duration {
	ahead := q.ahead(t)
	// Room is free for this request, but only if the ones ahead fit as well.
	room := q.limit() - q.Running()
	r := &q.ranks[t.rank]
	room = max(room, q.part(t.rank)-r.running)
	missing := ahead + t.cost - room
	if missing <= 0 && q.readable(t) || (q.Running() == 0 || r.running == 0 && q.opts.MinShares[t.rank] > 0) && ahead == 0 {
		return 0
	}
	if missing <= 0 && q.Waiting() == 0 {
		return q.readingWait(t)
	}
	if wait, ok := q.guaranteedWait(t); ok {
		return wait
	}
	if missing <= 0 || !q.readable(t) {
		missing = ahead + t.cost
	}
	rate := q.rankRate(t.rank)
	if rate <= 0 {
		return unknownWait
	}
	seconds := min(missing/rate, 24*time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// guaranteedWait returns the time until a request starts within its rank's minimum
// share when only prompts of its own rank are in front of it: work of other ranks
// does not delay it. It returns false when other work of the rank waits or fills the
// rank's part of the limit.
func (q *Queue) guaranteedWait(t *Ticket) (time.Duration, bool) {
	r := &q.ranks[t.rank]
	speed := q.capacity.PrefillRates[t.rank] * q.capacity.Share
	if speed <= 0 || q.opts.MinShares[t.rank] <= 0 || r.count > 0 || r.running+t.cost > q.part(t.rank) {
		return 0, false
	}
	allowed := speed * q.readingPart(t.rank) * MaxEngineWait(t.Profile).Seconds()
	excess := r.reading + float64(t.PromptTokens) - allowed
	// A prompt that is longer than the limit starts when it is the only one.
	seconds := max(0, min(excess, r.reading)) / speed
	return time.Duration(seconds * float64(time.Second)), true
}

// readingWait returns the time until the engines have read enough for the next
// request, when nothing else waits.
func (q *Queue) readingWait(t *Ticket) time.Duration {
	ahead := 0.0
	for priority := range t.rank + 1 {
		ahead += q.unread[priority]
	}
	speed := q.capacity.PrefillRates[t.rank] * q.capacity.Share
	seconds := (ahead+float64(t.PromptTokens))/speed - MaxEngineWait(t.Profile).Seconds()
	// A prompt that is longer than the limit starts when it is the only one.
	seconds = max(0, min(seconds, ahead/speed))
	return time.Duration(seconds * float64(time.Second))
}

// readable tells whether the prompt of a new request fits now.
func (q *Queue) readable(t *Ticket) bool {
	r := &q.ranks[t.rank]
	share := q.opts.MinShares[t.rank]
	return r.waiting == 0 && (q.fitsTotal(t) || share > 0 && q.fitsReading(r.reading, t, q.readingPart(t.rank)))
}

// ahead returns the work, in tokens, that starts before a new request: the more
// urgent ranks, and in its own rank what its organisation's weight lets pass.
func (q *Queue) ahead(t *Ticket) float64 {
	total := 0.0
	for i := range t.rank {
		total += q.ranks[i].waiting
	}
	return total + min(q.ranks[t.rank].waiting, q.fairAhead(t))
}

// fairAhead estimates the work that deficit round robin starts before a request
// at the end of its organisation's flow.
func (q *Queue) fairAhead(t *Ticket) float64 {
	r := &q.ranks[t.rank]
	p := r.profiles.find(t.Profile.Name)
	profiles := float64(len(r.profiles.flows))
	if p == nil {
		return (profiles) * t.cost
	}
	weights, own := t.Weight, 0.0
	for _, f := range p.inner.flows {
		if f.name == t.Organisation {
			own = f.waiting()
			continue
		}
		weights += f.weight
	}
	passed := (own+t.cost)*weights/t.Weight - t.cost
	return passed * profiles
}

func (f *flow) waiting() float64 {
	total := 0.0
	for _, t := range f.tickets {
		total += t.cost
	}
	return total
}

// rankRate returns the throughput, in tokens per second, that a rank can expect:
// what more urgent ranks leave, less the guarantees of the others, and never less
// than its own guarantee.
func (q *Queue) rankRate(rank int) float64 {
	left := q.rate
	for i := range q.ranks {
		r := &q.ranks[i]
		switch {
		case i < rank:
			left -= r.rate
		case i > rank:
			left -= min(r.rate, q.opts.MinShares[i]*q.rate)
		}
	}
	return max(left, q.opts.MinShares[rank]*q.rate)
}

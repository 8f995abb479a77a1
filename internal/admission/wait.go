package admission

import "time"

// predictWait returns the predicted time until a new ticket would start.
func (q *Queue) predictWait(t *Ticket) time.Duration {
	costAhead := q.costAhead(t)
	// The request can use the free capacity only if the requests ahead of it fit as well.
	available := q.limit() - q.Running()
	r := &q.ranks[t.rank]
	available = max(available, q.guaranteedTokens(t.rank)-r.runningTokens)
	missing := costAhead + t.cost - available
	if missing <= 0 && q.prefillFits(t) || (q.Running() == 0 || r.runningTokens == 0 && q.opts.MinShares[t.rank] > 0) && costAhead == 0 {
		return 0
	}
	if missing <= 0 && q.Waiting() == 0 {
		return q.prefillWait(t)
	}
	if wait, ok := q.minShareWait(t); ok {
		return wait
	}
	if missing <= 0 || !q.prefillFits(t) {
		missing = costAhead + t.cost
	}
	rate := q.rankRate(t.rank)
	if rate <= 0 {
		return unknownThroughputWait
	}
	seconds := min(missing/rate, 24*time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// minShareWait returns the predicted time until a request starts within its rank's
// minimum share when only prompts of the same rank are ahead of it, because requests of
// other ranks do not delay it then. It returns false if the rank has no minimum share, if
// other requests of the rank wait or use up its guaranteed tokens, or if the prefill rate
// is not known.
func (q *Queue) minShareWait(t *Ticket) (time.Duration, bool) {
	r := &q.ranks[t.rank]
	prefillRate := q.capacity.PrefillRates[t.rank] * q.capacity.Share
	if prefillRate <= 0 || q.opts.MinShares[t.rank] <= 0 || r.waitingCount > 0 || r.runningTokens+t.cost > q.guaranteedTokens(t.rank) {
		return 0, false
	}
	allowed := prefillRate * q.guaranteedPrefillShare(t.rank) * MaxEngineWait(t.Profile).Seconds()
	excess := r.prefillTokens + float64(t.PromptTokens) - allowed
	// A prompt that is longer than allowed starts once no other prompt of the rank is
	// being prefilled.
	seconds := max(0, min(excess, r.prefillTokens)) / prefillRate
	return time.Duration(seconds * float64(time.Second)), true
}

// prefillWait returns the predicted time until the engines have prefilled enough to start
// the next request, when no other request waits.
func (q *Queue) prefillWait(t *Ticket) time.Duration {
	tokensAhead := 0.0
	for priority := range t.rank + 1 {
		tokensAhead += q.prefillByPriority[priority]
	}
	prefillRate := q.capacity.PrefillRates[t.rank] * q.capacity.Share
	seconds := (tokensAhead+float64(t.PromptTokens))/prefillRate - MaxEngineWait(t.Profile).Seconds()
	// A prompt that is longer than allowed starts once there are no tokens ahead of it.
	seconds = max(0, min(seconds, tokensAhead/prefillRate))
	return time.Duration(seconds * float64(time.Second))
}

// prefillFits reports whether the engines can prefill the prompt of a new request in time
// if it starts now.
func (q *Queue) prefillFits(t *Ticket) bool {
	r := &q.ranks[t.rank]
	share := q.opts.MinShares[t.rank]
	return r.waitingTokens == 0 && (q.fitsTotal(t) || share > 0 && q.fitsPrefill(r.prefillTokens, t, q.guaranteedPrefillShare(t.rank)))
}

// costAhead estimates the cost, in tokens, of the waiting requests that start before a new
// one: those of more urgent ranks, and in its own rank those that the weights of the
// organisations put first.
func (q *Queue) costAhead(t *Ticket) float64 {
	total := 0.0
	for i := range t.rank {
		total += q.ranks[i].waitingTokens
	}
	return total + min(q.ranks[t.rank].waitingTokens, q.costAheadInRank(t))
}

// costAheadInRank estimates the cost, in tokens, that deficit round robin starts before a
// request at the end of its organisation's flow.
func (q *Queue) costAheadInRank(t *Ticket) float64 {
	r := &q.ranks[t.rank]
	p := r.profiles.find(t.Profile.Name)
	profiles := float64(len(r.profiles.flows))
	if p == nil {
		return (profiles) * t.cost
	}
	weights, orgTokens := t.Weight, 0.0
	for _, f := range p.inner.flows {
		if f.name == t.Organisation {
			orgTokens = f.waitingTokens()
			continue
		}
		weights += f.weight
	}
	passed := (orgTokens+t.cost)*weights/t.Weight - t.cost
	return passed * profiles
}

// waitingTokens returns the total cost of the flow's tickets.
func (f *flow) waitingTokens() float64 {
	total := 0.0
	for _, t := range f.tickets {
		total += t.cost
	}
	return total
}

// rankRate returns the throughput, in tokens per second, that a rank can expect: what the
// more urgent ranks leave, less the guarantees of the less urgent ones, and never less
// than the rank's own guarantee.
func (q *Queue) rankRate(rank int) float64 {
	available := q.throughput
	for i := range q.ranks {
		r := &q.ranks[i]
		switch {
		case i < rank:
			available -= r.rate
		case i > rank:
			available -= min(r.rate, q.opts.MinShares[i]*q.throughput)
		}
	}
	return max(available, q.opts.MinShares[rank]*q.throughput)
}

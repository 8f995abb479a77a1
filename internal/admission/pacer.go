package admission

import "time"

const (
	// stalledWaitFraction is the fraction of the allowed wait inside an engine after which
	// a rank's prompts count as stalled behind more urgent ones.
	stalledWaitFraction = 0.5
	// paceBurst bounds the cost, as time at the measured throughput, that more urgent
	// ranks may start at once while a rank is stalled.
	paceBurst = 100 * time.Millisecond
)

// pacer throttles more urgent ranks while a rank within its minimum share has prompts
// that the engines do not prefill. Engines serve by priority, so that a flood of urgent
// requests would otherwise starve prompts that the queue has started under the rank's
// guarantee.
type pacer struct {
	lastUpdate time.Time
	// stalledRank is the least urgent stalled rank, or 0.
	stalledRank int
	// allowance is the cost, in tokens, that more urgent ranks may start now.
	allowance float64
}

// update finds the stalled ranks and adds to the allowance what the throughput since the
// last update leaves after the minimum shares of the stalled ranks. paceBurst bounds the
// allowance.
func (p *pacer) update(now time.Time, q *Queue) {
	elapsed := now.Sub(p.lastUpdate).Seconds()
	p.lastUpdate = now
	p.stalledRank = 0
	share := 1.0
	for r := 1; r < len(q.ranks); r++ {
		if q.stalled(now, r) {
			p.stalledRank = r
			share -= q.opts.MinShares[r]
		}
	}
	p.allowance = min(p.allowance+share*q.throughput*elapsed, paceBurst.Seconds()*q.throughput)
}

// stalled reports whether a rank that has received less than its minimum share has a
// prompt that has waited too long inside the engines.
func (q *Queue) stalled(now time.Time, rank int) bool {
	r := &q.ranks[rank]
	for len(r.prefillQueue) > 0 && !r.prefillQueue[0].prefilling {
		r.prefillQueue = r.prefillQueue[1:]
	}
	if len(r.prefillQueue) == 0 || !q.underserved(rank) {
		return false
	}
	oldest := r.prefillQueue[0]
	allowed := stalledWaitFraction * float64(MaxEngineWait(oldest.Profile))
	return float64(now.Sub(oldest.started)) > allowed
}

// paceAllows reports whether the pacer lets a rank start a request that its credit does
// not cover. A rank that has received less than its minimum share is never throttled.
func (q *Queue) paceAllows(rank int) bool {
	r := &q.ranks[rank]
	return rank >= q.pacer.stalledRank || q.pacer.allowance > 0 || r.runningTokens == 0 || q.underserved(rank)
}

// spend charges the allowance for the start of a request that is more urgent than the
// stalled rank.
func (p *pacer) spend(rank int, cost float64) {
	if rank < p.stalledRank {
		p.allowance -= cost
	}
}

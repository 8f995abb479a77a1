package admission

import "time"

const (
	// stalledWaitFraction is the part of the allowed wait inside an engine after which a
	// rank's prompts count as stalled behind more urgent ones.
	stalledWaitFraction = 0.5
	// paceBurst is the work, in time at the measured rate, that may start at once
	// while a rank is stalled.
	paceBurst = 100 * time.Millisecond
)

// pacer slows more urgent ranks down while a rank within its minimum share has
// prompts that engines do not read. Engines serve by priority, so that a flood of
// urgent work would otherwise keep what this queue has guaranteed waiting there.
type pacer struct {
	lastUpdate time.Time
	// stalledRank is the least urgent rank that is stalledRank, or 0.
	stalledRank int
	// allowance is the work, in tokens, that ranks may start beside the stalled ones.
	allowance float64
}

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

// stalled tells whether a rank that has had less than its minimum share waits
// inside the engines.
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

// paceAllows tells whether a rank may start work that its credit does not pay for. A
// rank that has had less than its own minimum share is never slowed down.
func (q *Queue) paceAllows(rank int) bool {
	r := &q.ranks[rank]
	return rank >= q.pacer.stalledRank || q.pacer.allowance > 0 || r.runningTokens == 0 || q.underserved(rank)
}

func (p *pacer) spend(rank int, cost float64) {
	if rank < p.stalledRank {
		p.allowance -= cost
	}
}

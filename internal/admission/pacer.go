package admission

import "time"

const (
	// stallShare is the part of the allowed wait inside an engine after which a
	// rank's prompts count as stalled behind more urgent ones.
	stallShare = 0.5
	// paceBurst is the work, in time at the measured rate, that may start at once
	// while a rank is stalled.
	paceBurst = 100 * time.Millisecond
)

// pacer slows more urgent ranks down while a rank within its minimum share has
// prompts that engines do not read. Engines serve by priority, so that a flood of
// urgent work would otherwise keep what this queue has guaranteed waiting there.
type pacer struct {
	updated time.Time
	// stalled is the least urgent rank that is stalled, or 0.
	stalled int
	// allowance is the work, in tokens, that ranks may start beside the stalled ones.
	allowance float64
}

func (p *pacer) update(now time.Time, q *Queue) {
	elapsed := now.Sub(p.updated).Seconds()
	p.updated = now
	p.stalled = 0
	share := 1.0
	for r := 1; r < len(q.ranks); r++ {
		if q.stalled(now, r) {
			p.stalled = r
			share -= q.opts.MinShares[r]
		}
	}
	p.allowance = min(p.allowance+share*q.rate*elapsed, paceBurst.Seconds()*q.rate)
}

// stalled tells whether a rank that has had less than its minimum share waits
// inside the engines.
func (q *Queue) stalled(now time.Time, rank int) bool {
	r := &q.ranks[rank]
	for len(r.unread) > 0 && !r.unread[0].reading {
		r.unread = r.unread[1:]
	}
	if len(r.unread) == 0 || !q.underserved(rank) {
		return false
	}
	oldest := r.unread[0]
	allowed := stallShare * float64(MaxEngineWait(oldest.Profile))
	return float64(now.Sub(oldest.started)) > allowed
}

// paced tells whether a rank may start work that its credit does not pay for. A
// rank that has had less than its own minimum share is never slowed down.
func (q *Queue) paced(rank int) bool {
	r := &q.ranks[rank]
	return rank >= q.pace.stalled || q.pace.allowance > 0 || r.running == 0 || q.underserved(rank)
}

func (p *pacer) spend(rank int, cost float64) {
	if rank < p.stalled {
		p.allowance -= cost
	}
}

package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// reportRounds spreads the reports of crashes to other data centres over time.
// Crashes that are added during a round are sent in the next one. The zero value is
// ready to use.
type reportRounds struct {
	// pending holds the crashes of the next round, current those of this one.
	pending []quarantine.Crash
	current []quarantine.Crash
	// remaining holds the peers that have not received the current crashes yet.
	remaining []port.VM
	// started is when the current round started.
	started time.Time
}

// add queues crashes for the next round, up to maxRoundDigests digests in total.
func (r *reportRounds) add(crashes []quarantine.Crash) {
	total := 0
	for _, c := range r.pending {
		total += len(c.Digests)
	}
	for _, c := range crashes {
		c.Digests = c.Digests[:min(len(c.Digests), maxRoundDigests-total)]
		total += len(c.Digests)
		if len(c.Digests) > 0 {
			r.merge(c)
		}
	}
}

// merge adds a crash to the pending one with the same loss. The report of a cleared
// loss is kept as a separate entry beside the earlier one, because a cleared loss
// is final.
func (r *reportRounds) merge(c quarantine.Crash) {
	for i := range r.pending {
		if existing := &r.pending[i]; existing.ReportedLoss == c.ReportedLoss {
			// The digest slice is shared with the report to the data centre; the
			// capacity limit forces a copy.
			existing.Digests = append(existing.Digests[:len(existing.Digests):len(existing.Digests)], c.Digests...)
			existing.RemainingMS = max(existing.RemainingMS, c.RemainingMS)
			return
		}
	}
	r.pending = append(r.pending, c)
}

// next returns the current crashes and the peers that receive them now. It starts a
// round with the given peers if crashes are pending, the previous round is complete
// and its start was at least roundInterval ago.
func (r *reportRounds) next(peers []port.VM, now time.Time) ([]quarantine.Crash, []port.VM) {
	if len(r.remaining) == 0 && len(r.pending) > 0 && now.Sub(r.started) >= roundInterval {
		r.current, r.pending = r.pending, nil
		r.remaining = peers
		r.started = now
	}
	n := min(len(r.remaining), roundPeersPerTick)
	recipients := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return r.current, recipients
}

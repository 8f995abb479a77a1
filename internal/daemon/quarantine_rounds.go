package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// reportRounds spreads the reports of crashes to other data centres over time. Changes that
// are made during a round are gathered for the next one. The zero value is ready.
type reportRounds struct {
	pending []quarantine.Crash
	current []quarantine.Crash
	// remaining are still to be told of the current crashes.
	remaining []port.VM
	started   time.Time
}

// add gathers crashes for the next round, up to roundDigests digests.
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

// merge adds a crash to the one with the same loss. The report of a cleared loss
// stands beside the earlier one, since a cleared loss is final.
func (r *reportRounds) merge(c quarantine.Crash) {
	for i := range r.pending {
		if known := &r.pending[i]; known.ReportedLoss == c.ReportedLoss {
			// The digests of a crash are shared with the report to the data centre.
			known.Digests = append(known.Digests[:len(known.Digests):len(known.Digests)], c.Digests...)
			known.RemainingMS = max(known.RemainingMS, c.RemainingMS)
			return
		}
	}
	r.pending = append(r.pending, c)
}

// next returns the current crashes and the peers to tell now. It begins a round with
// the given peers when there is something to tell and the last one is long ago.
func (r *reportRounds) next(peers []port.VM, now time.Time) ([]quarantine.Crash, []port.VM) {
	if len(r.remaining) == 0 && len(r.pending) > 0 && now.Sub(r.started) >= roundInterval {
		r.current, r.pending = r.pending, nil
		r.remaining = peers
		r.started = now
	}
	n := min(len(r.remaining), roundPeersPerTick)
	told := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return r.current, told
}

package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// rounds spreads the reports of crashes to other data centres over time. Changes that
// are made during a round are gathered for the next one. The zero value is ready.
type rounds struct {
	waiting []quarantine.Crash
	current []quarantine.Crash
	// peers are still to be told of the current crashes.
	peers   []port.VM
	started time.Time
}

// add gathers crashes for the next round, up to roundDigests digests.
func (r *rounds) add(crashes []quarantine.Crash) {
	total := 0
	for _, c := range r.waiting {
		total += len(c.Digests)
	}
	for _, c := range crashes {
		c.Digests = c.Digests[:min(len(c.Digests), roundDigests-total)]
		total += len(c.Digests)
		if len(c.Digests) > 0 {
			r.merge(c)
		}
	}
}

// merge adds a crash to the one with the same loss. The report of a cleared loss
// stands beside the earlier one, since a cleared loss is final.
func (r *rounds) merge(c quarantine.Crash) {
	for i := range r.waiting {
		if known := &r.waiting[i]; known.ReportedLoss == c.ReportedLoss {
			// The digests of a crash are shared with the report to the data centre.
			known.Digests = append(known.Digests[:len(known.Digests):len(known.Digests)], c.Digests...)
			known.RemainingMS = max(known.RemainingMS, c.RemainingMS)
			return
		}
	}
	r.waiting = append(r.waiting, c)
}

// next returns the current crashes and the peers to tell now. It begins a round with
// the given peers when there is something to tell and the last one is long ago.
func (r *rounds) next(peers []port.VM, now time.Time) ([]quarantine.Crash, []port.VM) {
	if len(r.peers) == 0 && len(r.waiting) > 0 && now.Sub(r.started) >= roundInterval {
		r.current, r.waiting = r.waiting, nil
		r.peers = peers
		r.started = now
	}
	n := min(len(r.peers), roundPeers)
	told := r.peers[:n]
	r.peers = r.peers[n:]
	return r.current, told
}

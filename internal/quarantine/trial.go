package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReserveTrial announces a trial of a suspect on an engine. It returns false while the
// digest has another run or trial anywhere, or the engine is reserved. The trial
// may start when no peer is busy with the digest; until then it only reserves the
// engine.
func (t *Table) ReserveTrial(d Digest, engine string, now time.Time) bool {
	if t.own[d] != nil || t.running(d, now) || t.peerHolds(d, now) || t.Reserved(engine, now) {
		return false
	}
	t.own[d] = &ownTrial{trial: Trial{Digest: d, Holder: t.opts.Self, Engine: engine}}
	return true
}

// StartTrial marks an intended trial as running.
func (t *Table) StartTrial(d Digest) { t.own[d].running = true }

// ReleaseTrial ends this daemon's trial of a digest.
func (t *Table) ReleaseTrial(d Digest) Trial {
	trial := t.own[d].trial
	delete(t.own, d)
	return trial
}

// Reserved tells whether an engine is kept for a trial.
func (t *Table) Reserved(engine string, now time.Time) bool {
	for _, own := range t.own {
		if own.trial.Engine == engine {
			return true
		}
	}
	for trial, until := range t.peers {
		if trial.Engine == engine && now.Before(until) {
			return true
		}
	}
	return false
}

// ReservedEngines returns the engines that are kept for trials.
func (t *Table) ReservedEngines(now time.Time) []string {
	var out []string
	for _, own := range t.own {
		out = append(out, own.trial.Engine)
	}
	for trial, until := range t.peers {
		if now.Before(until) {
			out = append(out, trial.Engine)
		}
	}
	return out
}

// LocalTrials returns the trials that this daemon holds or asks for.
func (t *Table) LocalTrials() []Trial {
	var out []Trial
	for _, own := range t.own {
		out = append(out, own.trial)
	}
	slices.SortFunc(out, func(a, b Trial) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// running tells whether this daemon has a run of a digest that may still crash an
// engine.
func (t *Table) running(d Digest, now time.Time) bool {
	if len(t.Active(d)) > 0 {
		return true
	}
	for _, runs := range t.abandoned {
		for _, r := range runs {
			if r.Digest == d && now.Sub(r.ended) < unresolvedWait {
				return true
			}
		}
	}
	return false
}

func (t *Table) peerHolds(d Digest, now time.Time) bool {
	for trial, until := range t.peers {
		if trial.Digest == d && now.Before(until) {
			return true
		}
	}
	return false
}

// heldByOther tells whether a third daemon holds a trial of the same digest.
func (t *Table) heldByOther(trial Trial, now time.Time) bool {
	for other, until := range t.peers {
		if other.Digest == trial.Digest && other.Holder != trial.Holder && now.Before(until) {
			return true
		}
	}
	return false
}

// admit records a peer's trial, or returns false when it has to wait. Of two
// daemons that ask at the same time, the one with the lower incarnation goes first.
// A daemon also speaks for other peers' trials that it knows, because the asking
// daemon may not reach their holders.
func (t *Table) admit(trial Trial, now time.Time) bool {
	if t.heldByOther(trial, now) {
		return false
	}
	t.peers[trial] = now.Add(trialLease)
	if t.running(trial.Digest, now) || t.RecentlyAbandoned(trial.Engine, now) {
		return false
	}
	for _, own := range t.own {
		conflicts := own.trial.Digest == trial.Digest || own.trial.Engine == trial.Engine
		if conflicts && (own.running || trial.Holder > t.opts.Self) {
			return false
		}
	}
	return true
}

// Merge applies a peer's report. It returns the answer and the digests that the
// report made suspect or quarantined here.
func (t *Table) Merge(r Report, now time.Time) (ReportResult, []Digest) {
	for _, trial := range r.Released {
		delete(t.peers, trial)
	}
	worse := t.MergeEntries(r.Entries, now)
	worse = append(worse, t.MergeEntries(entriesOf(r.Crashes), now)...)
	var result ReportResult
	for _, trial := range r.Trials {
		if !t.admit(trial, now) {
			result.Busy = append(result.Busy, trial.Digest)
		}
	}
	result.Entries = t.answer(r, now)
	return result, worse
}

// answer returns the entries that the sender of a report may lack.
func (t *Table) answer(r Report, now time.Time) []ReportEntry {
	if r.Checksum != 0 && r.Checksum == t.Checksum(now) {
		return nil
	}
	if r.Checksum != 0 || len(r.Entries) > 0 || len(r.Trials)+len(r.Crashes)+len(r.Released) == 0 {
		return t.Entries(now)
	}
	var out []ReportEntry
	for _, trial := range r.Trials {
		out = append(out, t.Entry(trial.Digest, now)...)
	}
	for _, told := range entriesOf(r.Crashes) {
		for _, known := range t.Entry(told.Digest, now) {
			if len(known.Losses) > len(told.Losses) && len(out) < maxReportEntries {
				out = append(out, known)
			}
		}
	}
	return out
}

// entriesOf returns what crashes say of each digest.
func entriesOf(crashes []Crash) []ReportEntry {
	var out []ReportEntry
	index := map[Digest]int{}
	for _, c := range crashes {
		for _, d := range c.Digests {
			i, ok := index[d]
			if !ok {
				i = len(out)
				index[d] = i
				out = append(out, ReportEntry{Digest: d, RemainingMS: c.RemainingMS})
			}
			out[i].Losses = append(out[i].Losses, c.ReportedLoss)
		}
	}
	return out
}

// MergeEntries applies a peer's entries and returns the digests that they made
// suspect or quarantined here. Entries may arrive late, repeated and in any order.
func (t *Table) MergeEntries(entries []ReportEntry, now time.Time) []Digest {
	var worse []Digest
	for _, in := range entries {
		if in.RemainingMS <= 0 {
			continue
		}
		before := t.Decision(in.Digest, now).Status
		t.mergeEntry(in, now)
		if t.Decision(in.Digest, now).Status > before {
			worse = append(worse, in.Digest)
		}
	}
	return worse
}

func (t *Table) mergeEntry(in ReportEntry, now time.Time) {
	e := t.entries[in.Digest]
	remaining := min(time.Duration(in.RemainingMS)*time.Millisecond, t.opts.Hold)
	if e == nil {
		e = t.entry(in.Digest, now)
		e.expires = now.Add(remaining)
	}
	for _, l := range in.Losses {
		known, ok := e.losses[l.Loss]
		if !ok {
			e.add(l.Loss, &lossState{cleared: l.Cleared, at: now})
			e.expires = later(e.expires, now.Add(remaining))
			continue
		}
		known.cleared = known.cleared || l.Cleared
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Entry returns the entry of one digest, to be sent along with a trial.
func (t *Table) Entry(d Digest, now time.Time) []ReportEntry {
	e, ok := t.entries[d]
	if !ok || !now.Before(e.expires) {
		return nil
	}
	return []ReportEntry{e.report(d, now)}
}

// Entries returns the newest entries, for peers that may have missed them.
func (t *Table) Entries(now time.Time) []ReportEntry {
	var out []ReportEntry
	for d, e := range t.entries {
		if now.Before(e.expires) {
			out = append(out, e.report(d, now))
		}
	}
	slices.SortFunc(out, func(a, b ReportEntry) int {
		return cmp.Or(cmp.Compare(b.RemainingMS, a.RemainingMS), cmp.Compare(a.Digest, b.Digest))
	})
	return out[:min(len(out), maxReportEntries)]
}

// Checksum returns a checksum of what the table knows of digests, 0 when it is empty.
func (t *Table) Checksum(now time.Time) uint64 {
	var sum uint64
	for d, e := range t.entries {
		if !now.Before(e.expires) {
			continue
		}
		for loss, state := range e.losses {
			key := fmt.Sprintf("%s\x00%s\x00%s\x00%t", d, loss.Engine, loss.Incarnation, state.cleared)
			sum ^= xxhash.Sum64String(key)
		}
	}
	return sum
}

// TakeChanges returns the changes that this daemon made since the last call, as one
// crash for each loss. When there are too many digests it leaves some for the next
// call.
func (t *Table) TakeChanges(now time.Time) []Crash {
	var changed []Digest
	for d, e := range t.entries {
		if e.changed && now.Before(e.expires) && len(changed) < maxReportDigests {
			changed = append(changed, d)
			e.changed = false
		}
	}
	slices.Sort(changed)
	byLoss := map[ReportedLoss]*Crash{}
	var out []*Crash
	for _, d := range changed {
		entry := t.entries[d].report(d, now)
		for _, loss := range entry.Losses {
			c, ok := byLoss[loss]
			if !ok {
				c = &Crash{ReportedLoss: loss}
				byLoss[loss] = c
				out = append(out, c)
			}
			c.Digests = append(c.Digests, d)
			c.RemainingMS = max(c.RemainingMS, entry.RemainingMS)
		}
	}
	crashes := make([]Crash, len(out))
	for i, c := range out {
		crashes[i] = *c
	}
	return crashes
}

func (e *entry) report(d Digest, now time.Time) ReportEntry {
	out := ReportEntry{Digest: d, RemainingMS: e.expires.Sub(now).Milliseconds()}
	for loss, state := range e.losses {
		out.Losses = append(out.Losses, ReportedLoss{Loss: loss, Cleared: state.cleared})
	}
	slices.SortFunc(out.Losses, func(a, b ReportedLoss) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

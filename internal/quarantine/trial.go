package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ReserveTrial records the intent to run a trial of a suspect on an engine. It returns
// false while the digest has an unresolved run of this daemon or another known trial, or
// while the engine is reserved. The trial may start when no peer reports the digest as
// busy; until then it only reserves the engine.
func (t *Table) ReserveTrial(d Digest, engine string, now time.Time) bool {
	if t.localTrials[d] != nil || t.hasUnresolvedRun(d, now) || t.peerHoldsTrial(d, now) || t.Reserved(engine, now) {
		return false
	}
	t.localTrials[d] = &localTrial{trial: Trial{Digest: d, Holder: t.opts.Self, Engine: engine}}
	return true
}

// StartTrial marks a reserved trial as running.
func (t *Table) StartTrial(d Digest) { t.localTrials[d].running = true }

// ReleaseTrial ends this daemon's trial of a digest and returns it.
func (t *Table) ReleaseTrial(d Digest) Trial {
	trial := t.localTrials[d].trial
	delete(t.localTrials, d)
	return trial
}

// Reserved reports whether an engine is reserved for a trial of any daemon.
func (t *Table) Reserved(engine string, now time.Time) bool {
	for _, local := range t.localTrials {
		if local.trial.Engine == engine {
			return true
		}
	}
	for trial, until := range t.peerTrials {
		if trial.Engine == engine && now.Before(until) {
			return true
		}
	}
	return false
}

// ReservedEngines returns the engines that are reserved for trials of any daemon.
func (t *Table) ReservedEngines(now time.Time) []string {
	var out []string
	for _, local := range t.localTrials {
		out = append(out, local.trial.Engine)
	}
	for trial, until := range t.peerTrials {
		if now.Before(until) {
			out = append(out, trial.Engine)
		}
	}
	return out
}

// LocalTrials returns the trials that this daemon holds or requests, sorted by digest.
func (t *Table) LocalTrials() []Trial {
	var out []Trial
	for _, local := range t.localTrials {
		out = append(out, local.trial)
	}
	slices.SortFunc(out, func(a, b Trial) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// hasUnresolvedRun reports whether this daemon has a run of a digest that may still crash
// an engine.
func (t *Table) hasUnresolvedRun(d Digest, now time.Time) bool {
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

// peerHoldsTrial reports whether a peer holds a trial of a digest.
func (t *Table) peerHoldsTrial(d Digest, now time.Time) bool {
	for trial, until := range t.peerTrials {
		if trial.Digest == d && now.Before(until) {
			return true
		}
	}
	return false
}

// heldByOtherPeer reports whether a peer other than trial.Holder holds a trial of the same
// digest.
func (t *Table) heldByOtherPeer(trial Trial, now time.Time) bool {
	for other, until := range t.peerTrials {
		if other.Digest == trial.Digest && other.Holder != trial.Holder && now.Before(until) {
			return true
		}
	}
	return false
}

// admitPeerTrial records a peer's trial and reports whether it may start now. Of two
// daemons that request a trial at the same time, the one with the lower incarnation goes
// first. Known trials of other peers also block a trial, because the requesting daemon may
// not reach their holders.
func (t *Table) admitPeerTrial(trial Trial, now time.Time) bool {
	if t.heldByOtherPeer(trial, now) {
		return false
	}
	t.peerTrials[trial] = now.Add(trialLease)
	if t.hasUnresolvedRun(trial.Digest, now) || t.RecentlyAbandoned(trial.Engine, now) {
		return false
	}
	for _, local := range t.localTrials {
		conflicts := local.trial.Digest == trial.Digest || local.trial.Engine == trial.Engine
		if conflicts && (local.running || trial.Holder > t.opts.Self) {
			return false
		}
	}
	return true
}

// Merge applies a peer's report. It returns the response and the digests that the report
// made suspect or quarantined in this table.
func (t *Table) Merge(r Report, now time.Time) (ReportResult, []Digest) {
	for _, trial := range r.Released {
		delete(t.peerTrials, trial)
	}
	escalated := t.MergeEntries(r.Entries, now)
	escalated = append(escalated, t.MergeEntries(entriesByDigest(r.Crashes), now)...)
	var result ReportResult
	for _, trial := range r.Trials {
		if !t.admitPeerTrial(trial, now) {
			result.Busy = append(result.Busy, trial.Digest)
		}
	}
	result.Entries = t.missingEntries(r, now)
	return result, escalated
}

// missingEntries returns the entries that the sender of a report may not have.
func (t *Table) missingEntries(r Report, now time.Time) []ReportEntry {
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
	for _, reported := range entriesByDigest(r.Crashes) {
		for _, known := range t.Entry(reported.Digest, now) {
			if len(known.Losses) > len(reported.Losses) && len(out) < maxReportEntries {
				out = append(out, known)
			}
		}
	}
	return out
}

// entriesByDigest groups the losses of crashes into one entry per digest.
func entriesByDigest(crashes []Crash) []ReportEntry {
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

// MergeEntries applies a peer's entries and returns the digests that they made suspect or
// quarantined in this table. Entries may arrive late, repeatedly and in any order.
func (t *Table) MergeEntries(entries []ReportEntry, now time.Time) []Digest {
	var escalated []Digest
	for _, in := range entries {
		if in.RemainingMS <= 0 {
			continue
		}
		before := t.Decision(in.Digest, now).Status
		t.mergeEntry(in, now)
		if t.Decision(in.Digest, now).Status > before {
			escalated = append(escalated, in.Digest)
		}
	}
	return escalated
}

// mergeEntry adds the losses of a peer's entry and clears those that the peer has cleared.
func (t *Table) mergeEntry(in ReportEntry, now time.Time) {
	e := t.entries[in.Digest]
	remaining := min(time.Duration(in.RemainingMS)*time.Millisecond, t.opts.Hold)
	if e == nil {
		e = t.ensureEntry(in.Digest, now)
		e.expires = now.Add(remaining)
	}
	for _, l := range in.Losses {
		known, ok := e.losses[l.Loss]
		if !ok {
			e.add(l.Loss, &lossState{cleared: l.Cleared, recordedAt: now})
			e.expires = later(e.expires, now.Add(remaining))
			continue
		}
		known.cleared = known.cleared || l.Cleared
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Entry returns the entry of one digest, to be sent with a trial, or nil if there is none.
func (t *Table) Entry(d Digest, now time.Time) []ReportEntry {
	e, ok := t.entries[d]
	if !ok || !now.Before(e.expires) {
		return nil
	}
	return []ReportEntry{e.report(d, now)}
}

// Entries returns the entries that expire last, at most maxReportEntries, for peers that
// may not have received them.
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

// Checksum returns a checksum of the losses of all digests; it is 0 for an empty table.
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

// TakeChanges returns the changes that this daemon made since the last call, grouped into
// one Crash per loss. Digests beyond maxReportDigests are left for the next call.
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

// report returns the entry in the form in which it is sent to peers.
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

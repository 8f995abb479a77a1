// Package quarantine tracks requests that may crash engines. A digest that was in
// flight at an engine's crash is a suspect until it completes; the second crash
// quarantines it.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxLosses is the number of engine losses at which a digest is quarantined.
	maxLosses = 2
	// maxTombstones bounds the losses kept for a digest; beyond it, the oldest cleared loss
	// is removed. Cleared losses are kept only so that a late report does not count them
	// again.
	maxTombstones = 16
	// trialLease is how long a peer's trial is in force without being renewed.
	trialLease = 3 * time.Second
	// survivalDelay is how long after the end of a run an engine must still be alive for
	// the run to count as survived. An engine that has confirmed a cancellation may still
	// crash because of computation in progress.
	survivalDelay = time.Second
	// unresolvedWait is how long a run on an unreachable engine blocks a trial of its
	// digest. A longer wait would exceed the callers' deadlines.
	unresolvedWait = 10 * time.Second
)

// Options configures a Table.
type Options struct {
	// Self is the incarnation of this daemon.
	Self string
	// MaxEntries bounds the number of stored digests.
	MaxEntries int
	// Hold is how long a suspect or quarantined digest is stored after its last loss.
	Hold time.Duration
}

// Table holds the known suspects, the runs of this daemon and the trials of all daemons.
// It is not safe for concurrent use.
type Table struct {
	opts    Options
	entries map[Digest]*entry
	active  map[*Run]struct{}
	// abandoned holds, by engine, the runs whose outcome Observe has yet to resolve.
	abandoned map[string][]*Run
	// localTrials maps digests to this daemon's trials.
	localTrials map[Digest]*localTrial
	// peerTrials maps the trials of peers to the ends of their leases.
	peerTrials map[Trial]time.Time
	// evicted is the result of Evicted.
	evicted int64
}

// entry is the state of one digest.
type entry struct {
	losses  map[Loss]*lossState
	expires time.Time
	// changed is set while a change made by this daemon has not been reported.
	changed bool
}

// lossState says whether a loss is cleared and when it was recorded.
type lossState struct {
	cleared    bool
	recordedAt time.Time
}

// localTrial is a trial of this daemon. running is false while the trial only reserves
// its engine.
type localTrial struct {
	trial   Trial
	running bool
}

// Run is one attempt of this daemon to run a digest on an engine.
type Run struct {
	Digest      Digest
	Engine      string
	Incarnation string
	// ended is when the attempt ended without a complete response, or zero.
	ended time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:        opts,
		entries:     map[Digest]*entry{},
		active:      map[*Run]struct{}{},
		abandoned:   map[string][]*Run{},
		localTrials: map[Digest]*localTrial{},
		peerTrials:  map[Trial]time.Time{},
	}
}

// Len returns the number of stored digests.
func (t *Table) Len() int { return len(t.entries) }

// Evicted returns the number of digests removed before their expiry because the table was
// full.
func (t *Table) Evicted() int64 { return t.evicted }

// Decision returns the decision on requests with a digest. It removes an expired entry.
func (t *Table) Decision(d Digest, now time.Time) Decision {
	e, ok := t.entries[d]
	if !ok {
		return Decision{}
	}
	if !now.Before(e.expires) {
		delete(t.entries, d)
		return Decision{}
	}
	switch count := e.count(); {
	case count >= maxLosses:
		return Decision{Status: Quarantined, Remaining: e.expires.Sub(now)}
	case count > 0:
		return Decision{Status: Suspect}
	}
	return Decision{}
}

// count returns the number of losses that are not cleared.
func (e *entry) count() int {
	n := 0
	for _, l := range e.losses {
		if !l.cleared {
			n++
		}
	}
	return n
}

// Begin records the start of an attempt on an engine; incarnation is the engine's last
// observed one.
func (t *Table) Begin(d Digest, engine, incarnation string) *Run {
	r := &Run{Digest: d, Engine: engine, Incarnation: incarnation}
	t.active[r] = struct{}{}
	return r
}

// Active returns the runs of a digest that have not ended.
func (t *Table) Active(d Digest) []*Run {
	var out []*Run
	for r := range t.active {
		if r.Digest == d {
			out = append(out, r)
		}
	}
	return out
}

// Discard ends an attempt that the engine did not run.
func (t *Table) Discard(r *Run) { delete(t.active, r) }

// Complete ends an attempt that returned a complete response, and clears its digest.
func (t *Table) Complete(r *Run) {
	delete(t.active, r)
	e, ok := t.entries[r.Digest]
	if !ok {
		return
	}
	for _, l := range e.losses {
		e.clear(l)
	}
}

// clear marks a loss as cleared, and the entry as changed.
func (e *entry) clear(l *lossState) {
	if !l.cleared {
		l.cleared = true
		e.changed = true
	}
}

// Abandon ends an attempt without a complete response. The run stays unresolved until
// Observe or ObserveUnreachable determines whether the engine survived it.
func (t *Table) Abandon(r *Run, now time.Time) {
	delete(t.active, r)
	r.ended = now
	t.abandoned[r.Engine] = append(t.abandoned[r.Engine], r)
}

// RecentlyAbandoned reports whether an unresolved run of this daemon ended on an engine less
// than 2*survivalDelay ago, so that a crash now would be attributed to it.
func (t *Table) RecentlyAbandoned(engine string, now time.Time) bool {
	return slices.ContainsFunc(t.abandoned[engine], func(r *Run) bool {
		return now.Sub(r.ended) < 2*survivalDelay
	})
}

// Observe records the incarnation that an engine reported in response to a status request
// sent at requestedAt. It resolves the engine's abandoned runs and returns the digests of
// those that the engine did not survive.
func (t *Table) Observe(engine, incarnation string, requestedAt, now time.Time) []Digest {
	t.clearLosses(engine, incarnation, requestedAt)
	return t.resolve(engine, requestedAt, now, func(r *Run) runOutcome {
		switch {
		case r.Incarnation != incarnation:
			return crashed
		case requestedAt.Sub(r.ended) >= survivalDelay:
			return survived
		}
		return unresolved
	})
}

// runOutcome says whether an engine survived a run.
type runOutcome int

const (
	unresolved runOutcome = iota
	survived
	crashed
)

// ObserveUnreachable records that an engine refused a new connection for a request sent at
// requestedAt. It counts as a crash: the abandoned runs on the engine that ended by then are
// resolved as not survived, and their digests are returned.
func (t *Table) ObserveUnreachable(engine string, requestedAt, now time.Time) []Digest {
	return t.resolve(engine, requestedAt, now, func(*Run) runOutcome { return crashed })
}

// resolve decides the outcome of the abandoned runs on an engine that ended no later than
// requestedAt, and returns the digests of the runs that the engine did not survive. A run
// that ended later stays unresolved, because the response says nothing about it.
func (t *Table) resolve(engine string, requestedAt, now time.Time, decide func(*Run) runOutcome) []Digest {
	var lost []Digest
	var pending []*Run
	for _, r := range t.abandoned[engine] {
		result := unresolved
		if !r.ended.After(requestedAt) {
			result = decide(r)
		}
		switch result {
		case unresolved:
			pending = append(pending, r)
		case crashed:
			t.recordLoss(r, now)
			if !slices.Contains(lost, r.Digest) {
				lost = append(lost, r.Digest)
			}
		}
	}
	t.setAbandoned(engine, pending)
	return lost
}

func (t *Table) setAbandoned(engine string, runs []*Run) {
	if len(runs) == 0 {
		delete(t.abandoned, engine)
		return
	}
	t.abandoned[engine] = runs
}

// clearLosses clears the losses of an engine incarnation that were recorded before
// requestedAt, because the incarnation responded to a request sent then. A loss can be wrong
// if, for example, a restarting network refused the connection.
func (t *Table) clearLosses(engine, incarnation string, requestedAt time.Time) {
	for _, e := range t.entries {
		l, ok := e.losses[Loss{Engine: engine, Incarnation: incarnation}]
		if ok && l.recordedAt.Before(requestedAt) {
			e.clear(l)
		}
	}
}

// recordLoss adds the loss of a run's engine incarnation to the entry of its digest, unless
// it is already recorded.
func (t *Table) recordLoss(r *Run, now time.Time) {
	e := t.ensureEntry(r.Digest, now)
	loss := Loss{Engine: r.Engine, Incarnation: r.Incarnation}
	if _, ok := e.losses[loss]; ok {
		return
	}
	e.add(loss, &lossState{recordedAt: now})
	e.expires = now.Add(t.opts.Hold)
	e.changed = true
}

// add records a loss and removes the oldest cleared one if there are too many.
func (e *entry) add(loss Loss, state *lossState) {
	e.losses[loss] = state
	if len(e.losses) <= maxTombstones {
		return
	}
	var oldest *Loss
	for l, s := range e.losses {
		if s.cleared && (oldest == nil || s.recordedAt.Before(e.losses[*oldest].recordedAt)) {
			oldest = &l
		}
	}
	if oldest != nil {
		delete(e.losses, *oldest)
	}
}

// ensureEntry returns the entry of a digest. If there is none, it adds one, after evicting
// another if the table is full.
func (t *Table) ensureEntry(d Digest, now time.Time) *entry {
	if e, ok := t.entries[d]; ok && now.Before(e.expires) {
		return e
	}
	delete(t.entries, d)
	if len(t.entries) >= t.opts.MaxEntries {
		t.evict()
	}
	e := &entry{losses: map[Loss]*lossState{}, expires: now.Add(t.opts.Hold)}
	t.entries[d] = e
	return e
}

// evict removes the entry with the fewest losses that count; among several, the one that
// expires first.
func (t *Table) evict() {
	evictionOrder := func(a, b Digest) int {
		x, y := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(x.count(), y.count()), x.expires.Compare(y.expires), cmp.Compare(a, b))
	}
	delete(t.entries, slices.MinFunc(slices.Collect(maps.Keys(t.entries)), evictionOrder))
	t.evicted++
}

// Expire removes expired entries and trials, and unresolved runs older than Options.Hold.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ Digest, e *entry) bool { return !now.Before(e.expires) })
	maps.DeleteFunc(t.peerTrials, func(_ Trial, until time.Time) bool { return !now.Before(until) })
	for engine, runs := range t.abandoned {
		old := func(r *Run) bool { return now.Sub(r.ended) >= t.opts.Hold }
		t.setAbandoned(engine, slices.DeleteFunc(runs, old))
	}
}

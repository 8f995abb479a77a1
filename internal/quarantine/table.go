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
	// maxLosses is the number of lost engines that quarantines a digest.
	maxLosses = 2
	// maxTombstones bounds the cleared losses that a digest keeps. They only stop a
	// late report from counting again.
	maxTombstones = 16
	// trialLease is how long a peer's trial is respected without being renewed.
	trialLease = 3 * time.Second
	// survivalDelay is how long after the end of a run an engine must still be alive.
	// An engine that has confirmed a cancellation may crash from work under way.
	survivalDelay = time.Second
	// unresolvedWait is how long a run at an engine that cannot be reached blocks a
	// trial of its digest. A longer wait would exceed the callers' deadlines.
	unresolvedWait = 10 * time.Second
)

// Options configures a Table.
type Options struct {
	// Self is the incarnation of this daemon.
	Self string
	// MaxEntries bounds the digests that are remembered.
	MaxEntries int
	// Hold is how long a suspect or quarantined digest is remembered after its
	// last loss.
	Hold time.Duration
}

// Table holds the suspects that a daemon knows, its own runs and the trials of all
// daemons. It is not safe for concurrent use.
type Table struct {
	opts    Options
	entries map[Digest]*entry
	active  map[*Run]struct{}
	// abandoned holds, by engine, the runs that Observe has to resolve.
	abandoned map[string][]*Run
	// own maps digests to this daemon's trials.
	own map[Digest]*ownTrial
	// peers maps trials of other daemons to the time until which they hold.
	peers   map[Trial]time.Time
	evicted int64
}

type entry struct {
	losses  map[Loss]*lossState
	expires time.Time
	// changed is set while a change made by this daemon is unreported.
	changed bool
}

type lossState struct {
	cleared bool
	at      time.Time
}

type ownTrial struct {
	trial   Trial
	running bool
}

// Run is one attempt of this daemon at an engine.
type Run struct {
	Digest      Digest
	Engine      string
	Incarnation string
	// ended is when the attempt ended without a whole answer, or zero.
	ended time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{
		opts:      opts,
		entries:   map[Digest]*entry{},
		active:    map[*Run]struct{}{},
		abandoned: map[string][]*Run{},
		own:       map[Digest]*ownTrial{},
		peers:     map[Trial]time.Time{},
	}
}

// Len returns the number of digests that are remembered.
func (t *Table) Len() int { return len(t.entries) }

// Evicted returns the number of digests forgotten early because the table was full.
func (t *Table) Evicted() int64 { return t.evicted }

// Decision returns the status of a digest.
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

// count returns the number of losses that count against the digest.
func (e *entry) count() int {
	n := 0
	for _, l := range e.losses {
		if !l.cleared {
			n++
		}
	}
	return n
}

// Begin records an attempt at an engine whose incarnation was last seen as given.
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

// Complete ends an attempt with a whole answer and clears its digest.
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

func (e *entry) clear(l *lossState) {
	if !l.cleared {
		l.cleared = true
		e.changed = true
	}
}

// Abandon ends an attempt without a whole answer. The run counts against its
// digest until Observe shows whether the engine survived it.
func (t *Table) Abandon(r *Run, now time.Time) {
	delete(t.active, r)
	r.ended = now
	t.abandoned[r.Engine] = append(t.abandoned[r.Engine], r)
}

// RecentlyAbandoned tells whether a run of this daemon ended on an engine a moment ago, so that
// a crash now would be blamed on it.
func (t *Table) RecentlyAbandoned(engine string, now time.Time) bool {
	return slices.ContainsFunc(t.abandoned[engine], func(r *Run) bool {
		return now.Sub(r.ended) < 2*survivalDelay
	})
}

// Observe records the incarnation that an engine reported when it was asked at a
// given time. It resolves the abandoned runs and returns the digests that became
// suspect or quarantined.
func (t *Table) Observe(engine, incarnation string, asked, now time.Time) []Digest {
	t.refute(engine, incarnation, asked)
	return t.resolve(engine, asked, now, func(r *Run) fate {
		switch {
		case r.Incarnation != incarnation:
			return crashed
		case asked.Sub(r.ended) >= survivalDelay:
			return survived
		}
		return unresolved
	})
}

// fate tells whether an engine survived a run.
type fate int

const (
	unresolved fate = iota
	survived
	crashed
)

// ObserveUnreachable records that an engine refused a new connection when it was asked.
func (t *Table) ObserveUnreachable(engine string, asked, now time.Time) []Digest {
	return t.resolve(engine, asked, now, func(*Run) fate { return crashed })
}

// resolve decides about the runs on an engine that ended before it was asked and
// returns the digests of those that the engine did not survive.
func (t *Table) resolve(engine string, asked, now time.Time, decide func(*Run) fate) []Digest {
	var lost []Digest
	var open []*Run
	for _, r := range t.abandoned[engine] {
		outcome := unresolved
		if !r.ended.After(asked) {
			outcome = decide(r)
		}
		switch outcome {
		case unresolved:
			open = append(open, r)
		case crashed:
			t.lose(r, now)
			if !slices.Contains(lost, r.Digest) {
				lost = append(lost, r.Digest)
			}
		}
	}
	t.keepAbandoned(engine, open)
	return lost
}

func (t *Table) keepAbandoned(engine string, runs []*Run) {
	if len(runs) == 0 {
		delete(t.abandoned, engine)
		return
	}
	t.abandoned[engine] = runs
}

// refute clears losses of an engine incarnation that is alive after all, such as
// after a refused connection that a restarting network caused.
func (t *Table) refute(engine, incarnation string, asked time.Time) {
	for _, e := range t.entries {
		l, ok := e.losses[Loss{Engine: engine, Incarnation: incarnation}]
		if ok && l.at.Before(asked) {
			e.clear(l)
		}
	}
}

func (t *Table) lose(r *Run, now time.Time) {
	e := t.entry(r.Digest, now)
	loss := Loss{Engine: r.Engine, Incarnation: r.Incarnation}
	if _, ok := e.losses[loss]; ok {
		return
	}
	e.add(loss, &lossState{at: now})
	e.expires = now.Add(t.opts.Hold)
	e.changed = true
}

// add records a loss and forgets the oldest cleared one when there are too many.
func (e *entry) add(loss Loss, state *lossState) {
	e.losses[loss] = state
	if len(e.losses) <= maxTombstones {
		return
	}
	var oldest *Loss
	for l, s := range e.losses {
		if s.cleared && (oldest == nil || s.at.Before(e.losses[*oldest].at)) {
			oldest = &l
		}
	}
	if oldest != nil {
		delete(e.losses, *oldest)
	}
}

// entry returns the entry of a digest and makes room for a new one.
func (t *Table) entry(d Digest, now time.Time) *entry {
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

// evict forgets the entry with the fewest losses, the earliest expiry among
// several.
func (t *Table) evict() {
	first := func(a, b Digest) int {
		x, y := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(x.count(), y.count()), x.expires.Compare(y.expires), cmp.Compare(a, b))
	}
	delete(t.entries, slices.MinFunc(slices.Collect(maps.Keys(t.entries)), first))
	t.evicted++
}

// Expire forgets entries, trials and unresolved runs that are too old.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ Digest, e *entry) bool { return !now.Before(e.expires) })
	maps.DeleteFunc(t.peers, func(_ Trial, until time.Time) bool { return !now.Before(until) })
	for engine, runs := range t.abandoned {
		old := func(r *Run) bool { return now.Sub(r.ended) >= t.opts.Hold }
		t.keepAbandoned(engine, slices.DeleteFunc(runs, old))
	}
}

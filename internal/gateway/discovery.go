package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// discoveryDivisor is the number of intervals between reads of the registry that fit into
	// the time within which a leaving runner must be out of use.
	discoveryDivisor = 3
	// expiryGrace is the time within which entries that expired during an outage of the store
	// must reappear after it: two seconds, less the time until the daemon detects that the store
	// is available again.
	expiryGrace = 1500 * time.Millisecond
	// massExpiryShare is the share of all runners that must be missing at once after an outage
	// for their entries to count as expired. If fewer are missing, the assumption is that
	// only this daemon lost its connection to the store and that the missing runners have left.
	massExpiryShare = 0.5
	// relayCheckInterval is how often a daemon checks whether another daemon still forwards the
	// registry.
	relayCheckInterval = 50 * time.Millisecond
	// maxTombstones bounds the removed runners that are kept to detect late entries, and the
	// unreadable entries that are kept to log each once.
	maxTombstones = 4096
)

// discovery maintains the list of runners from their entries in the registry.
type discovery struct {
	log      *zap.Logger
	store    port.KeyedLog
	codec    port.RegistryCodec
	interval time.Duration
	// apply is called with the complete list after each change.
	apply func([]port.Runner)
	// relayFresh reports whether another daemon currently forwards the registry, so that this one
	// need not read the store; nil means that none does.
	relayFresh func() bool
	// forward is called after each read of the store with the records that changed more than
	// their heartbeat fields; nil means that nothing is forwarded.
	forward func([]port.KeyedRecord)
	// loaded is set once the list was published for the first time.
	loaded atomic.Bool
	// confirmed is when the list was last known to be equal to the registry; nil before.
	confirmed atomic.Pointer[time.Time]

	// refreshes are the calls of refresh that wait for a read.
	refreshes *readRequests

	// mu guards the fields below.
	mu      sync.Mutex
	runners map[string]*registration
	// tombstones holds the last entry of each removed runner, to reject late copies.
	tombstones map[string]port.Runner
	// unreadable holds the ids whose unreadable entry was already logged.
	unreadable map[string]bool
}

// registration is a runner and the state of its registry entry.
type registration struct {
	runner port.Runner
	// expiredAt is when the entry was found missing after an outage of the store; zero if it is
	// present.
	expiredAt time.Time
}

func newDiscovery(log *zap.Logger, store port.KeyedLog, codec port.RegistryCodec, interval time.Duration, apply func([]port.Runner)) *discovery {
	return &discovery{
		log: log, store: store, codec: codec, interval: interval, apply: apply,
		refreshes: newReadRequests(),
		runners:   map[string]*registration{}, tombstones: map[string]port.Runner{}, unreadable: map[string]bool{},
	}
}

// refresh reads the registry at once and reports whether a read that began after the call was applied
// before ctx is done. The list then holds each runner that another daemon used before the call, unless the
// runner has left. Concurrent calls share a read.
func (d *discovery) refresh(ctx context.Context) bool { return d.refreshes.await(ctx) == nil }

// pause waits for an interval, or until a read is wanted.
func (d *discovery) pause(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.refreshes.wanted:
	case <-timer.C:
	}
}

// run follows the registry until ctx is done. Heartbeats add records continuously, so reads are
// paced by a fixed interval instead of being triggered by new records.
func (d *discovery) run(ctx context.Context) {
	f := topicFollower{store: d.store, topic: port.TopicRunners}
	backoff := newStoreBackoff(d.log, "runners")
	outage := false
	for ctx.Err() == nil {
		if d.loaded.Load() && d.relayFresh != nil && d.relayFresh() && !d.refreshes.pending() {
			d.pause(ctx, relayCheckInterval)
			continue
		}
		began := time.Now()
		read, err := f.next(ctx)
		if err != nil {
			outage = true
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		changed := d.applyRead(time.Now(), read, outage)
		outage = false
		d.confirm(time.Now())
		d.refreshes.finish(began, nil)
		if d.forward != nil {
			d.forward(changed)
		}
		d.pause(ctx, d.interval)
	}
}

// confirm records that the list was equal to the registry.
func (d *discovery) confirm(now time.Time) { d.confirmed.Store(&now) }

// current reports whether the list was equal to the registry within a time before now.
func (d *discovery) current(now time.Time, within time.Duration) bool {
	at := d.confirmed.Load()
	return at != nil && now.Sub(*at) <= within
}

// confirmedSince reports whether the list was equal to the registry at a time or later.
func (d *discovery) confirmedSince(t time.Time) bool {
	at := d.confirmed.Load()
	return at != nil && !at.Before(t)
}

// sequence returns the number of the newest known entry of a start of a runner, or 0 if that is not its newest start.
func (d *discovery) sequence(id string, startedMS int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.runners[id]
	if !ok || r.runner.StartedMS != startedMS {
		return 0
	}
	return r.runner.Sequence
}

// digest returns a hash of the list of runners, by which daemons check that their lists are
// equal.
func (d *discovery) digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum uint64
	for id, r := range d.runners {
		sum += xxhash.Sum64String(id + " " + strconv.FormatInt(r.runner.StartedMS, 10) + string(r.runner.Role) + strconv.FormatBool(r.runner.Draining) + r.runner.Version)
	}
	return sum
}

// applyRecords applies records to a registry that did not come back from an older copy; see applyRead.
func (d *discovery) applyRecords(now time.Time, records []port.KeyedRecord, whole, outage bool) []port.KeyedRecord {
	return d.applyRead(now, topicRead{records: records, whole: whole}, outage)
}

// applyRead applies records in their order and returns those that changed more than their
// heartbeat fields. A removal holds until an entry follows that is newer than the removed one: an
// earlier entry may be executed late. With whole set, runners without a record are removed. If
// several runners and at least massExpiryShare of all are missing after an outage, their entries count
// as expired: the runners stay in use for expiryGrace, so that the entries can reappear. The same holds
// for each one that is missing in a registry that came back from an older copy.
func (d *discovery) applyRead(now time.Time, read topicRead, outage bool) []port.KeyedRecord {
	var changedRecords []port.KeyedRecord
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !d.loaded.Load()
	missing := map[string]bool{}
	if read.whole {
		for id := range d.runners {
			missing[id] = true
		}
	}
	removed := map[string]bool{}
	for _, r := range read.records {
		if r.Value == nil {
			missing[r.Key], removed[r.Key] = true, true
			continue
		}
		if !removed[r.Key] {
			delete(missing, r.Key)
		}
		newer, changes := d.applyEntry(r)
		if newer {
			delete(missing, r.Key)
			delete(removed, r.Key)
		}
		if changes {
			changed = true
			changedRecords = append(changedRecords, r)
		}
	}
	expired := read.restored || outage && len(missing) > 1 && float64(len(missing)) >= massExpiryShare*float64(len(d.runners))
	for id := range missing {
		if d.removeOrExpire(now, id, expired) {
			changed = true
			changedRecords = append(changedRecords, port.KeyedRecord{Key: id})
		}
	}
	for _, id := range d.removeExpired(now) {
		changed = true
		changedRecords = append(changedRecords, port.KeyedRecord{Key: id})
	}
	if changed {
		d.publish()
	}
	d.loaded.Store(true)
	return changedRecords
}

// applyEntry applies an entry. It reports whether the entry is newer than the known ones of the
// runner, and whether it changes more than the heartbeat fields. An entry is ignored if it is older
// than the known one, or not newer than the last one of a removed runner. d.mu must be held.
func (d *discovery) applyEntry(r port.KeyedRecord) (newer, changes bool) {
	runner, err := d.codec.Runner(r.Key, r.Value)
	if err != nil {
		if !d.unreadable[r.Key] {
			if len(d.unreadable) >= maxTombstones {
				clear(d.unreadable)
			}
			d.unreadable[r.Key] = true
			d.log.Warn("registry entry of a runner cannot be decoded", zap.String("runner", r.Key), zap.Error(err))
		}
		return false, false
	}
	if old, ok := d.tombstones[r.Key]; ok && !old.Older(runner) {
		return false, false
	}
	delete(d.tombstones, r.Key)
	known, ok := d.runners[r.Key]
	if !ok {
		d.runners[r.Key] = &registration{runner: runner}
		d.logRunner("runner registered", runner)
		return true, true
	}
	if runner.Older(known.runner) {
		return false, false
	}
	newer = known.runner.Older(runner)
	changes = !equalExceptHeartbeat(known.runner, runner)
	if changes {
		d.logRunner("runner changed", runner)
	}
	known.runner = runner
	known.expiredAt = time.Time{}
	return newer, changes
}

func equalExceptHeartbeat(a, b port.Runner) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return a == b
}

func (d *discovery) logRunner(message string, r port.Runner) {
	d.log.Info(message, zap.String("runner", r.ID), zap.String("service", r.Service), zap.String("address", r.Address),
		zap.String("runner-data-centre", r.DataCentre), zap.String("role", string(r.Role)), zap.String("software-version", r.Version), zap.Bool("draining", r.Draining),
		zap.Int64("started-ms", r.StartedMS), zap.Int64("sequence", r.Sequence))
}

// removeOrExpire removes a runner, or marks its entry as expired if expired is set and the
// runner is not draining. It reports whether the runner was removed. d.mu must be held.
func (d *discovery) removeOrExpire(now time.Time, id string, expired bool) bool {
	known, ok := d.runners[id]
	if !ok {
		return false
	}
	if expired && !known.runner.Draining {
		if known.expiredAt.IsZero() {
			known.expiredAt = now
		}
		return false
	}
	d.removeRunner(id, "entry removed")
	return true
}

func (d *discovery) removeRunner(id, reason string) {
	r := d.runners[id].runner
	delete(d.runners, id)
	d.setTombstone(r)
	d.log.Info("runner removed", zap.String("runner", id), zap.String("service", r.Service), zap.String("reason", reason))
}

// setTombstone records the last entry of a removed runner. d.mu must be held.
func (d *discovery) setTombstone(last port.Runner) {
	if len(d.tombstones) >= maxTombstones {
		clear(d.tombstones)
	}
	d.tombstones[last.ID] = last
}

// tombstone returns the last entry of a removed runner, or the zero value if it is not known.
func (d *discovery) tombstone(id string) port.Runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tombstones[id]
}

// raiseTombstone records that an entry preceded the removal of its runner, unless the runner is in
// use or a later entry is known to have preceded it.
func (d *discovery) raiseTombstone(last port.Runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, inUse := d.runners[last.ID]; !inUse && d.tombstones[last.ID].Older(last) {
		d.setTombstone(last)
	}
}

// removeExpired removes the runners whose entries did not reappear within expiryGrace and returns
// their ids. d.mu must be held.
func (d *discovery) removeExpired(now time.Time) []string {
	var removed []string
	for id, r := range d.runners {
		if !r.expiredAt.IsZero() && now.Sub(r.expiredAt) >= expiryGrace {
			d.removeRunner(id, "entry expired during an outage of the store")
			removed = append(removed, id)
		}
	}
	return removed
}

// publish passes the list of runners, sorted by id, to apply. d.mu must be held.
func (d *discovery) publish() {
	list := make([]port.Runner, 0, len(d.runners))
	for _, r := range d.runners {
		list = append(list, r.runner)
	}
	slices.SortFunc(list, func(a, b port.Runner) int { return cmp.Compare(a.ID, b.ID) })
	d.apply(list)
}

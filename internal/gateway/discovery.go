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

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// discoveryPart is the part of the time to take a leaving runner out of use that
	// one read of the registry may take.
	discoveryPart = 3
	// lapseGrace is how long after the store's return entries that lapsed meanwhile
	// may take to come back: two seconds, less the time in which its return is noticed.
	lapseGrace = 1500 * time.Millisecond
	// lapseShare is the part of all runners that must be missing at once after an outage
	// to be taken as lapsed. When the store was away from this daemon only, the few
	// that are missing have left.
	lapseShare = 0.5
	// relayCheck is how often a daemon asks whether the registry is still passed on.
	relayCheck = 50 * time.Millisecond
	// maxTombstones bounds the removed runners that are remembered against late
	// entries.
	maxTombstones = 4096
)

// discovery keeps the list of runners from their entries in the registry.
type discovery struct {
	log      *zap.Logger
	store    port.KeyedLog
	codec    port.RegistryCodec
	interval time.Duration
	// apply is called with the whole list after each change.
	apply func([]port.Runner)
	// relayed tells whether another daemon passes the registry on; nil means that none
	// does.
	relayed func() bool
	// relay is called after each read of the store with the records that changed more
	// than a heartbeat; nil passes nothing on.
	relay func([]port.KeyedRecord)
	known atomic.Bool

	mu      sync.Mutex
	runners map[string]*registration
	// removed holds the last entry of runners that were removed, against late copies.
	removed map[string]port.Runner
	// unreadable holds the ids whose unreadable entry was logged.
	unreadable map[string]bool
}

// registration is a runner with the state of its entry.
type registration struct {
	runner port.Runner
	// lapsed is when the entry was found removed after an outage of the store, or zero.
	lapsed time.Time
}

func newDiscovery(log *zap.Logger, store port.KeyedLog, codec port.RegistryCodec, interval time.Duration, apply func([]port.Runner)) *discovery {
	return &discovery{
		log: log, store: store, codec: codec, interval: interval, apply: apply,
		runners: map[string]*registration{}, removed: map[string]port.Runner{}, unreadable: map[string]bool{},
	}
}

// run follows the registry until ctx ends. Heartbeats add records all the time, so that
// reads are paced rather than woken.
func (d *discovery) run(ctx context.Context) {
	f := follower{store: d.store, topic: port.TopicRunners}
	backoff := newStoreBackoff(d.log, "runners")
	outage := false
	for ctx.Err() == nil {
		if d.known.Load() && d.relayed != nil && d.relayed() {
			clock.Sleep(ctx, relayCheck)
			continue
		}
		records, whole, err := f.next(ctx)
		if err != nil {
			outage = true
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		changed := d.take(time.Now(), records, whole, outage)
		outage = false
		if d.relay != nil {
			d.relay(changed)
		}
		clock.Sleep(ctx, d.interval)
	}
}

// digest identifies the list of runners, so that daemons can compare theirs.
func (d *discovery) digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum uint64
	for id, r := range d.runners {
		sum += xxhash.Sum64String(id + " " + strconv.FormatInt(r.runner.StartedMS, 10) + string(r.runner.Role) + strconv.FormatBool(r.runner.Draining))
	}
	return sum
}

// take applies records. With whole set, runners without a record are gone. When most
// are missing after an outage, their entries lapsed and get time to come back.
// It returns the records that changed more than a heartbeat.
func (d *discovery) take(now time.Time, records []port.KeyedRecord, whole, outage bool) []port.KeyedRecord {
	var news []port.KeyedRecord
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !d.known.Load()
	missing := map[string]bool{}
	if whole {
		for id := range d.runners {
			missing[id] = true
		}
	}
	for _, r := range records {
		if r.Value == nil {
			missing[r.Key] = true
			continue
		}
		delete(missing, r.Key)
		if d.enter(r) {
			changed = true
			news = append(news, r)
		}
	}
	lapsed := outage && len(missing) > 1 && float64(len(missing)) >= lapseShare*float64(len(d.runners))
	for id := range missing {
		if d.remove(now, id, lapsed) {
			changed = true
			news = append(news, port.KeyedRecord{Key: id})
		}
	}
	for _, id := range d.dropLapsed(now) {
		changed = true
		news = append(news, port.KeyedRecord{Key: id})
	}
	if changed {
		d.publish()
	}
	d.known.Store(true)
	return news
}

// enter takes in an entry and tells whether it changes more than the heartbeat.
func (d *discovery) enter(r port.KeyedRecord) bool {
	runner, err := d.codec.Runner(r.Key, r.Value)
	if err != nil {
		if !d.unreadable[r.Key] {
			d.unreadable[r.Key] = true
			d.log.Warn("entry of a runner is not usable", zap.String("runner", r.Key), zap.Error(err))
		}
		return false
	}
	if old, ok := d.removed[r.Key]; ok && !old.Older(runner) {
		return false
	}
	delete(d.removed, r.Key)
	known, ok := d.runners[r.Key]
	if ok && runner.Older(known.runner) {
		return false
	}
	if !ok {
		d.runners[r.Key] = &registration{runner: runner}
		d.logRunner("runner registered", runner)
		return true
	}
	changed := !sameRunner(known.runner, runner)
	if changed {
		d.logRunner("runner changed", runner)
	}
	known.runner = runner
	known.lapsed = time.Time{}
	return changed
}

func sameRunner(a, b port.Runner) bool {
	a.Sequence, b.Sequence = 0, 0
	a.ColdLeft, b.ColdLeft = 0, 0
	return a == b
}

func (d *discovery) logRunner(message string, r port.Runner) {
	d.log.Info(message, zap.String("runner", r.ID), zap.String("service", r.Service), zap.String("address", r.Address),
		zap.String("runner-data-centre", r.DataCentre), zap.String("role", string(r.Role)), zap.Bool("draining", r.Draining),
		zap.Int64("started-ms", r.StartedMS), zap.Int64("sequence", r.Sequence))
}

// remove takes a runner out, or marks it as lapsed.
func (d *discovery) remove(now time.Time, id string, lapsed bool) bool {
	known, ok := d.runners[id]
	if !ok {
		return false
	}
	if lapsed && !known.runner.Draining {
		if known.lapsed.IsZero() {
			known.lapsed = now
		}
		return false
	}
	d.forget(id, "entry removed")
	return true
}

func (d *discovery) forget(id, reason string) {
	r := d.runners[id].runner
	delete(d.runners, id)
	if len(d.removed) >= maxTombstones {
		clear(d.removed)
	}
	d.removed[id] = r
	d.log.Info("runner gone", zap.String("runner", id), zap.String("service", r.Service), zap.String("reason", reason))
}

// dropLapsed removes runners whose entries did not come back in time and returns their
// ids.
func (d *discovery) dropLapsed(now time.Time) []string {
	var dropped []string
	for id, r := range d.runners {
		if !r.lapsed.IsZero() && now.Sub(r.lapsed) >= lapseGrace {
			d.forget(id, "entry lapsed during an outage of the store")
			dropped = append(dropped, id)
		}
	}
	return dropped
}

func (d *discovery) publish() {
	list := make([]port.Runner, 0, len(d.runners))
	for _, r := range d.runners {
		list = append(list, r.runner)
	}
	slices.SortFunc(list, func(a, b port.Runner) int { return cmp.Compare(a.ID, b.ID) })
	d.apply(list)
}

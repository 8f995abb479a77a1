package gateway

import (
	"context"
	"encoding/json"
	"time"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
)

// orderTimeout bounds the call that sends one order. It is short, because the lease must be held
// for the whole call, and engines respond immediately.
const orderTimeout = 500 * time.Millisecond

// orderLease is this daemon's view of the lease under which orders are sent to the engines of
// its data centre. The record of the lease is read and written only when there is an order to
// send, because calls to the store are billed; a lease expires by itself. It is used by one
// goroutine only.
type orderLease struct {
	store port.KeyedLog
	clock port.Clock
	// key is the data centre, holder identifies this daemon by name and address.
	key     string
	holder  string
	machine *lease.Machine
	// end is the end of the topic; it is valid if endKnown is set.
	end      port.Position
	endKnown bool
	// firstStart is set if no daemon has run before.
	firstStart bool
	// era is the era of the store as of the last read, 0 before. Until settledAt, a claim that was lost
	// with an earlier era may be in force.
	era       int64
	settledAt time.Duration
}

func newOrderLease(store port.KeyedLog, clock port.Clock, key, holder string, duration time.Duration) *orderLease {
	return &orderLease{
		store: store, clock: clock, key: key, holder: holder,
		machine: lease.NewMachine(lease.Options{
			Holder: holder, Daemon: holder, Duration: duration,
			// The margin allows for a last order that arrives up to orderTimeout after the
			// lease ended, and keeps the first order of the next holder at least one lease
			// duration after that one.
			Drift: duration + orderTimeout,
		}),
	}
}

// Acquire returns the fencing token under which an order may be sent now, and claims the lease if
// necessary. lease.ErrHeld means that the caller may try again later; other errors are those of the
// store.
func (l *orderLease) Acquire(ctx context.Context) (int64, error) {
	if l.coversOrder() {
		return l.machine.Lease().Fencing, nil
	}
	if !l.endKnown {
		if err := l.readRecord(ctx); err != nil {
			return 0, err
		}
	}
	now := l.clock.Now()
	if now < l.settledAt || l.machine.Lease().Holder != l.holder && !l.machine.Claimable(now) {
		// The last read may be outdated by the time the lease can be claimed.
		l.endKnown = false
		return 0, lease.ErrHeld
	}
	return l.claim(ctx)
}

// coversOrder reports whether an order that is sent now arrives while the lease is held.
func (l *orderLease) coversOrder() bool { return l.machine.Held(l.clock.Now() + orderTimeout) }

// readRecord reads the record of the lease from the store.
func (l *orderLease) readRecord(ctx context.Context) error {
	records, end, err := l.store.Newest(ctx, port.TopicLeases)
	if err != nil {
		return err
	}
	l.end, l.endKnown = end, true
	claimedInEra := false
	for _, r := range records {
		if r.Key != l.key {
			continue
		}
		var record lease.Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			// A lease whose record cannot be decoded is held until it expires.
			record = lease.Record{}
		}
		claimedInEra = record.Era == end.Era
		order := port.Position{Era: record.Era, Offset: r.Offset}.Order() + 1
		seen := lease.Lease{Holder: record.Holder, Daemon: record.Daemon, Fencing: order, LastRecord: order}
		if seen != l.machine.Lease() {
			l.machine.Restore(seen, l.clock.Now())
		}
	}
	l.enterEra(end.Era, claimedInEra)
	return nil
}

// enterEra records the era of the store. In a new era the last claim of the earlier one may be lost while
// its holder still relies on it; claimed tells that another claim has taken its place.
func (l *orderLease) enterEra(era int64, claimed bool) {
	if era == l.era {
		return
	}
	first := l.era == 0
	l.era = era
	if l.settledAt = 0; !claimed && !(first && l.firstStart) {
		l.settledAt = l.clock.Now() + l.machine.ClaimDelay()
	}
}

// claim appends a claim of the lease if nothing was appended to the topic since it was read. It
// returns the fencing token of the lease.
func (l *orderLease) claim(ctx context.Context) (int64, error) {
	now := l.clock.Now()
	record := l.machine.Claim(l.holder, now)
	record.Era = l.end.Era
	// A record of strings and numbers can always be encoded.
	value, _ := json.Marshal(record)
	end := l.end
	l.endKnown = false
	appended, err := l.store.PutAt(ctx, port.TopicLeases, end, port.KeyedRecord{Key: l.key, Value: value})
	if err != nil {
		return 0, err
	}
	if !appended {
		return 0, lease.ErrHeld
	}
	l.machine.Apply(l.holder, end.Order(), record, l.clock.Now())
	end.Offset++
	l.end, l.endKnown = end, true
	if !l.coversOrder() {
		return 0, lease.ErrHeld
	}
	return l.machine.Lease().Fencing, nil
}

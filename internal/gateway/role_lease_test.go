package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// faultyLog is a log of one topic whose calls may fail and whose responses may be lost.
type faultyLog struct {
	port.KeyedLog
	records []port.KeyedRecord
	era     int64
	// failCall reports whether the next call fails, loseResponse whether the response to an
	// append that took place is lost. Both may be nil.
	failCall, loseResponse func() bool
}

func (l *faultyLog) Newest(context.Context, string) ([]port.KeyedRecord, port.Position, error) {
	if l.failCall != nil && l.failCall() {
		return nil, port.Position{}, port.ErrLogUnavailable
	}
	newest := map[string]port.KeyedRecord{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	var out []port.KeyedRecord
	for _, r := range newest {
		out = append(out, r)
	}
	return out, port.Position{Era: l.era, Offset: int64(len(l.records))}, nil
}

func (l *faultyLog) PutAt(_ context.Context, _ string, at port.Position, r port.KeyedRecord) (bool, error) {
	if l.failCall != nil && l.failCall() {
		return false, port.ErrLogUnavailable
	}
	if at.Offset != int64(len(l.records)) {
		return false, nil
	}
	r.Offset = at.Offset
	l.records = append(l.records, r)
	if at.Era != l.era {
		return false, port.ErrLogRestored
	}
	if l.loseResponse != nil && l.loseResponse() {
		return false, port.ErrAppendUnknown
	}
	return true, nil
}

const testLease = 3 * time.Second

// Guards against two daemons that may send orders within one lease duration of each other,
// against fencing tokens that do not increase, and against a lease that no other daemon can
// acquire.
func TestOneDaemonSendsOrders(t *testing.T) {
	ctx := context.Background()
	log, clock := &faultyLog{}, &manualClock{now: time.Hour}
	a := newOrderLease(log, clock, "north", "a", testLease)
	b := newOrderLease(log, clock, "north", "b", testLease)
	southLease := newOrderLease(log, clock, "south", "c", testLease)
	first, err := a.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Acquire(ctx); !errors.Is(err, lease.ErrHeld) {
		t.Errorf("a second daemon acquires the lease: %v", err)
	}
	if _, err := southLease.Acquire(ctx); err != nil {
		t.Errorf("the lease of another data centre is not free: %v", err)
	}
	clock.now += testLease + testLease/2
	if a.coversOrder() {
		t.Error("the lease is valid after its end")
	}
	if _, err := b.Acquire(ctx); !errors.Is(err, lease.ErrHeld) {
		t.Errorf("a second daemon acquires the lease less than a lease duration after the last order of the first: %v", err)
	}
	clock.now += testLease
	second, err := b.Acquire(ctx)
	if err != nil || second <= first {
		t.Errorf("fencing token %d after %d, error %v", second, first, err)
	}
	restarted := newOrderLease(log, clock, "north", "b", testLease)
	third, err := restarted.Acquire(ctx)
	if err != nil || third <= second {
		t.Errorf("after a restart of its holder the lease has fencing token %d after %d, error %v", third, second, err)
	}
}

// orderHistory checks the orders of several daemons in the sequence in which they arrive.
type orderHistory struct {
	orders  int
	holder  string
	at      time.Duration
	fencing int64
}

// add ends the test if an order arrives less than a lease after that of another daemon, or with a
// fencing token that does not follow.
func (h *orderHistory) add(t *testing.T, holder string, at time.Duration, fencing int64) {
	t.Helper()
	if h.holder != "" && h.holder != holder && at-h.at < testLease {
		t.Fatalf("orders of %s and %s arrive %s apart", h.holder, holder, at-h.at)
	}
	if fencing < h.fencing || fencing == h.fencing && holder != h.holder {
		t.Fatalf("%s sends an order with fencing token %d after %s with %d", holder, fencing, h.holder, h.fencing)
	}
	h.orders++
	h.holder, h.at, h.fencing = holder, at, fencing
}

// Guards against orders of two daemons that arrive less than one lease duration apart, and against
// fencing tokens that do not increase, while the store fails and loses responses, daemons restart
// and orders arrive late.
func TestOrdersOfTwoDaemonsAreOneLeaseApart(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 7))
		clock := &manualClock{now: time.Hour}
		withProbability := func(share float64) func() bool { return func() bool { return rng.Float64() < share } }
		log := &faultyLog{failCall: withProbability(0.2), loseResponse: withProbability(0.2)}
		names := []string{"a", "b", "c"}
		daemons := map[string]*orderLease{}
		history := orderHistory{}
		for range 2000 {
			clock.now += time.Duration(rng.Int64N(int64(time.Second)))
			name := names[rng.IntN(len(names))]
			if daemons[name] == nil || rng.Float64() < 0.05 {
				daemons[name] = newOrderLease(log, clock, "north", name, testLease)
			}
			fencing, err := daemons[name].Acquire(context.Background())
			if err != nil {
				continue
			}
			// The order arrives some time after the lease was checked.
			clock.now += time.Duration(rng.Int64N(int64(orderTimeout)))
			history.add(t, name, clock.now, fencing)
		}
		if history.orders < 100 {
			t.Errorf("only %d orders could be sent in 2,000 attempts", history.orders)
		}
	})
}

// Guards against a malformed lease record in the store after which no daemon can acquire the lease,
// so that no role changes.
func TestUnreadableLeaseIsReplaced(t *testing.T) {
	log, clock := &faultyLog{records: []port.KeyedRecord{{Key: "north", Value: []byte("{")}}}, &manualClock{now: time.Hour}
	l := newOrderLease(log, clock, "north", "a", testLease)
	var err error
	for range 20 {
		if _, err = l.Acquire(context.Background()); err == nil {
			break
		}
		clock.now += time.Second
	}
	if err != nil {
		t.Fatal(err)
	}
	var record lease.Record
	if err := json.Unmarshal(log.records[1].Value, &record); err != nil || record.Holder != "a" {
		t.Errorf("record of the lease is %s, %v", log.records[1].Value, err)
	}
}

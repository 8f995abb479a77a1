package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// Guards against orders of two daemons that arrive less than one lease duration apart, and against
// fencing tokens that do not increase, while the store comes back from older copies, also twice, daemons
// restart and responses are lost.
func TestOrdersAreOneLeaseApartInARestoredStore(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 11))
		clock := &manualClock{now: time.Hour}
		withProbability := func(share float64) func() bool { return func() bool { return rng.Float64() < share } }
		log := &faultyLog{era: 1, failCall: withProbability(0.1), loseResponse: withProbability(0.1)}
		names := []string{"a", "b", "c"}
		daemons := map[string]*orderLease{}
		var copied []port.KeyedRecord
		var copiedAt time.Duration
		history, restores := orderHistory{}, 0
		for range 4000 {
			clock.now += time.Duration(rng.Int64N(int64(600 * time.Millisecond)))
			switch {
			case clock.now-copiedAt > time.Duration(rng.Int64N(int64(10*time.Second))):
				copied, copiedAt = log.records[:len(log.records):len(log.records)], clock.now
			case rng.Float64() < 0.02:
				log.records = copied
				log.era += 1 + rng.Int64N(2)
				restores++
			}
			name := names[rng.IntN(len(names))]
			if daemons[name] == nil || rng.Float64() < 0.03 {
				daemons[name] = newOrderLease(log, clock, "north", name, testLease)
			}
			fencing, err := daemons[name].Acquire(context.Background())
			if err != nil {
				continue
			}
			clock.now += time.Duration(rng.Int64N(int64(orderTimeout)))
			history.add(t, name, clock.now, fencing)
		}
		if history.orders < 100 || restores < 10 {
			t.Errorf("only %d orders could be sent in 4,000 attempts, with %d returns of the store", history.orders, restores)
		}
	})
}

// Guards against blocks that are forgotten when all daemons end after the store came back from a copy
// without them, and against cleared ones that block requests again.
func TestBlocksAreWrittenAgainToARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{records: map[string][]byte{}}
		g := newCrashGuard(zap.NewNop())
		r := newCrashRecords(zap.NewNop(), store, g, func(crashes.Trait) bool { return true }, true)
		era := &storeEra{log: zap.NewNop()}
		era.observe(1)
		r.era = era.current
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		settle := func() { time.Sleep(10 * time.Second) }
		block := func(part string, from int) {
			for i := range testCrashes {
				crash(g, from+i, traitsWith(from+i, part), time.Now().Add(time.Duration(i-testCrashes)*time.Second))
			}
			settle()
		}
		block("cleared", 0)
		store.mu.Lock()
		older := map[string][]byte{}
		for key, value := range store.records {
			older[key] = value
		}
		store.mu.Unlock()
		g.recordCompletion(traitsWith(100, "cleared"), time.Now())
		block("deadly", 200)
		if _, records := store.counts(); records != 1 {
			t.Fatalf("%d blocks are stored, want that of the deadly part", records)
		}
		store.mu.Lock()
		store.records = older
		store.mu.Unlock()
		era.observe(2)
		settle()
		restarted := newCrashGuard(zap.NewNop())
		records, _, _ := store.Newest(ctx, "")
		newCrashRecords(zap.NewNop(), nil, restarted, nil, false).restore(records, time.Now())
		if decision, _ := restarted.decide(traitsWith(300, "deadly"), time.Now()); decision == crashes.Allow {
			t.Error("a daemon that starts after the return does not know the block")
		}
		if decision, _ := restarted.decide(traitsWith(301, "cleared"), time.Now()); decision != crashes.Allow {
			t.Error("a daemon that starts after the return blocks a cleared part")
		}
		cancel()
	})
}

package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/port"
)

// recordInterval is how often changed blocks are written to the store.
const recordInterval = 500 * time.Millisecond

// crashRecord is the stored form of a block. Times are in Unix milliseconds, because the process that
// reads them is another one.
type crashRecord struct {
	Trait       crashes.Trait `json:"trait"`
	Crashes     int           `json:"crashes"`
	LastCrashMS int64         `json:"last_crash_ms"`
	NextTrialMS int64         `json:"next_trial_ms"`
}

// crashRecords stores the blocked traits, so that they stay blocked after all daemons have ended
// together. The owner of a trait writes its block; see trials. While the store is unavailable, nothing
// but this memory is missing. It is used by one goroutine.
type crashRecords struct {
	log     *zap.Logger
	store   port.KeyedLog
	crashes *crashGuard
	// owns reports whether this daemon writes the block of a trait.
	owns func(crashes.Trait) bool
	// era returns the newest known era of the store; see storeEra.
	era func() int64
	// firstStart is set if no earlier process can have stored anything.
	firstStart bool

	// unwritten holds the changed blocks that were not written yet, nil for a trait that is no longer
	// blocked.
	unwritten map[crashes.Trait]*crashes.Block
	// stored holds the traits whose block this daemon has read or written.
	stored map[crashes.Trait]bool
}

func newCrashRecords(log *zap.Logger, store port.KeyedLog, guard *crashGuard, owns func(crashes.Trait) bool, firstStart bool) *crashRecords {
	return &crashRecords{
		log: log, store: store, crashes: guard, owns: owns, era: func() int64 { return 0 }, firstStart: firstStart,
		unwritten: map[crashes.Trait]*crashes.Block{}, stored: map[crashes.Trait]bool{},
	}
}

// run restores the stored blocks and writes the changed ones until ctx is done.
func (r *crashRecords) run(ctx context.Context) {
	backoff := newStoreBackoff(r.log, "crashes")
	for read := r.firstStart; !read && ctx.Err() == nil; {
		records, _, err := r.store.Newest(ctx, port.TopicCrashes)
		if err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		r.restore(records, time.Now())
		read = true
	}
	era := r.era()
	for clock.Sleep(ctx, recordInterval); ctx.Err() == nil; clock.Sleep(ctx, recordInterval) {
		r.collect()
		if newest := r.era(); newest != era {
			// The first era that is known is no change.
			if era > 0 {
				if err := r.reconcile(ctx); err != nil {
					backoff.failed(ctx, err)
					continue
				}
			}
			era = newest
		}
		if len(r.unwritten) == 0 {
			continue
		}
		if err := r.write(ctx); err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
	}
}

// restore passes stored blocks to the crash guard. Records that cannot be decoded are logged and
// ignored.
func (r *crashRecords) restore(records []port.KeyedRecord, now time.Time) {
	var blocks []crashes.Block
	for _, record := range records {
		if record.Value == nil {
			continue
		}
		var c crashRecord
		if err := json.Unmarshal(record.Value, &c); err != nil || c.Trait == "" || crashRecordKey(c.Trait) != record.Key {
			r.log.Warn("record of a blocked trait is ignored", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		r.stored[c.Trait] = true
		blocks = append(blocks, c.block(now))
	}
	r.crashes.restore(blocks, now)
}

// block returns the block. Clocks differ between VMs, so that times in the future are limited.
func (c *crashRecord) block(now time.Time) crashes.Block {
	last := time.UnixMilli(c.LastCrashMS)
	if last.After(now) {
		last = now
	}
	trial := time.UnixMilli(c.NextTrialMS)
	if limit := now.Add(crashes.MaxTrialDelay); trial.After(limit) {
		trial = limit
	}
	return crashes.Block{Trait: c.Trait, Crashes: c.Crashes, LastCrash: last, NextTrial: trial}
}

// collect takes the changes that this daemon must write.
func (r *crashRecords) collect() {
	for trait, b := range r.crashes.takeChanged() {
		if r.owns(trait) && (b != nil || r.stored[trait]) {
			r.unwritten[trait] = b
		}
	}
}

// reconcile collects the differences between the blocks and the records of a store that came back from
// an older copy.
func (r *crashRecords) reconcile(ctx context.Context) error {
	records, _, err := r.store.Newest(ctx, port.TopicCrashes)
	if err != nil {
		return err
	}
	for _, record := range records {
		var c crashRecord
		// Records that are no block of a trait are ignored; see restore.
		if json.Unmarshal(record.Value, &c) == nil && c.Trait != "" && r.owns(c.Trait) {
			r.unwritten[c.Trait] = nil
		}
	}
	for _, b := range r.crashes.blocks() {
		if r.owns(b.Trait) {
			r.unwritten[b.Trait] = &b
		}
	}
	return nil
}

// write writes the collected changes in one call.
func (r *crashRecords) write(ctx context.Context) error {
	records := make([]port.KeyedRecord, 0, len(r.unwritten))
	for trait, b := range r.unwritten {
		record := port.KeyedRecord{Key: crashRecordKey(trait)}
		if b != nil {
			// A struct of strings and numbers can always be encoded.
			record.Value, _ = json.Marshal(crashRecord{
				Trait: trait, Crashes: b.Crashes, LastCrashMS: b.LastCrash.UnixMilli(), NextTrialMS: b.NextTrial.UnixMilli(),
			})
		}
		records = append(records, record)
	}
	if err := r.store.Put(ctx, port.TopicCrashes, records); err != nil {
		return err
	}
	for trait, b := range r.unwritten {
		if r.stored[trait] = true; b == nil {
			delete(r.stored, trait)
		}
	}
	clear(r.unwritten)
	return nil
}

// crashRecordKey returns the key of the record of a trait. Keys of the store are shorter than some
// traits.
func crashRecordKey(t crashes.Trait) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(t)))
}

package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/continuity"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// originRecordInterval is how often changed histories are written to the store, and origins of
	// streams that other daemons have to know.
	originRecordInterval = 200 * time.Millisecond
	// originWritesPerSecond bounds the calls with origins of streams that all daemons make together.
	originWritesPerSecond = 40
	// originSlots is the number of records in which a daemon keeps origins of streams, each with those
	// of one interval. A new record replaces the oldest one.
	originSlots = 64
	// maxBatch is the number of origins in one record. With ids of port.MaxAttemptIDBytes it stays below
	// the size that the store allows for a record.
	maxBatch = 1024
	// originReadInterval is the shortest time between reads of the stored origins. New ones are not written
	// more often.
	originReadInterval = originRecordInterval
	// maxClockError bounds the difference between the clocks of two VMs, of which one may have jumped.
	maxClockError = 5 * time.Second

	historyKeyPrefix = "versions/"
	originKeyPrefix  = "origins/"
)

// originBatch is the stored form of origins of streams. WrittenMS is when it was written, in Unix
// milliseconds; the ages of the origins are as of then.
type originBatch struct {
	WrittenMS int64          `json:"written_ms"`
	Origins   []originReport `json:"origins"`
}

// originRecords stores what a start after the end of all daemons has to know about the streams that
// clients take up: the histories of services, written by one daemon each, and while a service has several
// versions, the origins of streams, written by the daemons that began them. The origins are also read while
// daemons run, for take-ups of streams that no other daemon knows any more. While the store is unavailable,
// nothing but this memory is missing. It is used by one goroutine, apart from runReads and reads.
type originRecords struct {
	log     *zap.Logger
	store   port.KeyedLog
	origins *streamOrigins
	// owns reports whether this daemon writes the history of a service.
	owns func(service string) bool
	// era returns the newest known era of the store; see storeEra.
	era func() int64
	// daemons returns the number of daemons, this one included.
	daemons func() int
	// name is the name of this daemon.
	name string
	// firstStart is set if no earlier process can have stored anything.
	firstStart bool

	// owned holds the services whose history this daemon wrote at the last check, unwritten the histories
	// that were not written yet.
	owned     map[string]bool
	unwritten map[string]continuity.Record
	// batch holds the origins that were not written yet, slot numbers the next record of them.
	batch     []originReport
	slot      int
	nextBatch time.Time
	// reads are the take-ups that wait for a read of the stored origins.
	reads *readRequests
}

func newOriginRecords(log *zap.Logger, store port.KeyedLog, origins *streamOrigins, owns func(string) bool, firstStart bool) *originRecords {
	return &originRecords{
		log: log, store: store, origins: origins, owns: owns, era: func() int64 { return 0 }, daemons: func() int { return 1 },
		firstStart: firstStart, owned: map[string]bool{}, unwritten: map[string]continuity.Record{}, reads: newReadRequests(),
	}
}

// run restores what is stored and writes what changes until ctx is done.
func (r *originRecords) run(ctx context.Context) {
	backoff := newStoreBackoff(r.log, "origins of streams")
	for read := r.firstStart; !read && ctx.Err() == nil; {
		records, _, err := r.store.Newest(ctx, port.TopicOrigins)
		if err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		r.restore(records, time.Now())
		read = true
	}
	era := r.era()
	for clock.Sleep(ctx, originRecordInterval); ctx.Err() == nil; clock.Sleep(ctx, originRecordInterval) {
		newest := r.era()
		r.collect(newest != era)
		era = newest
		if err := r.write(ctx, time.Now()); err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
	}
}

// runReads reads the stored origins when a take-up waits for them, until ctx is done. A read that fails is
// not repeated for the same take-ups: their clients are told at once.
func (r *originRecords) runReads(ctx context.Context) {
	f := topicFollower{store: r.store, topic: port.TopicOrigins}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.reads.wanted:
		}
		for ctx.Err() == nil && r.reads.pending() {
			began := time.Now()
			err := r.readOrigins(ctx, &f)
			if err != nil {
				r.log.Warn("origins of streams cannot be read for a take-up", zap.Error(err))
			}
			r.reads.finish(began, err)
			clock.Sleep(ctx, originReadInterval)
		}
	}
}

// readOrigins applies the stored origins that f has not read yet. Histories are left out: the registry shows
// a running daemon more.
func (r *originRecords) readOrigins(ctx context.Context, f *topicFollower) error {
	read, err := f.next(ctx)
	if err != nil {
		return err
	}
	r.restore(slices.DeleteFunc(read.records, func(record port.KeyedRecord) bool {
		return !strings.HasPrefix(record.Key, originKeyPrefix)
	}), time.Now())
	return nil
}

// restore applies stored records. Records that cannot be decoded are logged and ignored.
func (r *originRecords) restore(records []port.KeyedRecord, now time.Time) {
	for _, record := range records {
		if record.Value == nil {
			continue
		}
		if err := r.restoreRecord(record, now); err != nil {
			r.log.Warn("record of the origins of streams is ignored", zap.String("key", record.Key), zap.Error(err))
		}
	}
}

func (r *originRecords) restoreRecord(record port.KeyedRecord, now time.Time) error {
	if service, ok := strings.CutPrefix(record.Key, historyKeyPrefix); ok {
		var h continuity.Record
		if err := json.Unmarshal(record.Value, &h); err != nil {
			return err
		}
		r.origins.restore(now, service, h, maxClockError)
		return nil
	}
	var b originBatch
	if err := json.Unmarshal(record.Value, &b); err != nil {
		return err
	}
	// A clock that is ahead makes a batch look younger: its streams are then forgotten later.
	age := max(0, now.UnixMilli()-b.WrittenMS-maxClockError.Milliseconds())
	for i := range b.Origins {
		b.Origins[i].AgeMS += age
	}
	r.origins.apply(now, b.Origins)
	return nil
}

// collect takes the histories that this daemon must write: those that have changed, all if the store came
// back from an older copy, and those that another daemon wrote before.
func (r *originRecords) collect(all bool) {
	changed := r.origins.takeChanged()
	for service, record := range r.origins.records() {
		owns := r.owns(service)
		if owns && (all || changed[service] || !r.owned[service]) {
			r.unwritten[service] = record
		}
		r.owned[service] = owns
	}
}

// write writes the collected histories, and the origins of streams if their next record is due, in one
// call.
func (r *originRecords) write(ctx context.Context, now time.Time) error {
	r.batch = append(r.batch, r.origins.takeUnstored()...)
	if extra := len(r.batch) - maxUnsharedOrigins; extra > 0 {
		r.batch = r.batch[extra:]
	}
	var records []port.KeyedRecord
	for service, record := range r.unwritten {
		// A struct of strings and numbers can always be encoded.
		value, _ := json.Marshal(record)
		records = append(records, port.KeyedRecord{Key: historyKeyPrefix + service, Value: value})
	}
	due := len(r.batch) > 0 && !now.Before(r.nextBatch)
	if due {
		value, _ := json.Marshal(originBatch{WrittenMS: now.UnixMilli(), Origins: r.batch[:min(maxBatch, len(r.batch))]})
		key := originKeyPrefix + r.name + "/" + strconv.Itoa(r.slot)
		records = append(records, port.KeyedRecord{Key: key, Value: value})
	}
	if len(records) == 0 {
		return nil
	}
	if err := r.store.Put(ctx, port.TopicOrigins, records); err != nil {
		return err
	}
	clear(r.unwritten)
	if due {
		r.batch, r.slot = r.batch[min(maxBatch, len(r.batch)):], (r.slot+1)%originSlots
		r.nextBatch = now.Add(time.Duration(r.daemons()) * time.Second / originWritesPerSecond)
	}
	return nil
}

package gateway

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/port"
)

// recordStore holds the newest records of one topic and may be away.
type recordStore struct {
	port.KeyedLog
	mu      sync.Mutex
	away    bool
	writes  int
	reads   int
	records map[string][]byte
}

func (s *recordStore) Newest(context.Context, string) ([]port.KeyedRecord, port.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return nil, port.Position{}, port.ErrLogUnavailable
	}
	var out []port.KeyedRecord
	for key, value := range s.records {
		out = append(out, port.KeyedRecord{Key: key, Value: value})
	}
	return out, port.Position{}, nil
}

// Follow has no records but the newest ones.
func (s *recordStore) Follow(context.Context, string, port.Position, time.Duration) ([]port.KeyedRecord, port.Position, error) {
	return nil, port.Position{}, port.ErrLogTruncated
}

func (s *recordStore) Put(_ context.Context, _ string, records []port.KeyedRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return port.ErrLogUnavailable
	}
	s.writes++
	for _, r := range records {
		if s.records[r.Key] = r.Value; r.Value == nil {
			delete(s.records, r.Key)
		}
	}
	return nil
}

// counts returns the number of writes and of records.
func (s *recordStore) counts() (writes, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, len(s.records)
}

func (s *recordStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *recordStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Guards against a part that crashes engines again after all daemons were killed together, against a
// store that is away and keeps daemons from working, and against records that stay after their trait
// was cleared.
func TestBlocksOutliveAllDaemons(t *testing.T) {
	for _, away := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := &recordStore{records: map[string][]byte{}}
			start := func(owner, first bool) (*crashGuard, context.CancelFunc) {
				g := newCrashGuard(zap.NewNop())
				ctx, cancel := context.WithCancel(t.Context())
				go newCrashRecords(zap.NewNop(), store, g, func(crashes.Trait) bool { return owner }, first).run(ctx)
				return g, cancel
			}
			settle := func() { time.Sleep(10 * time.Second) }
			owner, kill := start(true, true)
			other, killOther := start(false, true)
			store.setAway(away)
			for i := range testCrashes {
				at := time.Now().Add(time.Duration(i-testCrashes) * time.Second)
				crash(owner, i, traitsWith(i, "deadly"), at)
				crash(other, i, traitsWith(i, "deadly"), at)
			}
			time.Sleep(time.Second)
			store.setAway(false)
			settle()
			if writes, _ := store.counts(); writes != 1 {
				t.Errorf("store away: %t: the block was written %d times, want once", away, writes)
			}
			kill()
			killOther()

			store.setAway(away)
			restarted, killRestarted := start(true, false)
			time.Sleep(time.Second)
			if decision, _ := restarted.decide(traitsWith(100, "deadly"), time.Now()); (decision == crashes.Allow) != away {
				t.Errorf("store away: %t: decision %d after the restart", away, decision)
			}
			store.setAway(false)
			settle()
			if decision, _ := restarted.decide(traitsWith(100, "deadly"), time.Now()); decision == crashes.Allow {
				t.Error("the restarted daemon does not know the block")
			}
			restarted.recordCompletion(traitsWith(101, "deadly"), time.Now())
			settle()
			if _, records := store.counts(); records != 0 {
				t.Errorf("%d records are left after a request with the part completed", records)
			}
			killRestarted()
		})
	}
}

// Guards against records of other writers or earlier versions that stop a daemon, block requests or
// block them forever.
func TestOddCrashRecords(t *testing.T) {
	now := time.Unix(2_000_000, 0)
	good := crashes.PartTrait("m", "good")
	records := map[string]string{
		"garbage": "{", "empty": "{}", "other key": `{"trait":"part m x","crashes":3}`, "array": "[]",
		crashRecordKey("few"):     `{"trait":"few","crashes":1,"last_crash_ms":2000000000,"next_trial_ms":2000000000}`,
		crashRecordKey("expired"): `{"trait":"expired","crashes":3,"last_crash_ms":1000,"next_trial_ms":2000}`,
		crashRecordKey("distant"): `{"trait":"distant","crashes":1000000000,"last_crash_ms":9000000000000,"next_trial_ms":9000000000000}`,
		crashRecordKey(good):      `{"trait":"part m good","crashes":2,"last_crash_ms":1999999000,"next_trial_ms":2000004000,"later_field":1}`,
	}
	g := newCrashGuard(zap.NewNop())
	var list []port.KeyedRecord
	for key, value := range records {
		list = append(list, port.KeyedRecord{Key: key, Value: []byte(value)})
	}
	newCrashRecords(zap.NewNop(), nil, g, nil, false).restore(append(list, port.KeyedRecord{Key: "removed"}), now)
	blocked := map[crashes.Trait]time.Time{}
	for _, b := range g.blocks() {
		blocked[b.Trait] = b.NextTrial
	}
	want := map[crashes.Trait]time.Time{good: now.Add(4 * time.Second), "distant": now.Add(crashes.MaxTrialDelay)}
	if !maps.EqualFunc(blocked, want, time.Time.Equal) {
		t.Errorf("blocked are %v, want %v", blocked, want)
	}
}

package burn

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// requestEnd is one request in the list from which the test computes the expected counts.
type requestEnd struct {
	at     time.Time
	result Result
}

// Guards against windows that miss requests, count them twice or include requests older
// than the window, and against merged rows that differ from the total of all requests.
func TestWindowsCountEveryRequestOnce(t *testing.T) {
	seeds := uint64(5)
	if n, err := strconv.ParseUint(os.Getenv("BERGAMOT_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 0))
		p := &profile.Profile{Name: "check", Rank: profile.Urgent, Worth: 2}
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		var ends []requestEnd
		now := time.Unix(1_800_000_000, 0)
		for range 500 {
			now = now.Add(time.Duration(rng.IntN(60)) * time.Second)
			for _, tr := range trackers {
				tr.Advance(now)
			}
			e := requestEnd{at: now, result: Result(rng.IntN(4))}
			ends = append(ends, e)
			trackers[rng.IntN(len(trackers))].Count(p, e.result)
			checkRow(t, seed, trackers, ends, now)
		}
	}
}

func checkRow(t *testing.T, seed uint64, trackers []*Tracker, ends []requestEnd, now time.Time) {
	t.Helper()
	var lists [][]Row
	for _, tr := range trackers {
		lists = append(lists, tr.Rows())
	}
	rows := Merge(lists...)
	if len(rows) != 1 || rows[0].Total() != int64(len(ends)) {
		t.Fatalf("seed %d: merged rows are %+v after %d requests", seed, rows, len(ends))
	}
	for _, w := range rows[0].Windows {
		total, missed := expectedCounts(ends, now, w.Seconds)
		if w.Total != total || w.Missed != missed {
			t.Fatalf("seed %d at %s: window of %d s counts %d of %d missed, want %d of %d",
				seed, now, w.Seconds, w.Missed, w.Total, missed, total)
		}
	}
}

// expectedCounts counts the requests in the buckets that a window covers at now.
func expectedCounts(ends []requestEnd, now time.Time, seconds int64) (total, missed int64) {
	length := int64(BucketLength / time.Second)
	oldest := now.Unix()/length - seconds/length
	for _, e := range ends {
		if e.at.Unix()/length <= oldest {
			continue
		}
		total++
		if e.result != AnsweredOnTime {
			missed++
		}
	}
	return total, missed
}

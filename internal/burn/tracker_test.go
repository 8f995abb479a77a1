package burn

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// end is one request that the oracle remembers.
type end struct {
	at     time.Time
	result Result
}

// Guards against windows that drop, repeat or keep requests beyond their length,
// and against sums over daemons that differ from the sum of all requests.
func TestWindowsCountEveryRequestOnce(t *testing.T) {
	seeds := uint64(5)
	if n, err := strconv.ParseUint(os.Getenv("BERGAMOT_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 0))
		p := &profile.Profile{Name: "check", Rank: profile.Urgent, Worth: 2}
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		var ends []end
		now := time.Unix(1_800_000_000, 0)
		for range 500 {
			now = now.Add(time.Duration(rng.IntN(60)) * time.Second)
			for _, tr := range trackers {
				tr.Advance(now)
			}
			e := end{at: now, result: Result(rng.IntN(4))}
			ends = append(ends, e)
			trackers[rng.IntN(len(trackers))].Count(p, e.result)
			checkRow(t, seed, trackers, ends, now)
		}
	}
}

func checkRow(t *testing.T, seed uint64, trackers []*Tracker, ends []end, now time.Time) {
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
		total, missed := expected(ends, now, w.Seconds)
		if w.Total != total || w.Missed != missed {
			t.Fatalf("seed %d at %s: window of %d s counts %d of %d missed, want %d of %d",
				seed, now, w.Seconds, w.Missed, w.Total, missed, total)
		}
	}
}

// expected counts the requests in the buckets that a window covers.
func expected(ends []end, now time.Time, seconds int64) (total, missed int64) {
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

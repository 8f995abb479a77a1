// Package burn counts how far each profile misses its service-level targets.
package burn

import (
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// BucketLength is the resolution of the windows. Tracker.Advance must be called
// at least that often.
const BucketLength = 10 * time.Second

// Result is the end of one request.
type Result int

// Results of a request.
const (
	AnsweredOnTime Result = iota
	AnsweredLate
	Refused
	Unknown
)

// Tracker counts results. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	accounts map[string]*account
	// bucket is the number of the current bucket since the zero time.
	bucket int64
}

// account is the row of one profile and its newest buckets.
type account struct {
	row     Row
	buckets []bucket
}

// bucket counts the requests that ended within one BucketLength.
type bucket struct {
	number int64
	total  int64
	missed int64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{accounts: map[string]*account{}} }

// Advance moves the windows on to now.
func (t *Tracker) Advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bucket = now.Unix() / int64(BucketLength/time.Second)
	for _, a := range t.accounts {
		a.trim(t.bucket)
	}
}

// trim removes buckets that are older than the longest window.
func (a *account) trim(current int64) {
	oldest := current - buckets(Windows[len(Windows)-1])
	first := 0
	for first < len(a.buckets) && a.buckets[first].number <= oldest {
		first++
	}
	a.buckets = append(a.buckets[:0], a.buckets[first:]...)
}

// buckets returns how many buckets a window covers.
func buckets(window time.Duration) int64 { return int64(window / BucketLength) }

// Count adds one result for a profile to the current bucket.
func (t *Tracker) Count(p *profile.Profile, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.accounts[p.Name]
	if !ok {
		a = &account{row: Row{Profile: p.Name}}
		t.accounts[p.Name] = a
	}
	a.row.Rank = p.Rank
	a.row.Targets = Targets{FirstTokenMS: p.FirstTokenMS, TokenMS: p.TokenMS, TotalMS: p.TotalMS}
	a.row.count(result, p.Worth)
	a.countBucket(t.bucket, result != AnsweredOnTime)
}

func (r *Row) count(result Result, worth float64) {
	switch result {
	case AnsweredOnTime:
		r.Answered++
		r.Within++
		r.Worth += worth
	case AnsweredLate:
		r.Answered++
	case Refused:
		r.Refused++
	case Unknown:
		r.Unknown++
	}
}

func (a *account) countBucket(number int64, missed bool) {
	last := len(a.buckets) - 1
	if last < 0 || a.buckets[last].number != number {
		a.buckets = append(a.buckets, bucket{number: number})
		last++
	}
	a.buckets[last].total++
	if missed {
		a.buckets[last].missed++
	}
}

// Rows returns a copy of all rows by rank and profile.
func (t *Tracker) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.accounts))
	for _, a := range t.accounts {
		row := a.row
		row.Windows = a.windows(t.bucket)
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

func (a *account) windows(current int64) []Window {
	out := make([]Window, len(Windows))
	for i, length := range Windows {
		out[i].Seconds = int64(length / time.Second)
		for _, b := range a.buckets {
			if b.number > current-buckets(length) {
				out[i].Total += b.total
				out[i].Missed += b.missed
			}
		}
	}
	return out
}

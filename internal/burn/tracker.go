// Package burn counts for each profile how many requests meet or miss their service-level
// targets, and computes burn rates from the counts.
package burn

import (
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// BucketLength is the resolution of the windows. Tracker.Advance must be called at least
// once in every BucketLength.
const BucketLength = 10 * time.Second

// Result classifies how a request ended.
type Result int

// Results of a request.
const (
	// AnsweredOnTime means a complete response that met the targets of its profile.
	AnsweredOnTime Result = iota
	// AnsweredLate means a complete response that missed a target.
	AnsweredLate
	// Refused means that the request was refused and did not run.
	Refused
	// Unknown means that the request was not answered but may have run.
	Unknown
)

// Tracker counts request results by profile. It is safe for concurrent use.
type Tracker struct {
	// mu guards the fields below.
	mu        sync.Mutex
	byProfile map[string]*profileCounts
	// currentBucket is the number of the current bucket, counted from the Unix epoch.
	currentBucket int64
}

// profileCounts holds the row of one profile and its buckets within the longest window,
// oldest first.
type profileCounts struct {
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
func NewTracker() *Tracker { return &Tracker{byProfile: map[string]*profileCounts{}} }

// Advance moves the windows forward to now and removes expired buckets.
func (t *Tracker) Advance(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.currentBucket = now.Unix() / int64(BucketLength/time.Second)
	for _, a := range t.byProfile {
		a.trim(t.currentBucket)
	}
}

// trim removes the buckets that are older than the longest window. current is the number
// of the current bucket.
func (a *profileCounts) trim(current int64) {
	oldest := current - buckets(Windows[len(Windows)-1])
	expired := 0
	for expired < len(a.buckets) && a.buckets[expired].number <= oldest {
		expired++
	}
	a.buckets = append(a.buckets[:0], a.buckets[expired:]...)
}

// buckets returns the number of buckets that a window covers.
func buckets(window time.Duration) int64 { return int64(window / BucketLength) }

// Count adds one result for a profile to the current bucket.
func (t *Tracker) Count(p *profile.Profile, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byProfile[p.Name]
	if !ok {
		a = &profileCounts{row: Row{Profile: p.Name}}
		t.byProfile[p.Name] = a
	}
	a.row.Rank = p.Rank
	a.row.Targets = Targets{FirstTokenMS: p.FirstTokenMS, TokenMS: p.TokenMS, TotalMS: p.TotalMS}
	a.row.count(result, p.Worth)
	a.countBucket(t.currentBucket, result != AnsweredOnTime)
}

func (r *Row) count(result Result, worth float64) {
	switch result {
	case AnsweredOnTime:
		r.Answered++
		r.OnTime++
		r.Worth += worth
	case AnsweredLate:
		r.Answered++
	case Refused:
		r.Refused++
	case Unknown:
		r.Unknown++
	}
}

func (a *profileCounts) countBucket(number int64, missed bool) {
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

// Rows returns a copy of all rows, sorted by rank and profile.
func (t *Tracker) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.byProfile))
	for _, a := range t.byProfile {
		row := a.row
		row.Windows = a.windows(t.currentBucket)
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

func (a *profileCounts) windows(current int64) []Window {
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

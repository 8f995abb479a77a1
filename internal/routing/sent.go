package routing

import (
	"sync/atomic"
	"time"
)

const (
	// sentInterval is the length of the interval that one slot of a sentLog covers.
	sentInterval = 250 * time.Millisecond
	// sentSlots covers reports that are up to 8 s old.
	sentSlots = 32
)

// sentLog counts the prompt tokens sent per interval of time. It is safe for concurrent
// use. If two goroutines start a new slot at the same time, one count can be lost; the
// estimated load is then slightly too low.
type sentLog struct {
	slots [sentSlots]sentSlot
}

type sentSlot struct {
	// interval is the number of the interval that the slot counts; see intervalOf.
	interval atomic.Int64
	tokens   atomic.Int64
}

// intervalOf returns the number of the interval since the Unix epoch.
func intervalOf(t time.Time) int64 { return t.UnixNano() / int64(sentInterval) }

func (l *sentLog) add(now time.Time, tokens int64) {
	interval := intervalOf(now)
	slot := &l.slots[uint64(interval)%sentSlots]
	if old := slot.interval.Load(); old != interval && slot.interval.CompareAndSwap(old, interval) {
		slot.tokens.Store(0)
	}
	slot.tokens.Add(tokens)
}

// backlog predicts the prompt tokens that are queued now: those queued at the time of the
// report, plus those sent since, less those processed at capacity tokens per second. Tokens
// sent more than sentSlots intervals ago are ignored.
func (l *sentLog) backlog(now, reported time.Time, queued, capacity float64) float64 {
	current := intervalOf(now)
	first := max(intervalOf(reported), current-sentSlots+1)
	perInterval := capacity * sentInterval.Seconds()
	if skipped := float64(first - intervalOf(reported)); skipped > 0 {
		queued = max(0, queued-skipped*perInterval)
	}
	for i := first; i <= current; i++ {
		slot := &l.slots[uint64(i)%sentSlots]
		if slot.interval.Load() == i {
			queued += float64(slot.tokens.Load())
		}
		if i < current {
			queued = max(0, queued-perInterval)
		}
	}
	elapsed := float64(now.UnixNano()-current*int64(sentInterval)) / float64(time.Second)
	return max(0, queued-capacity*elapsed)
}

package routing

import (
	"sync/atomic"
	"time"
)

const (
	// sentInterval is the resolution of a sentLog.
	sentInterval = 250 * time.Millisecond
	// sentSlots covers reports that are up to 8 s old.
	sentSlots = 32
)

// sentLog counts the prompt tokens sent per interval of time. It is safe for
// concurrent use. Two writers that open a slot at the same moment can lose one
// count, which only makes one estimate of load a little too low.
type sentLog struct {
	slots [sentSlots]sentSlot
}

type sentSlot struct {
	interval atomic.Int64
	tokens   atomic.Int64
}

func intervalOf(t time.Time) int64 { return t.UnixNano() / int64(sentInterval) }

func (l *sentLog) add(now time.Time, tokens int64) {
	interval := intervalOf(now)
	slot := &l.slots[uint64(interval)%sentSlots]
	if old := slot.interval.Load(); old != interval && slot.interval.CompareAndSwap(old, interval) {
		slot.tokens.Store(0)
	}
	slot.tokens.Add(tokens)
}

// backlog predicts the prompt tokens that wait now: what waited at the time of
// the report, plus what was sent since, less what the engine worked off at
// capacity tokens per second.
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

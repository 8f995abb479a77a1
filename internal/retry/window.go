package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of intervals that a window is counted in.
const windowSlots = 10

// Window limits retries in a sliding window to a ratio of the first sends plus a
// constant. It is safe for concurrent use.
type Window struct {
	mu sync.Mutex
	// origin is the first time that was seen. Slots are counted from it, so that they
	// follow the steady clock: the time of day may jump.
	origin time.Time
	ratio  float64
	slack  float64
	slot   time.Duration
	slots  [windowSlots + 1]windowSlot
	newest int64
}

type windowSlot struct {
	first   int
	retries int
}

// NewWindow returns a limit of ratio retries per first send plus slack in any window
// of the given length.
func NewWindow(ratio, slack float64, length time.Duration) *Window {
	return &Window{ratio: ratio, slack: slack, slot: max(time.Millisecond, length/windowSlots)}
}

// SetLimits changes the limit. What was counted stays.
func (w *Window) SetLimits(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// at returns the slot of a time and empties those that have left the window. One slot
// more than the window is kept, so that the limit holds for every span of its length.
func (w *Window) at(now time.Time) *windowSlot {
	if w.origin.IsZero() {
		w.origin = now
	}
	number := max(0, int64(now.Sub(w.origin)/w.slot))
	for n := max(w.newest+1, number-windowSlots); n <= number; n++ {
		w.slots[n%int64(len(w.slots))] = windowSlot{}
	}
	w.newest = max(w.newest, number)
	return &w.slots[w.newest%int64(len(w.slots))]
}

// RecordFirstSend counts a first send.
func (w *Window) RecordFirstSend(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(now).first++
}

// TryRetry counts a retry if the limit allows one.
func (w *Window) TryRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.at(now)
	first, retries := w.totals()
	if float64(retries+1) > w.ratio*float64(first)+w.slack {
		return false
	}
	slot.retries++
	return true
}

// Refund takes back a retry that was not sent after all.
func (w *Window) Refund(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slot := w.at(now); slot.retries > 0 {
		slot.retries--
	}
}

// RecordRetry counts a retry that has already been sent.
func (w *Window) RecordRetry(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.at(now).retries++
}

func (w *Window) totals() (first, retries int) {
	for _, s := range w.slots {
		first += s.first
		retries += s.retries
	}
	return first, retries
}

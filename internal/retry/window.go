package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 10

// Window limits the retries in a sliding window to a ratio of the first attempts plus a
// constant. It is safe for concurrent use.
type Window struct {
	mu sync.Mutex
	// origin is the time of the first call. Slots are numbered from it, so that they
	// follow the monotonic clock: the time of day may jump.
	origin     time.Time
	ratio      float64
	slack      float64
	slotLength time.Duration
	slots      [windowSlots + 1]windowSlot
	newestSlot int64
}

type windowSlot struct {
	firstAttempts int
	retries       int
}

// NewWindow returns a Window that allows ratio retries per first attempt plus slack in any
// period of the given length.
func NewWindow(ratio, slack float64, length time.Duration) *Window {
	return &Window{ratio: ratio, slack: slack, slotLength: max(time.Millisecond, length/windowSlots)}
}

// SetLimits changes the limit and keeps the counts.
func (w *Window) SetLimits(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

// slotAt returns the slot of a time and clears the slots that have left the window. One slot
// more than windowSlots is kept, so that the limit holds for every period of the window's
// length. Window.mu must be held.
func (w *Window) slotAt(now time.Time) *windowSlot {
	if w.origin.IsZero() {
		w.origin = now
	}
	number := max(0, int64(now.Sub(w.origin)/w.slotLength))
	for n := max(w.newestSlot+1, number-windowSlots); n <= number; n++ {
		w.slots[n%int64(len(w.slots))] = windowSlot{}
	}
	w.newestSlot = max(w.newestSlot, number)
	return &w.slots[w.newestSlot%int64(len(w.slots))]
}

// RecordFirstAttempt records a first attempt.
func (w *Window) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotAt(now).firstAttempts++
}

// Reservation is a retry that a Window counts. The zero value is none.
type Reservation struct {
	window *Window
	slot   int64
}

// Cancel removes the retry from the window, for a retry that did not reach a runner. It has no
// effect on the zero value, or once the window has passed.
func (r Reservation) Cancel() {
	if r.window == nil {
		return
	}
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	if r.window.newestSlot-r.slot <= windowSlots {
		r.window.slots[r.slot%int64(len(r.window.slots))].retries--
	}
}

// Reserve counts a retry if the limit allows one, and reports whether it does.
func (w *Window) Reserve(now time.Time) (Reservation, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.slotAt(now)
	firstAttempts, retries := w.totals()
	if float64(retries+1) > w.ratio*float64(firstAttempts)+w.slack {
		return Reservation{}, false
	}
	slot.retries++
	return Reservation{window: w, slot: w.newestSlot}, true
}

// Record counts a retry regardless of the limit, for one that has already been sent.
func (w *Window) Record(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotAt(now).retries++
}

// Usage is the state of a Window at one moment.
type Usage struct {
	// Requests and Retries are the first attempts and the retries in the window.
	Requests int `json:"requests"`
	Retries  int `json:"retries"`
	// Allowed is the number of retries that the limit allows for Requests.
	Allowed float64 `json:"allowed"`
}

// Usage returns the counts of the window and its limit at now.
func (w *Window) Usage(now time.Time) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotAt(now)
	firstAttempts, retries := w.totals()
	return Usage{Requests: firstAttempts, Retries: retries, Allowed: w.ratio*float64(firstAttempts) + w.slack}
}

// UsedSlack returns how many of the retries in the window the ratio alone would not have allowed.
func (w *Window) UsedSlack(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slotAt(now)
	firstAttempts, retries := w.totals()
	return max(0, float64(retries)-w.ratio*float64(firstAttempts))
}

// totals returns the counts of all slots. Window.mu must be held.
func (w *Window) totals() (firstAttempts, retries int) {
	for _, s := range w.slots {
		firstAttempts += s.firstAttempts
		retries += s.retries
	}
	return firstAttempts, retries
}

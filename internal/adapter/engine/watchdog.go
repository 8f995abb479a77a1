package engine

import (
	"sync"
	"time"
)

// silenceRecheckInterval is the time until the next call of mayEnd after one that returned false.
const silenceRecheckInterval = 200 * time.Millisecond

// watchdog calls a function once it has run for the time in after without a reset. It is safe
// for concurrent use.
type watchdog struct {
	after time.Duration
	// mayEnd, unless nil, is called before expired, and has to return true.
	mayEnd  func() bool
	expired func()

	// mu guards timer and resets.
	mu    sync.Mutex
	timer *time.Timer
	// resets counts the calls of reset and stop.
	resets uint64
	due    time.Time
}

// newWatchdog returns a running watchdog.
func newWatchdog(after time.Duration, mayEnd func() bool, expired func()) *watchdog {
	w := &watchdog{after: after, mayEnd: mayEnd, expired: expired, due: time.Now().Add(after)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, w.fire)
	return w
}

func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resets++
	w.startLocked(w.after)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resets++
	w.timer.Stop()
}

// startLocked starts the timer. The caller holds w.mu.
func (w *watchdog) startLocked(after time.Duration) {
	w.due = time.Now().Add(after)
	w.timer.Reset(after)
}

// fire calls expired unless the watchdog was reset meanwhile.
func (w *watchdog) fire() {
	w.mu.Lock()
	resets := w.resets
	early := time.Now().Before(w.due)
	w.mu.Unlock()
	if early {
		// A reset crossed the timer, which runs again.
		return
	}
	end := w.mayEnd == nil || w.mayEnd()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.resets != resets:
	case end:
		w.expired()
	default:
		w.startLocked(silenceRecheckInterval)
	}
}

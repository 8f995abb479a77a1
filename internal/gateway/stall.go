package gateway

import (
	"context"
	"maps"
	"sync"
	"time"
)

// stallRecheckInterval is how long a stalled attempt continues when the retry limit does not
// allow another one, before the limit is checked again.
const stallRecheckInterval = 200 * time.Millisecond

// stallWatch ends an attempt without progress once the retry limit allows another one. The zero
// value never ends an attempt.
type stallWatch struct {
	// maxGap is the longest time without progress after the first progress.
	maxGap time.Duration
	// runner is the id of the runner of the attempt.
	runner string

	// mu guards timer and ended.
	mu    sync.Mutex
	timer *time.Timer
	// ended is set once the attempt was ended as stalled, or by stop.
	ended bool
}

// watchStall returns a watch that ends an attempt through cancel with the cause errStalled if the
// first progress takes longer than firstTimeout, or later progress longer than maxGap; see expire.
// Ending an attempt reserves the retry that replaces it. The caller must call stop.
func (c *call) watchStall(cancel context.CancelCauseFunc, runner string, firstTimeout time.Duration) *stallWatch {
	w := &stallWatch{maxGap: max(minStallTimeout, gapFactor*c.route.GapTarget), runner: runner}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(firstTimeout, func() { w.expire(c, cancel) })
	return w
}

// expire ends the attempt if another runner and a retry are available; otherwise it restarts the
// timer with stallRecheckInterval.
func (w *stallWatch) expire(c *call, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if !c.hasAlternative(w.runner) || !c.reserveRetry() {
		w.timer.Reset(stallRecheckInterval)
		return
	}
	w.ended = true
	cancel(errStalled)
}

// progress restarts the timer for the next gap.
func (w *stallWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.ended {
		w.timer.Reset(w.maxGap)
	}
}

// stop ends the watch, not the attempt.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// hasAlternative reports whether another runner is predicted to respond before the client
// disconnects.
func (c *call) hasAlternative(runner string) bool {
	q := c.placementQuery()
	q.NoPrefill = true
	q.Excluded = maps.Clone(q.Excluded)
	q.Excluded[runner] = true
	firstEvent, _, ok := c.gateway.fleet.Predict(time.Now(), q)
	return ok && firstEvent < q.ClientTimeout
}

// reserveRetry reserves a retry from the shared limit.
func (c *call) reserveRetry() bool {
	if !c.gateway.retryWindow(c.service).TryRetry(time.Now()) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}

// useReservedRetry consumes a reserved retry and reports whether there was one.
func (c *call) useReservedRetry() bool { return c.retryReserved.Swap(false) }

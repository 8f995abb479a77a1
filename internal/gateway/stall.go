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
	maxGap time.Duration
	// runner is the id of the runner of the attempt.
	runner string

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchStall starts a timer for the first progress of an attempt. Ending an attempt reserves
// the retry that replaces it.
func (c *call) watchStall(cancel context.CancelCauseFunc, runner string, firstTimeout time.Duration) *stallWatch {
	w := &stallWatch{maxGap: max(minStallTimeout, gapFactor*c.route.GapTarget), runner: runner}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(firstTimeout, func() { w.expire(c, cancel) })
	return w
}

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

package gateway

import (
	"context"
	"maps"
	"sync"
	"time"
)

// stallRecheckInterval is how long a stalled attempt goes on when the limit of retries does not
// allow another one, before that is asked again.
const stallRecheckInterval = 200 * time.Millisecond

// stallWatch ends an attempt that makes no progress once the limit of retries allows
// another. The zero value never ends one.
type stallWatch struct {
	maxGap time.Duration
	// runner is the id of the runner of the attempt.
	runner string

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchStall gives an attempt a time to its first progress. Ending an attempt reserves
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

// progress allows the next pause.
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

// hasAlternative tells whether another runner is predicted to answer before the client
// leaves.
func (c *call) hasAlternative(runner string) bool {
	q := c.placementQuery()
	q.NoPrefill = true
	q.Excluded = maps.Clone(q.Excluded)
	q.Excluded[runner] = true
	firstEvent, _, ok := c.gateway.fleet.Predict(time.Now(), q)
	return ok && firstEvent < q.Patience
}

// reserveRetry takes a retry from the shared limit in advance.
func (c *call) reserveRetry() bool {
	if !c.gateway.retryWindow(c.service).Take(time.Now()) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}

// useReservedRetry uses a retry that was reserved.
func (c *call) useReservedRetry() bool { return c.retryReserved.Swap(false) }

package gateway

import (
	"context"
	"maps"
	"sync"
	"time"
)

// stallRecheck is how long a stalled attempt goes on when the limit of retries does not
// allow another one, before that is asked again.
const stallRecheck = 200 * time.Millisecond

// stallWatch ends an attempt that makes no progress once the limit of retries allows
// another. The zero value never ends one.
type stallWatch struct {
	gap time.Duration
	// runner is the id of the runner of the attempt.
	runner string

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchStall gives an attempt a time to its first progress. Ending an attempt reserves
// the retry that replaces it.
func (c *call) watchStall(cancel context.CancelCauseFunc, runner string, first time.Duration) *stallWatch {
	w := &stallWatch{gap: max(stallLeast, gapFactor*c.route.GapTarget), runner: runner}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() { w.expire(c, cancel) })
	return w
}

func (w *stallWatch) expire(c *call, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if !c.hasAlternative(w.runner) || !c.reserve() {
		w.timer.Reset(stallRecheck)
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
		w.timer.Reset(w.gap)
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
	q := c.query()
	q.NoPrefill = true
	q.Excluded = maps.Clone(q.Excluded)
	q.Excluded[runner] = true
	first, _, ok := c.gateway.fleet.Predict(time.Now(), q)
	return ok && first < q.ClientTimeout
}

// reserve takes a retry from the shared limit in advance.
func (c *call) reserve() bool {
	if !c.gateway.retries(c.service).TryRetry(time.Now()) {
		return false
	}
	c.reserved.Store(true)
	return true
}

// takeReserved uses a retry that was reserved.
func (c *call) takeReserved() bool { return c.reserved.Swap(false) }

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

// stallMonitor ends an attempt without progress once the retry limit allows another one. The zero
// value never ends an attempt.
type stallMonitor struct {
	// maxGap is the longest time without progress after the first progress.
	maxGap time.Duration
	// runner is the id of the runner of the attempt.
	runner string
	// queued reports whether the attempt waits behind others that make progress; nil if that is
	// unknown.
	queued func() bool

	// mu guards timer and ended.
	mu    sync.Mutex
	timer *time.Timer
	// ended is set once the attempt was ended as stalled, or by stop.
	ended bool
}

// startStallMonitor returns a monitor that ends an attempt through cancel with the cause
// errStalled if the first progress takes longer than firstTimeout, or later progress longer than
// maxGap; see expire.
// Ending an attempt reserves the retry that replaces it. The caller must call stop. queued may be
// nil.
func (c *call) startStallMonitor(cancel context.CancelCauseFunc, runner string, firstTimeout time.Duration, queued func() bool) *stallMonitor {
	m := &stallMonitor{maxGap: max(minStallTimeout, gapFactor*c.route.GapTarget), runner: runner, queued: queued}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(firstTimeout, func() { m.expire(c, cancel) })
	return m
}

// expire ends the attempt if it is not merely queued and if another runner and a retry are
// available; otherwise it restarts the timer with stallRecheckInterval.
func (m *stallMonitor) expire(c *call, cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	if m.queued != nil && m.queued() || !c.hasAlternative(m.runner) || !c.reserveRetry() {
		m.timer.Reset(stallRecheckInterval)
		return
	}
	m.ended = true
	cancel(errStalled)
}

// progress restarts the timer for the next gap.
func (m *stallMonitor) progress() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil && !m.ended {
		m.timer.Reset(m.maxGap)
	}
}

// stop ends the monitoring, not the attempt.
func (m *stallMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
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

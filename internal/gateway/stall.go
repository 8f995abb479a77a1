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

// stallLimits say when an attempt is stalled.
type stallLimits struct {
	// runner is the id of the runner of the attempt.
	runner string
	// firstTimeout is the longest time until the first progress.
	firstTimeout time.Duration
	// queued reports whether the attempt waits behind others that make progress; nil if that is
	// unknown.
	queued func() bool
	// replaceable is set if the attempt holds the place of the retry limit that the next attempt
	// uses. Otherwise ending the attempt reserves a place.
	replaceable bool
}

// stallMonitor ends an attempt without progress once the retry limit allows another one. The zero
// value never ends an attempt.
type stallMonitor struct {
	limits stallLimits
	// maxGap is the longest time without progress after the first progress.
	maxGap time.Duration

	// mu guards timer and ended.
	mu    sync.Mutex
	timer *time.Timer
	// ended is set once the attempt was ended as stalled, or by stop.
	ended bool
}

// startStallMonitor returns a monitor that ends an attempt through cancel with the cause
// errStalled if the first progress takes longer than limits.firstTimeout, or later progress longer
// than maxGap; see expire. The caller must call stop.
func (c *call) startStallMonitor(cancel context.CancelCauseFunc, limits stallLimits) *stallMonitor {
	m := &stallMonitor{limits: limits, maxGap: max(minStallTimeout, gapFactor*c.route.GapTarget)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(limits.firstTimeout, func() { m.expire(c, cancel) })
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
	queued := m.limits.queued != nil && m.limits.queued()
	if queued || !c.hasAlternative(m.limits.runner) || !m.limits.replaceable && !c.reserveReplacement() {
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

// reserveReplacement reserves the retry that replaces the current attempt.
func (c *call) reserveReplacement() bool {
	reservation, ok := c.gateway.retryWindow(c.service).Reserve(time.Now())
	if ok {
		c.reservedRetry.Store(&reservation)
	}
	return ok
}

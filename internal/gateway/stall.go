package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
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
	// reportSilence is called once gaps between events are longer than those of engines that work; nil
	// if nobody has to know.
	reportSilence func(now, since time.Time)
}

// stallMonitor handles an attempt without progress. Before the client has received events, it ends the
// attempt once the retry limit allows another one. After that only the rest of the stream can be
// replaced, so that the attempt continues until a replacement is accepted. The zero value never ends an
// attempt.
type stallMonitor struct {
	// call is nil in the zero value.
	call *call
	// ctx is the context of the request, cancel ends the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	limits stallLimits
	// maxGap is the longest time without progress after the first progress, silentGap the time after
	// which reportSilence is called.
	maxGap, silentGap time.Duration

	// mu guards the fields below. While awaiting is set, it also guards the fields of the call that
	// countReplacement changes.
	mu    sync.Mutex
	timer *time.Timer
	// ended is set once the attempt was ended as stalled, or by stop.
	ended bool
	// begun is set once the client has received events, awaiting while no events are being forwarded.
	begun, awaiting bool
	// gapBegan is when the current wait for events began, zero before the first events.
	gapBegan time.Time
	// pending is a replacement without a result, successor the one that takes over; nil if there is
	// none.
	pending, successor *replacement
}

// startStallMonitor returns a monitor of an attempt that cancel ends: the attempt is stalled if the
// first progress takes longer than limits.firstTimeout, or later progress longer than maxGap; see
// expire. The caller must call stop.
func (c *call) startStallMonitor(ctx context.Context, cancel context.CancelCauseFunc, limits stallLimits) *stallMonitor {
	m := &stallMonitor{
		call: c, ctx: ctx, cancel: cancel, limits: limits, begun: c.headerWritten, awaiting: true,
		maxGap: max(maxSoundSilence, gapFactor*c.route.GapTarget), silentGap: max(minStallTimeout, gapFactor*c.route.GapTarget),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(limits.firstTimeout, m.expire)
	return m
}

// expire ends or replaces an attempt that is not merely queued if another runner and a retry are
// available. It restarts the timer while the attempt continues.
func (m *stallMonitor) expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || !m.awaiting {
		return
	}
	gap := time.Since(m.gapBegan)
	if m.begun && gap >= m.silentGap && m.limits.reportSilence != nil {
		m.limits.reportSilence(time.Now(), m.gapBegan)
	}
	if gap < m.maxGap {
		m.timer.Reset(m.maxGap - gap)
		return
	}
	if m.begun {
		m.replace()
		return
	}
	queued := m.limits.queued != nil && m.limits.queued()
	if queued || !m.call.hasAlternative(m.limits.runner) || !m.limits.replaceable && !m.call.reserveReplacement() {
		m.timer.Reset(stallRecheckInterval)
		return
	}
	m.ended = true
	m.cancel(errStalled)
}

// replace sends a replacement, or lets the one that was sent take over. m.mu must be held.
func (m *stallMonitor) replace() {
	if m.pending != nil {
		m.takeOver()
		return
	}
	m.timer.Reset(stallRecheckInterval)
	r := m.call.placeReplacement(m.ctx, m.limits.runner)
	if r == nil {
		return
	}
	m.pending = r
	m.timer.Reset(maxOverlap)
	options := m.call.runOptions(r.inFlight, port.KVCacheHandle{})
	go func() {
		r.send(m.call, options)
		m.settle(r)
	}()
}

// settle handles the result of a replacement: it takes over, or the attempt continues.
func (m *stallMonitor) settle(r *replacement) {
	m.mu.Lock()
	switch {
	case m.successor == r:
		m.mu.Unlock()
		return
	case m.pending != r:
	case r.accepted(m.call):
		m.takeOver()
		m.mu.Unlock()
		return
	default:
		m.pending = nil
		err := r.err
		if err == nil {
			err = errRunnerFailed
		}
		m.call.exclude(r.inFlight.Runner())
		m.call.countReplacement(r, err)
		m.call.recordConnectionLoss(err, r.inFlight.Runner(), 0)
		m.timer.Reset(stallRecheckInterval)
	}
	m.mu.Unlock()
	r.release()
}

// takeOver ends the attempt in favour of its replacement. m.mu must be held.
func (m *stallMonitor) takeOver() {
	m.successor, m.pending = m.pending, nil
	m.ended = true
	m.timer.Stop()
	m.cancel(errStalled)
}

// arrived records progress and suspends the monitoring until await. It returns false if the attempt was
// ended as stalled, so that its response must not be forwarded.
func (m *stallMonitor) arrived() bool {
	if m.call == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return false
	}
	m.begun, m.awaiting = true, false
	m.timer.Stop()
	m.dropPending()
	return true
}

// await starts the wait for the next events.
func (m *stallMonitor) await() {
	if m.call == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ended {
		m.awaiting, m.gapBegan = true, time.Now()
		m.timer.Reset(m.silentGap)
	}
}

// dropPending ends a replacement without a result. m.mu must be held.
func (m *stallMonitor) dropPending() {
	if m.pending == nil {
		return
	}
	m.pending.cancel(errProgressed)
	m.call.countReplacement(m.pending, errProgressed)
	m.pending = nil
}

// stop ends the monitoring, not the attempt.
func (m *stallMonitor) stop() {
	if m.call == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.timer.Stop()
	m.dropPending()
}

// next returns the replacement that continues the stream after the attempt has failed, also if it has
// no result yet, or nil. It ends the monitoring.
func (m *stallMonitor) next() *replacement {
	if m.call == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending != nil {
		m.takeOver()
	}
	m.ended = true
	m.timer.Stop()
	return m.successor
}

// hasAlternative reports whether another runner is predicted to respond before the client
// disconnects.
func (c *call) hasAlternative(runner string) bool {
	q := c.placementQuery()
	q.NoPrefill = true
	q.Excluded = maps.Clone(q.Excluded)
	q.Excluded[runner] = true
	firstEvent, ok := c.gateway.fleet.PredictAlternative(time.Now(), q)
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

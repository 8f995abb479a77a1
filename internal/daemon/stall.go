package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// stallFactor is how long a stream may deliver heartbeats without tokens before the
	// engine's queue is checked, as a multiple of the progress timeout of a connection.
	stallFactor = 2
	// maxQueueChecks bounds how often a stream that has delivered tokens may keep waiting
	// because the engine's queue changes: the prefill of other prompts interrupts a
	// stream only for a short time.
	maxQueueChecks = 3
	// stallRecheckInterval is the time until a stalled stream without a replacement is
	// checked again.
	stallRecheckInterval = time.Second
)

// errStalled reports a stream that delivers heartbeats but no tokens although the engine's
// prompt queue makes no progress, or for longer than that progress can explain.
var errStalled = errors.New("response stalled: heartbeats without tokens")

// stallMonitor cancels an attempt whose response makes no progress although its connection
// does.
type stallMonitor struct {
	// cancel ends the attempt.
	cancel      context.CancelCauseFunc
	replacement *replacement
	// interval is the time without tokens after which the engine's queue is checked, and
	// prefillTime the estimated time that the engine needs to prefill the prompt.
	interval, prefillTime time.Duration
	// waitingSince is when the wait for the next token began, in nanoseconds of Unix
	// time, or 0 while no token is awaited.
	waitingSince atomic.Int64
	// receivedToken is set once the attempt has delivered a token.
	receivedToken atomic.Bool
}

// startStallMonitor starts a goroutine that monitors an attempt until ctx ends. If the
// attempt stalls and has a replacement, the goroutine calls cancel with errStalled.
func (d *Daemon) startStallMonitor(ctx context.Context, cancel context.CancelCauseFunc, g *generation, next *replacement) *stallMonitor {
	s := &stallMonitor{
		cancel:      cancel,
		replacement: next,
		interval:    stallFactor * d.settings.Timing.Progress.Std(),
	}
	if r := next.upstream.Report(); r != nil && r.Status.Capacity > 0 {
		seconds := float64(g.permit.request.PromptTokens) / float64(r.Status.Capacity)
		s.prefillTime = time.Duration(seconds * float64(time.Second))
	}
	s.startWait()
	go s.run(ctx)
	return s
}

// startWait starts a wait for the next token.
func (s *stallMonitor) startWait() { s.waitingSince.Store(time.Now().UnixNano()) }

// endWait ends the wait after a token has arrived, so that a slow write to the caller does
// not count as a stall.
func (s *stallMonitor) endWait() {
	s.receivedToken.Store(true)
	s.waitingSince.Store(0)
}

// waitLimit returns the time without tokens after which the engine's queue is checked.
// Before the first token it includes the prefill time.
func (s *stallMonitor) waitLimit() time.Duration {
	if s.receivedToken.Load() {
		return s.interval
	}
	return s.interval + s.prefillTime
}

// run checks the engine's prompt queue when the wait limit passes without a token and then
// at each interval. From the second check on, it cancels the attempt if the queue has not
// changed, the engine's status is unavailable, or a stream that has delivered tokens has
// exceeded maxQueueChecks, provided that a replacement is certain. A new wait restarts the
// checks.
func (s *stallMonitor) run(ctx context.Context) {
	var lastStatus *port.EngineStatus
	checks, lastSince, delay := 0, s.waitingSince.Load(), s.waitLimit()
	for {
		clock.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return
		}
		since := s.waitingSince.Load()
		if since != lastSince {
			lastSince, lastStatus, checks = since, nil, 0
		}
		idle := time.Since(time.Unix(0, since))
		if since == 0 {
			idle = 0
		}
		if delay = s.waitLimit() - idle; delay > 0 {
			continue
		}
		status, err := s.replacement.upstream.Engine.Status(ctx)
		checks++
		tooLong := s.receivedToken.Load() && checks > maxQueueChecks
		stalled := lastStatus != nil && (err != nil || tooLong || !queueChanged(*lastStatus, status))
		if !stalled {
			lastStatus, delay = &status, s.interval
			continue
		}
		if s.replacement.certain(ctx) && s.waitingSince.Load() == since {
			s.cancel(errStalled)
			return
		}
		delay = stallRecheckInterval
	}
}

// queueChanged reports whether the prompt queue differs between two engine reports.
func queueChanged(before, after port.EngineStatus) bool {
	return before.Queued != after.Queued || before.QueuedPrefillTokens != after.QueuedPrefillTokens
}

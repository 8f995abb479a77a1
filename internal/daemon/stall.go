package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// stallFactor times the longest silence is how long a stream may bring heartbeats
	// without tokens before the engine's queue is looked at.
	stallFactor = 2
	// maxQueueChecks bounds how often a stream that has brought tokens may wait because
	// the queue moves: prompts that are read interrupt it only for a while.
	maxQueueChecks = 3
)

// errStalled reports a stream that brings heartbeats and no tokens while the prompts
// that wait at the engine do not get fewer.
var errStalled = errors.New("answer stalled: heartbeats without tokens")

// stallMonitor watches for an answer that makes no progress although its connection does.
type stallMonitor struct {
	// cancel ends the attempt.
	cancel   context.CancelCauseFunc
	upstream *routing.Upstream
	// interval is the time without tokens until the engine's queue is looked at, and
	// prefillTime what the engine needs to read the prompt.
	interval, prefillTime time.Duration
	// waitingSince is when the wait for the next token began in nanoseconds of Unix time, or
	// 0 while nothing is waited for.
	waitingSince atomic.Int64
	// receivedToken is set once the attempt has brought a receivedToken.
	receivedToken atomic.Bool
}

// startStallMonitor starts to watch an attempt until ctx ends. cancel ends the attempt.
func (d *Daemon) startStallMonitor(ctx context.Context, cancel context.CancelCauseFunc, g *generation, u *routing.Upstream) *stallMonitor {
	s := &stallMonitor{
		cancel:   cancel,
		upstream: u,
		interval: stallFactor * d.settings.Timing.Progress.Std(),
	}
	if r := u.Report(); r != nil && r.Status.Capacity > 0 {
		seconds := float64(g.permit.request.PromptTokens) / float64(r.Status.Capacity)
		s.prefillTime = time.Duration(seconds * float64(time.Second))
	}
	s.startWait()
	go s.run(ctx)
	return s
}

// startWait starts a wait for the next token.
func (s *stallMonitor) startWait() { s.waitingSince.Store(time.Now().UnixNano()) }

// endWait ends the wait after a token arrived, as a slow caller is no stall.
func (s *stallMonitor) endWait() {
	s.receivedToken.Store(true)
	s.waitingSince.Store(0)
}

// waitLimit returns the time without tokens until the engine's queue is looked at.
func (s *stallMonitor) waitLimit() time.Duration {
	if s.receivedToken.Load() {
		return s.interval
	}
	return s.interval + s.prefillTime
}

func (s *stallMonitor) run(ctx context.Context) {
	var queue *port.EngineStatus
	waits, seen, wake := 0, s.waitingSince.Load(), s.waitLimit()
	for {
		clock.Sleep(ctx, wake)
		if ctx.Err() != nil {
			return
		}
		since := s.waitingSince.Load()
		if since != seen {
			seen, queue, waits = since, nil, 0
		}
		idle := time.Since(time.Unix(0, since))
		if since == 0 {
			idle = 0
		}
		if wake = s.waitLimit() - idle; wake > 0 {
			continue
		}
		status, err := s.upstream.Engine.Status(ctx)
		waits++
		tooLong := s.receivedToken.Load() && waits > maxQueueChecks
		if queue != nil && (err != nil || tooLong || !queueChanged(*queue, status)) {
			s.cancel(errStalled)
			return
		}
		queue, wake = &status, s.interval
	}
}

// queueChanged tells whether the queue of prompts changed between two reports.
func queueChanged(before, after port.EngineStatus) bool {
	return before.Queued != after.Queued || before.QueuedPrefillTokens != after.QueuedPrefillTokens
}

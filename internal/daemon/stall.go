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
	// maxQueueWaits bounds how often a stream that has brought tokens may wait because
	// the queue moves: prompts that are read interrupt it only for a while.
	maxQueueWaits = 3
)

// errStalled reports a stream that brings heartbeats and no tokens while the prompts
// that wait at the engine do not get fewer.
var errStalled = errors.New("answer stalled: heartbeats without tokens")

// stall watches for an answer that makes no progress although its connection does.
type stall struct {
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	engine *routing.Upstream
	// interval is the time without tokens until the engine's queue is looked at, and
	// reading what the engine needs to read the prompt.
	interval, reading time.Duration
	// since is when the wait for the next token began in nanoseconds of Unix time, or
	// 0 while nothing is waited for.
	since atomic.Int64
	// token is set once the attempt has brought a token.
	token atomic.Bool
}

// watchStall starts to watch an attempt until ctx ends. cancel ends the attempt.
func (d *Daemon) watchStall(ctx context.Context, cancel context.CancelCauseFunc, g *generation, u *routing.Upstream) *stall {
	s := &stall{
		cancel:   cancel,
		engine:   u,
		interval: stallFactor * d.settings.Timing.Progress.Std(),
	}
	if r := u.Report(); r != nil && r.Status.Capacity > 0 {
		seconds := float64(g.permit.request.PromptTokens) / float64(r.Status.Capacity)
		s.reading = time.Duration(seconds * float64(time.Second))
	}
	s.begin()
	go s.run(ctx)
	return s
}

// begin starts a wait for the next token.
func (s *stall) begin() { s.since.Store(time.Now().UnixNano()) }

// rest ends the wait after a token arrived, as a slow caller is no stall.
func (s *stall) rest() {
	s.token.Store(true)
	s.since.Store(0)
}

// limit returns the time without tokens until the engine's queue is looked at.
func (s *stall) limit() time.Duration {
	if s.token.Load() {
		return s.interval
	}
	return s.interval + s.reading
}

func (s *stall) run(ctx context.Context) {
	var queue *port.EngineStatus
	waits, seen, wake := 0, s.since.Load(), s.limit()
	for {
		clock.Sleep(ctx, wake)
		if ctx.Err() != nil {
			return
		}
		since := s.since.Load()
		if since != seen {
			seen, queue, waits = since, nil, 0
		}
		idle := time.Since(time.Unix(0, since))
		if since == 0 {
			idle = 0
		}
		if wake = s.limit() - idle; wake > 0 {
			continue
		}
		status, err := s.engine.Engine.Status(ctx)
		waits++
		tooLong := s.token.Load() && waits > maxQueueWaits
		if queue != nil && (err != nil || tooLong || !moved(*queue, status)) {
			s.cancel(errStalled)
			return
		}
		queue, wake = &status, s.interval
	}
}

// moved tells whether the queue of prompts changed between two reports.
func moved(before, after port.EngineStatus) bool {
	return before.Queued != after.Queued || before.QueuedPrefillTokens != after.QueuedPrefillTokens
}

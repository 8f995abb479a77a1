package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/answer"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/retry"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 8
	// maxReconnects bounds the resumptions at one engine after a silence, a broken
	// connection or missing chunks; after that another engine is tried.
	maxReconnects = 2
	// cancelTimeout bounds the cancellation of work that nobody waits for.
	cancelTimeout = 2 * time.Second
)

// Errors that end an attempt.
var (
	errCallerGone    = errors.New("caller is gone")
	errChunksMissing = errors.New("chunks are missing")
)

// generation is one request to an engine. It keeps the snapshot it started with.
type generation struct {
	call      *call
	snapshot  *profile.Snapshot
	profile   *profile.Profile
	prompt    string
	maxTokens int
	response  *responder

	permit *permit
	// engineRequestID is the request id towards engines. It is the daemon's own, because
	// two callers may choose the same id.
	engineRequestID string
	digest          quarantine.Digest
	// deadline is the time after which no attempt starts.
	deadline time.Time

	assembler answer.Assembler
	attempt   int
	failures  int
	// mayHaveRun is set once an engine may have run the request.
	mayHaveRun bool
	// excluded holds the engines that are not tried again for now.
	excluded map[string]bool
	// reconnects counts resumptions by engine.
	reconnects map[string]int
	// resumeUpstream is the engine that should continue the answer, or nil.
	resumeUpstream *routing.Upstream
	firstTokenAt   time.Time
	// choice is the last routing decision.
	choice routing.Choice
	// holdDeadline is the end of the time for which a suspect waits for daemons that
	// cannot be asked, or zero.
	holdDeadline time.Time
}

// generate runs a request until its answer is whole.
func (d *Daemon) generate(ctx context.Context, g *generation) error {
	g.engineRequestID = fmt.Sprintf("%s-%d", d.incarnation, d.generationSeq.Add(1))
	g.digest = quarantine.DigestOf(g.profile.Model, g.prompt)
	g.deadline = retry.Deadline(g.call.started, time.Duration(g.profile.TotalMS)*time.Millisecond)
	g.excluded = map[string]bool{}
	g.reconnects = map[string]int{}
	var err error
	g.permit, err = d.admission.acquire(ctx, g)
	d.recordAdmission(g, g.permit, err)
	if err != nil {
		d.countResult(g, err)
		return err
	}
	defer g.permit.release(g)
	d.retryLimiter.recordRequest(g.profile)
	err = d.runAttempts(ctx, g)
	if err == nil {
		err = g.response.Finish(g.assembler.Last())
	}
	d.countResult(g, err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.metrics.CallersSilent.Add(1)
	}
	if err != nil && g.response.Started() {
		// The caller is told inside the stream; it may be gone.
		_ = g.response.Fail(refusal.From(err))
		return &partialResponseError{err: err}
	}
	return err
}

// refuse returns a refusal that says whether an engine may have run the request.
func (g *generation) refuse(code refusal.Code, format string, args ...any) *refusal.Error {
	if g.mayHaveRun {
		return refusal.NewUnknown(code, format, args...)
	}
	return refusal.New(code, format, args...).ForAttempt().WithRetryAfter(time.Second)
}

// runAttempts runs runAttempts until the answer is whole or may not be continued.
func (d *Daemon) runAttempts(ctx context.Context, g *generation) error {
	for {
		u, release, err := d.placeAttempt(ctx, g)
		if err != nil {
			return err
		}
		run, err := d.runAttempt(ctx, g, u)
		if err == nil {
			release()
			return nil
		}
		err = d.handleFailure(ctx, g, u, run, err)
		release()
		if err == nil {
			err = d.awaitRetry(ctx, g)
		}
		if err != nil {
			return err
		}
	}
}

// placeAttempt returns the engine for the next attempt and counts it as in flight until
// release is called.
func (d *Daemon) placeAttempt(ctx context.Context, g *generation) (u *routing.Upstream, release func(), err error) {
	for tries := 1; ; tries++ {
		switch v := d.suspects.lookup(g.digest); v.Status {
		case quarantine.Quarantined:
			d.metrics.QuarantineRefusals.Add(1)
			return nil, nil, g.refuse(refusal.Quarantined, "the request was in flight at two engine crashes").WithRetryAfter(v.Remaining)
		case quarantine.Suspect:
			if u, release = d.suspects.isolate(ctx, g); u == nil {
				err = d.noEngineError(g)
			}
		default:
			u, release, err = d.placeUnreserved(g)
		}
		if u != nil {
			d.recordRoute(g, u)
			return u, release, nil
		}
		if err != nil {
			d.recordRoute(g, nil)
			return nil, nil, err
		}
		if err := d.waitBackoff(ctx, g, tries); err != nil {
			return nil, nil, err
		}
	}
}

// placeUnreserved chooses an engine that is not kept for a trial. It returns
// neither an engine nor an error when the request has to wait.
func (d *Daemon) placeUnreserved(g *generation) (*routing.Upstream, func(), error) {
	u := d.resumableEngine(g)
	if u == nil {
		u = d.chooseEngine(g, d.suspects.excludeReserved(g.excluded))
	}
	if u == nil {
		return nil, nil, d.noEngineError(g)
	}
	end := g.permit.beginAttempt(u)
	// A drain that closed the engine meanwhile, or a trial that reserved it, waits
	// for requests that began.
	if u.Closed() || d.suspects.isReserved(u.VM.ID) {
		end()
		return nil, nil, nil
	}
	return u, end, nil
}

// resumableEngine returns the engine that should continue the answer, unless it takes no
// new work any more.
func (d *Daemon) resumableEngine(g *generation) *routing.Upstream {
	if g.resumeUpstream == nil {
		return nil
	}
	others := map[string]bool{}
	for _, u := range d.fleet.Table().Pool(g.profile.Pool) {
		others[u.VM.ID] = u.VM.ID != g.resumeUpstream.VM.ID
	}
	return d.chooseEngine(g, d.suspects.excludeReserved(others))
}

// noEngineError returns nil when an engine will be free after a trial, or when an
// accepted answer may continue on an engine that failed before.
func (d *Daemon) noEngineError(g *generation) error {
	if d.chooseEngine(g, g.excluded) != nil {
		return nil
	}
	if !g.mayHaveRun {
		return refusal.New(refusal.NoUpstream, "no engine of pool %q serves model %q", g.profile.Pool, g.profile.Model).WithRetryAfter(time.Second)
	}
	clear(g.excluded)
	return nil
}

func (d *Daemon) chooseEngine(g *generation, excluded map[string]bool) *routing.Upstream {
	r := d.admission.routingRequest(g)
	r.Excluded = excluded
	g.choice = d.fleet.Table().Choose(r)
	return g.choice.Upstream
}

// runAttempt runs one attempt at an engine from the position reached.
func (d *Daemon) runAttempt(ctx context.Context, g *generation, u *routing.Upstream) (*quarantine.Run, error) {
	g.attempt++
	d.metrics.Attempts.Add(1)
	if g.attempt > 1 {
		d.metrics.Resumed.Add(1)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, run := d.suspects.begin(ctx, g.digest, u)
	watch := d.startStallMonitor(ctx, cancel, g, u)
	err := d.streamAttempt(ctx, g, u, watch)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errSuspected) || errors.Is(cause, errStalled)) {
		err = cause
	}
	g.mayHaveRun = d.suspects.end(run, err) || g.mayHaveRun
	return run, err
}

func (d *Daemon) streamAttempt(ctx context.Context, g *generation, u *routing.Upstream, watch *stallMonitor) error {
	g.assembler.Begin(g.attempt)
	stream, err := u.Engine.Generate(ctx, port.GenerateRequest{
		RequestID:       g.engineRequestID,
		CallerRequestID: g.call.id,
		Attempt:         g.attempt,
		Model:           g.profile.Model,
		Prompt:          g.prompt,
		MaxTokens:       g.maxTokens,
		Priority:        g.permit.priority(),
		From:            g.assembler.Next(),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	return d.receiveChunks(g, stream, watch)
}

func (d *Daemon) receiveChunks(g *generation, stream port.ChunkStream, watch *stallMonitor) error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		result := g.assembler.Accept(chunk)
		if len(result.Ready) > 0 {
			watch.endWait()
		}
		for _, ready := range result.Ready {
			if err := g.deliver(ready); err != nil {
				return err
			}
		}
		if len(result.Ready) > 0 {
			watch.startWait()
		}
		switch result.Decision {
		case answer.Drop:
			d.metrics.ChunksDropped.Add(1)
		case answer.Buffer:
			d.metrics.ChunksReordered.Add(1)
		case answer.Gap:
			return errChunksMissing
		case answer.End:
			return nil
		}
	}
}

func (g *generation) deliver(chunk port.Chunk) error {
	g.permit.reportProgress(g.assembler.Next())
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = time.Now()
	}
	if err := g.response.Write(chunk.Text); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// handleFailure stops the engine's work on a failed attempt and decides where the
// answer may continue. It returns a refusal when it may not.
func (d *Daemon) handleFailure(ctx context.Context, g *generation, u *routing.Upstream, run *quarantine.Run, cause error) error {
	g.failures++
	g.resumeUpstream = nil
	d.countFailure(cause)
	if ctx.Err() != nil || errors.Is(cause, errCallerGone) {
		d.cancelAbandoned(ctx, g, u)
		return fmt.Errorf("%w: %w", g.refuse(refusal.Incomplete, "the caller left before the answer was whole"), cause)
	}
	g.call.log.Warn("attempt failed",
		zap.String("upstream", u.VM.ID),
		zap.Int("attempt", g.attempt),
		zap.Int("position", g.assembler.Next()),
		zap.Error(cause),
	)
	notRun := errors.Is(cause, port.ErrNotSent) || errors.Is(cause, port.ErrNotRun)
	stalled := errors.Is(cause, errStalled)
	if notRun || !d.cancelAndVerify(ctx, g, u, run) || stalled {
		g.excluded[u.VM.ID] = true
	} else if g.reconnects[u.VM.ID]++; g.reconnects[u.VM.ID] > maxReconnects {
		g.excluded[u.VM.ID] = true
	} else {
		g.resumeUpstream = u
	}
	if g.attempt >= maxAttempts {
		return g.refuse(refusal.Incomplete, "the answer is not whole after %d attempts", g.attempt)
	}
	return nil
}

func (d *Daemon) countFailure(cause error) {
	switch {
	case errors.Is(cause, port.ErrSilent):
		d.metrics.SilentConnections.Add(1)
	case errors.Is(cause, errStalled):
		d.metrics.Stalled.Add(1)
	case errors.Is(cause, errChunksMissing):
		d.metrics.ChunksMissing.Add(1)
	}
}

// cancelAbandoned stops the engine's work on a request whose caller left, without keeping
// the caller's connection.
func (d *Daemon) cancelAbandoned(ctx context.Context, g *generation, u *routing.Upstream) {
	go func() {
		d.cancelAndVerify(ctx, g, u, nil)
	}()
}

// cancelAndVerify cancels an attempt over a new connection and finds out whether the
// engine survived it. It tells whether the engine can be reached and runs on.
// Peers know of a crash before it returns, so that a resend of the caller through
// another daemon meets the same crash budget.
func (d *Daemon) cancelAndVerify(ctx context.Context, g *generation, u *routing.Upstream, run *quarantine.Run) bool {
	// The engine's work has to be cancelled even if the caller leaves meanwhile.
	ctx = context.WithoutCancel(ctx)
	alive := d.cancelAttempt(ctx, g, u) && d.sameIncarnation(ctx, u, run)
	d.suspects.publish(ctx)
	return alive
}

// cancelAttempt cancels a request at an engine. A crash that refuses the
// connection is recorded.
func (d *Daemon) cancelAttempt(ctx context.Context, g *generation, u *routing.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	asked := time.Now()
	err := u.Engine.Cancel(ctx, g.engineRequestID)
	d.metrics.Cancels.Add(1)
	if err != nil {
		d.metrics.CancelsFailed.Add(1)
		d.suspects.observe(u.VM.ID, asked, port.EngineStatus{}, err)
		return false
	}
	return true
}

// sameIncarnation asks an engine for its status and tells whether it is the incarnation
// that ran the attempt.
func (d *Daemon) sameIncarnation(ctx context.Context, u *routing.Upstream, run *quarantine.Run) bool {
	if d.fleet.pollEngine(ctx, u) != nil {
		return false
	}
	report := u.Report()
	return run == nil || (report != nil && report.Status.Incarnation == run.Incarnation)
}

// countResult counts the result for the burn report.
func (d *Daemon) countResult(g *generation, err error) {
	d.burn.Count(g.profile, g.result(err))
}

func (g *generation) result(err error) burn.Result {
	switch {
	case err == nil && g.withinTargets():
		return burn.AnsweredOnTime
	case err == nil:
		return burn.AnsweredLate
	case refusal.From(err).Outcome == refusal.NotRun:
		return burn.Refused
	}
	return burn.Unknown
}

func (g *generation) withinTargets() bool {
	first := g.firstTokenAt.Sub(g.call.started).Milliseconds()
	total := time.Since(g.call.started).Milliseconds()
	return first <= g.profile.FirstTokenMS && total <= g.profile.TotalMS
}

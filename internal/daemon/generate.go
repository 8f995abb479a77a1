package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
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
	// maxReconnects bounds how often a response is resumed at the same engine after a
	// connection without progress, a broken connection or missing chunks. After that,
	// the next attempt goes to another engine.
	maxReconnects = 2
	// cancelTimeout bounds one cancellation request to an engine.
	cancelTimeout = 2 * time.Second
)

// Causes for which an attempt ends before the response is complete.
var (
	errCallerGone    = errors.New("caller disconnected")
	errChunksMissing = errors.New("response chunks are missing")
	errOtherSoftware = errors.New("engine runs another software version than the one that began the response")
)

// generation is the state of one text generation request across all of its attempts.
type generation struct {
	call *call
	// snapshot is the configuration at the start of the request. It stays in use for
	// the whole request.
	snapshot  *profile.Snapshot
	profile   *profile.Profile
	prompt    string
	maxTokens int
	response  *responder

	permit *permit
	// engineRequestID is the request id sent to engines. The daemon generates it, because
	// two callers may choose the same id.
	engineRequestID string
	digest          quarantine.Digest
	// deadline is the time after which no attempt starts.
	deadline time.Time

	assembler answer.Assembler
	// software is the software version that generated the response so far, or nil before the
	// first token.
	software atomic.Pointer[string]
	// attempt is the number of the current attempt, starting at 1.
	attempt int
	// failures is the number of failed attempts.
	failures int
	// mayHaveRun is set once an engine may have run the request.
	mayHaveRun bool
	// excluded holds the VM ids of engines that the next attempt must not use.
	excluded map[string]bool
	// reconnects counts resumptions by VM id of the engine.
	reconnects map[string]int
	// retryReserved is set while the retry budget has granted a retry that is not used yet.
	retryReserved atomic.Bool
	// resumeUpstream is the engine at which the response should be resumed, or nil.
	resumeUpstream *routing.Upstream
	// firstTokenAt is when the first token arrived, or zero.
	firstTokenAt time.Time
	// choice is the last routing decision.
	choice routing.Choice
	// delayDeadline is the time until which a suspect is delayed because some daemons
	// cannot be asked about it. It is zero before such a delay begins.
	delayDeadline time.Time
}

// generate admits a request and runs it until its response is complete or it fails.
func (d *Daemon) generate(ctx context.Context, g *generation) error {
	g.engineRequestID = fmt.Sprintf("%s-%d", d.incarnation, d.generationSeq.Add(1))
	g.digest = quarantine.DigestOf(g.profile.Model, g.prompt)
	g.deadline = retry.Deadline(g.call.started, time.Duration(g.profile.TotalMS)*time.Millisecond)
	g.excluded = map[string]bool{}
	g.reconnects = map[string]int{}
	g.call.count = func(err error) { d.countResult(g, err) }
	var err error
	g.permit, err = d.admission.acquire(ctx, g)
	d.recordAdmission(g, g.permit, err)
	if err != nil {
		return err
	}
	defer g.permit.release(g)
	d.retryLimiter.recordFirstAttempt(g.profile)
	err = d.runAttempts(ctx, g)
	if err == nil {
		err = g.response.Finish(g.assembler.Last())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.metrics.CallersSilent.Add(1)
	}
	if err != nil && g.response.Started() {
		// The error goes into the started stream. A failed write is ignored because the
		// caller may have disconnected.
		_ = g.response.Fail(refusal.From(err))
		return &partialResponseError{err: err}
	}
	return err
}

// refuse returns a refusal whose outcome states whether an engine may have run the
// request. A refusal with the outcome NotRun covers this attempt only and allows a retry
// after one second.
func (g *generation) refuse(code refusal.Code, format string, args ...any) *refusal.Error {
	if g.mayHaveRun {
		return refusal.NewUnknown(code, format, args...)
	}
	return refusal.New(code, format, args...).ForAttempt().WithRetryAfter(time.Second)
}

// runAttempts starts attempts until the response is complete or must not be resumed.
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

// placeAttempt selects the engine for the next attempt and counts the attempt as in
// flight there until release is called. It backs off and repeats the selection while no
// engine is free, for example because a trial reserves it.
func (d *Daemon) placeAttempt(ctx context.Context, g *generation) (u *routing.Upstream, release func(), err error) {
	for round := 1; ; round++ {
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
		if err := d.waitBackoff(ctx, g, round); err != nil {
			return nil, nil, err
		}
	}
}

// placeUnreserved selects an engine that no trial has reserved. It returns neither an
// engine nor an error if the request has to wait.
func (d *Daemon) placeUnreserved(g *generation) (*routing.Upstream, func(), error) {
	u := d.resumableEngine(g)
	if u == nil {
		u = d.chooseEngine(g, d.suspects.excludeReserved(g.excluded))
	}
	if u == nil {
		return nil, nil, d.noEngineError(g)
	}
	end := g.permit.beginAttempt(u)
	// A drain or a trial waits for the attempts that have begun. If one closed or
	// reserved the engine since it was selected, the attempt must not start there.
	if u.Closed() || d.suspects.isReserved(u.VM.ID) {
		end()
		return nil, nil, nil
	}
	return u, end, nil
}

// resumableEngine returns the engine at which the response should be resumed, or nil if
// there is none or it accepts no new requests.
func (d *Daemon) resumableEngine(g *generation) *routing.Upstream {
	if g.resumeUpstream == nil {
		return nil
	}
	excluded := map[string]bool{}
	for _, u := range d.fleet.Table().Pool(g.profile.Pool) {
		excluded[u.VM.ID] = u.VM.ID != g.resumeUpstream.VM.ID
	}
	return d.chooseEngine(g, d.suspects.excludeReserved(excluded))
}

// noEngineError returns a refusal if no engine can be selected for the request. It
// returns nil, so that the request backs off and selects again, in two cases: an engine
// is unavailable only because a trial reserves it, or an engine may already have run the
// request. In the second case it clears g.excluded, so that the response can be resumed at
// engines that failed before, and applies resolveSoftware.
func (d *Daemon) noEngineError(g *generation) error {
	if d.chooseEngine(g, g.excluded) != nil {
		return nil
	}
	if !g.mayHaveRun {
		return refusal.New(refusal.NoUpstream, "no engine of pool %q serves model %q", g.profile.Pool, g.profile.Model).WithRetryAfter(time.Second)
	}
	clear(g.excluded)
	return d.resolveSoftware(g)
}

// chooseEngine returns the engine that routing selects for the request outside excluded,
// or nil. It records the decision in g.choice.
func (d *Daemon) chooseEngine(g *generation, excluded map[string]bool) *routing.Upstream {
	r := d.admission.routingRequest(g)
	r.Excluded = excluded
	g.choice = d.fleet.Table().Choose(r)
	return g.choice.Upstream
}

// requireSoftware restricts a routing request to the software version that began the response.
func (g *generation) requireSoftware(r *routing.Request) {
	if software := g.software.Load(); software != nil {
		r.Resumes, r.Software = true, *software
	}
}

// resolveSoftware decides what follows if no engine can continue a response now. A response of which
// nothing was sent starts anew if engines of another software version can run it. A started stream is
// refused once no engine of its version is left.
func (d *Daemon) resolveSoftware(g *generation) error {
	software := g.software.Load()
	if software == nil || d.chooseEngine(g, nil) != nil {
		return nil
	}
	if !g.response.Started() {
		g.software.Store(nil)
		if d.chooseEngine(g, nil) == nil {
			g.software.Store(software)
			return nil
		}
		d.metrics.SoftwareRestarts.Add(1)
		g.call.log.Info("response starts anew because no engine runs the software version that began it",
			zap.String("software-version", *software), zap.Int("position", g.assembler.Next()))
		g.assembler = answer.Assembler{}
		g.response.discard()
		g.firstTokenAt = time.Time{}
		return nil
	}
	for _, u := range d.fleet.Table().Pool(g.profile.Pool) {
		if u.MayResume(g.profile.Model, *software) {
			return nil
		}
	}
	d.metrics.SoftwareGone.Add(1)
	return g.refuse(refusal.Incomplete, "no engine runs software version %q, which began the response", *software)
}

// runAttempt runs one attempt at an engine, starting at the first token that is still
// missing. It returns the attempt's run in the quarantine table.
func (d *Daemon) runAttempt(ctx context.Context, g *generation, u *routing.Upstream) (*quarantine.Run, error) {
	g.attempt++
	d.metrics.Attempts.Add(1)
	if g.attempt > 1 {
		d.metrics.Resumed.Add(1)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, run := d.suspects.begin(ctx, g.digest, u)
	next := d.newReplacement(g, u, run)
	monitor := d.startStallMonitor(ctx, cancel, g, next)
	err := d.streamAttempt(ctx, g, u, monitor)
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errSuspected) || errors.Is(cause, errStalled)) {
		err = cause
	}
	g.mayHaveRun = d.suspects.end(run, err) || g.mayHaveRun
	return run, err
}

// streamAttempt sends the request to an engine and receives the response.
func (d *Daemon) streamAttempt(ctx context.Context, g *generation, u *routing.Upstream, monitor *stallMonitor) error {
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
		MayEnd:          func() bool { return monitor.replacement.certain(ctx) },
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	return d.receiveChunks(g, stream, monitor)
}

// receiveChunks passes the chunks of a stream to the caller in order until the response
// is complete. The stall monitor is suspended while a write to the caller is in progress.
func (d *Daemon) receiveChunks(g *generation, stream port.ChunkStream, monitor *stallMonitor) error {
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		result := g.assembler.Accept(chunk)
		if len(result.Ready) > 0 {
			if g.software.Load() == nil {
				software := g.assembler.Software()
				g.software.Store(&software)
			}
			monitor.endWait()
		}
		for _, ready := range result.Ready {
			if err := g.deliver(ready); err != nil {
				return err
			}
		}
		if len(result.Ready) > 0 {
			monitor.startWait()
		}
		switch result.Decision {
		case answer.Drop:
			d.metrics.ChunksDropped.Add(1)
		case answer.Buffer:
			d.metrics.ChunksReordered.Add(1)
		case answer.Gap:
			return errChunksMissing
		case answer.Foreign:
			return errOtherSoftware
		case answer.End:
			return nil
		}
	}
}

// deliver writes one chunk to the caller. A failed write returns errCallerGone.
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

// handleFailure cancels a failed attempt at its engine and decides where the response
// may be resumed. It returns a refusal if the response must not be resumed.
func (d *Daemon) handleFailure(ctx context.Context, g *generation, u *routing.Upstream, run *quarantine.Run, cause error) error {
	g.failures++
	g.resumeUpstream = nil
	d.countFailure(cause)
	if ctx.Err() != nil || errors.Is(cause, errCallerGone) {
		d.cancelAbandoned(ctx, g, u)
		return fmt.Errorf("%w: %w", g.refuse(refusal.Incomplete, "the caller disconnected before the response was complete"), cause)
	}
	g.call.log.Warn("attempt failed",
		zap.String("upstream", u.VM.ID),
		zap.Int("attempt", g.attempt),
		zap.Int("position", g.assembler.Next()),
		zap.Error(cause),
	)
	notRun := errors.Is(cause, port.ErrNotSent) || errors.Is(cause, port.ErrNotRun)
	unfit := errors.Is(cause, errStalled) || errors.Is(cause, errOtherSoftware)
	if notRun || !d.cancelAndVerify(ctx, g, u, run) || unfit {
		g.excluded[u.VM.ID] = true
	} else if g.reconnects[u.VM.ID]++; g.reconnects[u.VM.ID] > maxReconnects {
		g.excluded[u.VM.ID] = true
	} else {
		g.resumeUpstream = u
	}
	if g.attempt >= maxAttempts {
		return g.refuse(refusal.Incomplete, "the response is incomplete after %d attempts", g.attempt)
	}
	return nil
}

// countFailure updates the metric for the cause of a failed attempt.
func (d *Daemon) countFailure(cause error) {
	switch {
	case errors.Is(cause, port.ErrNoProgress):
		d.metrics.SilentConnections.Add(1)
	case errors.Is(cause, errStalled):
		d.metrics.Stalled.Add(1)
	case errors.Is(cause, errChunksMissing):
		d.metrics.ChunksMissing.Add(1)
	case errors.Is(cause, errOtherSoftware):
		d.metrics.SoftwareMismatches.Add(1)
	}
}

// cancelAbandoned cancels, in the background, an attempt whose caller disconnected, so
// that the handler can return and release the caller's connection.
func (d *Daemon) cancelAbandoned(ctx context.Context, g *generation, u *routing.Upstream) {
	go func() {
		d.cancelAndVerify(ctx, g, u, nil)
	}()
}

// cancelAndVerify cancels an attempt over a new connection and checks whether the engine
// crashed. It reports whether the engine is reachable and has not restarted. A crash is
// published to peers before it returns, so that a resend by the caller through another
// daemon is subject to the same crash budget.
func (d *Daemon) cancelAndVerify(ctx context.Context, g *generation, u *routing.Upstream, run *quarantine.Run) bool {
	// The attempt has to be cancelled even if the caller disconnects meanwhile.
	ctx = context.WithoutCancel(ctx)
	reachable := d.cancelAttempt(ctx, g, u) && d.sameIncarnation(ctx, u, run)
	d.suspects.publish(ctx)
	return reachable
}

// cancelAttempt cancels a request at an engine and reports whether the engine confirmed
// it. The quarantine table counts a refused connection as a crash of the engine.
func (d *Daemon) cancelAttempt(ctx context.Context, g *generation, u *routing.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	sentAt := time.Now()
	err := u.Engine.Cancel(ctx, g.engineRequestID)
	d.metrics.Cancels.Add(1)
	if err != nil {
		d.metrics.CancelsFailed.Add(1)
		d.suspects.observe(u.VM.ID, sentAt, port.EngineStatus{}, err)
		return false
	}
	return true
}

// sameIncarnation polls an engine and reports whether it still is the incarnation that
// ran the attempt. If run is nil, it reports whether the engine responded to the poll.
func (d *Daemon) sameIncarnation(ctx context.Context, u *routing.Upstream, run *quarantine.Run) bool {
	if d.fleet.pollEngine(ctx, u) != nil {
		return false
	}
	report := u.Report()
	return run == nil || (report != nil && report.Status.Incarnation == run.Incarnation)
}

// countResult records the result of a request for the burn report.
func (d *Daemon) countResult(g *generation, err error) {
	d.burn.Count(g.profile, g.result(err))
}

// result classifies how a request ended.
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

// withinTargets reports whether the response met the profile's targets for the first
// token and the total time.
func (g *generation) withinTargets() bool {
	firstTokenMS := g.firstTokenAt.Sub(g.call.started).Milliseconds()
	totalMS := time.Since(g.call.started).Milliseconds()
	return firstTokenMS <= g.profile.FirstTokenMS && totalMS <= g.profile.TotalMS
}

package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// stallFactor and minStallTimeout limit the time that a runner has for the first event
	// before another one is tried: stallFactor times the predicted time, but at least
	// minStallTimeout.
	stallFactor     = 3
	minStallTimeout = 700 * time.Millisecond
	// minPrefillStallTimeout is the same limit for a prefill, which any engine can replace. It is
	// short, so that a prompt at an engine that stopped working can still meet its objective at
	// another one. A prefill continues while the engine completes others within this time: in
	// overload, moving it would only lengthen another queue.
	minPrefillStallTimeout = 250 * time.Millisecond
	// maxSoundSilence is the longest time for which sound runners are silent: for about a second.
	// It leaves a replacement half a second of minClientTimeout.
	maxSoundSilence = 1500 * time.Millisecond
	// gapFactor limits a gap between events, as a multiple of the allowed gap. An engine with a gap
	// beyond that and minStallTimeout is avoided; beyond that and maxSoundSilence the rest of the
	// stream is sent to another one. The factor is below clientTimeoutGaps, so that a replacement can still deliver.
	gapFactor = 3
	// maxPrefillAttempts is the number of prefill engines that are tried before the decode engine
	// prefills the prompt itself.
	maxPrefillAttempts = 2
	// freeCacheTimeout bounds the call that frees a KV cache.
	freeCacheTimeout = 500 * time.Millisecond
)

// serveStream executes a request at an engine and forwards its events.
func (c *call) serveStream(ctx context.Context) {
	if c.takesUp() {
		if err := c.findOrigin(ctx); err != nil {
			c.fail(ctx, err)
			return
		}
	}
	defer c.leaveRoomQueue(false)
	if err := c.admit(ctx); err != nil {
		c.fail(ctx, err)
		return
	}
	// unused is a KV cache that no decode engine has taken yet, next an attempt that was already sent.
	var unused port.KVCacheHandle
	var next *replacement
	for {
		inFlight, cache, err := c.nextAttempt(ctx, unused, next)
		if errors.Is(err, errNoRunner) && c.awaitVersion(ctx) {
			unused = port.KVCacheHandle{}
			continue
		}
		if errors.Is(err, errNoRunner) && c.version != "" {
			err = c.versionGone()
		}
		if err != nil {
			c.fail(ctx, err)
			return
		}
		c.leaveRoomQueue(true)
		next, err = c.runStream(ctx, inFlight, cache, next)
		if err == nil {
			c.recordCompletion(c.status)
			c.finish("answered", c.status, nil)
			return
		}
		c.logStep("%v", err)
		c.recordAttemptError(err)
		c.recordConnectionLoss(err, inFlight.Runner(), c.attemptEvents)
		c.exclude(inFlight.Runner())
		if unused = cache; !errors.Is(err, port.ErrNotSent) {
			unused = port.KVCacheHandle{}
		}
		if !c.mayRetry(ctx, err) {
			if next != nil {
				next.cancel(nil)
				go next.release()
			}
			c.freeCache(unused)
			c.fail(ctx, err)
			return
		}
	}
}

// nextAttempt selects the engine of the next attempt and counts the send. An attempt that was already
// sent is continued.
func (c *call) nextAttempt(ctx context.Context, unused port.KVCacheHandle, sent *replacement) (*placement.InFlightRequest, port.KVCacheHandle, error) {
	if sent != nil {
		c.adopt(sent)
		return sent.inFlight, port.KVCacheHandle{}, nil
	}
	if !c.mayRun(ctx) {
		c.freeCache(unused)
		return nil, port.KVCacheHandle{}, errCrashSuspect
	}
	inFlight, cache, err := c.placeStream(ctx, unused)
	if err != nil {
		return nil, port.KVCacheHandle{}, err
	}
	// A prefill takes time in which other requests may have crashed further engines.
	suspect := !c.mayRun(ctx)
	if suspect || !c.beginSend() {
		inFlight.End(time.Now(), placement.Unsent)
		c.freeCache(cache)
		if err = errRetryLimit; suspect {
			err = errCrashSuspect
		}
		return nil, port.KVCacheHandle{}, err
	}
	return inFlight, cache, nil
}

// admit sets the urgency of the stream and decides whether it is sent. One that has begun waits for room if the engines of its
// version are full.
func (c *call) admit(ctx context.Context) error {
	err := c.classify()
	if c.version == "" || err == nil {
		return err
	}
	if errors.Is(err, errSaturated) {
		err = c.awaitRoom(ctx)
	}
	if err != nil {
		c.logRoom()
	}
	return err
}

// classify predicts the first event and sets the urgency. It returns errSaturated if all engines are
// full, and errPredictedLate if the first event is predicted after the client disconnects.
func (c *call) classify() error {
	class := c.gateway.fleet.Classify(time.Now(), c.placementQuery(), c.route.Priority)
	c.urgency, c.predictedFirstEvent = class.Urgency, class.FirstEvent
	c.saturated = class.Saturated
	switch {
	case class.Saturated:
		return errSaturated
	case !class.Accepted:
		return errPredictedLate
	}
	return nil
}

// predictedLate reports whether q would be refused if it arrived now.
func (c *call) predictedLate(q placement.Query) bool {
	return !c.gateway.fleet.Classify(time.Now(), q, c.route.Priority).Accepted
}

// placeStream selects the engine that executes the request. If that is predicted to be faster, it
// first has the prompt prefilled at another engine and returns a handle of the KV cache there;
// otherwise the handle is empty. If a decode engine can continue from the KV cache of unused, the
// prompt is not prefilled again.
func (c *call) placeStream(ctx context.Context, unused port.KVCacheHandle) (*placement.InFlightRequest, port.KVCacheHandle, error) {
	q := c.placementQuery()
	if !unused.Empty() {
		if inFlight, ok := c.gateway.fleet.PlaceDecode(time.Now(), q, unused.Runner); ok {
			return inFlight, unused, nil
		}
		c.freeCache(unused)
	}
	// A resumed stream has few events left, and its prompt is in no known cache.
	q.NoPrefill = c.headerWritten
	for failed := 0; ; {
		plan, ok := c.gateway.fleet.Place(time.Now(), q)
		if !ok {
			return nil, port.KVCacheHandle{}, errNoRunner
		}
		c.predictedFirstEvent = plan.FirstEvent
		if plan.Prefill == nil {
			return plan.Run, port.KVCacheHandle{}, nil
		}
		inFlight, cache, err := c.prefill(ctx, plan)
		if err == nil {
			return inFlight, cache, nil
		}
		if errors.Is(err, errRetryLimit) && ctx.Err() == nil {
			if q.NoPrefill = true; c.predictedLate(q) {
				return nil, port.KVCacheHandle{}, errPredictedLate
			}
			continue
		}
		c.logStep("%v", err)
		c.stalled = c.stalled || errors.Is(err, errStalled)
		if ctx.Err() != nil {
			return nil, port.KVCacheHandle{}, err
		}
		if errors.Is(err, errNoRunner) {
			// No decode engine is usable, which a prefill at another engine does not change.
			q.NoPrefill = true
			continue
		}
		c.exclude(plan.Prefill.Runner())
		failed++
		q.NoPrefill = failed >= maxPrefillAttempts
	}
}

// prefill has the prompt prefilled and selects the engine that continues from it. It returns
// errRetryLimit if the prefill may fail and the shared retry limit has no place for the send that
// would replace it.
func (c *call) prefill(ctx context.Context, plan placement.Plan) (*placement.InFlightRequest, port.KVCacheHandle, error) {
	c.countRequest()
	place, ok := c.takePrefillPlace(plan.Prefill)
	if !ok {
		plan.Prefill.End(time.Now(), placement.Unsent)
		return nil, port.KVCacheHandle{}, errRetryLimit
	}
	source := plan.Prefill.Runner()
	c.logStep("prefill at %s, %d tokens to prefill, predicted wait %s, parts from %q", source.ID, plan.Prefill.UncachedTokens(),
		plan.Wait.Round(time.Millisecond), plan.Prefill.FetchFrom())
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	monitor := c.startStallMonitor(ctx, cancel, stallLimits{
		runner: source.ID, firstTimeout: max(minPrefillStallTimeout, stallFactor*plan.FirstEvent), replaceable: true,
		queued: func() bool { return plan.Prefill.EngineProgressedWithin(time.Now(), minPrefillStallTimeout) },
	})
	defer monitor.stop()
	cache, err := c.gateway.runners.Prefill(attemptCtx, source, c.request, port.RunOptions{
		Remaining: c.remaining(), Urgency: enginePriority(c.urgency), MaxIdle: maxIdleRepeatable, Wanted: c.wanted,
		FetchFrom: plan.Prefill.FetchFrom(),
	})
	now := time.Now()
	if err != nil {
		if errors.Is(context.Cause(attemptCtx), errStalled) {
			err = errors.Join(errStalled, err)
		}
		sent := !errors.Is(err, port.ErrNotSent)
		// Nothing replaces a prefill that ends together with its request.
		place.settle(sent && (ctx.Err() == nil || c.arrived))
		c.arrived = c.arrived || sent
		if sent {
			c.prefillSends++
		}
		c.gateway.endAttempt(plan.Prefill, placementOutcome(ctx, err))
		return nil, port.KVCacheHandle{}, err
	}
	// Only the first prefill that an engine accepts is no arrival of its own.
	place.settle(c.prefilled)
	c.prefilled, c.arrived = true, true
	c.prefillSends++
	plan.Prefill.MarkPrefilled(now)
	plan.Prefill.End(now, placement.Completed)
	inFlight, ok := c.gateway.fleet.PlaceDecode(now, c.placementQuery(), source)
	if !ok {
		c.freeCache(cache)
		return nil, port.KVCacheHandle{}, errNoRunner
	}
	return inFlight, cache, nil
}

// enginePriority maps an urgency to the priorities of engines, of which 5 is the default.
func enginePriority(urgency int) int { return 1 + 2*urgency }

// freeCache frees a KV cache that will not be used, so that it does not occupy memory.
func (c *call) freeCache(cache port.KVCacheHandle) {
	if cache.Empty() {
		return
	}
	if c.gateway.fleet.Quiet(time.Now(), cache.Runner.ID) {
		c.logStep("KV cache at %s is not freed: the runner wants no requests", cache.Runner.ID)
		return
	}
	c.gateway.background("free KV cache", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, freeCacheTimeout)
		defer cancel()
		if err := c.gateway.runners.Free(ctx, cache); err != nil {
			c.gateway.log.Warn("KV cache was not freed; it expires by itself", zap.String("runner", cache.Runner.ID),
				zap.String(jsonlog.FieldRequestID, c.request.ID), zap.Error(err))
		}
	})
}

// runStream executes the request at one engine, forwards its events and ends inFlight. An attempt that
// was already sent is continued. The error is nil once the whole response was written to the client.
// Otherwise runStream returns the attempt that replaces this one if that was already sent, else nil.
// After port.ErrNotSent the KV cache can still be used.
func (c *call) runStream(ctx context.Context, inFlight *placement.InFlightRequest, cache port.KVCacheHandle, sent *replacement) (*replacement, error) {
	runner := inFlight.Runner()
	c.runner = runner
	c.logStep("run at %s, %d tokens to prefill, parts from %q", runner.ID, inFlight.UncachedTokens(), inFlight.FetchFrom())
	attemptCtx, cancel := context.WithCancelCause(ctx)
	if sent != nil {
		cancel(nil)
		attemptCtx, cancel = sent.ctx, sent.cancel
	}
	defer cancel(nil)
	monitor := &stallMonitor{}
	if c.canRetryAfterExecution() {
		monitor = c.startStallMonitor(ctx, cancel, stallLimits{
			runner: runner.ID, firstTimeout: max(minStallTimeout, stallFactor*c.predictedFirstEvent),
			reportSilence: func(now, since time.Time) { c.gateway.recordSilence(inFlight, now, since) },
		})
	}
	defer monitor.stop()
	var response *port.ForwardResponse
	var err error
	if sent != nil {
		response, err = sent.wait()
	} else {
		response, err = c.gateway.runners.Run(attemptCtx, runner, c.request, c.runOptions(inFlight, cache))
	}
	if err == nil {
		err = c.deliverResponse(inFlight, response, monitor)
		c.recordUnframed(response, err)
	}
	if err != nil && errors.Is(context.Cause(attemptCtx), errStalled) {
		err = errors.Join(errStalled, err)
	}
	outcome := placementOutcome(ctx, err)
	if err == nil && response.Status >= http.StatusInternalServerError {
		// The client received the error, but it counts against the engine.
		outcome = placement.Erred
	}
	c.gateway.endAttempt(inFlight, outcome)
	if err != nil && provesNotExecuted(err) && !errors.Is(err, port.ErrNotSent) {
		c.freeCache(cache)
	}
	if err == nil {
		return nil, nil
	}
	return monitor.next(), err
}

// runOptions returns the options for a run that continues after the last event.
func (c *call) runOptions(inFlight *placement.InFlightRequest, cache port.KVCacheHandle) port.RunOptions {
	options := port.RunOptions{
		Remaining:   c.remaining(),
		Urgency:     enginePriority(c.urgency),
		KVCache:     cache,
		FetchFrom:   inFlight.FetchFrom(),
		ResumeAfter: c.lastEventID,
		MaxIdle:     c.maxConnectionIdle(),
		Wanted:      c.wanted,
	}
	if c.version != "" {
		runner := inFlight.Runner()
		options.Opened = func(ctx context.Context) error { return c.gateway.processes.checkEntry(ctx, runner) }
	}
	return options
}

// deliverResponse forwards a response: the events of a stream, or the whole body if it is none. It
// returns errRunnerFailed for such a body if the client has already received events of another
// runner, or if the status is a server error and another attempt is allowed.
func (c *call) deliverResponse(inFlight *placement.InFlightRequest, response *port.ForwardResponse, monitor *stallMonitor) error {
	if response.Status == http.StatusOK && c.continuesStream(response) {
		return c.relayStream(inFlight, response, monitor)
	}
	if c.headerWritten {
		_ = response.Body.Close()
		return errRunnerFailed
	}
	body, err := c.readResponse(response)
	if err != nil {
		return err
	}
	c.logStep("status %d", response.Status)
	if response.Status >= http.StatusInternalServerError && c.canRetryAfterExecution() {
		return errRunnerFailed
	}
	if !monitor.arrived() {
		return errStalled
	}
	c.deliverNonStream(response, body)
	return nil
}

// eventStreamType is the content type of event streams.
const eventStreamType = "text/event-stream"

// continuesStream reports whether a response may follow the events that the client has received: it
// is an event stream, or has the same content type as the response in which they came.
func (c *call) continuesStream(response *port.ForwardResponse) bool {
	contentType := response.Header.Get("Content-Type")
	return !c.headerWritten || contentType == c.contentType || strings.HasPrefix(contentType, eventStreamType)
}

// deliverNonStream forwards a runner's response that is not a stream.
func (c *call) deliverNonStream(response *port.ForwardResponse, body []byte) {
	c.executions++
	c.writeResponseHeader(response)
	// A failed write means that the client disconnected.
	_, _ = c.writer.Write(body)
}

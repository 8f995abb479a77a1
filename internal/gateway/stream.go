package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// stallFactor and stallLeast limit how long a runner may take to the first event
	// before another one is tried: a multiple of the prediction, and at least this.
	stallFactor = 3
	stallLeast  = 700 * time.Millisecond
	// prefillStallLeast is that time for a prefill, which any engine can replace. It is
	// short, so that a prompt that waits behind a long one unexpectedly can still meet
	// its objective elsewhere.
	prefillStallLeast = 250 * time.Millisecond
	// gapFactor limits a pause between events, as a multiple of the objective.
	gapFactor = 3
	// freeTimeout bounds the call that gives up a KV cache.
	freeTimeout = 500 * time.Millisecond
)

// serveStream runs a request at an engine and passes its events on.
func (c *call) serveStream(ctx context.Context) {
	if !c.classify() {
		c.fail(ctx, errBacklog)
		return
	}
	for {
		work, memory, err := c.placeStream(ctx)
		if err != nil {
			c.fail(ctx, err)
			return
		}
		if !c.beginSend() {
			work.End(time.Now(), placement.Abandoned)
			c.free(memory)
			c.fail(ctx, errRetryLimit)
			return
		}
		if err = c.runStream(ctx, work, memory); err == nil {
			c.gateway.crashes.answered(c.digest)
			c.finish("answered", c.status, nil)
			return
		}
		c.step("%v", err)
		c.noteLoss(err, work.Runner())
		c.exclude(work.Runner())
		if !c.mayRetry(ctx, err) {
			c.fail(ctx, err)
			return
		}
	}
}

// classify predicts the first event and sets the urgency. It returns false when the first
// event is predicted only after the client has left.
func (c *call) classify() bool {
	class := c.gateway.fleet.Classify(time.Now(), c.query(), c.route.Priority)
	c.urgency, c.predicted = class.Urgency, class.FirstEvent
	return class.Accepted
}

// placeStream finds the engine that runs the request, and has the prompt read elsewhere
// first where that is faster.
func (c *call) placeStream(ctx context.Context) (*placement.InFlightRequest, port.MemoryHandle, error) {
	q := c.query()
	for {
		// A resumed stream has few events left and its prompt in no known cache.
		q.NoPrefill = q.NoPrefill || c.delivering
		plan, ok := c.gateway.fleet.Place(time.Now(), q)
		if !ok {
			return nil, port.MemoryHandle{}, errNoRunner
		}
		c.predicted = plan.FirstEvent
		if plan.Prefill == nil {
			return plan.Run, port.MemoryHandle{}, nil
		}
		work, memory, err := c.prefill(ctx, plan)
		if err == nil {
			return work, memory, nil
		}
		c.step("%v", err)
		if ctx.Err() != nil {
			return nil, port.MemoryHandle{}, err
		}
		c.countPrefillFailure(err)
		// The decode engine reads the prompt itself: one failed detour is enough.
		q.NoPrefill = true
	}
}

// countPrefillFailure counts a prefill that reached an engine without success against
// the limit of retries: only an accepted one is free. One that was given up has taken
// its place under the limit before.
func (c *call) countPrefillFailure(err error) {
	if c.takeReserved() || errors.Is(err, port.ErrNotSent) {
		return
	}
	c.gateway.retries(c.service).RecordRetry(time.Now())
}

// prefill has the prompt read and chooses the engine that goes on from it.
func (c *call) prefill(ctx context.Context, plan placement.Plan) (*placement.InFlightRequest, port.MemoryHandle, error) {
	if c.prefills > 0 && !c.gateway.retries(c.service).TryRetry(time.Now()) {
		plan.Prefill.End(time.Now(), placement.Abandoned)
		return nil, port.MemoryHandle{}, errRetryLimit
	}
	c.prefills++
	source := plan.Prefill.Runner()
	c.step("prefill at %s, %d unread tokens, %s ahead, parts from %q", source.ID, plan.Prefill.UncachedTokens(),
		plan.Wait.Round(time.Millisecond), plan.Prefill.FetchFrom())
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.watchStall(cancel, source.ID, max(prefillStallLeast, stallFactor*plan.FirstEvent))
	defer watch.stop()
	memory, err := c.gateway.runners.Prefill(attempt, source, c.request, port.RunOptions{
		Remaining: c.remaining(), Urgency: engineUrgency(c.urgency), MaxIdle: idleRepeatable,
		FetchFrom: plan.Prefill.FetchFrom(),
	})
	now := time.Now()
	if err != nil {
		if errors.Is(context.Cause(attempt), errStalled) {
			err = errors.Join(errStalled, err)
		}
		plan.Prefill.End(now, outcomeOf(ctx, err))
		return nil, port.MemoryHandle{}, err
	}
	plan.Prefill.MarkPrefilled(now)
	plan.Prefill.End(now, placement.Completed)
	work, ok := c.gateway.fleet.PlaceDecode(now, c.query(), source)
	if !ok {
		c.free(memory)
		return nil, port.MemoryHandle{}, errNoRunner
	}
	return work, memory, nil
}

// engineUrgency maps an urgency to the priorities of engines, of which 5 is the usual.
func engineUrgency(urgency int) int { return 1 + 2*urgency }

// free gives up a KV cache that nobody will use, so that it does not hold memory.
func (c *call) free(memory port.MemoryHandle) {
	if memory.Empty() {
		return
	}
	c.gateway.background("free KV cache", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, freeTimeout)
		defer cancel()
		if err := c.gateway.runners.Free(ctx, memory); err != nil {
			c.gateway.log.Warn("KV cache was not freed; it expires by itself", zap.String("runner", memory.At.ID),
				zap.String(jsonlog.FieldRequestID, c.request.ID), zap.Error(err))
		}
	})
}

// runStream runs the request at one engine and delivers its events. It returns nil when
// the client has the whole answer.
func (c *call) runStream(ctx context.Context, work *placement.InFlightRequest, memory port.MemoryHandle) error {
	runner := work.Runner()
	c.step("run at %s, %d unread tokens, parts from %q", runner.ID, work.UncachedTokens(), work.FetchFrom())
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := &stallWatch{}
	if c.retryable() {
		watch = c.watchStall(cancel, runner.ID, max(stallLeast, stallFactor*c.predicted))
	}
	defer watch.stop()
	answer, err := c.gateway.runners.Run(attempt, runner, c.request, port.RunOptions{
		Remaining:   c.remaining(),
		Urgency:     engineUrgency(c.urgency),
		Memory:      memory,
		FetchFrom:   work.FetchFrom(),
		ResumeAfter: c.lastEvent,
		MaxIdle:     c.maxIdle(),
	})
	if err == nil {
		err = c.passOn(work, answer, watch)
	}
	if err != nil && errors.Is(context.Cause(attempt), errStalled) {
		err = errors.Join(errStalled, err)
	}
	work.End(time.Now(), outcomeOf(ctx, err))
	if err != nil && notRun(err) {
		c.free(memory)
	}
	return err
}

// passOn delivers an answer: the events of a stream, or the whole body of another one.
func (c *call) passOn(work *placement.InFlightRequest, answer *port.ForwardResponse, watch *stallWatch) error {
	if answer.Status == http.StatusOK {
		return c.relay(work, answer, watch)
	}
	body, err := c.readAnswer(answer)
	if err != nil {
		return err
	}
	c.step("status %d", answer.Status)
	if c.delivering || answer.Status >= http.StatusInternalServerError && c.retryable() {
		return errRunnerFailed
	}
	c.deliverFailure(answer, body)
	return nil
}

// deliverFailure passes on a runner's own answer that is not a stream.
func (c *call) deliverFailure(answer *port.ForwardResponse, body []byte) {
	c.runs++
	c.copyHead(answer)
	// A failed write means that the client is gone.
	_, _ = c.writer.Write(body)
}

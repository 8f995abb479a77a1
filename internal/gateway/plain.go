package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// firstAttemptShare is the part of the objective that a first attempt of a repeatable
	// call may take, so that a second one can still meet the objective.
	firstAttemptShare = 0.6
	// maxResponseBytes bounds the answers that are read before they are passed on.
	maxResponseBytes = 16 << 20
	// responseGrowth is how much memory an answer takes at a time while it is read.
	responseGrowth = 16 << 10
)

// servePlain passes a call on to a plain service. The answer is read completely before
// it is passed on, so that an incomplete one never looks complete.
func (c *call) servePlain(ctx context.Context) {
	for {
		plan, ok := c.gateway.fleet.Place(time.Now(), c.placementQuery())
		if !ok {
			c.fail(ctx, errNoRunner)
			return
		}
		if !c.beginSend() {
			plan.Run.End(time.Now(), placement.Abandoned)
			c.fail(ctx, errRetryLimit)
			return
		}
		response, body, err := c.attemptPlain(ctx, plan.Run)
		if err == nil {
			c.gateway.crashes.clearRequest(c.digest)
			c.deliverPlain(response, body)
			return
		}
		c.recordConnectionLoss(err, plan.Run.Runner())
		c.exclude(plan.Run.Runner())
		if !c.mayRetry(ctx, err) {
			c.fail(ctx, err)
			return
		}
	}
}

// errRetryLimit reports that all daemons together have retried enough.
var errRetryLimit = errors.New("limit of retries reached")

// errRunnerFailed reports an answer of a runner that says that it failed.
var errRunnerFailed = errors.New("runner answered with a server error")

// attemptPlain sends the call to one runner. A server error is returned as an answer unless
// another attempt may follow.
func (c *call) attemptPlain(ctx context.Context, inFlight *placement.Work) (*port.ForwardResponse, []byte, error) {
	runner := inFlight.Runner()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := &stallWatch{}
	if c.sends == 1 && c.canRetryAfterExecution() {
		watch = c.watchStall(cancel, runner.ID, time.Duration(firstAttemptShare*float64(c.route.Target)))
	}
	defer watch.stop()
	c.logStep("run at %s", runner.ID)
	response, err := c.gateway.runners.Run(attemptCtx, runner, c.request, port.RunOptions{
		Remaining: c.remaining(),
		MaxIdle:   c.maxConnectionIdle(),
	})
	var body []byte
	if err == nil {
		body, err = c.readResponse(response)
	}
	if err != nil && errors.Is(context.Cause(attemptCtx), errStalled) {
		err = errors.Join(errStalled, err)
	}
	failed := err == nil && response.Status >= http.StatusInternalServerError
	if failed {
		c.logStep("status %d", response.Status)
		inFlight.End(time.Now(), placement.Failed)
		if c.canRetryAfterExecution() {
			return nil, nil, errRunnerFailed
		}
		return response, body, nil
	}
	inFlight.End(time.Now(), placementOutcome(ctx, err))
	if err != nil {
		c.logStep("%v", err)
	}
	return response, body, err
}

// maxConnectionIdle returns how long a connection may have been idle for this request.
func (c *call) maxConnectionIdle() time.Duration {
	switch {
	case c.route.Repeatable():
		return maxIdleRepeatable
	case c.route.Repeat == port.RepeatStream:
		return maxIdleStream
	}
	return 0
}

// errResponseMemory reports that answers take all the memory that they may.
var errResponseMemory = errors.New("memory for answers is taken")

// readResponse reads a whole body. Its memory counts as taken until the call ends.
func (c *call) readResponse(response *port.ForwardResponse) ([]byte, error) {
	// After a complete body, closing has no effect.
	defer func() { _ = response.Body.Close() }()
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := slices.Grow(body, responseGrowth)
			if !c.reserveMemory(int64(cap(grown) - cap(body))) {
				return nil, errResponseMemory
			}
			body = grown
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, errors.Join(errInterrupted, err)
		case len(body) > maxResponseBytes:
			return nil, port.ErrSpoiled
		}
	}
}

// reserveMemory counts bytes of an answer. It returns false when answers take all the memory
// that they may.
func (c *call) reserveMemory(bytes int64) bool {
	c.responseBytes += bytes
	used := c.gateway.responseBytes.Add(bytes)
	memory := c.gateway.settings.Load().MemoryBytes
	return memory <= 0 || float64(used) <= responseShare*float64(memory)
}

// releaseMemory gives back what the answers of the call took.
func (c *call) releaseMemory() {
	c.gateway.responseBytes.Add(-c.responseBytes)
	c.responseBytes = 0
}

// deliverPlain passes on a complete answer.
func (c *call) deliverPlain(response *port.ForwardResponse, body []byte) {
	c.executions++
	c.firstEventLatency = time.Since(c.request.Received)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writeResponseHeader(response)
	// A failed write means that the client is gone.
	_, err := c.writer.Write(body)
	c.finish("answered", response.Status, err)
}

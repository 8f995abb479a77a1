package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// firstAttemptShare is the share of the objective that the first attempt of a repeatable
	// call may use, so that a second attempt can still meet the objective.
	firstAttemptShare = 0.6
	// maxResponseBytes bounds responses that are buffered before they are forwarded.
	maxResponseBytes = 16 << 20
	// responseGrowth is the number of bytes by which the buffer of a response grows at least.
	responseGrowth = 16 << 10
)

// servePlain forwards a call to a plain service. It buffers the complete response before it
// forwards it, so that an incomplete response never looks complete.
func (c *call) servePlain(ctx context.Context) {
	for {
		if !c.mayRun(ctx) {
			c.fail(ctx, errCrashSuspect)
			return
		}
		plan, ok := c.gateway.fleet.Place(time.Now(), c.placementQuery())
		if !ok {
			c.fail(ctx, errNoRunner)
			return
		}
		if !c.beginSend() {
			plan.Run.End(time.Now(), placement.Unsent)
			c.fail(ctx, errRetryLimit)
			return
		}
		response, body, err := c.attemptPlain(ctx, plan.Run)
		if err == nil {
			c.recordCompletion(response.Status)
			c.deliverPlain(response, body)
			return
		}
		c.recordAttemptError(err)
		c.recordConnectionLoss(err, plan.Run.Runner(), c.attemptEvents)
		c.exclude(plan.Run.Runner())
		if !c.mayRetry(ctx, err) {
			c.fail(ctx, err)
			return
		}
	}
}

// errRetryLimit reports that the retry limit shared by all daemons is reached.
var errRetryLimit = errors.New("retry limit reached")

// errRunnerFailed reports a response with a server error status.
var errRunnerFailed = errors.New("runner responded with a server error")

// attemptPlain sends the call to one runner and ends inFlight. A response with a server error
// status is returned as errRunnerFailed if another attempt is allowed, else as a response.
func (c *call) attemptPlain(ctx context.Context, inFlight *placement.InFlightRequest) (*port.ForwardResponse, []byte, error) {
	runner := inFlight.Runner()
	c.runner = runner
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	monitor := &stallMonitor{}
	if c.sends == 1 && c.canRetryAfterExecution() {
		monitor = c.startStallMonitor(ctx, cancel, stallLimits{runner: runner.ID, firstTimeout: time.Duration(firstAttemptShare * float64(c.route.Target))})
	}
	defer monitor.stop()
	c.logStep("run at %s", runner.ID)
	response, err := c.gateway.runners.Run(attemptCtx, runner, c.request, port.RunOptions{
		Remaining: c.remaining(),
		MaxIdle:   c.maxConnectionIdle(),
		Wanted:    c.wanted,
	})
	var body []byte
	if err == nil && !c.chargeResponseHead(response) {
		_ = response.Body.Close()
		err = errResponseMemory
	}
	if err == nil {
		c.countUsage()
		body, err = c.readResponse(response)
		c.recordUnframed(response, err)
	}
	if err != nil && errors.Is(context.Cause(attemptCtx), errStalled) {
		err = errors.Join(errStalled, err)
	}
	failed := err == nil && response.Status >= http.StatusInternalServerError
	if failed {
		c.logStep("status %d", response.Status)
		inFlight.End(time.Now(), placement.Erred)
		if c.canRetryAfterExecution() {
			return nil, nil, errRunnerFailed
		}
		return response, body, nil
	}
	c.gateway.endAttempt(inFlight, placementOutcome(ctx, err))
	if err != nil {
		c.logStep("%v", err)
	}
	return response, body, err
}

// maxConnectionIdle returns the longest idle time of a connection that may be reused for this
// request; 0 requires a new connection.
func (c *call) maxConnectionIdle() time.Duration {
	switch {
	case c.route.Repeatable():
		return maxIdleRepeatable
	case c.route.Repeat == port.RepeatStream:
		return maxIdleStream
	}
	return 0
}

// readResponse reads and closes a whole response body. Its memory stays reserved until the call
// ends. The error is errResponseMemory if the memory for responses is full, port.ErrInvalidResponse
// if the body is longer than maxResponseBytes, and errInterrupted if it cannot be read to its end, or
// if a success that ends with its connection has no body.
func (c *call) readResponse(response *port.ForwardResponse) ([]byte, error) {
	// After a complete body, closing has no effect.
	defer func() { _ = response.Body.Close() }()
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, ok := c.growBuffer(body, responseGrowth)
			if !ok {
				return nil, errResponseMemory
			}
			body = grown
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && len(body) == 0 && !response.Framed && response.Status < http.StatusMultipleChoices:
			// Servers state the length of an empty body.
			return nil, errInterrupted
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, errors.Join(errInterrupted, err)
		case len(body) > maxResponseBytes:
			return nil, port.ErrInvalidResponse
		}
	}
}

// growBuffer makes room for at least n more bytes in a buffer for a response and reserves the memory
// until the call ends. It returns false if the memory for responses is full.
func (c *call) growBuffer(buffer []byte, n int) ([]byte, bool) {
	grown := slices.Grow(buffer, n)
	bytes := int64(cap(grown) - cap(buffer))
	if !c.gateway.memory.Reserve(memory.Responses, bytes, cap(grown) <= memory.SmallBytes) {
		return grown, false
	}
	c.responseBytes += bytes
	return grown, true
}

// chargeResponseHead reserves the memory of a response's header, which stays in use until the client has taken the response,
// beyond what each response may have. It returns false if the memory for responses is full.
func (c *call) chargeResponseHead(r *port.ForwardResponse) bool {
	cost := memory.HeaderCost(r.Header) - memory.FreeHeadBytes
	if cost <= 0 {
		return true
	}
	if !c.gateway.memory.Reserve(memory.Responses, cost, cost <= memory.SmallBytes) {
		return false
	}
	c.responseBytes += cost
	return true
}

// releaseMemory releases the memory reserved for the responses of the call.
func (c *call) releaseMemory() {
	c.gateway.memory.Release(memory.Responses, c.responseBytes)
	c.responseBytes = 0
}

// deliverPlain forwards a complete response.
func (c *call) deliverPlain(response *port.ForwardResponse, body []byte) {
	c.executions++
	if err := c.deliverWhole(response, body); err != nil {
		c.finish("answered", response.Status, err, c.recordIncomplete(incompleteClientLeft)...)
		return
	}
	c.finish("answered", response.Status, nil)
}

// deliverWhole writes a complete response to the client. An error means that the client has left.
func (c *call) deliverWhole(response *port.ForwardResponse, body []byte) error {
	c.firstEventLatency = time.Since(c.request.Received)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writeResponseHeader(response)
	_, err := c.writer.Write(body)
	return err
}

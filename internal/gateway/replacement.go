package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/retry"
)

// maxOverlap is how long a replacement may be unanswered while the attempt before it continues. Two
// runners must not work on one request for 400 ms, and the end of an attempt has to reach its runner.
const maxOverlap = 250 * time.Millisecond

// errProgressed ends a replacement because the attempt before it made progress.
var errProgressed = errors.New("earlier attempt made progress")

// replacement is an attempt that continues a stream from its last event in place of an attempt without
// progress, which goes on until the replacement is accepted.
type replacement struct {
	gateway     *Gateway
	inFlight    *placement.InFlightRequest
	reservation retry.Reservation
	// predicted is the predicted time to the first event.
	predicted time.Duration
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// done is closed once response and err, the result of the send, are set.
	done     chan struct{}
	response *port.ForwardResponse
	err      error
}

// placeReplacement places a replacement for the attempt at a runner and reserves its place in the retry
// limit. It returns nil if the request may not run once more, if no other engine is expected to respond
// in time, or if the retry limit is reached.
func (c *call) placeReplacement(ctx context.Context, runner string) *replacement {
	now := time.Now()
	decision, _ := c.gateway.crashes.decide(c.traits, now)
	if decision != crashes.Allow || !c.canRetryAfterExecution() || !c.sendsLeft() {
		return nil
	}
	q := c.placementQuery()
	q.NoPrefill = true
	q.Excluded = maps.Clone(q.Excluded)
	q.Excluded[runner] = true
	plan, ok := c.gateway.fleet.Place(now, q)
	if !ok {
		return nil
	}
	r := &replacement{gateway: c.gateway, inFlight: plan.Run, predicted: plan.FirstEvent, done: make(chan struct{})}
	if plan.FirstEvent < q.ClientTimeout && plan.Run.EngineResponsive(now) {
		r.reservation, ok = c.gateway.retryWindow(c.service).Reserve(now)
		if ok {
			r.ctx, r.cancel = context.WithCancelCause(ctx)
			return r
		}
	}
	plan.Run.End(now, placement.Unsent)
	return nil
}

// send sends the replacement and waits for the begin of the response.
func (r *replacement) send(c *call, o port.RunOptions) {
	defer close(r.done)
	r.response, r.err = c.gateway.runners.Run(r.ctx, r.inFlight.Runner(), c.request, o)
}

// wait returns the result of the send.
func (r *replacement) wait() (*port.ForwardResponse, error) {
	<-r.done
	return r.response, r.err
}

// release ends a replacement that did not take over the stream, once its send has returned.
func (r *replacement) release() {
	response, err := r.wait()
	outcome := placementOutcome(r.ctx, err)
	if response != nil {
		// Closing an unread body cancels the request at the runner.
		_ = response.Body.Close()
		outcome = placement.Abandoned
		if response.Status >= http.StatusInternalServerError {
			outcome = placement.Erred
		}
	}
	r.cancel(nil)
	r.gateway.endAttempt(r.inFlight, outcome)
}

// accepted reports whether the runner continues the stream.
func (r *replacement) accepted(c *call) bool {
	return r.err == nil && r.response.Status == http.StatusOK && c.continuesStream(r.response)
}

// countReplacement counts a replacement that did not take over the stream: err is why.
func (c *call) countReplacement(r *replacement, err error) {
	runner := r.inFlight.Runner()
	c.logStep("replacement at %s: %v", runner.ID, err)
	c.sends++
	if errors.Is(err, port.ErrNotSent) {
		c.lastRetry = r.reservation
		c.revertSend()
	}
	if !provesNotExecuted(err) {
		c.executions++
	}
}

// adopt makes a replacement the current attempt.
func (c *call) adopt(r *replacement) {
	c.sends++
	c.lastRetry = r.reservation
	c.attemptEvents = 0
	c.predictedFirstEvent = r.predicted
}

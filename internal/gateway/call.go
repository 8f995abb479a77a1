package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/forwarding"
	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/retry"
)

const (
	// maxRefusedSends is the number of sends that are allowed beyond a route's maximum number of
	// attempts, because runners may refuse a request without executing it.
	maxRefusedSends = 2
	// maxConnectFailures is the number of failed connections to runners at which the request
	// fails.
	maxConnectFailures = 8
	// minRetryTime is the remaining time below which another attempt cannot succeed.
	minRetryTime = 20 * time.Millisecond
	// maxIdleRepeatable is the longest idle time of a connection that is reused for a
	// repeatable request. The runner's keep-alive timeout limits it further.
	maxIdleRepeatable = time.Minute
	// maxIdleStream is the same limit for streams that are executed at most once. It equals the
	// time for which servers that announce no timeout keep idle connections: a request that is
	// sent while the runner closes the idle connection is lost.
	maxIdleStream = 3 * time.Second
)

// Errors for refusals and failures that the gateway itself decides.
var (
	errNoRunner           = errors.New("no usable runner")
	errPredictedLate      = errors.New("first event is predicted after the client timeout")
	errSaturated          = errors.New("all engines are full")
	errDeadlineExceeded   = errors.New("deadline of the request exceeded")
	errClientDisconnected = errors.New("client closed its connection")
	errCrashSuspect       = errors.New("request was in flight when several runners terminated")
	errInterrupted        = errors.New("response of the runner ended early")
	errStalled            = port.ErrSilent
	errResponseMemory     = port.ErrResponseMemory
)

// call is one request of a client and the state of its attempts.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *port.ForwardRequest
	route   *port.ForwardRoute
	service string
	// version is the software version that generated the events that the client has, empty before the
	// first one. Only runners of this version may continue the stream.
	version       string
	configVersion int64
	traits        crashes.Traits
	// clientLeft reports whether the client has closed its connection, also if the server has not found out yet; cancel then
	// ends the context of the call. Both are nil in tests without a client.
	clientLeft func() bool
	cancel     context.CancelFunc
	// runner is the one to which the current attempt was sent.
	runner port.Runner
	// handedOver is what another daemon says of a request that it handed over, nil for others.
	handedOver *port.Handover
	// receiversTried is set once the request was to be handed to other daemons.
	receiversTried bool
	// admitted is set if the request arrived before the end of the service.
	admitted bool
	// roomTicket is the place of a stream that waits for room at the engines of its version, nil for others.
	roomTicket *placement.RoomTicket
	// trial is the blocked trait of which the request is a trial, or empty.
	trial crashes.Trait
	// deadline is the end of the client's or of the route's time limit, whichever is earlier.
	deadline time.Time
	// excluded holds the ids of the runners that already failed the request, failed when and in which
	// of their processes they did.
	excluded map[string]bool
	failed   map[string]runnerFailure

	// sends counts attempts that were sent, executions those that may have been executed, and
	// connectFailures those whose connection could not be opened.
	sends           int
	executions      int
	connectFailures int
	// counted is set once the request is counted for the shared retry limit.
	counted bool
	// reservedRetry is a retry that the stall monitor has reserved from the shared limit and that
	// is not sent yet; nil if there is none. lastRetry is the one that the current attempt uses;
	// the zero value for a first attempt.
	reservedRetry atomic.Pointer[retry.Reservation]
	lastRetry     retry.Reservation
	// prefilled is set once an engine has prefilled the prompt for another one, arrived once a
	// runner may have received the request otherwise.
	prefilled bool
	arrived   bool
	// prefillSends is the number of prefills that an engine may have received.
	prefillSends int
	// headerWritten is set once a response header was written to the client; status is its
	// status code.
	headerWritten bool
	// usageCounted is set once the request was counted for the usage of its organisation.
	usageCounted bool
	status       int
	// contentType is the content type of that response.
	contentType string
	// lastEventID is the id of the last event that the client received, also on an earlier
	// connection that the request resumes.
	lastEventID string
	eventCount  int
	// attemptEvents is the number of times that the current attempt received events.
	attemptEvents int
	urgency       int
	// saturated is set if all engines were full when the request was classified.
	saturated bool
	// predictedFirstEvent is the time to the first event that was predicted at the last
	// placement; 0 for plain services. firstEventLatency is the measured time from the receipt
	// of the request to the first event or, for plain services, to the whole response.
	predictedFirstEvent time.Duration
	firstEventLatency   time.Duration
	// lastEventAt is when the last events arrived, longestGap the longest time between two
	// arrivals.
	lastEventAt time.Time
	longestGap  time.Duration
	// stepLog describes the attempts, for the log line of the request.
	stepLog []string
	// responseBytes is the memory that buffered responses of this call occupy.
	responseBytes int64
	// stalled is set once an attempt was ended as stalled. streamError ended the last attempt that had
	// received events; nil if there is none.
	stalled     bool
	streamError error
	// abortConnection is set when the client's connection must be closed without a regular end
	// of the response.
	abortConnection bool
}

// logStep appends a step to stepLog, with the time since the request was received.
func (c *call) logStep(format string, args ...any) {
	at := time.Since(c.request.Received).Milliseconds()
	c.stepLog = append(c.stepLog, strconv.FormatInt(at, 10)+"ms "+fmt.Sprintf(format, args...))
}

// logRetryLimit appends a step that says on which counts the retry limit refused a send.
func (c *call) logRetryLimit() {
	u := c.gateway.retryWindow(c.service).Usage(time.Now())
	c.logStep("%v: %d retries of %.1f allowed for %d requests", errRetryLimit, u.Retries, u.Allowed, u.Requests)
}

// wanted reports whether the client still waits, and ends the call if it does not.
func (c *call) wanted() bool {
	if c.clientLeft == nil || !c.clientLeft() {
		return true
	}
	c.cancel()
	return false
}

// remaining returns the time left until the deadline.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// countRequest counts the request for the shared retry limit when it is sent for the first time.
func (c *call) countRequest() {
	if !c.counted {
		c.counted = true
		c.gateway.retryWindow(c.service).RecordFirstAttempt(time.Now())
	}
}

// reserveRetry reserves a retry from the shared limit. If the limit allows none, it logs the state
// of the limit as a step and returns false.
func (c *call) reserveRetry() (retry.Reservation, bool) {
	reservation, ok := c.gateway.retryWindow(c.service).Reserve(time.Now())
	if !ok {
		c.logRetryLimit()
	}
	return reservation, ok
}

// beginSend counts an attempt that is about to be sent. If the attempt would be a retry that
// exceeds the shared retry limit, beginSend returns false and counts nothing.
func (c *call) beginSend() bool {
	c.lastRetry = retry.Reservation{}
	if c.sends > 0 {
		if reserved := c.reservedRetry.Swap(nil); reserved != nil {
			c.lastRetry = *reserved
		} else if reservation, ok := c.reserveRetry(); ok {
			c.lastRetry = reservation
		} else {
			return false
		}
	}
	c.countRequest()
	c.sends++
	c.arrived = true
	c.attemptEvents = 0
	return true
}

// revertSend corrects the counts for a send whose connection could not be opened. Such failures
// have a limit of their own, because they cost the runners nothing.
func (c *call) revertSend() {
	c.sends--
	c.connectFailures++
	c.lastRetry.Cancel()
}

// mayRetry reports whether the request may be sent again after err, and counts the failed
// attempt as a possible execution unless err proves otherwise.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	if errors.Is(err, port.ErrNotSent) {
		c.revertSend()
	}
	if !provesNotExecuted(err) {
		c.executions++
		if !c.route.Repeatable() {
			return false
		}
	}
	if ctx.Err() != nil || c.remaining() < minRetryTime || c.trial != "" {
		return false
	}
	return c.executions < c.route.MaxAttempts && c.sendsLeft()
}

// sendsLeft reports whether another send is allowed after those that runners refused or that could not
// be connected.
func (c *call) sendsLeft() bool {
	return c.sends < c.route.MaxAttempts+maxRefusedSends && c.connectFailures < maxConnectFailures
}

// canRetryAfterExecution reports whether another attempt would be allowed if the current one
// failed after it was executed.
func (c *call) canRetryAfterExecution() bool {
	return c.route.Repeatable() && c.trial == "" && c.executions+1 < c.route.MaxAttempts && c.remaining() > 4*minRetryTime
}

// recordConnectionLoss evaluates the error of an attempt for the crash guard. A refused connection
// confirms earlier losses at the runner; an error that may mean that the connection was lost while
// the request was executing is recorded as a loss. events is the number of times that the attempt
// received events.
func (c *call) recordConnectionLoss(err error, r port.Runner, events int) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.gateway.recordRefused(r)
	case mayBeConnectionLoss(err):
		c.gateway.crashes.recordLoss(connectionLoss{
			traits: c.traits, requestID: c.request.ID, promptParts: partIDs(c.request.Prompt), firstEvent: events > 0,
			retry: c.executions > 0, runner: r, at: time.Now(),
		})
	}
}

// recordCompletion tells the crash guard that a runner completed the request. An error is no
// completion: the runner may have given up before the step at which it would crash.
func (c *call) recordCompletion(status int) {
	if status < http.StatusMultipleChoices {
		c.gateway.crashes.recordCompletion(c.traits, time.Now())
	}
}

// mayBeConnectionLoss reports whether an attempt may have ended because its runner terminated. It
// did not if the runner responded, or if this daemon or the client ended the attempt.
func mayBeConnectionLoss(err error) bool {
	responded := errors.Is(err, port.ErrInvalidResponse) || errors.Is(err, errRunnerFailed) || errors.Is(err, errResponseMemory)
	ended := errors.Is(err, errStalled) || errors.Is(err, errClientDisconnected) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return !provesNotExecuted(err) && !responded && !ended
}

// partIDs returns the ids of the parts of a prompt.
func partIDs(p *port.Prompt) []string {
	if p == nil {
		return nil
	}
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// fail ends the call without a response of a runner. It sends 503 only if the request was not
// executed and will not be.
func (c *call) fail(ctx context.Context, err error) {
	timeout := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if timeout {
		err = fmt.Errorf("%w: %w", errDeadlineExceeded, err)
	}
	if c.handOverUnreached(ctx, err) {
		return
	}
	c.recordTakeUpFailure(ctx, err)
	// A partial response must not look complete, even to a client that is disconnecting; without any
	// response, the server would send an empty success.
	c.abortConnection = c.headerWritten || clientDisconnected(ctx)
	if clientDisconnected(ctx) {
		c.finish("abandoned", 0, errClientDisconnected, c.recordIncomplete(c.incompleteReason(ctx, err))...)
		return
	}
	if c.headerWritten {
		c.finish("broken", 0, err, c.recordIncomplete(c.incompleteReason(ctx, err))...)
		return
	}
	status := http.StatusServiceUnavailable
	outcome := "refused"
	if c.executions > 0 {
		outcome = "failed"
		status = http.StatusBadGateway
		if timeout {
			status = http.StatusGatewayTimeout
		}
	}
	// The daemon may have begun to stop since the request was read.
	c.gateway.markClosing(c.writer.Header())
	c.declineHandover(err)
	if status == http.StatusServiceUnavailable {
		c.writer.Header().Set("Retry-After", formatRetryAfter(c.predictRetryAfter()))
	}
	c.writer.WriteHeader(status)
	c.finish(outcome, status, err)
}

// clientDisconnected reports whether the client, and not a time limit, ended the context.
func clientDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

const (
	// minRetryAfter lets a client return early when the backlog is short.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterDivisor limits Retry-After to the remaining time divided by it; clients do not
	// honour longer values.
	retryAfterDivisor = 3
)

// predictRetryAfter predicts how long it takes until capacity for the request is available. The
// wait covers the backlog and is randomised, so that clients that were refused together do not
// return together.
func (c *call) predictRetryAfter() time.Duration {
	_, wait, ok := c.gateway.fleet.Predict(time.Now(), c.placementQuery())
	if !ok || c.saturated {
		// How soon a running request ends is not known.
		wait = c.route.Target
		if left := c.gateway.fleet.AcceptsIn(time.Now(), c.service); left > 0 {
			wait = left
		}
	}
	wait = max(minRetryAfter, wait)
	wait += time.Duration(c.gateway.random() * float64(wait) / 2)
	return min(wait, max(minRetryAfter, c.remaining()/retryAfterDivisor))
}

// formatRetryAfter formats a duration in seconds with two decimals.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// finish records the metrics of the call and writes its one summary log line, with the fields of more
// in addition.
func (c *call) finish(outcome string, status int, err error, more ...zap.Field) {
	took := time.Since(c.request.Received)
	c.gateway.metrics.recordOutcome(c.route, outcome, took, c.firstEventLatency)
	fields := []zap.Field{
		zap.String(jsonlog.FieldRequestID, c.request.ID),
		zap.String("route", c.route.Name),
		zap.String("service", c.service),
		zap.String("software-version", c.version),
		zap.Int64("config-version", c.configVersion),
		zap.String("outcome", outcome),
		zap.Int("status", status),
		zap.Duration("took", took),
		zap.Int("urgency", c.urgency),
		zap.Duration("predicted", c.predictedFirstEvent),
		zap.Duration("first-event", c.firstEventLatency),
		zap.Int("events", c.eventCount),
		zap.Duration("longest-pause", c.longestGap),
		zap.Int("runs", c.executions),
		zap.Strings("steps", c.stepLog),
	}
	if p := c.request.Prompt; p != nil {
		fields = append(fields, zap.Int("prompt-tokens", p.InputTokens), zap.Int("output-tokens", p.OutputTokens))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	fields = append(fields, more...)
	if outcome == "answered" || outcome == outcomeHandedOver {
		c.gateway.log.Info("request finished", fields...)
		return
	}
	c.gateway.log.Warn("request finished", fields...)
}

// placementQuery returns the placement query for the current state of the request.
func (c *call) placementQuery() placement.Query {
	return placement.Query{
		Service:         c.service,
		Prompt:          c.request.Prompt,
		BodyBytes:       len(c.request.Body),
		Urgency:         c.urgency,
		RemainingTarget: max(time.Millisecond, c.route.Target-time.Since(c.request.Received)),
		ClientTimeout:   c.clientTimeout(),
		Excluded:        c.excluded,
		Version:         c.version,

		Objective:  c.route.Target,
		AllowedGap: c.route.GapTarget,
	}
}

const (
	// Clients abandon a stream if they receive nothing for minClientTimeout, for
	// clientTimeoutTargets times the objective or for clientTimeoutGaps times the allowed gap,
	// whichever is longest. The same holds from the request to the first event.
	minClientTimeout     = 2 * time.Second
	clientTimeoutTargets = 4
	clientTimeoutGaps    = 8
)

// clientTimeout returns the time left until the client disconnects if it receives nothing.
func (c *call) clientTimeout() time.Duration {
	if c.route.Repeat != port.RepeatStream {
		return c.remaining()
	}
	since := c.request.Received
	if c.headerWritten {
		since = c.lastEventAt
	}
	return min(c.remaining(), c.silenceLimit()-time.Since(since))
}

// silenceLimit returns how long the client of a stream waits for the next event.
func (c *call) silenceLimit() time.Duration {
	return max(minClientTimeout, clientTimeoutTargets*c.route.Target, clientTimeoutGaps*c.route.GapTarget)
}

func (c *call) exclude(r port.Runner) {
	c.excluded[r.ID] = true
	if c.failed == nil {
		c.failed = map[string]runnerFailure{}
	}
	c.failed[r.ID] = runnerFailure{startedMS: r.StartedMS, at: time.Now()}
}

// writeResponseHeader writes the status and the headers of a runner's response.
func (c *call) writeResponseHeader(response *port.ForwardResponse) {
	h := c.writer.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	c.gateway.markClosing(h)
	if c.handedOver != nil {
		forwarding.NameRunner(h, c.runner)
	}
	c.headerWritten = true
	c.status, c.contentType = response.Status, response.Header.Get("Content-Type")
	c.writer.WriteHeader(response.Status)
}

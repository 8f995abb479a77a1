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

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

const (
	// maxRefusedSends is the number of sends beyond a route's attempts that runners may
	// refuse without running the request.
	maxRefusedSends = 2
	// maxConnectFailures is the number of runners that may be tried without a connection.
	maxConnectFailures = 8
	// minRetryTime is the time below which another attempt has no chance.
	minRetryTime = 20 * time.Millisecond
	// maxIdleRepeatable is how long a connection may have been idle for a request that may
	// run again; the runner's keep-alive timeout limits it further.
	maxIdleRepeatable = time.Minute
	// maxIdleStream is that time for streams that run at most once: as long as servers keep
	// connections that state no timeout, because a request that crosses the runner's close
	// of an idle connection is lost.
	maxIdleStream = 3 * time.Second
)

// Reasons of refusals and failures that the gateway itself decides.
var (
	errNoRunner           = errors.New("no usable runner")
	errPredictedLate      = errors.New("predicted answer is later than the client waits")
	errDeadlineExceeded   = errors.New("time limit reached")
	errClientDisconnected = errors.New("client closed its connection")
	errCrashSuspect       = errors.New("request was in flight as several runners ended")
	errInterrupted        = errors.New("answer of the runner ended early")
	errStalled            = errors.New("runner made no progress")
)

// call is one request of a client on its way.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *port.ForwardRequest
	route   *port.ForwardRoute
	service string
	version int64
	digest  quarantine.Digest
	// deadline is when the client or the route gives up, whichever is first.
	deadline time.Time
	excluded map[string]bool

	// sends counts runs that were sent, runs those that may have run, and unsent those
	// whose connection could not be opened.
	sends           int
	executions      int
	connectFailures int
	// retryReserved is set while a retry is taken from the limit but not yet sent.
	retryReserved atomic.Bool
	// prefillAttempts counts prompts that were read elsewhere.
	prefillAttempts int
	// headerWritten is set once the head of an answer was written, with its status.
	headerWritten bool
	status        int
	// lastEventID is the id of the last event that was delivered.
	lastEventID         string
	eventCount          int
	urgency             int
	predictedFirstEvent time.Duration
	firstEventLatency   time.Duration
	// lastEventAt is when the last events were lastEventAt, pause the longest time between
	// two deliveries.
	lastEventAt time.Time
	longestGap  time.Duration
	// stepLog describes what was tried, for the log.
	stepLog []string
	// responseBytes is the memory that answers take which are read as a whole.
	responseBytes int64
	// abortConnection is set when the client's connection must be closed without an end.
	abortConnection bool
}

func (c *call) logStep(format string, args ...any) {
	at := time.Since(c.request.Received).Milliseconds()
	c.stepLog = append(c.stepLog, strconv.FormatInt(at, 10)+"ms "+fmt.Sprintf(format, args...))
}

// remaining is the time that a runner is given.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// provesNotExecuted tells whether an error proves that the request did not run.
func provesNotExecuted(err error) bool {
	return errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrNotRun) ||
		errors.Is(err, port.ErrWrongInstance) || errors.Is(err, port.ErrMemoryGone)
}

// placementOutcome translates an error for the model of the runners.
func placementOutcome(ctx context.Context, err error) placement.Outcome {
	switch {
	case err == nil:
		return placement.Answered
	case errors.Is(err, port.ErrWrongInstance):
		return placement.Misdirected
	case errors.Is(err, port.ErrMemoryGone) || errors.Is(err, errResponseMemory):
		return placement.Abandoned
	case errors.Is(err, port.ErrNotRun):
		return placement.Refused
	case ctx.Err() != nil && !errors.Is(err, errStalled):
		return placement.Abandoned
	}
	return placement.Failed
}

// beginSend counts a run that is about to be sent. It returns false when it would be a
// retry that the shared limit does not allow.
func (c *call) beginSend() bool {
	if c.sends > 0 && !c.useReservedRetry() && !c.gateway.retryWindow(c.service).Take(time.Now()) {
		return false
	}
	if c.sends == 0 && c.connectFailures == 0 {
		c.gateway.retryWindow(c.service).First(time.Now())
	}
	c.sends++
	return true
}

// revertSend takes back a send that did not take place. Connections that fail are bounded
// by their own number, because they cost the runners nothing.
func (c *call) revertSend() {
	c.sends--
	c.connectFailures++
	if c.sends > 0 {
		c.gateway.retryWindow(c.service).Refund(time.Now())
	}
}

// mayRetry tells whether the request may be sent again after err. It notes that the
// request may have run.
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
	if ctx.Err() != nil || c.remaining() < minRetryTime {
		return false
	}
	return c.executions < c.route.MaxAttempts && c.sends < c.route.MaxAttempts+maxRefusedSends && c.connectFailures < maxConnectFailures
}

// canRetryAfterExecution tells whether a further attempt would be allowed if the present one failed
// after it ran.
func (c *call) canRetryAfterExecution() bool {
	return c.route.Repeatable() && c.executions+1 < c.route.MaxAttempts && c.remaining() > 4*minRetryTime
}

// recordConnectionLoss records the end of a connection while the request ran, or that a runner
// refuses connections.
func (c *call) recordConnectionLoss(err error, r port.Runner) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.gateway.crashes.confirmRefused(r.ID, time.Now())
	case provesNotExecuted(err) || errors.Is(err, port.ErrSpoiled) || errors.Is(err, errStalled) || errors.Is(err, errResponseMemory):
	default:
		c.gateway.crashes.recordLoss(c.digest, r, time.Now())
	}
}

// fail ends the call without a runner's answer. 503 is sent only when the request has
// not run and will not.
func (c *call) fail(ctx context.Context, err error) {
	timeout := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if timeout {
		err = fmt.Errorf("%w: %w", errDeadlineExceeded, err)
	}
	// An answer that was begun must not look complete, also to a client that is leaving.
	c.abortConnection = c.headerWritten
	if clientDisconnected(ctx) {
		c.finish("abandoned", 0, errClientDisconnected)
		return
	}
	if c.headerWritten {
		c.finish("broken", 0, err)
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
	if status == http.StatusServiceUnavailable {
		c.writer.Header().Set("Retry-After", formatRetryAfter(c.predictRetryAfter()))
	}
	c.writer.WriteHeader(status)
	c.finish(outcome, status, err)
}

// clientDisconnected tells whether the client ended the context, and not a time limit.
func clientDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

const (
	// minRetryAfter lets a client come back early when the backlog is short.
	minRetryAfter = 100 * time.Millisecond
	// retryAfterDivisor is the part of the remaining time that clients are asked to wait
	// at most; more they do not honour.
	retryAfterDivisor = 3
)

// predictRetryAfter predicts when a request has a place: the backlog, spread so that clients
// that were refused together do not return together.
func (c *call) predictRetryAfter() time.Duration {
	_, wait, ok := c.gateway.fleet.Predict(time.Now(), c.placementQuery())
	if !ok {
		wait = c.route.Target
	}
	wait = max(minRetryAfter, wait)
	wait += time.Duration(c.gateway.random() * float64(wait) / 2)
	return min(wait, max(minRetryAfter, c.remaining()/retryAfterDivisor))
}

func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// finish writes the one line that explains the call.
func (c *call) finish(outcome string, status int, err error) {
	took := time.Since(c.request.Received)
	c.gateway.metrics.recordOutcome(c.route, outcome, took, c.firstEventLatency)
	fields := []zap.Field{
		zap.String(jsonlog.FieldRequestID, c.request.ID),
		zap.String("route", c.route.Name),
		zap.String("service", c.service),
		zap.Int64("config-version", c.version),
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
	if outcome == "answered" {
		c.gateway.log.Info("request finished", fields...)
		return
	}
	c.gateway.log.Warn("request finished", fields...)
}

// placementQuery asks for a place with what is known of the request now.
func (c *call) placementQuery() placement.Query {
	return placement.Query{
		Service:   c.service,
		Prompt:    c.request.Prompt,
		BodyBytes: len(c.request.Body),
		Urgency:   c.urgency,
		Target:    max(time.Millisecond, c.route.Target-time.Since(c.request.Received)),
		Patience:  c.clientTimeout(),
		Excluded:  c.excluded,

		Objective:    c.route.Target,
		AllowedPause: c.route.GapTarget,
	}
}

const (
	// Clients leave a stream after a pause of minClientTimeout, of patienceTargets times the
	// objective or of patienceGaps times the allowed pause, whichever is longest, also
	// before the first event.
	minClientTimeout     = 2 * time.Second
	clientTimeoutTargets = 4
	clientTimeoutGaps    = 8
)

// clientTimeout is the time left until the client leaves without an answer.
func (c *call) clientTimeout() time.Duration {
	if c.route.Repeat != port.RepeatStream {
		return c.remaining()
	}
	limit := max(minClientTimeout, clientTimeoutTargets*c.route.Target, clientTimeoutGaps*c.route.GapTarget)
	return min(c.remaining(), limit-time.Since(c.request.Received))
}

func (c *call) exclude(r port.Runner) { c.excluded[r.ID] = true }

// writeResponseHeader writes the status and the headers of a runner's answer.
func (c *call) writeResponseHeader(response *port.ForwardResponse) {
	h := c.writer.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	c.gateway.markClosing(h)
	c.headerWritten = true
	c.status = response.Status
	c.writer.WriteHeader(response.Status)
}

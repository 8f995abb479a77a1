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
	// extraSends is the number of sends beyond a route's attempts that runners may
	// refuse without running the request.
	extraSends = 2
	// maxUnsent is the number of runners that may be tried without a connection.
	maxUnsent = 8
	// minRemaining is the time below which another attempt has no chance.
	minRemaining = 20 * time.Millisecond
	// idleRepeatable is how long a connection may have been idle for a request that may
	// run again; the runner's keep-alive timeout limits it further.
	idleRepeatable = time.Minute
	// idleStream is that time for streams that run at most once: as long as servers keep
	// connections that state no timeout, because a request that crosses the runner's close
	// of an idle connection is lost.
	idleStream = 3 * time.Second
)

// Reasons of refusals and failures that the gateway itself decides.
var (
	errNoRunner    = errors.New("no usable runner")
	errBacklog     = errors.New("predicted answer is later than the client waits")
	errTimeout     = errors.New("time limit reached")
	errClientGone  = errors.New("client closed its connection")
	errCrashes     = errors.New("request was in flight as several runners ended")
	errInterrupted = errors.New("answer of the runner ended early")
	errStalled     = errors.New("runner made no progress")
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
	sends  int
	runs   int
	unsent int
	// reserved is set while a retry is taken from the limit but not yet sent.
	reserved atomic.Bool
	// prefills counts prompts that were read elsewhere.
	prefills int
	// delivering is set once the head of an answer was written, with its status.
	delivering bool
	status     int
	// lastEvent is the id of the last event that was delivered.
	lastEvent string
	events    int
	urgency   int
	predicted time.Duration
	first     time.Duration
	// delivered is when the last events were delivered, pause the longest time between
	// two deliveries.
	delivered time.Time
	pause     time.Duration
	// steps describes what was tried, for the log.
	steps []string
	// answerBytes is the memory that answers take which are read as a whole.
	answerBytes int64
	// broken is set when the client's connection must be closed without an end.
	broken bool
}

func (c *call) step(format string, args ...any) {
	at := time.Since(c.request.Received).Milliseconds()
	c.steps = append(c.steps, strconv.FormatInt(at, 10)+"ms "+fmt.Sprintf(format, args...))
}

// remaining is the time that a runner is given.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// notRun tells whether an error proves that the request did not run.
func notRun(err error) bool {
	return errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrNotRun) ||
		errors.Is(err, port.ErrWrongInstance) || errors.Is(err, port.ErrMemoryGone)
}

// outcomeOf translates an error for the model of the runners.
func outcomeOf(ctx context.Context, err error) placement.Outcome {
	switch {
	case err == nil:
		return placement.Completed
	case errors.Is(err, port.ErrWrongInstance):
		return placement.Misdirected
	case errors.Is(err, port.ErrMemoryGone) || errors.Is(err, errAnswerMemory):
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
	if c.sends > 0 && !c.takeReserved() && !c.gateway.retries(c.service).TryRetry(time.Now()) {
		return false
	}
	if c.sends == 0 && c.unsent == 0 {
		c.gateway.retries(c.service).RecordFirstSend(time.Now())
	}
	c.sends++
	return true
}

// undoSend takes back a send that did not take place. Connections that fail are bounded
// by their own number, because they cost the runners nothing.
func (c *call) undoSend() {
	c.sends--
	c.unsent++
	if c.sends > 0 {
		c.gateway.retries(c.service).Refund(time.Now())
	}
}

// mayRetry tells whether the request may be sent again after err. It notes that the
// request may have run.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	if errors.Is(err, port.ErrNotSent) {
		c.undoSend()
	}
	if !notRun(err) {
		c.runs++
		if !c.route.Repeatable() {
			return false
		}
	}
	if ctx.Err() != nil || c.remaining() < minRemaining {
		return false
	}
	return c.runs < c.route.MaxAttempts && c.sends < c.route.MaxAttempts+extraSends && c.unsent < maxUnsent
}

// retryable tells whether a further attempt would be allowed if the present one failed
// after it ran.
func (c *call) retryable() bool {
	return c.route.Repeatable() && c.runs+1 < c.route.MaxAttempts && c.remaining() > 4*minRemaining
}

// noteLoss records the end of a connection while the request ran, or that a runner
// refuses connections.
func (c *call) noteLoss(err error, r port.Runner) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.gateway.crashes.ended(r.ID, time.Now())
	case notRun(err) || errors.Is(err, port.ErrSpoiled) || errors.Is(err, errStalled) || errors.Is(err, errAnswerMemory):
	default:
		c.gateway.crashes.lost(c.digest, r, time.Now())
	}
}

// fail ends the call without a runner's answer. 503 is sent only when the request has
// not run and will not.
func (c *call) fail(ctx context.Context, err error) {
	timeout := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if timeout {
		err = fmt.Errorf("%w: %w", errTimeout, err)
	}
	// An answer that was begun must not look complete, also to a client that is leaving.
	c.broken = c.delivering
	if clientGone(ctx) {
		c.finish("abandoned", 0, errClientGone)
		return
	}
	if c.delivering {
		c.finish("broken", 0, err)
		return
	}
	status := http.StatusServiceUnavailable
	outcome := "refused"
	if c.runs > 0 {
		outcome = "failed"
		status = http.StatusBadGateway
		if timeout {
			status = http.StatusGatewayTimeout
		}
	}
	if status == http.StatusServiceUnavailable {
		c.writer.Header().Set("Retry-After", retryAfter(c.retryAfter()))
	}
	c.writer.WriteHeader(status)
	c.finish(outcome, status, err)
}

// clientGone tells whether the client ended the context, and not a time limit.
func clientGone(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

const (
	// retryAfterLeast lets a client come back early when the backlog is short.
	retryAfterLeast = 100 * time.Millisecond
	// retryAfterShare is the part of the remaining time that clients are asked to wait
	// at most; more they do not honour.
	retryAfterShare = 3
)

// retryAfter predicts when a request has a place: the backlog, spread so that clients
// that were refused together do not return together.
func (c *call) retryAfter() time.Duration {
	_, wait, ok := c.gateway.fleet.Predict(time.Now(), c.query())
	if !ok {
		wait = c.route.Target
	}
	wait = max(retryAfterLeast, wait)
	wait += time.Duration(c.gateway.random() * float64(wait) / 2)
	return min(wait, max(retryAfterLeast, c.remaining()/retryAfterShare))
}

func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 2, 64)
}

// finish writes the one line that explains the call.
func (c *call) finish(outcome string, status int, err error) {
	took := time.Since(c.request.Received)
	c.gateway.metrics.count(c.route, outcome, took, c.first)
	fields := []zap.Field{
		zap.String(jsonlog.FieldRequestID, c.request.ID),
		zap.String("route", c.route.Name),
		zap.String("service", c.service),
		zap.Int64("config-version", c.version),
		zap.String("outcome", outcome),
		zap.Int("status", status),
		zap.Duration("took", took),
		zap.Int("urgency", c.urgency),
		zap.Duration("predicted", c.predicted),
		zap.Duration("first-event", c.first),
		zap.Int("events", c.events),
		zap.Duration("longest-pause", c.pause),
		zap.Int("runs", c.runs),
		zap.Strings("steps", c.steps),
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

// query asks for a place with what is known of the request now.
func (c *call) query() placement.Query {
	return placement.Query{
		Service:         c.service,
		Prompt:          c.request.Prompt,
		BodyBytes:       len(c.request.Body),
		Urgency:         c.urgency,
		RemainingTarget: max(time.Millisecond, c.route.Target-time.Since(c.request.Received)),
		ClientTimeout:   c.patience(),
		Excluded:        c.excluded,

		Objective:  c.route.Target,
		AllowedGap: c.route.GapTarget,
	}
}

const (
	// Clients leave a stream after a pause of streamPatience, of patienceTargets times the
	// objective or of patienceGaps times the allowed pause, whichever is longest, also
	// before the first event.
	streamPatience  = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// patience is the time left until the client leaves without an answer.
func (c *call) patience() time.Duration {
	if c.route.Repeat != port.RepeatStream {
		return c.remaining()
	}
	limit := max(streamPatience, patienceTargets*c.route.Target, patienceGaps*c.route.GapTarget)
	return min(c.remaining(), limit-time.Since(c.request.Received))
}

func (c *call) exclude(r port.Runner) { c.excluded[r.ID] = true }

// copyHead writes the status and the headers of a runner's answer.
func (c *call) copyHead(answer *port.ForwardResponse) {
	h := c.writer.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	c.gateway.markClosing(h)
	c.delivering = true
	c.status = answer.Status
	c.writer.WriteHeader(answer.Status)
}

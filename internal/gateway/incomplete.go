package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
)

// incompleteReason says why the connection of a request that was read whole ended without a complete
// response. It is the name of the counter and the value of the log field.
type incompleteReason string

const (
	incompleteClientLeft   incompleteReason = "client-left"
	incompleteDeadline     incompleteReason = "deadline"
	incompleteStall        incompleteReason = "stall"
	incompleteRunnerEnded  incompleteReason = "runner-ended"
	incompleteDaemonStops  incompleteReason = "daemon-stops"
	incompletePanic        incompleteReason = "panic"
	incompleteOtherReasons incompleteReason = "other"
)

// recordAttemptError records what the report of an incomplete response says of a failed attempt.
func (c *call) recordAttemptError(err error) {
	c.stalled = c.stalled || errors.Is(err, errStalled)
	if c.attemptEvents > 0 {
		c.streamError = err
	}
}

// recordUnframed records how a response ended that states no end of its body. err is nil if it counts as
// whole.
func (c *call) recordUnframed(response *port.ForwardResponse, err error) {
	if response == nil || response.Framed {
		return
	}
	outcome := "ended"
	if err != nil {
		outcome = "broken"
	}
	c.gateway.metrics.unframed.Add(outcome, 1)
	c.logStep("response without a length: %s", outcome)
}

// incompleteReason returns why a response that ends with err is incomplete. The context is the one
// in which the request was served.
func (c *call) incompleteReason(ctx context.Context, err error) incompleteReason {
	cause := context.Cause(ctx)
	switch {
	// The server closes all connections when the daemon ends, which looks as if the clients left.
	case errors.Is(cause, errStopping), ctx.Err() != nil && !c.gateway.tomb.Alive():
		return incompleteDaemonStops
	case errors.Is(cause, context.DeadlineExceeded):
		return incompleteDeadline
	case clientDisconnected(ctx), errors.Is(err, errClientDisconnected):
		return incompleteClientLeft
	case errors.Is(c.streamError, errStalled):
		return incompleteStall
	case errors.Is(c.streamError, errResponseMemory):
		return incompleteOtherReasons
	case c.streamError != nil:
		return incompleteRunnerEnded
	}
	return incompleteOtherReasons
}

// recordIncomplete counts a request whose connection ends without a complete response, and returns
// the fields that its log line has in addition.
func (c *call) recordIncomplete(reason incompleteReason) []zap.Field {
	c.gateway.metrics.incomplete.Add(string(reason), 1)
	return []zap.Field{
		zap.String("incomplete", string(reason)),
		zap.Int64("end-config-version", c.gateway.config.version()),
		zap.Bool("stopping", c.gateway.stopping.Load()),
		zap.Bool("stalled", c.stalled),
	}
}

// recordHandlerPanic logs and counts a panic; the deferred function that recovered it must call it. The
// call is nil if the request was not read whole.
func (g *Gateway) recordHandlerPanic(r *http.Request, c *call, cause any) {
	g.metrics.panics.Add(1)
	fields := []zap.Field{
		zap.String("host", r.Host), zap.String("target", r.RequestURI),
		zap.String("cause", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()),
	}
	if c != nil {
		fields = append(fields, zap.String(jsonlog.FieldRequestID, c.request.ID), zap.Int64("config-version", c.configVersion), zap.Strings("steps", c.stepLog))
		if c.headerWritten {
			fields = append(fields, c.recordIncomplete(incompletePanic)...)
		}
	}
	g.log.Error("request handler panicked", fields...)
}

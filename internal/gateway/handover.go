package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/forwarding"
	"bergamotsill.example/bergamotsill/internal/handover"
	"bergamotsill.example/bergamotsill/internal/port"
)

// maxReceivers is the number of daemons to which a request is handed one after another.
const maxReceivers = 2

// outcomeHandedOver is the outcome of a request that another daemon has served.
const outcomeHandedOver = "handed-over"

// errReceiverLost ends a handover because the receiver does not answer questions any more.
var errReceiverLost = errors.New("daemon that received the request does not respond")

// handOver hands the request to a daemon that reaches the service, if this one does not. It reports
// whether the call is finished.
func (c *call) handOver(ctx context.Context) bool {
	return c.gateway.reach.isUnreached(c.service) && c.tryReceivers(ctx)
}

// handOverUnreached is like handOver for a request that failed with err before it was executed, while it
// was not certain yet whether the service is reached.
func (c *call) handOverUnreached(ctx context.Context, err error) bool {
	unreached := errors.Is(err, errNoRunner) || errors.Is(err, port.ErrNotSent)
	if !unreached || c.executions > 0 || c.handedOver != nil || c.receiversTried {
		return false
	}
	c.gateway.reach.awaitCertain(ctx, c.service)
	return ctx.Err() == nil && c.handOver(ctx)
}

// tryReceivers hands the request to other daemons until one takes it. It reports whether the call is
// finished. A request that was handed over is not handed over again.
func (c *call) tryReceivers(ctx context.Context) bool {
	if c.gateway.deps.Handovers == nil || c.handedOver != nil || c.receiversTried || c.headerWritten {
		return false
	}
	c.receiversTried = true
	need := handover.Need{Service: c.service, Config: c.configVersion, Excluded: map[string]bool{}}
	for range maxReceivers {
		to, ok := c.gateway.receivers.directory.Choose(time.Now(), need, c.gateway.random)
		if !ok {
			c.logStep("no daemon takes the request")
			return false
		}
		need.Excluded[to.Name] = true
		c.logStep("handed over to %s", to.Name)
		err := c.forwardTo(ctx, to)
		if err == nil {
			c.gateway.metrics.handovers.Add("answered", 1)
			c.finish(outcomeHandedOver, c.status, nil)
			return true
		}
		c.logStep("%v", err)
		declined := errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrDeclined)
		if declined {
			c.gateway.metrics.handovers.Add("declined", 1)
		} else {
			c.gateway.metrics.handovers.Add("failed", 1)
			c.sends++
			c.executions++
			c.prefilled, c.arrived = true, true
		}
		if declined && ctx.Err() == nil {
			c.gateway.receivers.directory.Decline(to.Name, c.service)
		}
		again := declined || c.route.Repeatable() && !c.headerWritten && c.executions < c.route.MaxAttempts
		if !again || ctx.Err() != nil {
			c.fail(ctx, err)
			return true
		}
	}
	return false
}

// forwardTo hands the request to a daemon and forwards its response. A request that may be repeated is
// given up if the daemon is lost before the response begins.
func (c *call) forwardTo(ctx context.Context, to handover.Receiver) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatching := func() bool { return true }
	if c.route.Repeatable() {
		stopWatching = context.AfterFunc(c.gateway.receivers.presenceOf(to.Name), func() { cancel(errReceiverLost) })
	}
	defer stopWatching()
	response, err := c.gateway.deps.Handovers.Forward(ctx, to.Address, c.request, c.note())
	if err != nil {
		return err
	}
	stopWatching()
	if response.Status == http.StatusOK && c.route.Repeat == port.RepeatStream {
		return c.relayEvents(response)
	}
	body, err := c.readResponse(response)
	if err != nil {
		return err
	}
	if err := c.deliverWhole(response, body); err != nil {
		return errors.Join(errClientDisconnected, err)
	}
	return nil
}

// relayEvents forwards the complete events of a response that another daemon relays, and closes the
// response. It returns errInterrupted if the response ends early.
func (c *call) relayEvents(response *port.ForwardResponse) error {
	// After a complete body, closing has no effect.
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 0, relayBuffer)
	for {
		var err error
		if buffer, err = c.readMore(buffer, response.Body); errors.Is(err, errResponseMemory) {
			return err
		}
		if whole := completeEventsLen(buffer); whole > 0 {
			if !c.headerWritten {
				c.firstEventLatency = time.Since(c.request.Received)
			}
			c.lastEventAt = time.Now()
			if sendErr := c.writeEvents(response, buffer[:whole]); sendErr != nil {
				return sendErr
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		switch {
		case err == io.EOF && len(buffer) == 0:
			if !c.headerWritten {
				c.writeResponseHeader(response)
			}
			return nil
		case err != nil:
			return errors.Join(errInterrupted, err)
		case len(buffer) > maxEventBytes:
			return port.ErrInvalidResponse
		}
	}
}

// serveHandover handles one request that another daemon hands over.
func (g *Gateway) serveHandover(w http.ResponseWriter, r *http.Request) {
	note, err := forwarding.ReadNote(r)
	if err != nil {
		g.log.Warn("handover cannot be decoded", zap.String("peer-address", r.RemoteAddr), zap.Error(err))
		forwarding.Decline(w.Header(), "malformed")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.metrics.handovers.Add("received", 1)
	g.serveRequest(w, r, note)
}

// takesHandover reports whether the request may be handled by the configuration of this daemon. If that
// is older than the sender's, it is fetched.
func (g *Gateway) takesHandover(note *port.Handover) bool {
	if note == nil || g.config.version() >= note.ConfigVersion {
		return true
	}
	if note.ConfigFrom != "" {
		g.peers.learnOfConfig(note.From, note.ConfigFrom, note.ConfigVersion)
	}
	return false
}

// applyHandover makes a call continue what the sender has done.
func (c *call) applyHandover(note *port.Handover) {
	c.handedOver = note
	c.sends, c.executions, c.counted = note.Sends, note.Executions, note.Counted
	c.prefilled, c.arrived = note.Prefilled, note.Arrived
	c.logStep("handed over by %s after %d ms", note.From, note.ElapsedMS)
}

// declineHandover lets the sender try another daemon, if this one refuses the request for a reason of its
// own and no runner has received it.
func (c *call) declineHandover(err error) {
	if c.handedOver == nil || c.sends > c.handedOver.Sends || c.prefillSends > 0 {
		return
	}
	switch {
	case errors.Is(err, errStopping):
		forwarding.Decline(c.writer.Header(), "daemon stops")
	case !c.gateway.reach.isReached(c.service):
		forwarding.Decline(c.writer.Header(), "runners are not reached")
	}
}

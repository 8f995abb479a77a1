package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// balancerDelay is how long a stopping daemon continues to serve new requests: the load
	// balancer probes once a second and acts on the second failed probe.
	balancerDelay = 2500 * time.Millisecond
	// answerShare is the share of the grace time before its end at which the requests that are still in
	// progress are ended. Their answers are written until exitShare before the end; the rest is for the
	// end of the process.
	answerShare = 0.1
	exitShare   = 0.05
	// leaveTimeout is how long peers may take to learn that the daemon leaves.
	leaveTimeout = 200 * time.Millisecond
	// stopCheckInterval is how often a stopping daemon checks whether requests are in progress or
	// connections are open.
	stopCheckInterval = 10 * time.Millisecond
)

// errStopping reports that the daemon stops before the request can be or was completed.
var errStopping = errors.New("daemon stops")

// serviceEnd is when a stopping daemon ends the requests that are still in progress. It is safe for
// concurrent use.
type serviceEnd struct {
	// at is the time of the end; nil while the daemon is not stopping.
	at atomic.Pointer[time.Time]
	// ctx is cancelled with the cause errStopping at the end.
	ctx context.Context
	end context.CancelCauseFunc
}

func newServiceEnd() *serviceEnd {
	ctx, end := context.WithCancelCause(context.Background())
	return &serviceEnd{ctx: ctx, end: end}
}

// watch returns a context that is cancelled with ctx, and with the cause errStopping at the end of
// the service.
func (e *serviceEnd) watch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.ctx, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endsBefore reports whether the service ends before a time.
func (e *serviceEnd) endsBefore(t time.Time) bool {
	at := e.at.Load()
	return at != nil && at.Before(t)
}

// stopsTooSoon reports whether a request that has just arrived may not finish before the daemon
// stops: a stream within its deadline, or another request within the time after which its response
// is of little use. Another daemon can complete it. Until the balancer has reacted all requests are
// served: most of them finish long before.
func (c *call) stopsTooSoon() bool {
	if !c.admitted {
		return true
	}
	if !c.gateway.outOfRotation.Load() {
		return false
	}
	limit := c.remaining()
	if c.route.Repeat != port.RepeatStream {
		limit = min(limit, max(minClientTimeout, clientTimeoutTargets*c.route.Target))
	}
	return c.gateway.serviceEnd.endsBefore(time.Now().Add(limit))
}

// Stop ends the daemon without interrupting requests: it reports that it is not ready, serves
// until the load balancer has reacted, and lets requests finish within the grace time. Requests that
// are still in progress at its end are answered with a failure; those that arrive too late to finish
// are refused.
func (g *Gateway) Stop() error {
	began := time.Now()
	grace := g.settings.Load().StopGrace
	end, exit := began.Add(timeBefore(grace, answerShare)), began.Add(timeBefore(grace, exitShare))
	g.serviceEnd.at.Store(&end)
	g.stopping.Store(true)
	g.log.Info("daemon stopping", zap.Int("active-requests", g.gate.requests()))
	time.Sleep(min(balancerDelay, time.Until(end)))
	g.outOfRotation.Store(true)
	g.finishRequests(end)
	left := make(chan struct{})
	go func() {
		defer close(left)
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		g.peers.announceLeaving(ctx)
	}()
	g.closeConnections(exit)
	<-left
	g.log.Info("daemon stopped", zap.Duration("took", time.Since(began)))
	return g.Kill()
}

// finishRequests waits until no request is in progress, also none that arrived meanwhile, and closes the
// gate. At end it closes the gate nevertheless and lets the remaining requests be answered with a failure.
func (g *Gateway) finishRequests(end time.Time) {
	for time.Now().Before(end) {
		if g.gate.closeIfIdle() {
			return
		}
		time.Sleep(stopCheckInterval)
	}
	g.gate.close()
	if active := g.gate.requests(); active > 0 {
		g.log.Warn("requests were still in flight at the end of the grace time", zap.Int("active-requests", active))
	}
	g.serviceEnd.end(errStopping)
}

// timeBefore returns the time that is left of d before its last share begins.
func timeBefore(d time.Duration, share float64) time.Duration {
	return d - time.Duration(share*float64(d))
}

// closeConnections closes the connections of clients once the requests that have begun on them are
// answered; those that had not arrived completely are refused. It returns when all are closed, or at
// exit.
func (g *Gateway) closeConnections(exit time.Time) {
	g.clientConns.Retire()
	g.handoverConns.Retire()
	for !g.clientConns.Ended() || !g.handoverConns.Ended() {
		if time.Now().After(exit) {
			g.log.Warn("connections were still open when the daemon stopped", zap.Int("connections", g.clientConns.Count()+g.handoverConns.Count()),
				zap.Int("active-requests", g.gate.requests()))
			return
		}
		time.Sleep(stopCheckInterval)
	}
}

// markClosing asks the client of a stopping daemon to use another connection.
func (g *Gateway) markClosing(h http.Header) {
	if g.stopping.Load() {
		h.Set("Connection", "close")
	}
}

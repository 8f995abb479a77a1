package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clientconn"
	"bergamotsill.example/bergamotsill/internal/adapter/forwarding"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// noConfigRetryAfter is the Retry-After of a daemon that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// memoryFullRetryAfter is the Retry-After of a daemon whose memory for request bodies is
	// full.
	memoryFullRetryAfter = time.Second
	// writeMargin is how long after the deadline of a request the response may still be written
	// to the client.
	writeMargin = time.Second
	// defaultTimeout applies to requests whose route has no time limit.
	defaultTimeout = time.Minute
)

// serveClient handles one request of a client. A panic is logged and counted, and ends only this
// request: with 502, because a runner may have executed it, or as an interrupted response.
func (g *Gateway) serveClient(w http.ResponseWriter, r *http.Request) { g.serveRequest(w, r, nil) }

// serveRequest implements serveClient, also for a request that another daemon hands over. note is nil for
// others.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request, note *port.Handover) {
	admitted := g.gate.enter()
	defer g.gate.leave()
	g.metrics.inFlight.Add(1)
	defer g.metrics.inFlight.Add(-1)
	var c *call
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != http.ErrAbortHandler {
			g.recordHandlerPanic(r, c, cause)
			if c == nil || !c.headerWritten {
				w.WriteHeader(http.StatusBadGateway)
				return
			}
		}
		panic(http.ErrAbortHandler)
	}()
	c, release := g.readCall(w, r, note)
	defer release()
	if c == nil {
		return
	}
	c.admitted = admitted
	ctx, stopWatching := g.serviceEnd.watch(r.Context())
	defer stopWatching()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.cancel, c.clientLeft = cancel, func() bool { return clientconn.Left(r) }
	defer c.releaseMemory()
	c.serve(ctx)
	if c.abortConnection {
		// Closes the connection without a regular end of the response.
		panic(http.ErrAbortHandler)
	}
}

// readCall reads a request whole and returns its call, or rejects it and returns nil. The returned
// function releases the memory of the request.
func (g *Gateway) readCall(w http.ResponseWriter, r *http.Request, note *port.Handover) (*call, func()) {
	received, release := time.Now(), func() {}
	g.markClosing(w.Header())
	if note != nil {
		// The sender accepted the request, so that a rejection here is no answer to the client.
		forwarding.Decline(w.Header(), "rejected")
	}
	table := g.config.table.Load()
	if table == nil || !g.takesHandover(note) {
		w.Header().Set("Retry-After", formatRetryAfter(noConfigRetryAfter))
		g.reject(w, r, http.StatusServiceUnavailable, "no configuration received yet")
		return nil, release
	}
	lag := g.config.lag.since(received)
	if lag >= maxConfigLag {
		g.rejectBehind(w, r, "configuration is older than that of other daemons")
		return nil, release
	}
	request, err := g.deps.Requests.Decode(r)
	if err != nil {
		g.reject(w, r, http.StatusBadRequest, err.Error())
		return nil, release
	}
	request.Received = received
	if note != nil {
		request.Received = received.Add(-time.Duration(note.ElapsedMS) * time.Millisecond)
		request.Remaining = time.Duration(note.RemainingMS) * time.Millisecond
	}
	route := table.find(request.Host, request.Target)
	if route == nil && lag > 0 {
		g.rejectBehind(w, r, "no route in a configuration that is older than that of other daemons")
		return nil, release
	}
	if route == nil {
		g.reject(w, r, http.StatusNotFound, "no route")
		return nil, release
	}
	route, ok := table.identify(request, route, note)
	if !ok && lag > 0 {
		g.rejectBehind(w, r, "unknown key in a configuration that is older than that of other daemons")
		return nil, release
	}
	if !ok {
		g.metrics.unknownKeys.Add(1)
		g.reject(w, r, http.StatusUnauthorized, "no organisation holds the key")
		return nil, release
	}
	c := g.newCall(w, request, route, table)
	release, status := g.readBody(w, r, c, table.config.Limits)
	if status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", formatRetryAfter(memoryFullRetryAfter))
		}
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
		g.reject(w, r, status, "body was not accepted")
		return nil, release
	}
	c.traits = traitsOf(request)
	if note != nil {
		forwarding.Accept(w.Header())
		c.applyHandover(note)
	}
	return c, release
}

// newCall returns the call of a request whose body is not read yet.
func (g *Gateway) newCall(w http.ResponseWriter, r *port.ForwardRequest, route *port.ForwardRoute, t *routeTable) *call {
	limit := route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if r.Remaining > 0 {
		limit = min(limit, r.Remaining)
	}
	c := &call{
		gateway: g, writer: w, request: r, route: route, configVersion: t.config.Version,
		service: destination(route), deadline: r.Received.Add(limit),
		excluded: map[string]bool{}, lastEventID: r.ResumeAfter,
	}
	// Only the writers of tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(writeMargin))
	return c
}

// serve forwards the request and finishes the call.
func (c *call) serve(ctx context.Context) {
	if c.stopsTooSoon() {
		c.fail(ctx, errStopping)
		return
	}
	if c.handOver(ctx) {
		return
	}
	if c.route.Repeat == port.RepeatStream {
		c.serveStream(ctx)
		return
	}
	c.servePlain(ctx)
}

// rejectBehind rejects a request that this daemon cannot judge, because it knows of a newer configuration that it does not
// have yet. The connection closes, so that the client's next attempt can reach another daemon.
func (g *Gateway) rejectBehind(w http.ResponseWriter, r *http.Request, reason string) {
	w.Header().Set("Retry-After", formatRetryAfter(noConfigRetryAfter))
	w.Header().Set("Connection", "close")
	g.reject(w, r, http.StatusServiceUnavailable, reason)
}

// reject responds to a request that is not forwarded.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	g.log.Warn("request rejected", zap.String("host", r.Host), zap.String("target", r.RequestURI), zap.Int("status", status),
		zap.String("reason", reason), zap.Int64("config-version", g.config.version()))
	g.metrics.requests.Add("rejected", 1)
	w.WriteHeader(status)
}

package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"
	"goji.io"
	"goji.io/pat"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// Headers of caller requests.
const (
	headerProfile           = "Bergamot-Profile"
	headerOrganisation      = "Bergamot-Organisation"
	headerIdempotencyKey    = "Idempotency-Key"
	headerIdempotencyIssued = "Idempotency-Issued"
)

// maxRequestIDBytes bounds a request id that a caller sends. A longer id is replaced by a
// generated one.
const maxRequestIDBytes = 128

const (
	// headerTimeout bounds the time to read a request header, idleTimeout the idle time of a connection.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// call is one HTTP request of a caller.
type call struct {
	id           string
	organisation string
	started      time.Time
	body         []byte
	// bodyMemory is the memory of the request, nil before its body is read.
	bodyMemory *memory.Request
	request    *http.Request
	log        *zap.Logger
	// pool is the pool of upstreams that the call needs, limit the longest time that it may take; zero
	// until they are known.
	pool  string
	limit time.Duration
	// handedOver is what another daemon says of a call that it handed over, nil for others. relayed is set
	// if another daemon has answered the call.
	handedOver *port.Handover
	relayed    bool
	// skipped is set if the call is handed over without trying an upstream.
	skipped bool
	// count counts the result for the burn report; nil if it does not count.
	count func(error)
}

// callHandler serves one call. A returned error is sent as a refusal unless the response
// has already started.
type callHandler func(ctx context.Context, w http.ResponseWriter, c *call) error

// callerHandler returns the HTTP handler of the caller address.
func (d *Daemon) callerHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/healthz"), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc(pat.Get("/readyz"), d.serveReady)
	mux.Handle(pat.Get("/debug/vars"), d.metrics)
	mux.HandleFunc(pat.New("/v1/completions"), d.serve(d.serveCompletion))
	mux.HandleFunc(pat.New("/v1/chat/completions"), d.serve(d.serveChat))
	mux.HandleFunc(pat.New("/*"), d.serve(d.serveService))
	return mux
}

// serveReady responds to a readiness check.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve wraps a callHandler with the steps common to all calls: counting the request while
// it is in progress, checking readiness, reading the body, logging and sending refusals.
func (d *Daemon) serve(handle callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := d.newCall(r)
		d.acceptHandover(c)
		w.Header().Set(refusal.HeaderRequestID, c.id)
		if d.stopping.Load() {
			// Closing the kept-alive connection makes the caller reconnect through
			// the load balancer, which selects another daemon.
			w.Header().Set("Connection", "close")
		}
		if !d.activeRequests.Enter() {
			d.finishCall(w, c, refusal.New(refusal.Stopping, "the daemon is stopping").ForAttempt().WithRetryAfter(time.Second))
			return
		}
		defer d.activeRequests.Leave()
		defer func() { d.memory.release(c) }()
		err := d.prepareCall(w, c)
		if err == nil {
			err = d.serveAnywhere(r.Context(), w, c, handle)
		}
		d.finishCall(w, c, err)
		if errors.Is(err, errRelayBroken) {
			// Closes the connection without a regular end of the response.
			panic(http.ErrAbortHandler)
		}
	}
}

// newCall returns the call for an HTTP request. It generates an id if the caller sent no
// id or one that is too long.
func (d *Daemon) newCall(r *http.Request) *call {
	id := r.Header.Get(refusal.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		id = d.newID()
	}
	return &call{
		id:           id,
		organisation: r.Header.Get(headerOrganisation),
		started:      time.Now(),
		request:      r,
		log:          d.log.With(zap.String(jsonlog.FieldRequestID, id)),
	}
}

// prepareCall checks that the daemon has a configuration and a VM list, and reads the body.
func (d *Daemon) prepareCall(w http.ResponseWriter, c *call) error {
	if d.config.Snapshot() == nil || !d.fleet.hasVMList() {
		return refusal.New(refusal.NotReady, "the daemon has no configuration or VM list yet").ForAttempt().WithRetryAfter(time.Second)
	}
	if err := d.readBody(w, c); err != nil {
		return err
	}
	d.metrics.Requests.Add(1)
	return nil
}

// finishCall records and logs the result of a call. If err is not nil and the response has
// not started, it sends the refusal.
func (d *Daemon) finishCall(w http.ResponseWriter, c *call, err error) {
	d.recordResult(c, err)
	if c.count != nil && !c.relayed {
		c.count(err)
	}
	fields := []zap.Field{
		zap.String("method", c.request.Method),
		zap.String("path", c.request.URL.Path),
		zap.Duration("duration", time.Since(c.started)),
	}
	if err == nil {
		d.metrics.Answered.Add(1)
		c.log.Info("request answered", fields...)
		return
	}
	r := refusal.From(err)
	d.metrics.Refused.Add(string(r.Code), 1)
	c.log.Info("request refused", append(fields,
		zap.String("code", string(r.Code)),
		zap.String("outcome", string(r.Outcome)),
		zap.String("detail", r.Message),
	)...)
	var partial *partialResponseError
	if !errors.As(err, &partial) {
		c.declineHandover(w, r)
		r.Write(w, c.id)
	}
}

// partialResponseError wraps an error that occurred after the response had started. No
// refusal is sent for it, because the response itself shows the failure.
type partialResponseError struct{ err error }

func (e *partialResponseError) Error() string { return e.err.Error() }
func (e *partialResponseError) Unwrap() error { return e.err }

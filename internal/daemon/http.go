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
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// Headers of callers.
const (
	headerProfile           = "Bergamot-Profile"
	headerOrganisation      = "Bergamot-Organisation"
	headerIdempotencyKey    = "Idempotency-Key"
	headerIdempotencyIssued = "Idempotency-Issued"
)

// maxRequestIDBytes bounds a request id that a caller chooses.
const maxRequestIDBytes = 128

// call is one request of a caller.
type call struct {
	id           string
	organisation string
	started      time.Time
	body         []byte
	// reservedBytes is what the body takes of the daemon's byte budget.
	reservedBytes int64
	request       *http.Request
	log           *zap.Logger
}

// callHandler serves one call. A returned error is sent as a refusal, unless the
// answer has begun.
type callHandler func(ctx context.Context, w http.ResponseWriter, c *call) error

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

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve wraps a callHandler with what all calls share.
func (d *Daemon) serve(handle callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := d.newCall(r)
		w.Header().Set(refusal.HeaderRequestID, c.id)
		if d.stopping.Load() {
			// Makes a caller with a kept-alive connection go to another daemon.
			w.Header().Set("Connection", "close")
		}
		if !d.activeRequests.Enter() {
			d.finishCall(w, c, refusal.New(refusal.Stopping, "the daemon is stopping").ForAttempt().WithRetryAfter(time.Second))
			return
		}
		defer d.activeRequests.Leave()
		defer func() { d.memory.release(c.reservedBytes) }()
		err := d.prepareCall(w, c)
		if err == nil {
			err = handle(r.Context(), w, c)
		}
		d.finishCall(w, c, err)
	}
}

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

// prepareCall checks that the daemon takes new work and reads the body.
func (d *Daemon) prepareCall(w http.ResponseWriter, c *call) error {
	if d.config.Snapshot() == nil || !d.fleet.hasVMList() {
		return refusal.New(refusal.NotReady, "the daemon has no configuration yet").ForAttempt().WithRetryAfter(time.Second)
	}
	if err := d.readBody(w, c); err != nil {
		return err
	}
	d.metrics.Requests.Add(1)
	return nil
}

// finishCall records the end of a call and sends its refusal.
func (d *Daemon) finishCall(w http.ResponseWriter, c *call, err error) {
	d.recordResult(c, err)
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
	var begun *partialResponseError
	if !errors.As(err, &begun) {
		r.Write(w, c.id)
	}
}

// partialResponseError wraps an error that came after the answer had begun; the response
// itself already tells the caller.
type partialResponseError struct{ err error }

func (e *partialResponseError) Error() string { return e.err.Error() }
func (e *partialResponseError) Unwrap() error { return e.err }

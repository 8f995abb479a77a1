package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// serveService passes a call on to a plain service.
func (d *Daemon) serveService(ctx context.Context, w http.ResponseWriter, c *call) error {
	snapshot := d.config.Snapshot()
	route := snapshot.Service(c.request.URL.Path)
	if route == nil {
		return refusal.New(refusal.UnknownPath, "no service is routed at %q", c.request.URL.Path).ForAttempt()
	}
	var answer port.ServiceResponse
	var err error
	if route.Repeatable(c.request.Method, c.request.URL.Path) {
		answer, err = d.callRepeatable(ctx, route, c)
	} else {
		answer, err = d.callNonRepeatable(ctx, route, c)
	}
	if err != nil {
		return err
	}
	writeServiceResponse(w, answer)
	return nil
}

func writeServiceResponse(w http.ResponseWriter, answer port.ServiceResponse) {
	for name, values := range port.EndToEnd(answer.Header) {
		w.Header()[name] = values
	}
	// The whole body is passed on, also that of an answer to HEAD, which is empty.
	if length := answer.Header.Get("Content-Length"); length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(answer.Status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(answer.Body)
}

func (c *call) serviceRequest() port.ServiceRequest {
	header := port.EndToEnd(c.request.Header)
	header.Set(refusal.HeaderRequestID, c.id)
	return port.ServiceRequest{
		Method: c.request.Method,
		Path:   c.request.URL.RequestURI(),
		Header: header,
		Body:   c.body,
	}
}

func (d *Daemon) pickServiceUpstream(route *profile.ServiceRoute, excluded map[string]bool) *routing.Upstream {
	return d.fleet.Table().Pick(routing.Request{
		Pool:       route.Pool,
		DataCentre: d.settings.DataCentre,
		Excluded:   excluded,
	})
}

// maxServiceAttempts bounds the upstreams that one repeatable call is sent to, so that
// a failure of a whole pool does not multiply its load by the pool's size.
const maxServiceAttempts = 3

// callRepeatable runs a repeatable call. Each try goes to another upstream.
func (d *Daemon) callRepeatable(ctx context.Context, route *profile.ServiceRoute, c *call) (port.ServiceResponse, error) {
	excluded := map[string]bool{}
	sent := false
	for range maxServiceAttempts {
		u := d.pickServiceUpstream(route, excluded)
		if u == nil {
			break
		}
		answer, err := callUpstream(ctx, u, c.serviceRequest())
		if err == nil {
			return answer, nil
		}
		c.log.Warn("call to service failed", zap.String("upstream", u.VM.ID), zap.Error(err))
		sent = sent || !errors.Is(err, port.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
		excluded[u.VM.ID] = true
	}
	return port.ServiceResponse{}, serviceRefusal(route, sent)
}

func serviceRefusal(route *profile.ServiceRoute, sent bool) error {
	if sent {
		return refusal.NewUnknown(refusal.OutcomeUnknown, "every upstream of service %q failed", route.Name)
	}
	return refusal.New(refusal.NoUpstream, "no upstream of service %q is reachable", route.Name).ForAttempt().WithRetryAfter(time.Second)
}

func callUpstream(ctx context.Context, u *routing.Upstream, r port.ServiceRequest) (port.ServiceResponse, error) {
	defer u.Begin()()
	return u.Service.Call(ctx, r)
}

// callNonRepeatable runs a non-repeatable call under a claim.
func (d *Daemon) callNonRepeatable(ctx context.Context, route *profile.ServiceRoute, c *call) (port.ServiceResponse, error) {
	key, err := d.parseClaimKey(route, c)
	if err != nil {
		return port.ServiceResponse{}, err
	}
	held, recorded, err := d.claims.acquire(ctx, key)
	switch {
	case err != nil:
		return port.ServiceResponse{}, err
	case recorded != nil:
		return *recorded, nil
	}
	return d.callClaimed(ctx, route, c, held)
}

// parseClaimKey returns the call's idempotency key. Refusals of a key speak of this
// attempt only: an earlier one may have stated the issue time, or met another clock.
func (d *Daemon) parseClaimKey(route *profile.ServiceRoute, c *call) (claimKey, error) {
	key := c.request.Header.Get(headerIdempotencyKey)
	if key == "" {
		return claimKey{}, refusal.New(refusal.KeyRequired, "%s %s requires the header %s", c.request.Method, c.request.URL.Path, headerIdempotencyKey)
	}
	issued, err := claim.ParseIssued(key, c.request.Header.Get(headerIdempotencyIssued))
	if err != nil {
		return claimKey{}, refusal.New(refusal.KeyInvalid, "%v", err).ForAttempt()
	}
	window := d.settings.Claims.EffectiveWindow(time.Duration(route.ClaimWindowS) * time.Second)
	err = claim.CheckAge(issued, window, d.claims.options.Skew, time.Now())
	switch {
	case errors.Is(err, claim.ErrKeyExpired):
		return claimKey{}, refusal.New(refusal.KeyExpired, "%v of %s", err, window).ForAttempt()
	case err != nil:
		return claimKey{}, refusal.New(refusal.KeyInvalid, "%v", err).ForAttempt()
	}
	return claimKey{key: key, digest: callDigest(c, issued), issued: issued, window: window}, nil
}

// callClaimed sends a call whose claim was accepted, at most once. It goes on when
// the caller leaves, so that the outcome is recorded.
func (d *Daemon) callClaimed(ctx context.Context, route *profile.ServiceRoute, c *call, held *acceptedClaim) (port.ServiceResponse, error) {
	ctx, cancel := d.detachContext(ctx, d.settings.Claims.CallTimeout.Std())
	defer cancel()
	u, conn := d.openUpstream(ctx, route)
	if u == nil {
		return port.ServiceResponse{}, d.withdrawUnsent(route, held)
	}
	defer conn.Close()
	defer u.Begin()()
	answer, err := conn.Call(ctx, c.serviceRequest())
	if errors.Is(err, port.ErrNotSent) {
		return port.ServiceResponse{}, d.withdrawUnsent(route, held)
	}
	if err != nil {
		c.log.Error("outcome of call unknown", zap.String("upstream", u.VM.ID), zap.Error(err))
		held.fail()
		return port.ServiceResponse{}, unknownOutcome()
	}
	held.finish(answer)
	return answer, nil
}

// detachContext returns a context with the values of ctx that ends with the daemon, or
// after limit, but not with ctx.
func (d *Daemon) detachContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	stop := context.AfterFunc(d.context(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// openUpstream returns an upstream and a connection to it that just answered a
// health check, or nil.
func (d *Daemon) openUpstream(ctx context.Context, route *profile.ServiceRoute) (*routing.Upstream, port.ServiceConn) {
	excluded := map[string]bool{}
	for ctx.Err() == nil {
		u := d.pickServiceUpstream(route, excluded)
		if u == nil {
			break
		}
		conn, err := u.Service.Open(ctx)
		if err == nil {
			return u, conn
		}
		excluded[u.VM.ID] = true
	}
	return nil, nil
}

// withdrawUnsent withdraws a claim whose call was not sent. While the claim stood no
// other attempt could run, so no attempt with the key has run.
func (d *Daemon) withdrawUnsent(route *profile.ServiceRoute, held *acceptedClaim) error {
	held.withdraw()
	return refusal.New(refusal.NoUpstream, "no upstream of service %q is reachable", route.Name).WithRetryAfter(time.Second)
}

// callDigest identifies the content of a call and the issue time of its key.
func callDigest(c *call, issued int64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%s\n%s\n", issued, c.request.Method, c.request.URL.RequestURI())
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

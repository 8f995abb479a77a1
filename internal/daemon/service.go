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

// serveService forwards a call to the plain service that is routed at its path. A
// repeatable call may be sent more than once; any other call runs under a claim.
func (d *Daemon) serveService(ctx context.Context, w http.ResponseWriter, c *call) error {
	snapshot := d.config.Snapshot()
	route := snapshot.Service(c.request.URL.Path)
	if route == nil {
		return refusal.New(refusal.UnknownPath, "no service is routed at path %q", c.request.URL.Path).ForAttempt()
	}
	if err := d.need(c, route.Pool, d.settings.Claims.CallTimeout.Std()); err != nil {
		return err
	}
	var response port.ServiceResponse
	var err error
	if route.Repeatable(c.request.Method, c.request.URL.Path) {
		response, err = d.callRepeatable(ctx, route, c)
	} else {
		response, err = d.callNonRepeatable(ctx, route, c)
	}
	if err != nil {
		return err
	}
	writeServiceResponse(w, response)
	return nil
}

// writeServiceResponse sends the response of a plain service to the caller.
func writeServiceResponse(w http.ResponseWriter, response port.ServiceResponse) {
	for name, values := range port.EndToEnd(response.Header) {
		w.Header()[name] = values
	}
	// The body is forwarded unchanged, so the upstream's Content-Length is correct. In a
	// response to HEAD, it is the length of the body that GET would return, although the
	// body itself is empty.
	if length := response.Header.Get("Content-Length"); length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(response.Status)
	// A failed write means that the caller disconnected.
	_, _ = w.Write(response.Body)
}

// serviceRequest returns the call as a request to a plain service.
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

// pickServiceUpstream returns an upstream of the route's pool outside excluded, or nil.
func (d *Daemon) pickServiceUpstream(route *profile.ServiceRoute, excluded map[string]bool) *routing.Upstream {
	return d.fleet.Table().Pick(routing.Request{
		Pool:       route.Pool,
		DataCentre: d.settings.DataCentre,
		Excluded:   excluded,
	})
}

// maxServiceAttempts bounds the number of upstreams that receive one repeatable call, so
// that the failure of a whole pool does not multiply its load by the size of the pool.
const maxServiceAttempts = 3

// callRepeatable runs a repeatable call. Each attempt goes to a different upstream.
func (d *Daemon) callRepeatable(ctx context.Context, route *profile.ServiceRoute, c *call) (port.ServiceResponse, error) {
	excluded := map[string]bool{}
	sent := false
	for range maxServiceAttempts {
		u := d.pickServiceUpstream(route, excluded)
		if u == nil {
			break
		}
		response, err := callUpstream(ctx, u, c.serviceRequest())
		if err == nil {
			return response, nil
		}
		c.log.Warn("service call failed", zap.String("upstream", u.VM.ID), zap.Error(err))
		sent = sent || !errors.Is(err, port.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
		excluded[u.VM.ID] = true
	}
	return port.ServiceResponse{}, serviceRefusal(route, sent)
}

// serviceRefusal returns the refusal for a call that no upstream answered. Its outcome
// is Unknown if the call was sent to an upstream.
func serviceRefusal(route *profile.ServiceRoute, sent bool) error {
	if sent {
		return refusal.NewUnknown(refusal.OutcomeUnknown, "every upstream of service %q failed", route.Name)
	}
	return refusal.New(refusal.NoUpstream, "no upstream of service %q is reachable", route.Name).ForAttempt().WithRetryAfter(time.Second)
}

// callUpstream sends a call to an upstream and counts it as in flight there.
func callUpstream(ctx context.Context, u *routing.Upstream, r port.ServiceRequest) (port.ServiceResponse, error) {
	defer u.Begin()()
	return u.Service.Call(ctx, r)
}

// callNonRepeatable runs a non-repeatable call under a claim. If the call has run under
// its idempotency key before, it returns the recorded answer.
func (d *Daemon) callNonRepeatable(ctx context.Context, route *profile.ServiceRoute, c *call) (port.ServiceResponse, error) {
	key, err := d.parseClaimKey(route, c)
	if err != nil {
		return port.ServiceResponse{}, err
	}
	heldClaim, recorded, err := d.claims.acquire(ctx, key)
	switch {
	case err != nil:
		return port.ServiceResponse{}, err
	case recorded != nil:
		return *recorded, nil
	}
	return d.callClaimed(ctx, route, c, heldClaim)
}

// parseClaimKey returns the claim key of the call's idempotency key. The refusal of an
// invalid or expired key covers this attempt only: an earlier attempt may have stated a
// valid issue time, or a daemon with a different clock may have accepted it.
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

// callClaimed sends a call whose claim was accepted, at most once. It continues if the
// caller disconnects, so that the outcome is recorded.
func (d *Daemon) callClaimed(ctx context.Context, route *profile.ServiceRoute, c *call, heldClaim *acceptedClaim) (port.ServiceResponse, error) {
	ctx, cancel := d.detachContext(ctx, d.settings.Claims.CallTimeout.Std())
	defer cancel()
	u, conn := d.openUpstream(ctx, route)
	if u == nil {
		return port.ServiceResponse{}, d.withdrawUnsent(route, heldClaim)
	}
	defer conn.Close()
	defer u.Begin()()
	response, err := conn.Call(ctx, c.serviceRequest())
	if errors.Is(err, port.ErrNotSent) {
		return port.ServiceResponse{}, d.withdrawUnsent(route, heldClaim)
	}
	if err != nil {
		c.log.Error("outcome of claimed call is unknown", zap.String("upstream", u.VM.ID), zap.Error(err))
		heldClaim.fail()
		return port.ServiceResponse{}, unknownOutcome()
	}
	heldClaim.finish(response)
	return response, nil
}

// detachContext returns a context that keeps the values of ctx but not its cancellation.
// It ends after limit or when the daemon stops.
func (d *Daemon) detachContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	stop := context.AfterFunc(d.context(), cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// openUpstream returns an upstream and a connection to it over which a health check has
// just succeeded. It returns nil if no upstream passes the health check.
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

// withdrawUnsent withdraws the claim of a call that was not sent and returns the refusal.
// No other attempt could run while the claim was in force, so the refusal covers every
// attempt with the key.
func (d *Daemon) withdrawUnsent(route *profile.ServiceRoute, heldClaim *acceptedClaim) error {
	heldClaim.withdraw()
	return refusal.New(refusal.NoUpstream, "no upstream of service %q is reachable", route.Name).WithRetryAfter(time.Second)
}

// callDigest returns the SHA-256 hash of a call's issue time, method, URI and body in
// hexadecimal.
func callDigest(c *call, issued int64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%s\n%s\n", issued, c.request.Method, c.request.URL.RequestURI())
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// hopHeaders are not passed on between connections (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serveService passes a call on to a plain service.
func (d *Daemon) serveService(ctx context.Context, w http.ResponseWriter, c *call) error {
	snapshot := d.config.Snapshot()
	route := snapshot.Service(c.request.URL.Path)
	if route == nil {
		return refusal.New(refusal.UnknownPath, "no service is routed at %q", c.request.URL.Path)
	}
	var answer port.ServiceResponse
	var err error
	if route.Repeatable(c.request.Method, c.request.URL.Path) {
		answer, err = d.callService(ctx, route, c)
	} else {
		answer, err = d.callOnce(ctx, route, c)
	}
	if err != nil {
		return err
	}
	writeServiceResponse(w, answer)
	return nil
}

func writeServiceResponse(w http.ResponseWriter, answer port.ServiceResponse) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	for _, name := range hopHeaders {
		w.Header().Del(name)
	}
	w.WriteHeader(answer.Status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(answer.Body)
}

func (c *call) serviceRequest() port.ServiceRequest {
	header := c.request.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Set(refusal.HeaderRequestID, c.id)
	return port.ServiceRequest{
		Method: c.request.Method,
		Path:   c.request.URL.RequestURI(),
		Header: header,
		Body:   c.body,
	}
}

func (d *Daemon) pickService(route *profile.ServiceRoute, excluded map[string]bool) *routing.Upstream {
	return d.fleet.Table().Pick(routing.Request{
		Pool:       route.Pool,
		DataCentre: d.settings.DataCentre,
		Excluded:   excluded,
	})
}

// callService runs a repeatable call, trying other upstreams when one fails.
func (d *Daemon) callService(ctx context.Context, route *profile.ServiceRoute, c *call) (port.ServiceResponse, error) {
	excluded := map[string]bool{}
	sent := false
	for {
		u := d.pickService(route, excluded)
		if u == nil {
			return port.ServiceResponse{}, refuseService(route, sent)
		}
		answer, err := callUpstream(ctx, u, c.serviceRequest())
		if err == nil {
			return answer, nil
		}
		c.log.Warn("call to service failed", zap.String("upstream", u.VM.ID), zap.Error(err))
		sent = sent || !errors.Is(err, port.ErrNotSent)
		excluded[u.VM.ID] = true
	}
}

func refuseService(route *profile.ServiceRoute, sent bool) error {
	if sent {
		return refusal.NewUnknown(refusal.OutcomeUnknown, "every upstream of service %q failed", route.Name)
	}
	return refusal.New(refusal.NoUpstream, "no upstream of service %q is reachable", route.Name).ForAttempt().After(time.Second)
}

func callUpstream(ctx context.Context, u *routing.Upstream, r port.ServiceRequest) (port.ServiceResponse, error) {
	defer u.Begin()()
	return u.Service.Call(ctx, r)
}

// callOnce runs a non-repeatable call under a claim.
func (d *Daemon) callOnce(ctx context.Context, route *profile.ServiceRoute, c *call) (port.ServiceResponse, error) {
	key := c.request.Header.Get(headerKey)
	if key == "" {
		return port.ServiceResponse{}, refusal.New(refusal.KeyRequired, "%s %s requires the header %s", c.request.Method, c.request.URL.Path, headerKey)
	}
	id, recorded, err := d.claims.acquire(ctx, key, digest(c))
	if err != nil {
		return port.ServiceResponse{}, err
	}
	if recorded != nil {
		return *recorded, nil
	}
	return d.runClaimed(ctx, route, c, key, id)
}

// runClaimed sends a call whose claim was accepted, at most once. It goes on when
// the caller leaves, so that the outcome is recorded.
func (d *Daemon) runClaimed(ctx context.Context, route *profile.ServiceRoute, c *call, key, id string) (port.ServiceResponse, error) {
	ctx = context.WithoutCancel(ctx)
	u, client := d.provenUpstream(ctx, route)
	if u == nil {
		return port.ServiceResponse{}, d.notSent(ctx, route, key, id)
	}
	defer u.Begin()()
	answer, err := client.Call(ctx, c.serviceRequest())
	if errors.Is(err, port.ErrNotSent) {
		return port.ServiceResponse{}, d.notSent(ctx, route, key, id)
	}
	if err != nil {
		c.log.Error("outcome of call unknown", zap.String("upstream", u.VM.ID), zap.Error(err))
		return port.ServiceResponse{}, refusal.NewUnknown(refusal.OutcomeUnknown, "the upstream gave no answer")
	}
	if err := d.claims.finish(ctx, key, id, answer); err != nil {
		c.log.Warn("outcome not recorded", zap.Error(err))
	}
	return answer, nil
}

// provenUpstream returns an upstream and a client whose connection just answered
// a health check, or nil.
func (d *Daemon) provenUpstream(ctx context.Context, route *profile.ServiceRoute) (*routing.Upstream, port.Service) {
	excluded := map[string]bool{}
	for {
		u := d.pickService(route, excluded)
		if u == nil {
			return nil, nil
		}
		client := d.deps.Services(u.VM.Address)
		if client.Probe(ctx) == nil {
			return u, client
		}
		excluded[u.VM.ID] = true
	}
}

func (d *Daemon) notSent(ctx context.Context, route *profile.ServiceRoute, key, id string) error {
	if err := d.claims.withdraw(ctx, key, id); err != nil {
		d.log.Warn("claim not withdrawn", zap.String("claim", id), zap.Error(err))
	}
	return refuseService(route, false)
}

// digest identifies the content of a call.
func digest(c *call) string {
	h := sha256.New()
	h.Write([]byte(c.request.Method + "\n" + c.request.URL.RequestURI() + "\n"))
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

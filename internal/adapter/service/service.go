// Package service is the HTTP client of plain services.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// healthPath is asked to prove a connection alive.
	healthPath = "/healthz"
	// probeTimeout bounds that exchange.
	probeTimeout = 2 * time.Second
	// idleTrust is how long an idle connection may be used again.
	idleTrust = 2 * time.Second
	// maxResponseBytes bounds an answer.
	maxResponseBytes = 16 << 20
)

// ErrResponseTooLarge reports an answer above maxResponseBytes.
var ErrResponseTooLarge = errors.New("response of service is too large")

// Client talks to one service over connections of its own. It implements
// port.Service. A Client that is used for one Probe and then for one Call sends
// both over the same connection.
type Client struct {
	base      string
	transport *http.Transport
}

// NewDialer returns a port.ServiceDialer. Its clients share no connections.
func NewDialer(nw network.Network) port.ServiceDialer {
	return func(address string) port.Service {
		return &Client{
			base: "http://" + address,
			transport: &http.Transport{
				DialContext:        nw.DialContext,
				IdleConnTimeout:    idleTrust,
				DisableCompression: true,
			},
		}
	}
}

// Probe implements port.Service.
func (c *Client) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+healthPath, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("service answered %s to a health check", resp.Status)
	}
	return nil
}

// singleUseBody hides the body's type from net/http, which otherwise resends a
// request that has an Idempotency-Key header when its connection fails.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// Call implements port.Service. It sends the request at most once.
func (c *Client) Call(ctx context.Context, r port.ServiceRequest) (port.ServiceResponse, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	body := singleUseBody{bytes.NewReader(r.Body)}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return port.ServiceResponse{}, fmt.Errorf("%w: %v", port.ErrNotSent, err)
	}
	req.Header = r.Header.Clone()
	if len(r.Body) > 0 {
		req.ContentLength = int64(len(r.Body))
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil && !sent.Load() {
		return port.ServiceResponse{}, fmt.Errorf("%w: %v", port.ErrNotSent, err)
	}
	if err != nil {
		return port.ServiceResponse{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return port.ServiceResponse{}, trace.Wrap(err)
	}
	if len(data) > maxResponseBytes {
		return port.ServiceResponse{}, ErrResponseTooLarge
	}
	return port.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

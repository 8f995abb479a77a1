// Package service implements the HTTP client of plain services. It sends each request at
// most once. By default net/http resends a request that it considers idempotent when a
// reused connection fails, although the service may already have run it.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// idleConnTimeout is how long an idle connection is kept for reuse.
	idleConnTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
)

// ErrResponseTooLarge reports a response body of more than maxResponseBytes.
var ErrResponseTooLarge = errors.New("response of the service is too large")

// Client sends requests to one service. It implements port.Service.
type Client struct {
	address   string
	base      string
	network   network.Network
	transport *http.Transport
}

// NewDialer returns a port.ServiceDialer that opens connections through nw. Each client
// has a separate connection pool.
func NewDialer(nw network.Network) port.ServiceDialer {
	return func(address string) port.Service {
		return &Client{
			address: address,
			base:    "http://" + address,
			network: nw,
			transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					raw, err := nw.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &requestConn{Conn: raw, writes: new(atomic.Int64)}, nil
				},
				IdleConnTimeout:    idleConnTimeout,
				DisableCompression: true,

				MaxResponseHeaderBytes: network.MaxHeadBytes,
			},
		}
	}
}

// Call implements port.Service.
func (c *Client) Call(ctx context.Context, r port.ServiceRequest) (port.ServiceResponse, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := newRequest(ctx, c.base, r)
	if err != nil {
		return port.ServiceResponse{}, err
	}
	return c.roundTrip(c.transport, req, sent.Load)
}

// idempotencyHeaders are the headers by which net/http recognises a request as
// idempotent. It checks only their canonical names.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// newRequest returns a request that net/http does not resend: idempotencyHeaders are
// written in lower case, and the body cannot be rewound. A request without a body whose
// method is idempotent gets an empty body of unknown length, which net/http omits when it
// writes the request.
func newRequest(ctx context.Context, base string, r port.ServiceRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", port.ErrNotSent, err)
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	for _, name := range idempotencyHeaders {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = values
		}
	}
	if len(r.Body) > 0 {
		req.ContentLength = int64(len(r.Body))
	}
	if len(r.Body) > 0 || idempotentMethod(r.Method) {
		req.Body = singleUseBody{bytes.NewReader(r.Body)}
	}
	return req, nil
}

// idempotentMethod reports whether net/http considers requests with the method idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// singleUseBody hides the type of the body's reader from net/http, which could otherwise
// rewind it.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// roundTrip sends a request and reads the whole response. sent reports whether any byte of
// the request may have been written; it is called after a failure.
func (c *Client) roundTrip(transport *http.Transport, req *http.Request, sent func() bool) (port.ServiceResponse, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil && !sent() {
		return port.ServiceResponse{}, fmt.Errorf("%w: %v", port.ErrNotSent, err)
	}
	if err != nil {
		return port.ServiceResponse{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if err := exchange.CheckHead(resp); err != nil {
		return port.ServiceResponse{}, trace.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return port.ServiceResponse{}, trace.Wrap(err)
	}
	if len(data) > maxResponseBytes {
		return port.ServiceResponse{}, ErrResponseTooLarge
	}
	if !exchange.Framed(resp) {
		if err := exchange.ConfirmRunning(req.Context(), c.network, c.address); err != nil {
			return port.ServiceResponse{}, trace.Wrap(err)
		}
	}
	return port.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

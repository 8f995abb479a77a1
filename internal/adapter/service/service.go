// Package service is the HTTP client of plain services. No request is sent twice:
// net/http resends a request that it takes for idempotent when a connection that
// was used before fails, and a service may have run it by then.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// idleConnTimeout is how long an idle connection may be used again.
	idleConnTimeout = 2 * time.Second
	// maxResponseBytes bounds an answer.
	maxResponseBytes = 16 << 20
)

// ErrResponseTooLarge reports an answer above maxResponseBytes.
var ErrResponseTooLarge = errors.New("response of service is too large")

// Client talks to one service. It implements port.Service.
type Client struct {
	base      string
	network   network.Network
	transport *http.Transport
}

// NewDialer returns a port.ServiceDialer. Its clients share no connections.
func NewDialer(nw network.Network) port.ServiceDialer {
	return func(address string) port.Service {
		return &Client{
			base:    "http://" + address,
			network: nw,
			transport: &http.Transport{
				DialContext:        nw.DialContext,
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
	return roundTrip(c.transport, req, sent.Load)
}

// idempotencyHeaders mark a request as idempotent to net/http, which looks for their
// canonical names only.
var idempotencyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// newRequest returns a request that net/http does not resend: replayHeaders are
// written in lower case, and a body cannot be rewound. A request without a body
// that is idempotent by its method gets an empty body of unknown length, which
// net/http leaves out when it writes the request.
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

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// singleUseBody hides the body's type from net/http, which otherwise rewinds it.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// roundTrip sends a request. sent tells after a failure whether any byte of it may
// have been written.
func roundTrip(transport *http.Transport, req *http.Request, sent func() bool) (port.ServiceResponse, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil && !sent() {
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

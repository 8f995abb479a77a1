// Package engine implements the HTTP client of a model engine. Generated tokens arrive
// as server-sent events.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Paths of the engine interface.
const (
	GeneratePath    = "/v1/generate"
	RequestsPath    = "/v1/requests/"
	StatusPath      = "/v1/status"
	OrdersPath      = "/v1/orders"
	CacheEventsPath = "/v1/cache-events"
)

// SoftwareHeader names, in the response to a generation request, the software version of the
// engine.
const SoftwareHeader = "Engine-Software"

const (
	// controlTimeout bounds every request except generation requests. When a request is
	// retried over a new connection, each attempt has the full timeout.
	controlTimeout = 2 * time.Second
	// reusedConnTimeout bounds the wait for the response headers on a reused
	// connection. It is short because an idle connection may have become unresponsive,
	// and a new one costs only a handshake.
	reusedConnTimeout = 500 * time.Millisecond
	// maxIdleConns bounds the number of idle connections to one engine.
	maxIdleConns = 64
)

// errReusedConnTimeout reports that no response arrived on a reused connection within
// reusedConnTimeout.
var errReusedConnTimeout = fmt.Errorf("%w: no response on a reused connection", port.ErrNoProgress)

// Options configures a Dialer.
type Options struct {
	Network network.Network
	// ProgressTimeout bounds each wait for data of a generation request, from the
	// response headers on.
	ProgressTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept for reuse.
	IdleConnTimeout time.Duration
}

// Dialer creates one client per address. Each client has a separate connection pool.
// Dialer is safe for concurrent use.
type Dialer struct {
	opts Options

	mu      sync.Mutex
	clients map[string]*Client
}

// NewDialer returns a Dialer.
func NewDialer(opts Options) *Dialer {
	return &Dialer{opts: opts, clients: map[string]*Client{}}
}

// Dial returns the client of the engine at address. It has the signature of
// port.EngineDialer.
func (d *Dialer) Dial(address string) port.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[address]
	if !ok {
		c = newClient(address, d.opts)
		d.clients[address] = c
	}
	return c
}

// Client sends requests to one engine. It implements port.Engine.
type Client struct {
	base            string
	progressTimeout time.Duration
	// pooled reuses idle connections, fresh opens a connection per request.
	pooled *http.Client
	fresh  *http.Client
	dial   dialFunc
}

func newClient(address string, opts Options) *Client {
	pooled := &http.Transport{
		DialContext:         opts.Network.DialContext,
		IdleConnTimeout:     opts.IdleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,

		MaxResponseHeaderBytes: network.MaxHeadBytes,
	}
	fresh := &http.Transport{
		DialContext:        opts.Network.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: network.MaxHeadBytes,
	}
	return &Client{
		base:            "http://" + address,
		progressTimeout: opts.ProgressTimeout,
		pooled:          &http.Client{Transport: pooled},
		fresh:           &http.Client{Transport: fresh},
		dial:            opts.Network.DialContext,
	}
}

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, r port.GenerateRequest) (port.ChunkStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	// The wait for the response headers has the same timeout as later reads.
	watch := newWatchdog(c.progressTimeout, r.MayEnd, func() { cancel(port.ErrNoProgress) })
	resp, sent, err := c.send(ctx, c.pooled, http.MethodPost, GeneratePath, r, r.MayEnd)
	if err != nil {
		watch.stop()
		err = causeOf(ctx, err)
		cancel(nil)
		c.closeIdleOnTimeout(err)
		if !sent {
			return nil, fmt.Errorf("%w: %v", port.ErrNotSent, err)
		}
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		watch.stop()
		defer cancel(nil)
		return nil, refusalError(resp)
	}
	return newStream(ctx, cancel, resp, watch, c.closeIdleOnTimeout), nil
}

// closeIdleOnTimeout closes the idle connections if err is port.ErrNoProgress: a fault
// that made one connection unresponsive has probably affected all of them.
func (c *Client) closeIdleOnTimeout(err error) {
	if errors.Is(err, port.ErrNoProgress) {
		c.pooled.CloseIdleConnections()
	}
}

// refusalError returns the error for a response with an error status. It wraps
// port.ErrNotRun for statuses below 500 and for 503: an engine responds with 4xx and 503
// only before it runs a request.
func refusalError(resp *http.Response) error {
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	err := fmt.Errorf("engine responded with status %s: %s", resp.Status, bytes.TrimSpace(detail))
	if resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
		return fmt.Errorf("%w: %v", port.ErrNotRun, err)
	}
	return err
}

// causeOf returns the cause of ctx's cancellation if it wraps port.ErrNoProgress, and
// otherwise err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, port.ErrNoProgress) {
		return cause
	}
	return err
}

// Cancel implements port.Engine. It uses a new connection, so that its success
// also proves that the engine accepts new connections.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.control(ctx, c.fresh, http.MethodDelete, RequestsPath+url.PathEscape(requestID), nil, nil)
}

// Status implements port.Engine. When the request fails on a pooled connection, it is
// repeated over a new one, so that an error indicates a failure of the engine rather
// than of an idle connection.
func (c *Client) Status(ctx context.Context) (port.EngineStatus, error) {
	var out port.EngineStatus
	err := c.getWithRetry(ctx, StatusPath, &out)
	return out, err
}

// Probe implements port.Engine.
func (c *Client) Probe(ctx context.Context) (port.EngineStatus, error) {
	var out port.EngineStatus
	err := c.control(ctx, c.fresh, http.MethodGet, StatusPath, nil, &out)
	return out, err
}

// CacheEvents implements port.Engine.
func (c *Client) CacheEvents(ctx context.Context, from int64) ([]port.CacheEvent, error) {
	var out []port.CacheEvent
	err := c.getWithRetry(ctx, fmt.Sprintf("%s?from=%d", CacheEventsPath, from), &out)
	return out, err
}

// getWithRetry sends a GET request for path over a pooled connection and, if that
// fails, over a new one.
func (c *Client) getWithRetry(ctx context.Context, path string, out any) error {
	err := c.control(ctx, c.pooled, http.MethodGet, path, nil, out)
	if err == nil || ctx.Err() != nil || errors.Is(err, port.ErrUnreachable) {
		return err
	}
	c.pooled.CloseIdleConnections()
	return c.control(ctx, c.fresh, http.MethodGet, path, nil, out)
}

// control sends a request within controlTimeout and decodes the response into out
// unless out is nil.
func (c *Client) control(ctx context.Context, client *http.Client, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, _, err := c.send(ctx, client, method, path, in, nil)
	if err != nil {
		return c.markUnreachable(client, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return port.ErrStaleFencing
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: engine responded with status %s", method, path, resp.Status)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return trace.Wrap(err)
	}
	return trace.Wrap(decodeControl(resp.Body, out))
}

// maxControlBytes bounds the response body of a control request.
const maxControlBytes = 1 << 20

// decodeControl decodes the JSON response of a control request.
func decodeControl(body io.Reader, out any) error {
	return json.NewDecoder(io.LimitReader(body, maxControlBytes)).Decode(out)
}

// markUnreachable wraps err in port.ErrUnreachable if the engine refused or closed a new
// connection. Timeouts and missing routes are failures of the network, not of the engine.
func (c *Client) markUnreachable(client *http.Client, err error) error {
	if client == c.fresh && closedByEngine(err) {
		return fmt.Errorf("%w: %v", port.ErrUnreachable, err)
	}
	return err
}

// closedByEngine reports whether err means that the engine refused or closed the
// connection.
func closedByEngine(err error) bool {
	for _, target := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// send sends one request. The returned bool reports whether the engine may have
// received a part of it. The request fails after reusedConnTimeout only if mayEnd is nil or
// returns true; see port.GenerateRequest.
func (c *Client) send(ctx context.Context, client *http.Client, method, path string, in any, mayEnd func() bool) (*http.Response, bool, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, false, trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	headerWatch := newWatchdog(reusedConnTimeout, mayEnd, func() { cancel(errReusedConnTimeout) })
	headerWatch.stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent.Store(true)
			if info.Reused {
				headerWatch.reset()
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		cancel(nil)
		return nil, false, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	headerWatch.stop()
	if err != nil {
		err = causeOf(ctx, err)
		cancel(nil)
		return nil, sent.Load(), trace.Wrap(err)
	}
	if err := exchange.CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, true, trace.Wrap(err)
	}
	resp.Body = &cancellingBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, true, nil
}

// cancellingBody is a response body that cancels the request's context on Close.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// Package engine is the HTTP client of a model engine. Answers arrive as
// server-sent events.
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

const (
	// controlTimeout bounds every request but an answer stream, on each connection.
	controlTimeout = 2 * time.Second
	// reusedTimeout bounds the wait for the first response byte on a connection
	// that was idle. It may have gone silent, and a new one costs only a handshake.
	reusedTimeout = 500 * time.Millisecond
	// maxIdleConns bounds the idle connections to one engine.
	maxIdleConns = 64
)

// errIdleSilent reports that a connection that was idle did not answer.
var errIdleSilent = fmt.Errorf("%w: idle connection did not answer", port.ErrNoProgress)

// Options configures a Dialer.
type Options struct {
	Network network.Network
	// ProgressTimeout is the longest silence on an answer stream.
	ProgressTimeout time.Duration
	// IdleConnTimeout is how long an idle connection may be used again.
	IdleConnTimeout time.Duration
}

// Dialer creates clients, each with a connection pool of its own. It is safe for
// concurrent use.
type Dialer struct {
	opts Options

	mu      sync.Mutex
	clients map[string]*Client
}

// NewDialer returns a Dialer.
func NewDialer(opts Options) *Dialer {
	return &Dialer{opts: opts, clients: map[string]*Client{}}
}

// Dial implements port.EngineDialer.
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

// Client talks to one engine. It implements port.Engine.
type Client struct {
	base     string
	progress time.Duration
	// pooled reuses idle connections, fresh opens one per request.
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
		base:     "http://" + address,
		progress: opts.ProgressTimeout,
		pooled:   &http.Client{Transport: pooled},
		fresh:    &http.Client{Transport: fresh},
		dial:     opts.Network.DialContext,
	}
}

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, r port.GenerateRequest) (port.ChunkStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	// The first read is covered by the same deadline as the ones that follow it.
	watch := newWatchdog(c.progress, func() { cancel(port.ErrNoProgress) })
	resp, sent, err := c.send(ctx, c.pooled, http.MethodPost, GeneratePath, r)
	if err != nil {
		watch.stop()
		err = causeOf(ctx, err)
		cancel(nil)
		c.distrust(err)
		if !sent {
			return nil, fmt.Errorf("%w: %v", port.ErrNotSent, err)
		}
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		watch.stop()
		defer cancel(nil)
		return nil, refused(resp)
	}
	return newStream(ctx, cancel, resp.Body, watch, c.distrust), nil
}

// distrust closes the idle connections after a silence: whatever lost the state
// of one connection has probably lost the others too.
func (c *Client) distrust(err error) {
	if errors.Is(err, port.ErrNoProgress) {
		c.pooled.CloseIdleConnections()
	}
}

// refused converts a response with an error status. An engine answers 4xx and
// 503 only before it runs a request.
func refused(resp *http.Response) error {
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	err := fmt.Errorf("engine answered %s: %s", resp.Status, bytes.TrimSpace(detail))
	if resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable {
		return fmt.Errorf("%w: %v", port.ErrNotRun, err)
	}
	return err
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, port.ErrNoProgress) {
		return cause
	}
	return err
}

// Cancel implements port.Engine. It uses a new connection, so that its success
// also shows that new connections work.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.control(ctx, c.fresh, http.MethodDelete, RequestsPath+url.PathEscape(requestID), nil, nil)
}

// Status implements port.Engine. When a pooled connection gives no answer it
// asks again over a new one, so that its error speaks of the engine rather than
// of the connection.
func (c *Client) Status(ctx context.Context) (port.EngineStatus, error) {
	var out port.EngineStatus
	err := c.recovering(ctx, StatusPath, &out)
	return out, err
}

// CacheEvents implements port.Engine.
func (c *Client) CacheEvents(ctx context.Context, from int64) ([]port.CacheEvent, error) {
	var out []port.CacheEvent
	err := c.recovering(ctx, fmt.Sprintf("%s?from=%d", CacheEventsPath, from), &out)
	return out, err
}

// recovering reads path over a pooled connection and, when that one fails, over
// a new one.
func (c *Client) recovering(ctx context.Context, path string, out any) error {
	err := c.control(ctx, c.pooled, http.MethodGet, path, nil, out)
	if err == nil || ctx.Err() != nil || errors.Is(err, port.ErrUnreachable) {
		return err
	}
	c.pooled.CloseIdleConnections()
	return c.control(ctx, c.fresh, http.MethodGet, path, nil, out)
}

// control sends a short request and decodes the response into out unless nil.
func (c *Client) control(ctx context.Context, client *http.Client, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, _, err := c.send(ctx, client, method, path, in)
	if err != nil {
		return c.unreachable(client, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return port.ErrStaleFencing
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: engine answered %s", method, path, resp.Status)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return trace.Wrap(err)
	}
	return trace.Wrap(decodeControl(resp.Body, out))
}

// maxControlBytes bounds the answer of a control call.
const maxControlBytes = 1 << 20

// decodeControl reads the JSON answer of a control call.
func decodeControl(body io.Reader, out any) error {
	return json.NewDecoder(io.LimitReader(body, maxControlBytes)).Decode(out)
}

// unreachable marks a new connection that the engine refused or closed. A
// timeout or a missing route speaks of the network, not of the engine.
func (c *Client) unreachable(client *http.Client, err error) error {
	if client == c.fresh && closedByEngine(err) {
		return fmt.Errorf("%w: %v", port.ErrUnreachable, err)
	}
	return err
}

func closedByEngine(err error) bool {
	for _, target := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// send sends one request. The bool tells whether bytes may have reached the
// engine.
func (c *Client) send(ctx context.Context, client *http.Client, method, path string, in any) (*http.Response, bool, error) {
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
	idle := newWatchdog(reusedTimeout, func() { cancel(errIdleSilent) })
	idle.stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent.Store(true)
			if info.Reused {
				idle.reset()
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
	idle.stop()
	if err != nil {
		err = causeOf(ctx, err)
		cancel(nil)
		return nil, sent.Load(), trace.Wrap(err)
	}
	resp.Body = &cancellingBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, true, nil
}

// cancellingBody ends a request's context when its response is closed.
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

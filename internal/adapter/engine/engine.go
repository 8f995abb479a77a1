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

// controlTimeout bounds every request but an answer stream.
const controlTimeout = 2 * time.Second

// Options configures a Dialer.
type Options struct {
	Network network.Network
	// Progress is the longest silence on an answer stream.
	Progress time.Duration
	// IdleTrust is how long an idle connection may be used again.
	IdleTrust time.Duration
}

// Dialer creates clients that share one connection pool. It is safe for
// concurrent use.
type Dialer struct {
	opts Options
	http *http.Client

	mu      sync.Mutex
	clients map[string]*Client
}

// NewDialer returns a Dialer.
func NewDialer(opts Options) *Dialer {
	transport := &http.Transport{
		DialContext:         opts.Network.DialContext,
		IdleConnTimeout:     opts.IdleTrust,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
	return &Dialer{
		opts:    opts,
		http:    &http.Client{Transport: transport},
		clients: map[string]*Client{},
	}
}

// Dial implements port.EngineDialer.
func (d *Dialer) Dial(address string) port.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[address]
	if !ok {
		c = &Client{base: "http://" + address, dialer: d}
		d.clients[address] = c
	}
	return c
}

// CloseIdle closes idle connections, so that the next request uses a new one.
func (d *Dialer) CloseIdle() { d.http.CloseIdleConnections() }

// Client talks to one engine. It implements port.Engine.
type Client struct {
	base   string
	dialer *Dialer
}

// Generate implements port.Engine.
func (c *Client) Generate(ctx context.Context, r port.GenerateRequest) (port.ChunkStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// The first read is covered by the same deadline as the ones that follow it.
	watch := newWatchdog(c.dialer.opts.Progress, func() { cancel(port.ErrSilent) })
	resp, err := c.send(ctx, http.MethodPost, GeneratePath, r)
	if err != nil {
		watch.stop()
		err = causeOf(ctx, err)
		cancel(nil)
		if !sent.Load() {
			return nil, fmt.Errorf("%w: %v", port.ErrNotSent, err)
		}
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		watch.stop()
		defer cancel(nil)
		return nil, refused(resp)
	}
	return newStream(ctx, cancel, resp.Body, watch), nil
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
	if cause := context.Cause(ctx); errors.Is(cause, port.ErrSilent) {
		return cause
	}
	return err
}

// Cancel implements port.Engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.control(ctx, http.MethodDelete, RequestsPath+url.PathEscape(requestID), nil, nil)
}

// Status implements port.Engine.
func (c *Client) Status(ctx context.Context) (port.EngineStatus, error) {
	var out port.EngineStatus
	err := c.control(ctx, http.MethodGet, StatusPath, nil, &out)
	return out, err
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, o port.Order) error {
	return c.control(ctx, http.MethodPost, OrdersPath, o, nil)
}

// CacheEvents implements port.Engine.
func (c *Client) CacheEvents(ctx context.Context, from int64) ([]port.CacheEvent, error) {
	var out []port.CacheEvent
	err := c.control(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d", CacheEventsPath, from), nil, &out)
	return out, err
}

// control sends a short request and decodes the response into out unless nil.
func (c *Client) control(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
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
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}

func (c *Client) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.dialer.http.Do(req)
	return resp, trace.Wrap(err)
}

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// errNoConnection reports that an order was not sent for lack of a connection.
var errNoConnection = errors.New("no connection to send the order over")

// Order implements port.Engine. It uses a new connection and never repeats the order.
// If the order names an incarnation, Order first checks it by a status request over the
// same connection. This is sufficient because a connection does not outlive the
// incarnation that accepted it.
func (c *Client) Order(ctx context.Context, o port.Order) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: dialOnce(c.dial), DisableCompression: true, MaxResponseHeaderBytes: network.MaxHeadBytes}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if o.Incarnation != "" {
		if err := c.checkIncarnation(ctx, client, o.Incarnation); err != nil {
			return fmt.Errorf("%w: %v", port.ErrNotSent, err)
		}
	}
	resp, err := c.post(ctx, client, o)
	if errors.Is(err, errNoConnection) {
		return fmt.Errorf("%w: %v", port.ErrNotSent, err)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return port.ErrStaleFencing
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return fmt.Errorf("%w: %s", port.ErrNotRun, resp.Status)
	}
	return fmt.Errorf("engine responded to an order with status %s", resp.Status)
}

// post sends the order. Its errors wrap errNoConnection when nothing was sent.
func (c *Client) post(ctx context.Context, client *http.Client, o port.Order) (*http.Response, error) {
	data, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNoConnection, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+OrdersPath, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNoConnection, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := exchange.CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, trace.Wrap(err)
	}
	return resp, nil
}

// checkIncarnation returns an error unless the engine reports the incarnation want.
func (c *Client) checkIncarnation(ctx context.Context, client *http.Client, want string) error {
	resp, _, err := c.send(ctx, client, http.MethodGet, StatusPath, nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var status port.EngineStatus
	// The connection can be reused for the order because the whole body is read.
	if err := decodeControl(resp.Body, &status); err != nil {
		return trace.Wrap(err)
	}
	if status.Incarnation != want {
		return fmt.Errorf("engine has incarnation %q, want %q", status.Incarnation, want)
	}
	return nil
}

// dialOnce returns a dial function that opens one connection only; every later call fails.
// All its errors wrap errNoConnection, which means that nothing was sent. This is true for
// a later call too, because net/http dials again only for a request of which it has written
// nothing.
func dialOnce(dial dialFunc) dialFunc {
	var used atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errNoConnection
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", errNoConnection, err)
		}
		return conn, nil
	}
}

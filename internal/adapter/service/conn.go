package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// healthPath is the path of the health check of a connection.
	healthPath = "/healthz"
	// probeTimeout bounds the dial and the health check together.
	probeTimeout = 2 * time.Second
)

// errSecondDial reports that a Conn lost its connection.
var errSecondDial = errors.New("connection was lost and must not be replaced")

// Conn is one connection to a service. It implements port.ServiceConn. Its transport can
// dial only once, so that net/http cannot resend a request over another connection.
type Conn struct {
	client    *Client
	transport *http.Transport
	dialed    atomic.Bool
	writes    atomic.Int64
}

// Open implements port.Service.
func (c *Client) Open(ctx context.Context) (port.ServiceConn, error) {
	conn := &Conn{client: c}
	conn.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: network.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if conn.dialed.Swap(true) {
				return nil, errSecondDial
			}
			raw, err := c.network.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &requestConn{Conn: raw, writes: &conn.writes}, nil
		},
	}
	if err := conn.probe(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %v", port.ErrHealthCheckFailed, err)
	}
	return conn, nil
}

// probe opens the connection and runs a health check. The health check is sent in the
// same way as a call, so that it verifies the connection that calls use.
func (c *Conn) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := c.Call(ctx, port.ServiceRequest{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("service responded to a health check with status %d", response.Status)
	}
	return nil
}

// Call implements port.ServiceConn.
func (c *Conn) Call(ctx context.Context, r port.ServiceRequest) (port.ServiceResponse, error) {
	req, err := newRequest(ctx, c.client.base, r)
	if err != nil {
		return port.ServiceResponse{}, err
	}
	before := c.writes.Load()
	return c.client.roundTrip(c.transport, req, func() bool { return c.writes.Load() > before })
}

// Close implements port.ServiceConn.
func (c *Conn) Close() { c.transport.CloseIdleConnections() }

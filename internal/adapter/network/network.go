// Package network opens listeners and connections for the daemon. Tests replace
// it with in-memory connections.
package network

import (
	"context"
	"net"
	"time"
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	// DialContext connects to host:port; network is always "tcp".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds the TCP handshake.
	dialTimeout = 2 * time.Second
	// keepAlive is the interval of TCP keep-alive probes.
	keepAlive = 5 * time.Second
)

// TCP is the Network of plain TCP connections.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return d.DialContext(ctx, network, address)
}

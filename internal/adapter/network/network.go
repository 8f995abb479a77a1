// Package network opens listeners and connections for the daemon, with or without TLS.
// Tests implement Network with in-memory connections.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	// DialContext connects to host:port; network is always "tcp".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// MaxHeadBytes bounds the status line and headers of a response, as a protection against
// servers that send endless headers.
const MaxHeadBytes = 32 << 10

const (
	// dialTimeout bounds the TCP handshake.
	dialTimeout = 2 * time.Second
	// userTimeout is the TCP user timeout: a connection is closed when sent bytes remain
	// unacknowledged for this long, as on a connection that is permanently unresponsive.
	userTimeout = 4 * time.Second
)

// keepAlive detects unresponsive idle connections within about 5 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// setUserTimeout sets the TCP user timeout of a socket. Accepted connections inherit it
// from their listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// TCP is the Network of plain TCP connections.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return l.Listen(context.Background(), "tcp", address)
}

// DialContext implements Network.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, network, address)
}

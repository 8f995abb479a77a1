package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

const (
	// confirmTime is how long a connection must stay open to show that its server runs: a process that
	// ends closes its connections one after another.
	confirmTime = 20 * time.Millisecond
	// confirmTimeout bounds the opening of a connection for that.
	confirmTimeout = 500 * time.Millisecond
)

// errServerEnded reports a response with neither a length nor chunks whose server has ended: the kernel
// closes the connections of a process that was killed as if it had finished its responses.
var errServerEnded = fmt.Errorf("%w: server ended with its response", io.ErrUnexpectedEOF)

// errResetWhileSending reports such a response whose connection was reset while the request was being sent.
var errResetWhileSending = fmt.Errorf("%w: connection was lost while the request was being sent", io.ErrUnexpectedEOF)

// ConfirmRunning returns io.ErrUnexpectedEOF if the server at an address has ended, as after a response
// that is not Framed. A server that cannot be reached otherwise counts as running.
func ConfirmRunning(ctx context.Context, nw network.Network, address string) error {
	c := NewClient(nw, 0)
	defer c.Retain(func(string) bool { return false })
	return c.confirmRunning(ctx, address, nil)
}

// confirmRunning returns errServerEnded if the server at an address has ended. A server that cannot be
// reached otherwise counts as running.
func (c *Client) confirmRunning(ctx context.Context, address string, dialed func(time.Time, error)) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// The second connection is a new one: servers may close idle connections at any time.
	for _, maxIdle := range []time.Duration{defaultKeepAlive, 0} {
		cn, err := c.connect(ctx, address, &Request{MaxIdle: maxIdle, Dialed: dialed})
		switch {
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
			return errServerEnded
		case err != nil:
			return nil
		}
		clock.Sleep(ctx, confirmTime)
		if network.Quiet(cn.Conn) {
			c.returnIdle(cn)
			return nil
		}
		cn.Close()
	}
	return errServerEnded
}

// returnIdle returns a connection to the idle ones that was taken or opened and not used.
func (c *Client) returnIdle(cn *conn) {
	if !cn.reused {
		cn.keepAlive = defaultKeepAlive
	} else if cn.keepAlive -= time.Since(cn.idleSince); cn.keepAlive <= 0 {
		cn.Close()
		return
	}
	c.putIdle(cn)
}

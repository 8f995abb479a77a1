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

// errEndUnconfirmed reports such a response of whose server it could not be found out whether it runs.
var errEndUnconfirmed = fmt.Errorf("%w: end of the response could not be confirmed", io.ErrUnexpectedEOF)

// ConfirmRunning returns io.ErrUnexpectedEOF unless the server at an address runs, as after a response that is
// not Framed. It takes confirmTimeout at most, also after the end of ctx.
func ConfirmRunning(ctx context.Context, nw network.Network, address string) error {
	c := NewClient(nw, 0)
	defer c.Retain(func(string) bool { return false })
	c.counts.reserve(address)
	return c.confirmRunning(ctx, address, nil)
}

// confirmEnd returns an error if the end of the connection does not show that its server has sent the
// whole response.
func (x *transfer) confirmEnd() error {
	if x.writeFailed() {
		return errResetWhileSending
	}
	// The server has closed the connection. Its place and its descriptor are used to find out whether the server runs.
	x.client.counts.reserve(x.conn.address)
	x.conn.Close()
	return x.client.confirmRunning(x.ctx, x.conn.address, x.request.Dialed)
}

// confirmRunning returns nil if the server at an address runs, errServerEnded if it has ended, and errEndUnconfirmed if
// neither is certain. The caller has reserved a place among the connections to the address, which confirmRunning uses or
// releases. The end of ctx says nothing of the server, so that it does not end the confirmation.
func (c *Client) confirmRunning(ctx context.Context, address string, dialed func(time.Time, error)) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	reserved := true
	defer func() {
		if reserved {
			c.counts.remove(address)
		}
	}()
	// The second connection is a new one: servers may close idle connections at any time.
	cn := c.takeQuiet(address, defaultKeepAlive)
	for range 2 {
		if cn == nil {
			var err error
			reserved = false
			cn, err = c.openCounted(ctx, address, dialed)
			switch {
			case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
				return errServerEnded
			case err != nil:
				return fmt.Errorf("%w: %w", errEndUnconfirmed, err)
			}
		}
		clock.Sleep(ctx, confirmTime)
		if network.Quiet(cn.Conn) {
			c.returnIdle(cn)
			return nil
		}
		if !reserved {
			c.counts.reserve(address)
			reserved = true
		}
		cn.Close()
		cn = nil
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

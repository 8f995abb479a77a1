package exchange

import (
	"errors"
	"net"
)

// maxStrayBytes bounds the body of a response to another request.
const maxStrayBytes = 256 << 10

// errResponseTooLong reports a response that goes on beyond what is accepted of it.
var errResponseTooLong = errors.New("response is too long")

// boundedConn is a connection that stops reading after a number of bytes, so that a server
// that sends without end takes no memory. It is used by one goroutine at a time.
type boundedConn struct {
	net.Conn
	// remaining is the number of bytes that may still be read; below 0 there is no bound.
	remaining int64
}

// limitReads allows n further bytes, or any number if n is below 0. What a reader has already
// buffered does not count.
func (c *boundedConn) limitReads(n int64) { c.remaining = n }

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.remaining < 0 {
		return c.Conn.Read(p)
	}
	if c.remaining == 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

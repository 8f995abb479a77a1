package exchange

import (
	"errors"
	"net"
)

// maxStrayBytes bounds the size of the body of a response to an earlier request.
const maxStrayBytes = 256 << 10

// errResponseTooLong reports a response that is longer than its limit.
var errResponseTooLong = errors.New("response is too long")

// boundedConn is a connection whose reads fail after a number of bytes, so that a server
// that sends endless data cannot fill the memory. It is read by one goroutine at a time.
type boundedConn struct {
	net.Conn
	// remaining is the number of bytes that may still be read; negative for no limit.
	remaining int64
}

// limitReads allows n more bytes to be read, or any number if n is negative. Bytes that a
// reader has already buffered do not count.
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

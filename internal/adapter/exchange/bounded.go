package exchange

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"

	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/port"
)

// maxStrayBytes bounds the size of the body of a response to an earlier request.
const maxStrayBytes = 256 << 10

// errResponseTooLong reports a response that is longer than its limit.
var errResponseTooLong = errors.New("response is too long")

// boundedConn is a connection whose reads fail after a number of bytes, so that a server
// that sends endless data cannot fill the memory. Heads of many lines draw on a budget until the response has ended. It is
// read by one goroutine at a time.
type boundedConn struct {
	net.Conn
	// remaining is the number of bytes that may still be read; negative for no limit.
	remaining int64

	// sent and received count the bytes of the connections of a client.
	sent, received *atomic.Int64
	// memory is nil if heads are not charged.
	memory *memory.Budget
	// inHead is set while a head is read. headBytes and headLines are its size so far, which may include the beginning of
	// the body; headMemory is what is reserved for heads.
	inHead                           bool
	headBytes, headLines, headMemory int64
}

// limitReads ends a head and allows n more bytes to be read, or any number if n is negative. Bytes that a
// reader has already buffered do not count.
func (c *boundedConn) limitReads(n int64) { c.remaining, c.inHead = n, false }

// beginHead allows a head of n bytes to be read.
func (c *boundedConn) beginHead(n int64) {
	c.limitReads(n)
	c.inHead, c.headBytes, c.headLines = c.memory != nil, 0, 0
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		return 0, errResponseTooLong
	}
	if c.remaining > 0 {
		p = p[:min(int64(len(p)), c.remaining)]
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if c.remaining < 0 {
		return n, err
	}
	c.remaining -= int64(n)
	if c.inHead && !c.chargeHead(p[:n]) {
		return 0, port.ErrResponseMemory
	}
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// chargeHead reserves memory for bytes of a head before they are parsed, and reports whether it was available.
func (c *boundedConn) chargeHead(p []byte) bool {
	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte("\n")))
	missing := memory.HeadCost(c.headBytes, c.headLines) - memory.FreeHeadBytes - c.headMemory
	if missing <= 0 {
		return true
	}
	if !c.memory.Reserve(memory.Responses, missing, c.headMemory+missing <= memory.SmallBytes) {
		return false
	}
	c.headMemory += missing
	return true
}

// releaseHead returns the memory of the heads.
func (c *boundedConn) releaseHead() {
	if c.headMemory > 0 {
		c.memory.Release(memory.Responses, c.headMemory)
		c.headMemory = 0
	}
}

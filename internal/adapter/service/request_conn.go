package service

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// requestConn is a connection to a service. It counts the writes that were started, and fails reads that
// return io.EOF because the kernel has reported a reset to a write.
type requestConn struct {
	net.Conn
	writes *atomic.Int64

	// mu is held during a write and guards writeErr, the error of the last one.
	mu       sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *requestConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.writeErr = err
	return n, err
}

// Read implements net.Conn. At the end of the connection it ends a pending write.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// An error means that the connection is closed, which the write reports.
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return n, c.writeErr
	}
	return n, io.EOF
}

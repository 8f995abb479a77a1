package peer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout bounds one write to the network connection.
	writeTimeout = 5 * time.Second
	// maxPendingBytes bounds the bytes that are queued for writing. A view of 380
	// daemons and 600 engines takes about 230 KB.
	maxPendingBytes = 8 << 20
)

// errSlowPeer reports that more than maxPendingBytes would be queued because the peer
// reads too slowly.
var errSlowPeer = errors.New("write queue is full because the peer reads too slowly")

// bufferedConn is a connection whose Write queues data instead of waiting for the peer.
// jsonrpc2 holds a lock while it writes and does not check the context of the call in the
// meantime, so that an unresponsive connection would block all its callers until the TCP
// connection fails.
type bufferedConn struct {
	net.Conn
	// wakeWriter holds a token while the write loop has something to do.
	wakeWriter chan struct{}
	// receivedAt is when data was read last, in Unix nanoseconds; 0 before.
	receivedAt atomic.Int64

	mu sync.Mutex
	// pending is the queued data. It is guarded by mu, like the fields below.
	pending []byte
	// writing is set while the write loop writes data that it took from pending.
	writing bool
	closed  bool
}

func newBufferedConn(raw net.Conn) *bufferedConn {
	c := &bufferedConn{Conn: raw, wakeWriter: make(chan struct{}, 1)}
	go c.writeLoop()
	return c
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// receivedSince reports whether data was read at or after t.
func (c *bufferedConn) receivedSince(t time.Time) bool { return c.receivedAt.Load() >= t.UnixNano() }

// Write queues p. It returns net.ErrClosed when the connection is closed, and errSlowPeer
// when the queue would exceed maxPendingBytes.
func (c *bufferedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(c.pending)+len(p) > maxPendingBytes {
		return 0, errSlowPeer
	}
	c.pending = append(c.pending, p...)
	c.notify()
	return len(p), nil
}

// Close closes the connection after the queued data has been written or writing it has
// failed. It does not wait for that.
func (c *bufferedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.notify()
	if c.writing || len(c.pending) > 0 {
		return nil
	}
	return c.Conn.Close()
}

// notify wakes the write loop. c.mu is held.
func (c *bufferedConn) notify() {
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

// writeLoop writes queued data until the connection is closed or a write fails.
func (c *bufferedConn) writeLoop() {
	// The connection may be closed already, so the error is ignored.
	defer func() { _ = c.Conn.Close() }()
	for range c.wakeWriter {
		data, closed := c.takePending()
		if len(data) > 0 && !c.flush(data) {
			return
		}
		if closed {
			return
		}
	}
}

// takePending removes and returns the queued data.
func (c *bufferedConn) takePending() (data []byte, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, c.pending = c.pending, nil
	c.writing = len(data) > 0
	return data, c.closed
}

// flush writes data to the network connection and reports whether it succeeded. After a
// failure Write returns net.ErrClosed.
func (c *bufferedConn) flush(data []byte) bool {
	err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = c.Conn.Write(data)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.closed = c.closed || err != nil
	return err == nil
}

package peer

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// writeTimeout bounds one write to the network.
	writeTimeout = 5 * time.Second
	// maxPendingBytes bounds what waits to be written. A view of 380 daemons and
	// 600 engines takes about 230 KB.
	maxPendingBytes = 8 << 20
)

// errSlowPeer reports a peer that reads more slowly than it is sent to.
var errSlowPeer = errors.New("peer does not read what it is sent")

// bufferedConn is a connection whose Write does not wait for the other end.
// jsonrpc2 holds a lock while it writes and does not observe the context of a call
// meanwhile, so that one connection that has gone silent would block all its
// callers for as long as TCP keeps trying.
type bufferedConn struct {
	net.Conn
	// wakeWriter holds a token while the writer has something to do.
	wakeWriter chan struct{}

	mu      sync.Mutex
	pending []byte
	writing bool
	closed  bool
}

func newBufferedConn(raw net.Conn) *bufferedConn {
	c := &bufferedConn{Conn: raw, wakeWriter: make(chan struct{}, 1)}
	go c.writeLoop()
	return c
}

// Write queues p. It fails when the connection is closed or too much is queued.
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

// Close closes the connection once what is queued was written or could not be.
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

// notify wakes the writer. The lock is held.
func (c *bufferedConn) notify() {
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

// writeLoop writes what is queued until the connection is closed or fails.
func (c *bufferedConn) writeLoop() {
	// A second close returns an error that says nothing new.
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

func (c *bufferedConn) takePending() (data []byte, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, c.pending = c.pending, nil
	c.writing = len(data) > 0
	return data, c.closed
}

// flush tells whether data was written. After a failure the connection accepts no
// more writes.
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

package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// MemNet is a network of in-memory connections with faults. It implements
// network.Network through Host.
type MemNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	blocked   map[[2]string]bool
	conns     map[*memConn]struct{}
	traffic   map[string]*Traffic
}

// Traffic counts what a host sent.
type Traffic struct {
	Bytes, Writes atomic.Int64
}

// NewMemNet returns an empty network.
func NewMemNet() *MemNet {
	return &MemNet{
		listeners: map[string]*memListener{},
		blocked:   map[[2]string]bool{},
		conns:     map[*memConn]struct{}{},
		traffic:   map[string]*Traffic{},
	}
}

// Sent returns the counts of a host.
func (n *MemNet) Sent(host string) *Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sentLocked(host)
}

func (n *MemNet) sentLocked(host string) *Traffic {
	t, ok := n.traffic[host]
	if !ok {
		t = &Traffic{}
		n.traffic[host] = t
	}
	return t
}

// Host returns the network as seen from a host with the given name. Faults are
// set between host names.
func (n *MemNet) Host(name string) *MemHost { return &MemHost{name: name, net: n} }

// Block refuses new connections between two hosts, in both directions, and closes
// the open ones.
func (n *MemNet) Block(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = true
	n.blocked[[2]string{b, a}] = true
	for c := range n.conns {
		if c.between(a, b) {
			c.closeBoth()
		}
	}
}

// Unblock ends a Block.
func (n *MemNet) Unblock(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, [2]string{a, b})
	delete(n.blocked, [2]string{b, a})
}

// Silence makes the open connections between two hosts drop all bytes for good,
// while new connections work.
func (n *MemNet) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.between(a, b) {
			c.silence()
		}
	}
}

// MemHost is one host's view of a MemNet. It implements network.Network.
type MemHost struct {
	name string
	net  *MemNet
}

// Listen implements network.Network.
func (h *MemHost) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if _, ok := h.net.listeners[address]; ok {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &memListener{
		host:    h,
		address: address,
		accept:  make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	h.net.listeners[address] = l
	return l, nil
}

// DialContext implements network.Network.
func (h *MemHost) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	l, conn, far, err := h.connect(address)
	if err != nil {
		return nil, err
	}
	select {
	case l.accept <- far:
		return conn, nil
	case <-l.closed:
		return nil, refusedError(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func refusedError(address string) error {
	return fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
}

func (h *MemHost) connect(address string) (*memListener, net.Conn, net.Conn, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[address]
	if !ok {
		return nil, nil, nil, refusedError(address)
	}
	if n.blocked[[2]string{h.name, l.host.name}] {
		return nil, nil, nil, fmt.Errorf("dial %s: %w", address, syscall.EHOSTUNREACH)
	}
	near, far := net.Pipe()
	lost := make(chan struct{})
	once := &sync.Once{}
	hosts := [2]string{h.name, l.host.name}
	client := newMemConn(n, near, far, hosts, lost, once)
	server := newMemConn(n, far, near, hosts, lost, once)
	client.sent, server.sent = n.sentLocked(h.name), n.sentLocked(l.host.name)
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return l, client, server, nil
}

// sendBuffer is the number of bytes that a silent connection takes before writes
// to it block, as a TCP send buffer does.
const sendBuffer = 4 << 10

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	far   net.Conn
	net   *MemNet
	hosts [2]string
	// lost is closed when the connection has gone silent.
	lost chan struct{}
	once *sync.Once
	sent *Traffic
	// hole takes the place of Conn once the connection is silent. Nothing reads
	// from or writes to its other end.
	hole net.Conn

	mu       sync.Mutex
	buffered int
}

func newMemConn(n *MemNet, near, far net.Conn, hosts [2]string, lost chan struct{}, once *sync.Once) *memConn {
	hole, _ := net.Pipe()
	return &memConn{Conn: near, far: far, net: n, hosts: hosts, lost: lost, once: once, hole: hole}
}

func (c *memConn) between(a, b string) bool {
	return c.hosts == [2]string{a, b} || c.hosts == [2]string{b, a}
}

func (c *memConn) silence() { c.once.Do(func() { close(c.lost) }) }

func (c *memConn) closeBoth() {
	// Closing a pipe end never fails.
	_ = c.Conn.Close()
	_ = c.far.Close()
	_ = c.hole.Close()
}

func (c *memConn) silent() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}

// Read blocks on a silent connection.
func (c *memConn) Read(p []byte) (int, error) {
	if c.silent() {
		return c.hole.Read(p)
	}
	return c.Conn.Read(p)
}

// Write drops the bytes of a silent connection until its send buffer is full, and
// blocks then.
func (c *memConn) Write(p []byte) (int, error) {
	c.sent.Bytes.Add(int64(len(p)))
	c.sent.Writes.Add(1)
	if !c.silent() {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	full := c.buffered+len(p) > sendBuffer
	if !full {
		c.buffered += len(p)
	}
	c.mu.Unlock()
	if full {
		return c.hole.Write(p)
	}
	return len(p), nil
}

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(t time.Time) error {
	return errors.Join(c.hole.SetDeadline(t), c.Conn.SetDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *memConn) SetReadDeadline(t time.Time) error {
	return errors.Join(c.hole.SetReadDeadline(t), c.Conn.SetReadDeadline(t))
}

// SetWriteDeadline implements net.Conn.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	return errors.Join(c.hole.SetWriteDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Close closes this end; the far end of a silent connection does not learn of it.
func (c *memConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	if c.silent() {
		return errors.Join(c.hole.Close(), c.Conn.SetDeadline(pastDeadline))
	}
	return errors.Join(c.hole.Close(), c.Conn.Close())
}

type memListener struct {
	host    *MemHost
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.net.mu.Lock()
		delete(l.host.net.listeners, l.address)
		l.host.net.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// pastDeadline makes pending and later reads and writes of a closed silent end
// fail at once.
var pastDeadline = time.Unix(1, 0)

// CloseAll closes every connection and listener.
func (n *MemNet) CloseAll() {
	n.mu.Lock()
	listeners := make([]*memListener, 0, len(n.listeners))
	for _, l := range n.listeners {
		listeners = append(listeners, l)
	}
	conns := make([]*memConn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, l := range listeners {
		// Closing a listener of the memory network never fails.
		_ = l.Close()
	}
	for _, c := range conns {
		c.closeBoth()
	}
}

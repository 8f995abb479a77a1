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
	lossy     map[[2]string]bool
	conns     map[*memConn]struct{}
	traffic   map[string]*Traffic
	// observer is called with each write while it is set.
	observer atomic.Pointer[WriteObserver]
	// closed is closed by CloseAll.
	closed chan struct{}
}

// connectTimeout is when an attempt to connect that gets no answer fails, with the
// six repetitions that Linux makes by default.
const connectTimeout = 127 * time.Second

// Traffic counts what a host sent.
type Traffic struct {
	Bytes, Writes atomic.Int64
}

// WriteObserver is told which host wrote what to which one. It is called by several
// goroutines and must not keep the bytes.
type WriteObserver func(from, to string, p []byte)

// Observe calls f with each write from now on; nil ends that.
func (n *MemNet) Observe(f WriteObserver) {
	if f == nil {
		n.observer.Store(nil)
		return
	}
	n.observer.Store(&f)
}

// NewMemNet returns an empty network.
func NewMemNet() *MemNet {
	return &MemNet{
		listeners: map[string]*memListener{},
		blocked:   map[[2]string]bool{},
		lossy:     map[[2]string]bool{},
		conns:     map[*memConn]struct{}{},
		traffic:   map[string]*Traffic{},
		closed:    make(chan struct{}),
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

// BlockOneWay refuses new connections that one host opens to another and closes
// those that it has opened, as a packet filter does. The other host can still open
// connections.
func (n *MemNet) BlockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = true
	for c := range n.conns {
		if c.hosts == [2]string{from, to} {
			c.closeBoth()
		}
	}
}

// UnblockOneWay ends a BlockOneWay.
func (n *MemNet) UnblockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, [2]string{from, to})
}

// DropOneWay drops what one host sends to another, while the other direction works. Open
// connections stay open and lose all later bytes of that direction for good. New
// connections between the two do not come about, whoever opens them, because the
// handshake needs both directions: dialing waits for the end of its context.
func (n *MemNet) DropOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossy[[2]string{from, to}] = true
	for c := range n.conns {
		if c.near == from && c.between(from, to) {
			c.mute()
		}
	}
}

// UndropOneWay ends a Lose for new connections.
func (n *MemNet) UndropOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.lossy, [2]string{from, to})
}

// Blackhole makes the open connections between two hosts drop all bytes for good,
// while new connections work.
func (n *MemNet) Blackhole(a, b string) {
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
	if errors.Is(err, errHandshakeLost) {
		return nil, h.net.awaitTimeout(ctx, address)
	}
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

// awaitTimeout waits as long as an attempt to connect does that gets no answer.
func (n *MemNet) awaitTimeout(ctx context.Context, address string) error {
	timer := time.NewTimer(connectTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return fmt.Errorf("dial %s: %w", address, syscall.ETIMEDOUT)
	case <-n.closed:
		return net.ErrClosed
	}
}

// errHandshakeLost reports that one direction between two hosts loses everything.
var errHandshakeLost = errors.New("handshake is lost")

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
	if n.lossy[[2]string{h.name, l.host.name}] || n.lossy[[2]string{l.host.name, h.name}] {
		return nil, nil, nil, errHandshakeLost
	}
	near, far := net.Pipe()
	lost := make(chan struct{})
	once := &sync.Once{}
	hosts := [2]string{h.name, l.host.name}
	client := newMemConn(n, near, far, hosts, lost, once)
	server := newMemConn(n, far, near, hosts, lost, once)
	client.near, server.near = h.name, l.host.name
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
	far net.Conn
	net *MemNet
	// hosts holds the host that opened the connection and the other one; near is
	// the host of this end.
	hosts [2]string
	near  string
	// lost is closed when the connection has gone silent.
	lost chan struct{}
	once *sync.Once
	// muted is set when the other end gets no more bytes.
	muted atomic.Bool
	sent  *Traffic
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

// other returns the host of the other end.
func (c *memConn) other() string {
	if c.near == c.hosts[0] {
		return c.hosts[1]
	}
	return c.hosts[0]
}

func (c *memConn) silence() { c.once.Do(func() { close(c.lost) }) }

func (c *memConn) mute() { c.muted.Store(true) }

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

// Write drops the bytes of a silent or muted connection until its send buffer is
// full, and blocks then.
func (c *memConn) Write(p []byte) (int, error) {
	c.sent.Bytes.Add(int64(len(p)))
	c.sent.Writes.Add(1)
	if f := c.net.observer.Load(); f != nil {
		(*f)(c.near, c.other(), p)
	}
	if !c.silent() && !c.muted.Load() {
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

// Close closes this end; the far end of a silent or muted connection does not learn
// of it.
func (c *memConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	if c.silent() || c.muted.Load() {
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

// CloseAll closes every connection and listener, and ends attempts to connect. It
// is called once.
func (n *MemNet) CloseAll() {
	close(n.closed)
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

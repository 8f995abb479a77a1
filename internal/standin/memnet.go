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

// MemNet is a network of in-memory connections with injected faults. Its hosts
// implement network.Network; see Host.
type MemNet struct {
	// mu guards the maps below.
	mu        sync.Mutex
	listeners map[string]*memListener
	// blocked holds the source and destination of each refused direction.
	blocked map[[2]string]bool
	// dropping holds the source and destination of each DropOneWay in force.
	dropping map[[2]string]bool
	conns    map[*memConn]struct{}
	traffic  map[string]*Traffic
	// observer is called with each write, unless it is nil.
	observer atomic.Pointer[WriteObserver]
	// closed is closed by CloseAll.
	closed chan struct{}
}

// connectTimeout is the time until a connection attempt without a response fails. Linux
// takes this long with its default of six SYN retries.
const connectTimeout = 127 * time.Second

// Traffic counts the bytes and writes that a host has sent.
type Traffic struct {
	Bytes, Writes atomic.Int64
}

// WriteObserver receives the source, the destination and the bytes of a write. It is
// called concurrently and must not retain p.
type WriteObserver func(from, to string, p []byte)

// Observe calls f with each write from now on. A nil f stops the observation.
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
		dropping:  map[[2]string]bool{},
		conns:     map[*memConn]struct{}{},
		traffic:   map[string]*Traffic{},
		closed:    make(chan struct{}),
	}
}

// Sent returns the traffic counters of a host.
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

// Host returns the network as seen from the host with the given name. Faults are set
// between host names.
func (n *MemNet) Host(name string) *MemHost { return &MemHost{name: name, net: n} }

// Block refuses new connections between two hosts, in both directions, and closes the
// open ones.
func (n *MemNet) Block(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = true
	n.blocked[[2]string{b, a}] = true
	for c := range n.conns {
		if c.connects(a, b) {
			c.closeBoth()
		}
	}
}

// Unblock reverts Block.
func (n *MemNet) Unblock(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, [2]string{a, b})
	delete(n.blocked, [2]string{b, a})
}

// BlockOneWay refuses new connections from one host to another and closes the open
// ones that the first host opened, as a packet filter does. The other host can still
// open connections.
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

// UnblockOneWay reverts BlockOneWay.
func (n *MemNet) UnblockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, [2]string{from, to})
}

// DropOneWay drops all data from one host to another, while the other direction works.
// Open connections stay open and lose all later bytes of that direction permanently.
// No new connection between the two hosts can be established by either side, because
// the handshake needs both directions: dialing blocks until its context ends or
// connectTimeout has passed.
func (n *MemNet) DropOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropping[[2]string{from, to}] = true
	for c := range n.conns {
		if c.localHost == from && c.connects(from, to) {
			c.startDropping()
		}
	}
}

// UndropOneWay reverts DropOneWay for new connections. Connections that were open stay
// affected.
func (n *MemNet) UndropOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dropping, [2]string{from, to})
}

// Blackhole makes the open connections between two hosts drop all bytes permanently,
// while new connections work.
func (n *MemNet) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.connects(a, b) {
			c.blackhole()
		}
	}
}

// MemHost is the network as seen from one host. It implements network.Network.
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
	l, conn, serverConn, err := h.connect(address)
	if errors.Is(err, errHandshakeLost) {
		return nil, h.net.awaitConnectTimeout(ctx, address)
	}
	if err != nil {
		return nil, err
	}
	select {
	case l.accept <- serverConn:
		return conn, nil
	case <-l.closed:
		return nil, refusedError(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// awaitConnectTimeout blocks until a connection attempt without a response fails, and
// returns its error: that of ctx, ETIMEDOUT after connectTimeout, or net.ErrClosed after
// CloseAll.
func (n *MemNet) awaitConnectTimeout(ctx context.Context, address string) error {
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

// errHandshakeLost reports that packets are dropped in at least one direction between
// two hosts.
var errHandshakeLost = errors.New("handshake is lost")

func refusedError(address string) error {
	return fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
}

// connect creates a connection to the listener at an address and returns the listener and
// the ends of the client and the server. It returns ECONNREFUSED without a listener,
// EHOSTUNREACH if the direction is blocked, and errHandshakeLost if packets are
// dropped in either direction.
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
	if n.dropping[[2]string{h.name, l.host.name}] || n.dropping[[2]string{l.host.name, h.name}] {
		return nil, nil, nil, errHandshakeLost
	}
	clientEnd, serverEnd := net.Pipe()
	blackholed := make(chan struct{})
	blackholeOnce := &sync.Once{}
	hosts := [2]string{h.name, l.host.name}
	client := newMemConn(n, clientEnd, serverEnd, hosts, blackholed, blackholeOnce)
	server := newMemConn(n, serverEnd, clientEnd, hosts, blackholed, blackholeOnce)
	client.localHost, server.localHost = h.name, l.host.name
	client.sent, server.sent = n.sentLocked(h.name), n.sentLocked(l.host.name)
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return l, client, server, nil
}

// sendBufferSize is the number of bytes that an unresponsive connection accepts before
// writes block, as with a TCP send buffer.
const sendBufferSize = 4 << 10

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	remoteConn net.Conn
	net        *MemNet
	// hosts holds the host that opened the connection and then the one that accepted
	// it. localHost is the host of this end.
	hosts     [2]string
	localHost string
	// blackholed is closed when the connection starts to drop all bytes. Both ends
	// share it.
	blackholed    chan struct{}
	blackholeOnce *sync.Once
	// dropWrites is set when the bytes written at this end are dropped.
	dropWrites atomic.Bool
	sent       *Traffic
	// sink replaces Conn for reads and blocked writes once the connection drops bytes.
	// Its other end is never used, so that they block until their deadline.
	sink net.Conn

	// mu guards buffered, the number of bytes accepted since writes are dropped.
	mu       sync.Mutex
	buffered int
}

func newMemConn(n *MemNet, local, remote net.Conn, hosts [2]string, blackholed chan struct{}, blackholeOnce *sync.Once) *memConn {
	sink, _ := net.Pipe()
	return &memConn{Conn: local, remoteConn: remote, net: n, hosts: hosts, blackholed: blackholed, blackholeOnce: blackholeOnce, sink: sink}
}

// connects reports whether the connection is between two hosts, in either order.
func (c *memConn) connects(a, b string) bool {
	return c.hosts == [2]string{a, b} || c.hosts == [2]string{b, a}
}

// remoteHost returns the host of the other end.
func (c *memConn) remoteHost() string {
	if c.localHost == c.hosts[0] {
		return c.hosts[1]
	}
	return c.hosts[0]
}

func (c *memConn) blackhole() { c.blackholeOnce.Do(func() { close(c.blackholed) }) }

func (c *memConn) startDropping() { c.dropWrites.Store(true) }

// closeBoth closes both ends of the connection.
func (c *memConn) closeBoth() {
	// Closing an end of a pipe never fails.
	_ = c.Conn.Close()
	_ = c.remoteConn.Close()
	_ = c.sink.Close()
}

func (c *memConn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read blocks until its deadline or Close if the connection is blackholed.
func (c *memConn) Read(p []byte) (int, error) {
	if c.isBlackholed() {
		return c.sink.Read(p)
	}
	return c.Conn.Read(p)
}

// Write drops the bytes if the connection is blackholed or this direction is dropped.
// In both cases it blocks until its deadline or Close once the send buffer is full.
func (c *memConn) Write(p []byte) (int, error) {
	c.sent.Bytes.Add(int64(len(p)))
	c.sent.Writes.Add(1)
	if f := c.net.observer.Load(); f != nil {
		(*f)(c.localHost, c.remoteHost(), p)
	}
	if !c.isBlackholed() && !c.dropWrites.Load() {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	full := c.buffered+len(p) > sendBufferSize
	if !full {
		c.buffered += len(p)
	}
	c.mu.Unlock()
	if full {
		return c.sink.Write(p)
	}
	return len(p), nil
}

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(t time.Time) error {
	return errors.Join(c.sink.SetDeadline(t), c.Conn.SetDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *memConn) SetReadDeadline(t time.Time) error {
	return errors.Join(c.sink.SetReadDeadline(t), c.Conn.SetReadDeadline(t))
}

// SetWriteDeadline implements net.Conn.
func (c *memConn) SetWriteDeadline(t time.Time) error {
	return errors.Join(c.sink.SetWriteDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Close closes this end. The remote end is not notified if the connection is
// blackholed or this direction is dropped.
func (c *memConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	if c.isBlackholed() || c.dropWrites.Load() {
		return errors.Join(c.sink.Close(), c.Conn.SetDeadline(pastDeadline))
	}
	return errors.Join(c.sink.Close(), c.Conn.Close())
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

// pastDeadline makes pending and later reads and writes fail at once on the closed end
// of a connection that drops bytes.
var pastDeadline = time.Unix(1, 0)

// CloseAll closes every connection and listener and aborts pending connection
// attempts. It must be called only once.
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
		// Closing a memListener never fails.
		_ = l.Close()
	}
	for _, c := range conns {
		c.closeBoth()
	}
}

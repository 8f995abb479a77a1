// Package peer implements calls between daemons, and from bergamotctl to a daemon. They
// use jsonrpc2 over one TCP connection per client and server.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 5 * time.Second

// Dialer creates one client, and thus one connection, per address. It is safe for
// concurrent use.
type Dialer struct {
	network network.Network
	traffic *Traffic

	mu      sync.Mutex
	clients map[string]*Client
}

// NewDialer returns a Dialer that opens connections through nw.
func NewDialer(nw network.Network) *Dialer { return NewCountingDialer(nw, nil) }

// NewCountingDialer returns a Dialer whose calls are counted in t, which may be nil.
func NewCountingDialer(nw network.Network, t *Traffic) *Dialer {
	return &Dialer{network: nw, traffic: t, clients: map[string]*Client{}}
}

// Dial returns the client of the daemon at address. It has the signature of
// port.PeerDialer. The connection is opened by the first call.
func (d *Dialer) Dial(address string) port.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[address]
	if !ok {
		c = &Client{address: address, network: d.network, traffic: d.traffic, dialSlot: make(chan struct{}, 1)}
		d.clients[address] = c
	}
	return c
}

// Close closes the connections of all clients.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients {
		c.reset(nil)
	}
}

// Client sends calls to one daemon. It implements port.Peer.
type Client struct {
	address string
	network network.Network
	traffic *Traffic
	// dialSlot holds a token while a connection is opened. It is a channel rather than
	// a mutex, so that a call that waits for it returns when its context is done.
	dialSlot chan struct{}

	// mu guards conn, which is nil before the first call and after a failure, and replacing, which is nil unless it is being
	// found out whether conn has to be replaced, and is closed when that is known.
	mu        sync.Mutex
	conn      *clientConn
	replacing chan struct{}
}

// clientConn is an open connection of a Client.
type clientConn struct {
	*jsonrpc2.Conn
	raw *bufferedConn
}

// Call implements port.Peer. If the connection fails, the next call opens a new one. A call that gets no response in
// time leaves the connection open, on which other responses may be on their way, unless it turns out to be
// permanently unresponsive; see replaceIfSilent.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		c.traffic.countCall(err, false)
		return trace.Wrap(err)
	}
	began := time.Now()
	err = conn.Call(ctx, method, params, result)
	c.traffic.countCall(err, true)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil || errors.As(err, &rpcErr) || errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded):
		c.replaceIfSilent(conn, began)
	default:
		c.reset(conn)
	}
	return trace.Wrap(err)
}

// connect returns the open connection, or opens one. Only one call opens a connection at
// a time.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	c.awaitReplacement(ctx)
	if conn := c.current(); conn != nil {
		return conn, nil
	}
	select {
	case c.dialSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.dialSlot }()
	if conn := c.current(); conn != nil {
		return conn, nil
	}
	raw, err := c.network.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	conn := c.open(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
}

func (c *Client) open(raw net.Conn) *clientConn {
	c.traffic.countOpened()
	buffered := newBufferedConn(raw)
	return &clientConn{Conn: newConn(buffered, rejectCalls, c.traffic), raw: buffered}
}

const (
	// replaceTimeout bounds the opening of a connection that may replace an unresponsive one.
	replaceTimeout = 2 * time.Second
	// replaceWait is how long calls wait for it. On a slow path they go on over the present connection.
	replaceWait = 100 * time.Millisecond
)

// awaitReplacement waits while it is being found out whether the connection has to be replaced, for replaceWait at most.
func (c *Client) awaitReplacement(ctx context.Context) {
	c.mu.Lock()
	replacing := c.replacing
	c.mu.Unlock()
	if replacing == nil {
		return
	}
	timer := time.NewTimer(replaceWait)
	defer timer.Stop()
	select {
	case <-replacing:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// replaceIfSilent replaces a connection on which nothing was received since a call began that got no response. The
// connection may be permanently unresponsive, or the path to the peer slow. In the latter case a handshake that begins now
// ends after the response has arrived, so that the connection is replaced only if a new one opens before anything is received on it.
func (c *Client) replaceIfSilent(conn *clientConn, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn || c.replacing != nil || conn.raw.receivedSince(since) {
		return
	}
	c.replacing = make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
		defer cancel()
		raw, err := c.network.DialContext(ctx, "tcp", c.address)
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.replacing)
		c.replacing = nil
		if err != nil {
			return
		}
		if c.conn != conn || conn.raw.receivedSince(since) {
			// The close error of an unused connection is irrelevant.
			_ = raw.Close()
			return
		}
		c.conn = c.open(raw)
		c.traffic.countGivenUp()
		_ = conn.Close()
	}()
}

// current returns the connection if it is open, or nil.
func (c *Client) current() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	select {
	case <-c.conn.DisconnectNotify():
		return nil
	default:
		return c.conn
	}
}

// reset closes the current connection if it is conn or conn is nil.
func (c *Client) reset(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || (conn != nil && c.conn != conn) {
		return
	}
	c.traffic.countGivenUp()
	// The connection is no longer used, so its close error is irrelevant.
	_ = c.conn.Close()
	c.conn = nil
}

// newConn starts jsonrpc2 on a connection. Incoming calls are passed to handle, each in a
// separate goroutine. The connection is counted in t, which may be nil.
func newConn(raw *bufferedConn, handle handlerFunc, t *Traffic) *jsonrpc2.Conn {
	var conn net.Conn = raw
	var options []jsonrpc2.ConnOpt
	if t != nil {
		counted := &countedConn{Conn: conn, traffic: t}
		conn, options = counted, append(options, jsonrpc2.OnSend(counted.noteKind))
	}
	stream := jsonrpc2.NewPlainObjectStream(conn)
	handler := jsonrpc2.HandlerWithError(handle).SuppressErrClosed()
	// Without this the library logs responses that arrive after their call was cancelled.
	options = append(options, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	return jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(handler), options...)
}

// handlerFunc handles an incoming call.
type handlerFunc = func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error)

// rejectCalls is the handlerFunc of clients, which serve no methods.
func rejectCalls(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, methodNotFound(req.Method)
}

func methodNotFound(method string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + method}
}

// Server serves calls from peers and operators.
type Server struct {
	handlers map[string]port.PeerHandler
	traffic  *Traffic

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a Server whose handlers are keyed by method name.
func NewServer(handlers map[string]port.PeerHandler) *Server { return NewCountingServer(handlers, nil) }

// NewCountingServer returns a Server whose connections are counted in t, which may be nil.
func NewCountingServer(handlers map[string]port.PeerHandler, t *Traffic) *Server {
	return &Server{handlers: handlers, traffic: t, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// acceptRetryDelay is the delay before a server tries again to accept a connection after
// an error, for example when no file descriptors are left.
const acceptRetryDelay = 100 * time.Millisecond

// Serve accepts connections until the listener is closed. After other errors of the
// listener it continues, because a server that stopped would permanently disconnect its
// daemon from its peers.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		conn := newConn(newBufferedConn(raw), s.handle, s.traffic)
		s.track(conn)
	}
}

// track records an accepted connection until it is closed.
func (s *Server) track(conn *jsonrpc2.Conn) {
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

// Close closes all accepted connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		// The connection is closed even if Close returns an error.
		_ = conn.Close()
	}
}

// handle passes a call to the handler of its method.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	handler, ok := s.handlers[req.Method]
	if !ok {
		return nil, methodNotFound(req.Method)
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return handler(ctx, params)
}

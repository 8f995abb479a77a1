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

	// mu guards conn, which is nil before the first call and after a failure.
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// Call implements port.Peer. After a failure other than an error response it closes the
// connection, so that the next call opens a new one: the connection may be open but
// permanently unresponsive.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		c.traffic.countCall(err, false)
		return trace.Wrap(err)
	}
	err = conn.Call(ctx, method, params, result)
	c.traffic.countCall(err, true)
	var rpcErr *jsonrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) {
		c.reset(conn)
	}
	return trace.Wrap(err)
}

// connect returns the open connection, or opens one. Only one call opens a connection at
// a time.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
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
	c.traffic.countOpened()
	conn := newConn(raw, rejectCalls, c.traffic)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
}

// current returns the connection if it is open, or nil.
func (c *Client) current() *jsonrpc2.Conn {
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
func (c *Client) reset(conn *jsonrpc2.Conn) {
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
func newConn(raw net.Conn, handle handlerFunc, t *Traffic) *jsonrpc2.Conn {
	var conn net.Conn = newBufferedConn(raw)
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
		conn := newConn(raw, s.handle, s.traffic)
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

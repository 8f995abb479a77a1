// Package peer carries calls between daemons, and from bergamotctl to a daemon,
// as jsonrpc2 over one TCP connection per pair.
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

// Dialer creates clients and keeps one connection per address. It is safe for
// concurrent use.
type Dialer struct {
	network network.Network

	mu      sync.Mutex
	clients map[string]*Client
}

// NewDialer returns a Dialer.
func NewDialer(nw network.Network) *Dialer {
	return &Dialer{network: nw, clients: map[string]*Client{}}
}

// Dial implements port.PeerDialer. The connection is opened by the first call.
func (d *Dialer) Dial(address string) port.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[address]
	if !ok {
		c = &Client{address: address, network: d.network, dialSlot: make(chan struct{}, 1)}
		d.clients[address] = c
	}
	return c
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients {
		c.reset(nil)
	}
}

// Client calls one daemon. It implements port.Peer.
type Client struct {
	address string
	network network.Network
	// dialSlot holds a token while a connection is opened. It is a channel so that
	// a call that waits for it ends with its context.
	dialSlot chan struct{}

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// Call implements port.Peer. After a failure other than an error answer the
// connection is closed, so that the next call opens a new one: an open connection
// may have gone silent for good.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) {
		c.reset(conn)
	}
	return trace.Wrap(err)
}

// connect returns the open connection or opens one.
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
	conn := newConn(raw, rejectCalls)
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

// reset closes the connection if it is still conn, or whatever it is when conn
// is nil.
func (c *Client) reset(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || (conn != nil && c.conn != conn) {
		return
	}
	// The connection is given up; its close error changes nothing.
	_ = c.conn.Close()
	c.conn = nil
}

func newConn(raw net.Conn, handle handlerFunc) *jsonrpc2.Conn {
	stream := jsonrpc2.NewPlainObjectStream(newBufferedConn(raw))
	handler := jsonrpc2.HandlerWithError(handle).SuppressErrClosed()
	// The library logs answers that come after their call was given up.
	noLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(handler), noLog)
}

type handlerFunc = func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error)

func rejectCalls(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, methodNotFound(req.Method)
}

func methodNotFound(method string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + method}
}

// Server answers calls on a listener.
type Server struct {
	handlers map[string]port.PeerHandler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a Server for the given methods.
func NewServer(handlers map[string]port.PeerHandler) *Server {
	return &Server{handlers: handlers, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// acceptRetryDelay is how long a server pauses that can not accept a connection, as when no
// descriptor is left.
const acceptRetryDelay = 100 * time.Millisecond

// Serve accepts connections until the listener is closed. Other errors of the listener
// pass: a server that stopped would cut its daemon off from the others for good.
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
		conn := newConn(raw, s.handle)
		s.track(conn)
	}
}

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
		// The peer sees the connection end either way.
		_ = conn.Close()
	}
}

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

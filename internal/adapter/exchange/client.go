// Package exchange sends HTTP/1.1 requests over pooled connections. Each request is
// written at most once: repeating it is a decision of the caller.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// defaultKeepAlive is how long an idle connection is kept when the server states
	// no timeout of its own.
	defaultKeepAlive = 3 * time.Second
	// keepAliveMargin is taken off a stated timeout, so that a request does not cross
	// the server's close.
	keepAliveMargin = time.Second
	// maxStrayResponses bounds the responses to earlier requests that are skipped.
	maxStrayResponses = 2
	// inlineBody is the size up to which a body is written before the response is
	// read. Longer ones may be answered before they were read.
	inlineBody = 16 << 10
	// readBuffer is the size of a connection's read buffer, which holds a usual head.
	readBuffer = 4 << 10
)

// ErrTooManyResponses reports a connection that carries only responses to other
// requests.
var ErrTooManyResponses = errors.New("connection carries responses to other requests")

// Request is one HTTP request with a complete body.
type Request struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   []byte
	// MaxIdle limits how long a reused connection may have been idle; 0 asks for a
	// new connection.
	MaxIdle time.Duration
	// Matches tells whether a response belongs to the request; nil accepts all. A
	// response that does not is skipped. First is set for the first response on a
	// connection, which can belong to no earlier request.
	Matches func(first bool, header http.Header) bool
}

// Response is the answer to a Request.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only at the end of a complete body. Closing it early closes
	// the connection.
	Body io.ReadCloser
}

// Client sends requests and pools connections by address. It is safe for concurrent
// use.
type Client struct {
	network network.Network
	// connectTimeout bounds the opening of a connection; 0 leaves it to the network.
	connectTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client whose connections are opened by nw, each within a time
// limit if that is above 0.
func NewClient(nw network.Network, connectTimeout time.Duration) *Client {
	return &Client{network: nw, connectTimeout: connectTimeout, idle: map[string][]*conn{}}
}

type conn struct {
	*boundedConn
	address string
	reader  *bufio.Reader
	reused  bool
	// keepAlive is how long the server keeps the connection idle.
	keepAlive time.Duration
	idleSince time.Time
}

// Do sends a request and reads the head of its response. port.ErrNotSent means that
// no byte was written, port.ErrSpoiled that the response is not HTTP. The context also
// bounds the reading of the body.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	cn, err := c.connect(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", port.ErrNotSent, err)
	}
	x := &transfer{client: c, conn: cn, request: &r}
	x.stopWatch = context.AfterFunc(ctx, func() { cn.Close() })
	response, err := x.run()
	if err != nil {
		x.abort()
		if ctx.Err() != nil && !errors.Is(err, port.ErrNotSent) {
			err = errors.Join(err, ctx.Err())
		}
		return nil, err
	}
	return response, nil
}

// connect returns an idle connection that is proved open, or a new one.
func (c *Client) connect(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for maxIdle > 0 {
		cn := c.takeIdle(address, maxIdle)
		if cn == nil {
			break
		}
		if quiet(cn.Conn) {
			return cn, nil
		}
		cn.Close()
	}
	if c.connectTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.connectTimeout)
		defer cancel()
	}
	raw, err := c.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := &boundedConn{Conn: raw, left: -1}
	return &conn{boundedConn: bounded, address: address, reader: bufio.NewReaderSize(bounded, readBuffer)}, nil
}

// takeIdle returns the connection that was used last, and closes those that are too
// old for any request.
func (c *Client) takeIdle(address string, maxIdle time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for len(list) > 0 {
		cn := list[len(list)-1]
		age := time.Since(cn.idleSince)
		if age < cn.keepAlive && age >= maxIdle {
			return nil
		}
		list = list[:len(list)-1]
		c.idle[address] = list
		if age < cn.keepAlive {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
	delete(c.idle, address)
	return nil
}

func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	for len(list) > 0 && time.Since(list[0].idleSince) >= list[0].keepAlive {
		list[0].Close()
		list = list[1:]
	}
	c.idle[cn.address] = append(list, cn)
}

// Retain closes idle connections to addresses that keep rejects.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		if keep(address) {
			continue
		}
		for _, cn := range list {
			cn.Close()
		}
		delete(c.idle, address)
	}
}

// transfer is one request on its connection.
type transfer struct {
	client    *Client
	conn      *conn
	request   *Request
	stopWatch func() bool
	// written is closed when the request was written or writing failed.
	written  chan struct{}
	writeErr error
	wrote    int
	stray    bool
}

func (x *transfer) run() (*Response, error) {
	x.write()
	response, err := x.readHead()
	if err != nil {
		if x.failedBeforeSending() {
			return nil, fmt.Errorf("%w: %w", port.ErrNotSent, x.writeErr)
		}
		return nil, err
	}
	b := &body{transfer: x, response: response, reusable: x.reusable(response)}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: b}, nil
}

// write sends the request. A long body is sent in the background, because the server
// may answer before it has read all of it.
func (x *transfer) write() {
	head := x.request.head()
	x.written = make(chan struct{})
	send := func() {
		defer close(x.written)
		x.wrote, x.writeErr = x.conn.Write(head)
	}
	if len(x.request.Body) <= inlineBody {
		send()
		return
	}
	go send()
}

func (x *transfer) failedBeforeSending() bool {
	select {
	case <-x.written:
		return x.writeErr != nil && x.wrote == 0
	default:
		return false
	}
}

// readHead reads responses until one belongs to the request.
func (x *transfer) readHead() (*http.Response, error) {
	asked := &http.Request{Method: x.request.Method}
	for range maxStrayResponses + 1 {
		x.conn.bound(network.MaxHeadBytes)
		response, err := http.ReadResponse(x.conn.reader, asked)
		if err != nil {
			return nil, classifyReadError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.request.Matches == nil || x.request.Matches(!x.conn.reused && !x.stray, response.Header) {
			x.conn.bound(-1)
			return response, nil
		}
		x.stray = true
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, port.ErrInvalidResponse
		}
		x.conn.bound(maxStrayBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("stray response: %w", classifyReadError(err))
		}
	}
	return nil, fmt.Errorf("%w: %w", port.ErrInvalidResponse, ErrTooManyResponses)
}

// classifyReadError tells a lost connection from bytes that are not HTTP.
func classifyReadError(err error) error {
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %w", port.ErrInvalidResponse, err)
}

// reusable tells whether the connection can carry another request after response.
func (x *transfer) reusable(response *http.Response) bool {
	select {
	case <-x.written:
	default:
		return false
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return x.writeErr == nil && !x.stray && !response.Close && framed
}

// abort closes the connection.
func (x *transfer) abort() {
	x.stopWatch()
	x.conn.Close()
}

// finish ends a transfer whose body was read completely.
func (x *transfer) finish(reusable bool, header http.Header) {
	stopped := x.stopWatch()
	if !reusable || !stopped || x.conn.reader.Buffered() > 0 {
		x.conn.Close()
		return
	}
	x.conn.keepAlive = keepAliveOf(header)
	x.client.putIdle(x.conn)
}

// keepAliveOf returns how long a connection may be idle after a response.
func keepAliveOf(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			break
		}
		return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
	}
	return defaultKeepAlive
}

// head returns the request with its body as it is sent.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writing to a buffer cannot fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Package exchange sends HTTP/1.1 requests over pooled connections. Each request is
// written at most once; the caller decides whether to repeat it.
package exchange

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/patience"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// defaultKeepAlive is how long an idle connection is kept when the server sends no
	// timeout in a Keep-Alive header.
	defaultKeepAlive = 3 * time.Second
	// keepAliveMargin is subtracted from the server's timeout, so that a request is not
	// sent while the server closes the connection.
	keepAliveMargin = time.Second
	// maxStrayResponses bounds the number of responses that are skipped before the
	// response to a request: interim responses and responses to earlier requests.
	maxStrayResponses = 2
	// maxInlineBody is the size in bytes up to which a body is written before the
	// response is read. Longer bodies are written concurrently, because the server may
	// respond before it has read them.
	maxInlineBody = 16 << 10
	// readBufferSize is the size of a connection's read buffer in bytes. It is sufficient
	// for usual response headers.
	readBufferSize = 4 << 10
)

// errUnwanted reports a request that was not sent because nobody waits for it any more.
var errUnwanted = errors.New("request is not wanted any more")

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
	// MaxIdle limits how long a reused connection may have been idle; 0 requires a new
	// connection.
	MaxIdle time.Duration
	// Wanted reports whether the request is still to be sent. It is called immediately before it is written, unless it is nil.
	Wanted func() bool
	// Opened is called before the request is written on a new connection, if no other one to the address is open. An error prevents
	// that. It may be nil.
	Opened func(ctx context.Context) error
	// Matches reports whether a response belongs to the request; nil accepts every
	// response. Other responses are skipped. first is set for the first response on a
	// connection, which cannot belong to an earlier request.
	Matches func(first bool, header http.Header) bool
	// Dialed is called after the opening of a connection was tried, unless it is nil. began is when the
	// attempt began; err is nil if the connection was opened.
	Dialed func(began time.Time, err error)
}

// Response is the response to a Request.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only at the end of a complete body. Closing it early closes
	// the connection.
	Body io.ReadCloser
	// Framed is set if the response has a length or is sent in chunks. Otherwise the body
	// ends with its connection, if its server then still runs.
	Framed bool
}

// Client sends requests and pools connections by address. It is safe for concurrent
// use.
type Client struct {
	network network.Network
	// connectLimit bounds the opening of a connection; with 0 only the network's own
	// timeout applies.
	connectLimit *patience.Limit

	mu sync.Mutex
	// idle holds the idle connections by address, the least recently used one first.
	// It is guarded by mu.
	idle map[string][]*conn
	// counts counts the open connections.
	counts connCounts
	// memory is the budget for response heads of many lines; nil if they are not limited.
	memory *memory.Budget
	// sent and received count the bytes of all connections.
	sent, received atomic.Int64
}

// Bytes counts the bytes that a client has sent and received.
type Bytes struct {
	Sent     int64 `json:"sent_bytes"`
	Received int64 `json:"received_bytes"`
}

// Bytes returns the bytes of all connections since the start, without those of the transport.
func (c *Client) Bytes() Bytes { return Bytes{Sent: c.sent.Load(), Received: c.received.Load()} }

// SetBudget lets response heads draw on the budget b. It must be called before the first request.
func (c *Client) SetBudget(b *memory.Budget) { c.memory = b }

// NewClient returns a client that opens connections through nw. If connectTimeout is
// above 0, it bounds the opening of each connection.
func NewClient(nw network.Network, connectTimeout time.Duration) *Client {
	return &Client{network: nw, connectLimit: patience.New(connectTimeout, connectTimeout), idle: map[string][]*conn{}, counts: connCounts{open: map[string]int{}}}
}

// AdaptConnectTimeout lets the opening of connections take longer, up to most, after some that took too long. It suits a client
// of one system that nothing replaces, and must be called before the first request.
func (c *Client) AdaptConnectTimeout(most time.Duration) {
	c.connectLimit = patience.New(c.connectLimit.Current(), most)
}

// conn is a connection with its read buffer.
type conn struct {
	*boundedConn
	address string
	reader  *bufio.Reader
	reused  bool
	// keepAlive is how long the connection may be idle before the server may close it.
	keepAlive time.Duration
	idleSince time.Time
	// closed is called when the connection is closed for the first time.
	closed    func()
	closeOnce sync.Once
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	cn.closeOnce.Do(cn.closed)
	return cn.boundedConn.Close()
}

// Do sends a request and reads the status line and headers of its response.
// port.ErrNotSent means that no byte was written, port.ErrInvalidResponse that the
// response is not valid HTTP or exceeds a limit, or that only responses to other requests
// arrived, port.ErrResponseMemory that its head does not fit into the memory. ctx also bounds the reading of the body. The caller must read the body to its
// end or close it.
func (c *Client) Do(ctx context.Context, address string, r Request) (*Response, error) {
	cn, err := c.connect(ctx, address, &r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", port.ErrNotSent, err)
	}
	if ctx.Err() != nil || r.Wanted != nil && !r.Wanted() {
		c.keep(cn)
		return nil, fmt.Errorf("%w: %w", port.ErrNotSent, cmp.Or(ctx.Err(), errUnwanted))
	}
	if r.Opened != nil && !cn.reused && c.counts.only(address) {
		if err := r.Opened(ctx); err != nil {
			c.keep(cn)
			return nil, fmt.Errorf("%w: %w", port.ErrNotSent, err)
		}
	}
	x := &transfer{ctx: ctx, client: c, conn: cn, request: &r}
	x.stopContextWatch = context.AfterFunc(ctx, func() { cn.Close() })
	response, err := x.roundTrip()
	if err != nil {
		x.abort()
		if ctx.Err() != nil && !errors.Is(err, port.ErrNotSent) {
			err = errors.Join(err, ctx.Err())
		}
		return nil, err
	}
	return response, nil
}

// Open opens a connection and adds it to the idle ones. dialed is called like Request.Dialed.
func (c *Client) Open(ctx context.Context, address string, dialed func(began time.Time, err error)) error {
	cn, err := c.dial(ctx, address, dialed)
	if err != nil {
		return fmt.Errorf("%w: %w", port.ErrNotSent, err)
	}
	c.keep(cn)
	return nil
}

// keep adds a connection that was not used to the idle ones.
func (c *Client) keep(cn *conn) {
	if cn.keepAlive == 0 {
		cn.keepAlive = defaultKeepAlive
	}
	c.putIdle(cn)
}

// connect returns an idle connection that is verified to be open, or a new one.
func (c *Client) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	if cn := c.takeQuiet(address, r.MaxIdle); cn != nil {
		return cn, nil
	}
	return c.dial(ctx, address, r.Dialed)
}

// takeQuiet returns an idle connection that is verified to be open, or nil if there is none that has been idle for less than
// maxIdle.
func (c *Client) takeQuiet(address string, maxIdle time.Duration) *conn {
	for maxIdle > 0 {
		cn := c.takeIdle(address, maxIdle)
		// A connection on which the server has sent data or closed its side cannot be reused.
		if cn == nil || network.Quiet(cn.Conn) {
			return cn
		}
		cn.Close()
	}
	return nil
}

// dial opens a connection if the limit allows another one, or in place of an idle one.
func (c *Client) dial(ctx context.Context, address string, dialed func(began time.Time, err error)) (*conn, error) {
	for !c.counts.add(address) {
		if !c.closeIdle(address) {
			return nil, port.ErrConnectionLimit
		}
	}
	return c.openCounted(ctx, address, dialed)
}

// openCounted opens a connection that is counted already. It is no longer counted after an error.
func (c *Client) openCounted(ctx context.Context, address string, dialed func(began time.Time, err error)) (*conn, error) {
	if limit := c.connectLimit.Current(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	began := time.Now()
	raw, err := c.network.DialContext(ctx, "tcp", address)
	c.recordConnect(time.Since(began), err)
	if dialed != nil {
		dialed(began, err)
	}
	if err != nil {
		c.counts.remove(address)
		return nil, err
	}
	bounded := &boundedConn{Conn: raw, remaining: -1, memory: c.memory, sent: &c.sent, received: &c.received}
	return &conn{
		boundedConn: bounded, address: address, reader: bufio.NewReaderSize(bounded, readBufferSize),
		closed: func() { c.counts.remove(address) },
	}, nil
}

func (c *Client) recordConnect(took time.Duration, err error) {
	var timeout net.Error
	switch {
	case err == nil:
		c.connectLimit.Answered(took)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.connectLimit.Exceeded(took)
	}
}

// takeIdle removes and returns the most recently used idle connection, or nil if it has
// been idle for maxIdle or longer. It closes connections whose keep-alive time has passed.
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

// putIdle adds a connection to the idle ones and closes those to the same address whose
// keep-alive time has passed.
func (c *Client) putIdle(cn *conn) {
	if c.counts.exceeded(cn.address) {
		cn.Close()
		return
	}
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

// Retain closes idle connections to addresses for which keep returns false.
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

// transfer sends one request and receives its response over a connection.
type transfer struct {
	// ctx is the context of the request.
	ctx              context.Context
	client           *Client
	conn             *conn
	request          *Request
	stopContextWatch func() bool
	// writeDone is closed when the request has been written or writing has failed.
	// writeErr and bytesWritten may be read afterwards.
	writeDone    chan struct{}
	writeErr     error
	bytesWritten int
	skippedStray bool
}

// roundTrip writes the request and reads the head of its response.
func (x *transfer) roundTrip() (*Response, error) {
	x.write()
	response, err := x.readHead()
	if err != nil {
		if x.failedBeforeSending() {
			return nil, fmt.Errorf("%w: %w", port.ErrNotSent, x.writeErr)
		}
		return nil, err
	}
	b := &body{transfer: x, response: response, reusable: x.reusable(response), confirmEnd: func() error { return nil }}
	if !Framed(response) {
		b.confirmEnd = sync.OnceValue(x.confirmEnd)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: b, Framed: Framed(response)}, nil
}

// write writes the request. A request with a long body is written in the background,
// because the server may respond before it has read all of it.
func (x *transfer) write() {
	head := x.request.head()
	x.writeDone = make(chan struct{})
	send := func() {
		defer close(x.writeDone)
		x.bytesWritten, x.writeErr = x.conn.Write(head)
	}
	if len(x.request.Body) <= maxInlineBody {
		send()
		return
	}
	go send()
}

// failedBeforeSending reports whether writing has failed before the first byte.
func (x *transfer) failedBeforeSending() bool {
	select {
	case <-x.writeDone:
		return x.writeErr != nil && x.bytesWritten == 0
	default:
		return false
	}
}

// readHead reads responses until one matches the request. It skips up to
// maxStrayResponses interim responses and responses to earlier requests.
func (x *transfer) readHead() (*http.Response, error) {
	request := &http.Request{Method: x.request.Method}
	for range maxStrayResponses + 1 {
		x.conn.beginHead(network.MaxHeadBytes)
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, classifyReadError(err)
		}
		if isInterim(response) {
			continue
		}
		if err := CheckHead(response); err != nil {
			return nil, err
		}
		if x.request.Matches == nil || x.request.Matches(!x.conn.reused && !x.skippedStray, response.Header) {
			x.conn.limitReads(-1)
			return response, nil
		}
		x.skippedStray = true
		if !Framed(response) {
			return nil, port.ErrInvalidResponse
		}
		x.conn.limitReads(maxStrayBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("stray response: %w", classifyReadError(err))
		}
	}
	return nil, fmt.Errorf("%w: %w", port.ErrInvalidResponse, ErrTooManyResponses)
}

// classifyReadError returns err if the connection was lost or the memory is full, and otherwise wraps it in
// port.ErrInvalidResponse.
func classifyReadError(err error) error {
	var network net.Error
	if errors.Is(err, port.ErrResponseMemory) {
		return err
	}
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %w", port.ErrInvalidResponse, err)
}

// reusable reports whether the connection can be used for another request after response.
func (x *transfer) reusable(response *http.Response) bool {
	select {
	case <-x.writeDone:
	default:
		return false
	}
	return x.writeErr == nil && !x.skippedStray && !response.Close && Framed(response)
}

// Framed reports whether a response states where its body ends.
func Framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// writeFailed ends the writing of the request, whose response has ended, and reports whether it had failed
// before. The kernel reports the reset of a connection only once: after a failed write, reading returns
// io.EOF.
func (x *transfer) writeFailed() bool {
	// An error means that the connection is closed, which the writer reports.
	_ = x.conn.SetWriteDeadline(time.Now())
	<-x.writeDone
	return x.writeErr != nil && !errors.Is(x.writeErr, os.ErrDeadlineExceeded)
}

// abort closes the connection.
func (x *transfer) abort() {
	x.stopContextWatch()
	x.conn.Close()
	x.conn.releaseHead()
}

// finish ends a transfer whose body was read completely. The connection returns to the
// pool if it is reusable and has no unread bytes, and is closed otherwise.
func (x *transfer) finish(reusable bool, header http.Header) {
	stopped := x.stopContextWatch()
	x.conn.releaseHead()
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

// head returns the encoded request, including its body.
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

package clientconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"bergamotsill.example/bergamotsill/internal/memory"
)

const (
	// defaultMaxHeadBytes is the size of the largest request head if no limit is known.
	defaultMaxHeadBytes = 64 << 10
	// maxServerHeadBytes is the limit of net/http, which reads it without synchronization. It only guards against a limit
	// that is set too high.
	maxServerHeadBytes = 1 << 20
)

const (
	// lingerTime bounds how long a connection stays open after a refusal, so that the client can read it while it still
	// sends. Closing a connection with unread bytes resets it.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds the bytes that are read meanwhile.
	lingerBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
)

// errHeadRefused ends the reading of a request head that was refused.
var errHeadRefused = errors.New("request head was refused")

// headSize is the size of a request head, which may include the beginning of what follows it.
type headSize struct{ bytes, lines int64 }

// SetMaxHeadBytes replaces the size of the largest request head, 0 stands for a default. Up to
// memory.ReadAheadBytes more may be read.
func (s *Conns) SetMaxHeadBytes(n int64) {
	if n <= 0 {
		n = defaultMaxHeadBytes
	}
	s.maxHeadBytes.Store(min(n, maxServerHeadBytes))
}

// newRequest returns the memory of the requests on a connection.
func (s *Conns) newRequest(c net.Conn) *memory.Request {
	source := ""
	if address := c.RemoteAddr(); address != nil {
		source, _, _ = net.SplitHostPort(address.String())
	}
	return s.memory.NewRequest(source, func() {
		// An error means that the connection is closed, which the next read reports.
		_ = c.SetReadDeadline(time.Now())
	})
}

// countHead counts bytes of a request head and reserves memory before net/http parses them. Leading empty lines count too. A
// status other than 0 refuses the request. c.mu must be held.
func (c *clientConn) countHead(b []byte) (status int) {
	c.head.bytes += int64(len(b))
	c.head.lines += int64(bytes.Count(b, newline))
	if c.head.bytes > c.conns.maxHeadBytes.Load()+memory.ReadAheadBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.chargeHead(memory.HeadCost(c.head.bytes, c.head.lines)) {
		return http.StatusServiceUnavailable
	}
	if c.charged {
		c.memory.Progress(time.Now(), len(b))
	}
	return 0
}

var newline = []byte("\n")

// chargeHead reserves the memory for the cost of a request head in place of what was reserved for it so far, and reports whether that was
// possible. c.mu must be held.
func (c *clientConn) chargeHead(cost int64) bool {
	cost = max(0, cost-memory.FreeHeadBytes)
	if cost == 0 && !c.charged {
		return true
	}
	c.charged = true
	return c.memory.Grow(time.Now(), memory.Heads, cost)
}

// releaseRequest returns the memory of the request that has ended. c.mu must be held.
func (c *clientConn) releaseRequest() {
	c.head = headSize{}
	if c.charged {
		c.memory.ReleaseAll()
		c.charged = false
	}
}

// endEvicted returns the error that ends the reading of a request that has given way. In its head net/http would not answer.
func (c *clientConn) endEvicted() error {
	c.mu.Lock()
	inRequest := c.inRequest
	c.mu.Unlock()
	if inRequest {
		return os.ErrDeadlineExceeded
	}
	return c.refuseHead(http.StatusServiceUnavailable)
}

// refuseHead answers a request whose head is not taken, and returns the error that ends its connection. net/http does not
// answer it, because it takes it for one of the network. No response is being written, because the requests of a connection
// are served one after another.
func (c *clientConn) refuseHead(status int) error {
	c.mu.Lock()
	first := !c.refused
	c.refused = true
	c.mu.Unlock()
	if first {
		w := &refusalWriter{header: http.Header{}}
		c.conns.refuse(w, status)
		// A client that does not take its answer is closed all the same.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_ = w.response().Write(c.Conn)
		_ = c.CloseWrite()
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
}

// linger reads what a client still sends after a refusal.
func (c *clientConn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	var discarded [512]byte
	for n := 0; n < lingerBytes; {
		read, err := c.Conn.Read(discarded[:])
		if err != nil {
			return
		}
		n += read
	}
}

// refusalWriter is the http.ResponseWriter of a refusal that is written without net/http.
type refusalWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *refusalWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *refusalWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *refusalWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

// response returns what was written.
func (w *refusalWriter) response() *http.Response {
	return &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body),
	}
}

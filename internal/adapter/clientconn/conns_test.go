package clientconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/memory"
)

const (
	wholeRequest = "GET /x HTTP/1.1\r\nHost: site.example\r\n\r\n"
	// quietTime is longer than a retired connection without a request stays open.
	quietTime = 80 * time.Millisecond
	// connTestLimit bounds the wait for an expected answer or close.
	connTestLimit = 5 * time.Second
)

// connServer is an http.Server on tracked connections.
type connServer struct {
	conns    *Conns
	listener net.Listener
	server   *http.Server
}

// newConnServer returns a server that listens and does not serve yet.
func newConnServer(t *testing.T, handler http.HandlerFunc) *connServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &connServer{conns: New(memory.NewBudget(0), func(w http.ResponseWriter, status int) { w.WriteHeader(status) })}
	s.listener = s.conns.Listen(l)
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: connTestLimit, IdleTimeout: time.Minute}
	s.conns.Attach(s.server)
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *connServer) serve() { go func() { _ = s.server.Serve(s.listener) }() }

func (s *connServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(connTestLimit))
	return c, bufio.NewReader(c)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func wantAnswer(t *testing.T, r *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusNoContent {
		t.Fatalf("answer is %v, error %v", response, err)
	}
}

func (s *connServer) wantClosed(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if b, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read %q, error %v, want the end of the connection", b, err)
	}
	for deadline := time.Now().Add(connTestLimit); !s.conns.Ended(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not ended; %d connections are still tracked", s.conns.Count())
		}
	}
}

func answerNothing(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// Guards against connections that stay open after a stop, whether they have carried a request or not.
func TestRetiredConnectionsEnd(t *testing.T) {
	s := newConnServer(t, answerNothing)
	s.serve()
	used, usedReader := s.dial(t)
	write(t, used, wholeRequest)
	wantAnswer(t, usedReader)
	_, freshReader := s.dial(t)
	for deadline := time.Now().Add(connTestLimit); s.conns.Count() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	s.conns.Retire()
	for _, r := range []*bufio.Reader{freshReader, usedReader} {
		s.wantClosed(t, r)
	}
	if c, err := net.Dial("tcp", s.listener.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}

// Guards against a stop that ends a connection on which a part of a request was read.
func TestRetiredConnectionCompletesRequest(t *testing.T) {
	s := newConnServer(t, answerNothing)
	s.serve()
	c, r := s.dial(t)
	write(t, c, wholeRequest)
	wantAnswer(t, r)
	write(t, c, wholeRequest[:10])
	time.Sleep(50 * time.Millisecond)
	s.conns.Retire()
	time.Sleep(quietTime)
	write(t, c, wholeRequest[10:])
	wantAnswer(t, r)
	s.wantClosed(t, r)
}

// Guards against a stop that ends a request in progress, or leaves its connection open afterwards.
func TestRetiredConnectionEndsAfterItsAnswer(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{})
	s := newConnServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-release
		if r.Context().Err() != nil {
			t.Error("the context of the request was cancelled")
		}
		w.WriteHeader(http.StatusNoContent)
	})
	s.serve()
	c, r := s.dial(t)
	write(t, c, wholeRequest)
	<-begun
	s.conns.Retire()
	time.Sleep(quietTime)
	close(release)
	wantAnswer(t, r)
	s.wantClosed(t, r)
}

// Guards against requests in the buffer of a connection whose context is cancelled by the stop.
func TestRetiredConnectionServesPipelinedRequest(t *testing.T) {
	var s *connServer
	s = newConnServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			s.conns.Retire()
		}
		time.Sleep(quietTime)
		if r.Context().Err() != nil {
			t.Errorf("the context of %s was cancelled", r.URL.Path)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	s.serve()
	c, r := s.dial(t)
	write(t, c, wholeRequest+"GET /y HTTP/1.1\r\nHost: site.example\r\n\r\n")
	wantAnswer(t, r)
	wantAnswer(t, r)
	s.wantClosed(t, r)
}

// Guards against connections that the kernel has accepted and that a stop resets with their requests.
func TestRetiredListenerAcceptsWaitingConnections(t *testing.T) {
	s := newConnServer(t, answerNothing)
	c, r := s.dial(t)
	write(t, c, wholeRequest)
	s.conns.Retire()
	s.serve()
	wantAnswer(t, r)
	s.wantClosed(t, r)
}

// Guards against bytes that wait in the socket while an expired deadline hides them.
func TestRetiredConnectionReadsWaitingBytes(t *testing.T) {
	s := newConnServer(t, answerNothing)
	raw := s.listener.(*clientListener).Listener
	client, r := s.dial(t)
	accepted, err := raw.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := s.conns.add(accepted)
	write(t, client, wholeRequest)
	s.conns.Retire()
	go func() { _ = s.server.Serve(&oneConnListener{Listener: s.listener, conn: conn}) }()
	wantAnswer(t, r)
	s.wantClosed(t, r)
}

// oneConnListener accepts one connection and then blocks until it is closed.
type oneConnListener struct {
	net.Listener
	conn net.Conn
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	return l.Listener.Accept()
}

// Guards against a connection that is closed before the request arrives for which it was opened.
func TestRetiredConnectionWaitsForItsFirstRequest(t *testing.T) {
	s := newConnServer(t, answerNothing)
	c, r := s.dial(t)
	s.conns.Retire()
	s.serve()
	time.Sleep(quietTime)
	write(t, c, wholeRequest)
	wantAnswer(t, r)
	s.wantClosed(t, r)
}

// Guards against requests that are sent on although the client has closed its connection, because the goroutine that reads it
// has not had its turn.
func TestLeftSeesAClosedConnectionBeforeItIsRead(t *testing.T) {
	ours, theirs := tcpPair(t)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r = r.WithContext(withConn(r.Context(), &clientConn{Conn: ours}))
	if Left(r) {
		t.Error("the client of an open connection has left")
	}
	if _, err := theirs.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if _, err := ours.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = theirs.Close()
	for deadline := time.Now().Add(10 * time.Second); !Left(r); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the client of a closed connection has not left")
		}
	}
}

// tcpPair returns both ends of a connection over loopback.
func tcpPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if theirs, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if ours, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = ours.Close(), theirs.Close() })
	return ours, theirs
}

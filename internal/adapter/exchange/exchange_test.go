package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// idHeader holds the id of the request that a response belongs to.
const idHeader = "Test-Request-Id"

// testServer counts the connections and requests that it receives and responds to them by
// a function of the test.
type testServer struct {
	listener    net.Listener
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a server that calls handle for each request that it has read. It resets
// the connection when handle returns false.
func serve(t *testing.T, handle func(c net.Conn, r *http.Request) bool) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &testServer{address: l.Addr().String(), listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.run(c.(*net.TCPConn), handle)
		}
	}()
	return s
}

func (s *testServer) run(c *net.TCPConn, handle func(net.Conn, *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if !handle(c, r) {
			// With a linger time of 0 the client receives a reset even if no bytes are unread.
			_ = c.SetLinger(0)
			return
		}
	}
}

func respond(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id string) exchange.Request {
	return exchange.Request{
		Method: http.MethodPost, Host: "host.example", Target: "/a/b?c=d", Header: http.Header{idHeader: {id}},
		Body: []byte("body"), MaxIdle: time.Minute,
		Matches: func(_ bool, h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func do(t *testing.T, c *exchange.Client, address string, r exchange.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := c.Do(ctx, address, r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func newClient() *exchange.Client { return exchange.NewClient(network.TCP{}, time.Second) }

// Guards against the reuse of a connection for a request that requires a new one, and of
// a connection on which data arrived after a response.
func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	cases := []struct {
		name string
		// after is written after the first response.
		after       string
		maxIdle     time.Duration
		connections int64
	}{
		{"framed response", "", time.Minute, 1},
		// Guards against reuse for a request that requires a new connection because the
		// server may close an idle one meanwhile.
		{"new connection required", "", 0, 2},
		// Guards against a second response that is mistaken for the response to the next
		// request.
		{"second response", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", time.Minute, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, r *http.Request) bool {
				respond(conn, r.Header.Get(idHeader), "ok")
				_, err := io.WriteString(conn, c.after)
				return err == nil
			})
			client := newClient()
			for _, id := range []string{"1", "2"} {
				r := request(id)
				r.MaxIdle = c.maxIdle
				if body, err := do(t, client, s.address, r); err != nil || body != "ok" {
					t.Errorf("request %s: body %q, error %v", id, body, err)
				}
				// Bytes after a response may arrive later than the response.
				time.Sleep(20 * time.Millisecond)
			}
			if n := s.connections.Load(); n != c.connections {
				t.Errorf("%d connections were opened, want %d", n, c.connections)
			}
			if n := s.requests.Load(); n != 2 {
				t.Errorf("the server read %d requests, want 2", n)
			}
		})
	}
}

// Guards against a response to an earlier request that is returned as the response to the
// next request on the connection.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		respond(c, "other", "wrong")
		respond(c, r.Header.Get(idHeader), "right")
		return true
	})
	body, err := do(t, newClient(), s.address, request("1"))
	if err != nil || body != "right" {
		t.Errorf("body is %q, error %v, want the second response", body, err)
	}
}

// soundResponse follows bytes that are no answer.
const soundResponse = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 5\r\n\r\nother"

// Guards against incomplete or invalid responses that are returned as complete ones.
func TestBrokenResponses(t *testing.T) {
	cases := []struct {
		name, response string
		reset          bool
		want           string
		invalid        bool
		incomplete     bool
	}{
		// Guards against a response without a length that is rejected as incomplete.
		{name: "no length, closed", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nConnection: close\r\n\r\nbody", want: "body"},
		// Guards against a reset that is mistaken for the end of a response without a
		// length.
		{name: "no length, reset", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nConnection: close\r\n\r\nbody", reset: true, incomplete: true},
		{name: "short body", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nbody", incomplete: true},
		{name: "not HTTP", response: "hello, this is no answer\r\n\r\n", invalid: true},
		// Guards against heads that are no answer and are passed on, or skipped like an interim response so that what
		// follows is taken for the answer.
		{name: "status 000", response: "HTTP/1.1 000 \r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody" + soundResponse, invalid: true},
		{name: "status 099", response: "HTTP/1.1 099 \r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n" + soundResponse, invalid: true},
		{name: "status +20", response: "HTTP/1.1 +20 OK\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n" + soundResponse, invalid: true},
		{name: "status -20", response: "HTTP/1.1 -20 OK\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n", invalid: true},
		{name: "status 600", response: "HTTP/1.1 600 \r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", invalid: true},
		{name: "status 999", response: "HTTP/1.1 999 \r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", invalid: true},
		{name: "two digits", response: "HTTP/1.1 20 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", invalid: true},
		{name: "four digits", response: "HTTP/1.1 2000 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", invalid: true},
		{name: "unasked change of protocol", response: "HTTP/1.1 101 Switching Protocols\r\n" + idHeader + ": 1\r\n\r\n" + soundResponse, invalid: true},
		{name: "other version", response: "HTTP/2.0 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", invalid: true},
		{name: "two lengths", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx", invalid: true},
		{name: "endless interim responses", response: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000), invalid: true},
		{name: "version 1.0", response: "HTTP/1.0 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", want: "body"},
		{name: "no reason", response: "HTTP/1.1 200\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", want: "body"},
		{name: "interim response", response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 4\r\n\r\nbody", want: "body"},
		{name: "nothing", incomplete: true},
		{name: "nothing, reset", reset: true, incomplete: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.response)
				if c.reset {
					// The client must read the bytes first, because a reset discards unread bytes.
					time.Sleep(20 * time.Millisecond)
					return false
				}
				conn.Close()
				return true
			})
			body, err := do(t, newClient(), s.address, request("1"))
			switch {
			case c.invalid && !errors.Is(err, port.ErrInvalidResponse):
				t.Errorf("error is %v, want ErrInvalidResponse", err)
			case c.incomplete && (err == nil || errors.Is(err, port.ErrNotSent)):
				t.Errorf("body is %q, error %v, want an error other than ErrNotSent", body, err)
			case c.want != "" && (err != nil || body != c.want):
				t.Errorf("body is %q, error %v, want %q", body, err, c.want)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("the server read %d requests, want 1", n)
			}
		})
	}
}

// Guards against a request that is reported as possibly sent although no connection
// could be opened.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if _, err := do(t, newClient(), address, request("1")); !errors.Is(err, port.ErrNotSent) {
		t.Errorf("error is %v, want ErrNotSent", err)
	}
}

// Guards against a request that blocks when the server responds before it has read a long
// body, and against the reuse of that connection, on which the rest of the body is pending.
func TestEarlyResponseToALongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	connections := atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					respond(c, r.Header.Get(idHeader), "early")
				}
			}()
		}
	}()
	client := newClient()
	for _, id := range []string{"1", "2"} {
		r := request(id)
		r.Body = []byte(strings.Repeat("x", 8<<20))
		if body, err := do(t, client, l.Addr().String(), r); err != nil || body != "early" {
			t.Errorf("body is %q, error %v", body, err)
		}
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections were opened, want one per request", n)
	}
}

// Guards against a server that continues to run a request after its caller has cancelled it.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient().Do(ctx, s.address, request("1"))
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want one that wraps context.Canceled", err)
	}
	<-closed
}

// Guards against requests that reach a server after their client has left.
func TestUnwantedRequestIsNotSent(t *testing.T) {
	s := serve(t, func(c net.Conn, r *http.Request) bool { respond(c, r.Header.Get(idHeader), "ok"); return true })
	client := newClient()
	if _, err := do(t, client, s.address, request("first")); err != nil {
		t.Fatal(err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	unwanted := request("unwanted")
	unwanted.Wanted = func() bool { return false }
	for range 50 {
		for name, send := range map[string]func() error{
			"context ended": func() error { _, err := client.Do(ended, s.address, request("late")); return err },
			"not wanted":    func() error { _, err := client.Do(t.Context(), s.address, unwanted); return err },
		} {
			if err := send(); !errors.Is(err, port.ErrNotSent) {
				t.Fatalf("%s: error %v, want %v", name, err, port.ErrNotSent)
			}
		}
	}
	if _, err := do(t, client, s.address, request("last")); err != nil {
		t.Fatal(err)
	}
	if requests, connections := s.requests.Load(), s.connections.Load(); requests != 2 || connections != 1 {
		t.Errorf("server received %d requests on %d connections, want the 2 wanted ones on 1", requests, connections)
	}
}

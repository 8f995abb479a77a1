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

// idHeader names the request that a response answers.
const idHeader = "Test-Request-Id"

// scripted is a server that answers the requests of each connection by a script.
type scripted struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// serve starts a server that calls answer for each request that it reads. A connection
// is reset when answer returns false.
func serve(t *testing.T, answer func(c net.Conn, r *http.Request) bool) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scripted{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.run(c.(*net.TCPConn), answer)
		}
	}()
	return s
}

func (s *scripted) run(c *net.TCPConn, answer func(net.Conn, *http.Request) bool) {
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
		if !answer(c, r) {
			// Unread bytes or not, the client sees a reset.
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

func TestConnectionsAreReusedOnlyWhenFit(t *testing.T) {
	cases := []struct {
		name string
		// after is written after the first response.
		after       string
		maxIdle     time.Duration
		connections int64
	}{
		{"framed response", "", time.Minute, 1},
		// Guards against reuse for requests that must not meet the server's close.
		{"new connection asked for", "", 0, 2},
		// Guards against a second response that is taken for the answer to the next request.
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
				// Bytes after a response may arrive a moment later.
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

// Guards against the answer to an earlier request that arrives where the next one is
// expected.
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

func TestBrokenResponses(t *testing.T) {
	cases := []struct {
		name, response string
		reset          bool
		want           string
		spoiled        bool
		incomplete     bool
	}{
		// Guards against an answer without a length that is taken for broken.
		{name: "no length, closed", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nConnection: close\r\n\r\nbody", want: "body"},
		// Guards against a reset that is taken for the end of an answer without a length.
		{name: "no length, reset", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nConnection: close\r\n\r\nbody", reset: true, incomplete: true},
		{name: "short body", response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nbody", incomplete: true},
		{name: "not HTTP", response: "hello, this is no answer\r\n\r\n", spoiled: true},
		{name: "nothing", incomplete: true},
		{name: "nothing, reset", reset: true, incomplete: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.response)
				if c.reset {
					// The client must have read the bytes: a reset discards what was not read.
					time.Sleep(20 * time.Millisecond)
					return false
				}
				conn.Close()
				return true
			})
			body, err := do(t, newClient(), s.address, request("1"))
			switch {
			case c.spoiled && !errors.Is(err, port.ErrInvalidResponse):
				t.Errorf("error is %v, want ErrSpoiled", err)
			case c.incomplete && (err == nil || errors.Is(err, port.ErrNotSent)):
				t.Errorf("body is %q, error %v, want an error that leaves the outcome open", body, err)
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

// Guards against a blocked sender when a server answers before it has read a long body,
// and against the reuse of that connection, on which the rest of the body is due.
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

// Guards against work that goes on after the caller has given up.
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
		t.Errorf("error is %v, want one that names the cancelled context", err)
	}
	<-closed
}

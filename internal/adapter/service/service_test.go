package service_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/service"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const upstreamAddress = "10.2.0.1:7200"

// closingServer responds to requests for the paths "/healthz" and "/warm". It closes the
// connection immediately after it has read any other request, and counts these requests.
type closingServer struct {
	mu             sync.Mutex
	closedRequests int
}

func (s *closingServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *closingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path != "/healthz" && req.URL.Path != "/warm" {
			s.mu.Lock()
			s.closedRequests++
			s.mu.Unlock()
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *closingServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedRequests
}

// Guards against net/http resending a request after a reused connection failed. It does
// so for a request that has an Idempotency-Key header or a method without side effects,
// and that has no body or one that can be rewound.
func TestRequestIsSentOnceWhenIdleConnectionCloses(t *testing.T) {
	clients := map[string]func(context.Context, port.Service, port.ServiceRequest) error{
		"pooled connection": func(ctx context.Context, c port.Service, r port.ServiceRequest) error {
			if _, err := c.Call(ctx, port.ServiceRequest{Method: http.MethodGet, Path: "/warm"}); err != nil {
				return fmt.Errorf("warm up: %w", port.ErrNotSent)
			}
			_, err := c.Call(ctx, r)
			return err
		},
		"dedicated connection": func(ctx context.Context, c port.Service, r port.ServiceRequest) error {
			conn, err := c.Open(ctx)
			if err != nil {
				return fmt.Errorf("open: %w", port.ErrNotSent)
			}
			defer conn.Close()
			_, err = conn.Call(ctx, r)
			return err
		},
	}
	bodies := map[string][]byte{"nil body": nil, "empty body": {}, "body": []byte("delivery 7")}
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"} {
		for bodyName, body := range bodies {
			for clientName, send := range clients {
				t.Run(method+"/"+bodyName+"/"+clientName, func(t *testing.T) {
					withClosingServer(t, func(server *closingServer, client port.Service) {
						r := port.ServiceRequest{Method: method, Path: "/confirm", Body: body,
							Header: http.Header{"Idempotency-Key": {"1-a"}, "X-Idempotency-Key": {"1-a"}}}
						err := send(context.Background(), client, r)
						if err == nil || errors.Is(err, port.ErrNotSent) {
							t.Errorf("error is %v, want one other than ErrNotSent", err)
						}
						if n := server.count(); n != 1 {
							t.Errorf("the service read the request %d times, want once", n)
						}
					})
				})
			}
		}
	}
}

// Guards against replacing a lost connection for a call that must use the connection that
// passed the health check, and against a call that is reported as sent although its
// connection was closed before.
func TestConnectionIsNotReplaced(t *testing.T) {
	withClosingServer(t, func(server *closingServer, client port.Service) {
		conn, err := client.Open(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		_, err = conn.Call(context.Background(), port.ServiceRequest{Method: http.MethodPost, Path: "/confirm"})
		if !errors.Is(err, port.ErrNotSent) || server.count() != 0 {
			t.Errorf("error is %v after %d requests, want ErrNotSent after none", err, server.count())
		}
	})
}

func withClosingServer(t *testing.T, f func(*closingServer, port.Service)) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewMemNet()
		l, err := network.Host("service").Listen(upstreamAddress)
		if err != nil {
			t.Fatal(err)
		}
		server := &closingServer{}
		go server.serve(l)
		f(server, service.NewDialer(network.Host("daemon"))(upstreamAddress))
		network.CloseAll()
		time.Sleep(time.Minute)
	})
}

package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/service"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against a response without a length that counts as whole although its service has ended, or the
// connection was reset while the request was being sent.
func TestEndedServiceCompletesNoResponse(t *testing.T) {
	const attempts = 30
	large := make([]byte, 8<<20)
	cases := []struct {
		name     string
		body     []byte
		end      func(net.Listener, *net.TCPConn)
		complete bool
	}{
		{"service goes on", nil, func(net.Listener, *net.TCPConn) {}, true},
		{"service has ended", nil, func(l net.Listener, _ *net.TCPConn) { _ = l.Close() }, false},
		{"reset", large, func(_ net.Listener, c *net.TCPConn) { _ = c.SetLinger(0) }, false},
	}
	calls := map[string]func(context.Context, port.Service, port.ServiceRequest) (port.ServiceResponse, error){
		"pooled connection": func(ctx context.Context, c port.Service, r port.ServiceRequest) (port.ServiceResponse, error) {
			return c.Call(ctx, r)
		},
		"dedicated connection": func(ctx context.Context, c port.Service, r port.ServiceRequest) (port.ServiceResponse, error) {
			conn, err := c.Open(ctx)
			if err != nil {
				return port.ServiceResponse{}, err
			}
			defer conn.Close()
			return conn.Call(ctx, r)
		},
	}
	for _, c := range cases {
		for name, call := range calls {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				for range attempts {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					go serveUnframed(l, c.end)
					r := port.ServiceRequest{Method: http.MethodPost, Path: "/confirm", Body: c.body}
					response, err := call(t.Context(), service.NewDialer(network.TCP{})(l.Addr().String()), r)
					_ = l.Close()
					if (err == nil) != c.complete || c.complete && string(response.Body) != "begin" {
						t.Fatalf("the response is %q, error %v, want complete %t", response.Body, err, c.complete)
					}
				}
			})
		}
	}
}

// serveUnframed answers health checks. It begins a response without a length to any other request, and calls
// end before it closes the connection.
func serveUnframed(l net.Listener, end func(net.Listener, *net.TCPConn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if strings.HasPrefix(r.URL.Path, "/healthz") {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					continue
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbegin")
				// Give the client time to read the begin: a reset discards unread data.
				time.Sleep(3 * time.Millisecond)
				end(l, conn.(*net.TCPConn))
				return
			}
		}()
	}
}

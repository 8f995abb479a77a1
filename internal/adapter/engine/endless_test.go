package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// countingNetwork counts the bytes read from its connections.
type countingNetwork struct {
	network.TCP
	read *atomic.Int64
}

func (n countingNetwork) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	c, err := n.TCP.DialContext(ctx, protocol, address)
	return countingConn{c, n.read}, err
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endlessServer responds to each request with begin and then with repeat until the client
// closes the connection. It returns its address.
func endlessServer(t *testing.T, begin, repeat string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, begin)
		for err == nil {
			_, err = io.WriteString(c, repeat)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against a faulty engine that fills the memory of a daemon with endless response
// headers or an endless body until the request times out.
func TestEndlessEngineResponsesAreBounded(t *testing.T) {
	const maxBytes = 8 << 20
	cases := []struct{ name, begin, repeat string }{
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("a", 1000) + "\r\n"},
		{"a string", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"incarnation\":\"", strings.Repeat("a", 1000)},
		{"a list", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"models\":[", strings.Repeat("{},", 300)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var read atomic.Int64
			client := engine.NewDialer(engine.Options{Network: countingNetwork{read: &read}, ProgressTimeout: time.Minute, IdleConnTimeout: time.Minute}).Dial(endlessServer(t, c.begin, c.repeat))
			ctx := context.Background()
			calls := map[string]func() error{
				"status":       func() error { _, err := client.Status(ctx); return err },
				"cache events": func() error { _, err := client.CacheEvents(ctx, 0); return err },
				"order": func() error {
					return client.Order(ctx, port.Order{ID: "o1", Kind: port.OrderRaiseFencing, Incarnation: "i1"})
				},
			}
			for name, call := range calls {
				read.Store(0)
				if err := call(); err == nil {
					t.Errorf("%s: an endless response was accepted", name)
				}
				if n := read.Load(); n > maxBytes {
					t.Errorf("%s: %d bytes were read, want at most %d", name, n, maxBytes)
				}
			}
		})
	}
}

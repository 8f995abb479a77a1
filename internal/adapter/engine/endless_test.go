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

// counted is a network that counts the bytes that are read.
type counted struct {
	network.TCP
	read *atomic.Int64
}

func (n counted) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	c, err := n.TCP.DialContext(ctx, protocol, address)
	return countedConn{c, n.read}, err
}

type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endlessServer answers each request with begin and then with repeat, until its caller
// closes.
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

// Guards against an engine in trouble whose bytes without end, in a head or a body, fill the
// memory of a daemon until a call times out.
func TestAnswersOfEnginesWithoutEnd(t *testing.T) {
	const most = 8 << 20
	cases := []struct{ name, begin, repeat string }{
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Fill: " + strings.Repeat("a", 1000) + "\r\n"},
		{"a string", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"incarnation\":\"", strings.Repeat("a", 1000)},
		{"a list", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"models\":[", strings.Repeat("{},", 300)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var read atomic.Int64
			client := engine.NewDialer(engine.Options{Network: counted{read: &read}, ProgressTimeout: time.Minute, IdleConnTimeout: time.Minute}).Dial(endlessServer(t, c.begin, c.repeat))
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
					t.Errorf("%s: an answer without end was accepted", name)
				}
				if n := read.Load(); n > most {
					t.Errorf("%s: %d bytes were read, want at most %d", name, n, most)
				}
			}
		})
	}
}

package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// meter counts the bytes that are read from its connections.
type meter struct {
	network.Network
	read atomic.Int64
}

func (m *meter) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	c, err := m.Network.DialContext(ctx, protocol, address)
	return meteredConn{c, m}, err
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.read.Add(int64(n))
	return n, err
}

// Guards against a server whose bytes without end fill the memory of a daemon until the
// deadline of each request: the connection is closed after a bounded number of bytes.
func TestResponsesWithoutEnd(t *testing.T) {
	const connections, most = 40, 400 << 10
	cases := []struct {
		name, begin, repeat string
	}{
		{"header fields", "HTTP/1.1 200 OK\r\n", "Test-Fill: " + strings.Repeat("a", 100) + "\r\n"},
		{"one header field", "HTTP/1.1 200 OK\r\nTest-Fill: ", strings.Repeat("a", 100)},
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 100)},
		{"bytes that are no response", "", strings.Repeat("\x00", 100)},
		{"empty lines", "", strings.Repeat("\r\n", 50)},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"responses to others", "", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 2\r\n\r\nno"},
		{"a chunked response to another", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\n12345678\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, c.begin)
				for err == nil {
					_, err = io.WriteString(conn, c.repeat)
				}
				return true
			})
			m := &meter{Network: network.TCP{}}
			client := exchange.NewClient(m, time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var group sync.WaitGroup
			for i := range connections {
				group.Go(func() {
					if _, err := client.Do(ctx, s.address, request(fmt.Sprint("r", i))); !errors.Is(err, port.ErrInvalidResponse) {
						t.Errorf("error is %v, want ErrSpoiled", err)
					}
				})
			}
			group.Wait()
			if read := m.read.Load(); read > connections*most {
				t.Errorf("%d bytes were read from %d connections, want at most %d", read, connections, connections*most)
			}
		})
	}
}

package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

// Guards against a reset that counts as the end of a response without a length because the kernel has
// reported it to the writer of the request.
func TestResetDuringARequestCompletesNoResponse(t *testing.T) {
	const attempts, bodyBytes = 40, 8 << 20
	cases := []struct {
		name string
		// end ends the connection after the begin of the response.
		end      func(*net.TCPConn)
		complete bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		{"end of the response only", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbegin")
						// Give the client time to read the begin: a reset discards unread data.
						time.Sleep(5 * time.Millisecond)
						c.end(conn.(*net.TCPConn))
					}()
				}
			}()
			client := exchange.NewClient(network.TCP{}, time.Second)
			for range attempts {
				r := request("r")
				r.Body, r.Matches = make([]byte, bodyBytes), nil
				response, err := client.Do(context.Background(), l.Addr().String(), r)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if (err == nil) != c.complete || string(body) != "begin" {
					t.Fatalf("the body is %q, error %v, want complete %t", body, err, c.complete)
				}
			}
		})
	}
}

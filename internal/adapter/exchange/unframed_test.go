package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

// dialFunc is a network whose connections it opens.
type dialFunc struct {
	network.TCP
	dial func(ctx context.Context, address string) (net.Conn, error)
}

func (n *dialFunc) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return n.dial(ctx, address)
}

// Guards against the begin of a response without a length that counts as the whole, because this process could not find out
// whether the server has ended, and against whole responses that are broken off or leave places of connections taken.
func TestUnconfirmedEndCompletesNoResponse(t *testing.T) {
	dialTCP := func(ctx context.Context, address string) (net.Conn, error) {
		return network.TCP{}.DialContext(ctx, "tcp", address)
	}
	fail := func(err error) func(context.Context, func(), string) (net.Conn, error) {
		return func(context.Context, func(), string) (net.Conn, error) { return nil, err }
	}
	cases := []struct {
		name string
		// ended is set if the server ends with its response.
		ended bool
		// confirm opens the connections after the end of the response; nil opens them as before it.
		confirm  func(ctx context.Context, cancel func(), address string) (net.Conn, error)
		complete bool
	}{
		{"server runs", false, nil, true},
		{"server has ended", true, nil, false},
		{"no descriptor is free", false, fail(&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}), false},
		{"no answer", false, fail(os.ErrDeadlineExceeded), false},
		{"the request ends meanwhile", false, func(ctx context.Context, cancel func(), address string) (net.Conn, error) {
			cancel()
			return dialTCP(ctx, address)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const limit = 3
			began, release := make(chan *net.TCPConn, limit), make(chan struct{})
			defer close(release)
			server := serve(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbegin")
				began <- conn.(*net.TCPConn)
				<-release
				return false
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			dial := &dialFunc{dial: dialTCP}
			client := exchange.NewClient(dial, time.Second)
			client.LimitConnections(func(string) int { return limit })
			// All connections that are allowed are in use when the first response ends.
			var responses []*exchange.Response
			var conns []*net.TCPConn
			for range limit {
				r := request("r")
				r.Matches = nil
				response, err := client.Do(ctx, server.address, r)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				responses, conns = append(responses, response), append(conns, <-began)
			}
			if c.confirm != nil {
				dial.dial = func(ctx context.Context, address string) (net.Conn, error) { return c.confirm(ctx, cancel, address) }
			}
			if c.ended {
				_ = server.listener.Close()
			}
			_ = conns[0].CloseWrite()
			body, err := io.ReadAll(responses[0].Body)
			if (err == nil) != c.complete || err != nil && !errors.Is(err, io.ErrUnexpectedEOF) || string(body) != "begin" {
				t.Errorf("the body is %q, error %v, want complete %t", body, err, c.complete)
			}
			if c.ended {
				return
			}
			dial.dial = dialTCP
			if err := client.Open(t.Context(), server.address, nil); err != nil {
				t.Errorf("the place of the connection that ended is not free: %v", err)
			}
		})
	}
}

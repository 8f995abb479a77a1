package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against requests that are written on a connection to a process that nobody has checked, because all connections to the one
// before have ended unnoticed.
func TestFirstConnectionIsCheckedBeforeTheRequest(t *testing.T) {
	cases := []struct {
		name string
		// idle is set if a connection is idle before, ended if the server closes it meanwhile, busy if another one is in use.
		idle, ended, busy bool
		checked           bool
	}{
		{"no connection", false, false, false, true},
		{"an idle connection", true, false, false, false},
		{"an idle connection that the server has closed", true, true, false, true},
		{"another connection is in use", true, true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			release, written := make(chan struct{}), atomic.Int64{}
			conns := make(chan net.Conn, 8)
			s := serve(t, func(conn net.Conn, r *http.Request) bool {
				written.Add(1)
				conns <- conn
				if r.URL.Path == "/wait" {
					<-release
				}
				respond(conn, r.Header.Get(idHeader), "x")
				return true
			})
			defer close(release)
			client := exchange.NewClient(network.TCP{}, time.Second)
			if c.idle {
				if _, err := do(t, client, s.address, request("0")); err != nil {
					t.Fatal(err)
				}
			}
			if c.busy {
				r := request("1")
				r.Target, r.MaxIdle = "/wait", 0
				go func() { _, _ = client.Do(context.Background(), s.address, r) }()
				for written.Load() < 2 {
					time.Sleep(time.Millisecond)
				}
			}
			if c.ended {
				_ = (<-conns).Close()
				time.Sleep(20 * time.Millisecond)
			}
			before := written.Load()
			r := request("2")
			replaced := errors.New("replaced")
			checked := false
			r.Opened = func(context.Context) error {
				checked = true
				return replaced
			}
			response, err := client.Do(t.Context(), s.address, r)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
			}
			if checked != c.checked || c.checked != (errors.Is(err, replaced) && errors.Is(err, port.ErrNotSent)) {
				t.Errorf("checked %t, error %v, want checked %t", checked, err, c.checked)
			}
			if got := written.Load() > before; got == c.checked {
				t.Errorf("the request was written: %t", got)
			}
		})
	}
}

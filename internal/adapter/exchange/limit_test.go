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

// Guards against more connections to a server than it accepts, which it would reset, and against idle connections that
// keep others from being opened.
func TestOpenConnectionsAreLimited(t *testing.T) {
	const limit = 3
	release := make(chan struct{})
	var open atomic.Int64
	s := serve(t, func(c net.Conn, r *http.Request) bool {
		open.Add(1)
		if r.URL.Path == "/wait" {
			<-release
		}
		respond(c, r.Header.Get(idHeader), "x")
		return true
	})
	client := exchange.NewClient(network.TCP{}, time.Second)
	client.LimitConnections(func(string) int { return limit })
	send := func(path string) error {
		r := request("1")
		r.Target, r.MaxIdle = path, 0
		response, err := client.Do(context.Background(), s.address, r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		return err
	}
	for range 3 * limit {
		// Each request opens a connection of its own, which stays idle.
		if err := send("/"); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan error, limit)
	before := open.Load()
	for range limit {
		go func() { done <- send("/wait") }()
	}
	for open.Load() < before+limit {
		time.Sleep(time.Millisecond)
	}
	if err := send("/"); !errors.Is(err, port.ErrNotSent) || !errors.Is(err, port.ErrConnectionLimit) {
		t.Errorf("a request beyond the limit: error %v", err)
	}
	close(release)
	for range limit {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if err := send("/"); err != nil {
		t.Errorf("a request after others have ended: %v", err)
	}
}

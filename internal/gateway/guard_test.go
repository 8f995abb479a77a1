package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against a malformed message or an unexpected error that ends the whole process. After a
// panic, a task must restart, and only the call that panicked may fail.
func TestPanicEndsOneTaskOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(RetryLimits{})
		ctx, cancel := context.WithCancel(t.Context())
		runs := 0
		g.supervise(ctx, "test", func(context.Context) {
			if runs++; runs < 4 {
				panic("malformed record")
			}
			cancel()
		})
		if runs != 4 || g.metrics.panics.Value() != 3 {
			t.Errorf("the task ran %d times with %d panics counted, want 4 and 3", runs, g.metrics.panics.Value())
		}
	})
	g := newTestGateway(RetryLimits{})
	handlers := g.recoverHandlers(map[string]port.PeerHandler{
		"bad":  func(context.Context, json.RawMessage) (any, error) { panic("malformed") },
		"good": func(context.Context, json.RawMessage) (any, error) { return "answer", nil },
	})
	if _, err := handlers["bad"](context.Background(), nil); err == nil {
		t.Error("a call that panicked returned no error")
	}
	if response, err := handlers["good"](context.Background(), nil); response != "answer" || err != nil {
		t.Errorf("a call after the one that panicked returned %v, error %v", response, err)
	}
}

// Guards against peer messages of any content that cause a panic or leave the daemon unusable.
func FuzzPeerMessages(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `[]`, `{"from":"e","address":"x","runners":[{"id":"a","first":99,"reading":[1,2,3,4],"running":-5,"kv":-1}]}`,
		`{"from":"e","data_centre":"north","address":"10.0.0.9:1","runners":[{"id":"b","begun":9223372036854775807,"for":-9223372036854775808,"read":-1,"written":-9,"change":"prefill","change_left":9223372036854775807}]}`,
		`{"from":"d","leaving":true}`, `{"from":"c","runners":9,"config":7,"changes":[{"key":"","value":"e30="},{"key":"x","value":null}]}`,
		`{"crashes":[{}]}`, `{"changes":[{"key":"a","value":"bnVsbA=="}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		for method := range newTestGateway(RetryLimits{}).peers.handlers() {
			g := newTestGateway(RetryLimits{})
			g.discovery.loaded.Store(true)
			g.peers.dial = func(string) port.Peer { return failingPeer{} }
			// Any error is acceptable.
			_, _ = g.peers.handlers()[method](context.Background(), message)
			g.fleet.LoadUpdates(time.Now(), true)
			// A registry message of a peer may remove all runners.
			if _, ok := g.fleet.Place(time.Now(), newTestCall(g).placementQuery()); !ok && method != methodRegistry {
				t.Errorf("no request can be placed after %s with %q", method, message)
			}
		}
	})
}

// failingPeer is a daemon that fails all calls.
type failingPeer struct{}

func (failingPeer) Call(context.Context, string, any, any) error { return errors.New("silent") }

// failingListener fails a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("accept: too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a daemon that ends because of a temporary error in accepting a peer
// connection.
func TestPeerServerSurvivesAcceptErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{Listener: inner}
	l.failures.Store(3)
	server := peer.NewServer(map[string]port.PeerHandler{})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	for l.failures.Load() >= 0 {
		select {
		case err := <-ended:
			t.Fatalf("the server ended with %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	inner.Close()
	if err := <-ended; err != nil {
		t.Errorf("the server ended with %v after its listener was closed", err)
	}
}

package peer

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against calls that do not return at their deadline when the peer reads nothing:
// the first call would block in its write, the other calls on the lock that jsonrpc2
// holds during the write.
func TestCallsTimeOutWhenPeerDoesNotRead(t *testing.T) {
	const address = "10.0.0.2:7100"
	synctest.Test(t, func(t *testing.T) {
		nw := standin.NewMemNet()
		defer nw.CloseAll()
		l, err := nw.Host("b").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := l.Accept(); err != nil {
					return
				}
			}
		}()
		dialer := NewDialer(nw.Host("a"))
		defer dialer.Close()
		client := dialer.Dial(address)
		started := time.Now()
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := client.Call(ctx, "peer.probe", struct{}{}, nil); err == nil {
					t.Error("call succeeded without a response")
				}
			})
		}
		calls.Wait()
		if waited := time.Since(started); waited != time.Second {
			t.Errorf("calls with a deadline of 1 s returned after %v", waited)
		}
	})
}

// Guards against calls that wait beyond their deadline while another call opens the
// connection.
func TestCallsTimeOutWhileAnotherCallDials(t *testing.T) {
	const address = "10.0.0.2:7100"
	synctest.Test(t, func(t *testing.T) {
		nw := standin.NewMemNet()
		defer nw.CloseAll()
		// Connections are not accepted, so that a connection attempt never completes.
		if _, err := nw.Host("b").Listen(address); err != nil {
			t.Fatal(err)
		}
		client := NewDialer(nw.Host("a")).Dial(address)
		started := time.Now()
		var calls sync.WaitGroup
		calls.Go(func() { _ = client.Call(t.Context(), "peer.probe", struct{}{}, nil) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := client.Call(ctx, "peer.probe", struct{}{}, nil); err == nil {
			t.Error("call succeeded without a connection")
		}
		if waited := time.Since(started); waited != time.Second {
			t.Errorf("call with a deadline of 1 s returned after %v", waited)
		}
		calls.Wait()
	})
}

// Guards against calls that are lost because another one on their connection got its response late, and against a connection
// that stays in use although it is permanently unresponsive.
func TestLateResponseKeepsTheConnection(t *testing.T) {
	const address = "10.0.0.2:7100"
	synctest.Test(t, func(t *testing.T) {
		nw := standin.NewMemNet()
		defer nw.CloseAll()
		l, err := nw.Host("b").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		// With a link in between, a handshake takes as long as a response.
		link := standin.NewLink(1 << 20)
		server := NewServer(map[string]port.PeerHandler{"probe": func(context.Context, json.RawMessage) (any, error) { return nil, nil }})
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		traffic := NewTraffic()
		dialer := NewCountingDialer(standin.NewLinked(nw.Host("a"), link), traffic)
		defer dialer.Close()
		client := dialer.Dial(address)
		call := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return client.Call(ctx, "probe", struct{}{}, nil)
		}
		if err := call(time.Second); err != nil {
			t.Fatal(err)
		}
		link.SetDelay(400 * time.Millisecond)
		var calls sync.WaitGroup
		for _, c := range []struct {
			limit    time.Duration
			answered bool
		}{{700 * time.Millisecond, false}, {2 * time.Second, true}} {
			calls.Go(func() {
				if err := call(c.limit); (err == nil) != c.answered {
					t.Errorf("call with a limit of %s: %v", c.limit, err)
				}
			})
		}
		calls.Wait()
		time.Sleep(replaceTimeout)
		if s := traffic.Status(); s.Opened != 1 || s.GivenUp != 0 {
			t.Errorf("a late response cost %d connections, %d were given up", s.Opened, s.GivenUp)
		}
		link.SetDelay(0)
		nw.Blackhole("a", "b")
		if err := call(time.Second); err == nil {
			t.Error("call over an unresponsive connection got a response")
		}
		if err := call(time.Second); err != nil {
			t.Errorf("call after an unresponsive connection: %v", err)
		}
	})
}

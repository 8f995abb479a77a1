package peer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

package daemon

import (
	"context"
	"sync"
)

// requestGate counts requests in progress and refuses new ones once it is closed.
type requestGate struct {
	mu     sync.Mutex
	active int
	closed bool
	// drained is closed when the gate is closed and no request is left.
	drained chan struct{}
}

func newRequestGate() *requestGate { return &requestGate{drained: make(chan struct{})} }

// Enter counts a request, or returns false when the gate is closed. Each
// successful Enter needs one Leave.
func (g *requestGate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

// Leave ends a request.
func (g *requestGate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.signalLocked()
}

// Close refuses new requests.
func (g *requestGate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.signalLocked()
	}
}

func (g *requestGate) signalLocked() {
	if g.closed && g.active == 0 {
		close(g.drained)
	}
}

// Wait blocks until a closed gate is empty or ctx ends.
func (g *requestGate) Wait(ctx context.Context) {
	select {
	case <-g.drained:
	case <-ctx.Done():
	}
}

// Active returns the number of requests in progress.
func (g *requestGate) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

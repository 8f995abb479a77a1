package daemon

import (
	"context"
	"sync"
)

// gate counts requests in progress and refuses new ones once it is closed.
type gate struct {
	mu     sync.Mutex
	active int
	closed bool
	// empty is closed when the gate is closed and no request is left.
	empty chan struct{}
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// Enter counts a request, or returns false when the gate is closed. Each
// successful Enter needs one Leave.
func (g *gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

// Leave ends a request.
func (g *gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.signal()
}

// Close refuses new requests.
func (g *gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.signal()
	}
}

func (g *gate) signal() {
	if g.closed && g.active == 0 {
		close(g.empty)
	}
}

// Wait blocks until a closed gate is empty or ctx ends.
func (g *gate) Wait(ctx context.Context) {
	select {
	case <-g.empty:
	case <-ctx.Done():
	}
}

// Active returns the number of requests in progress.
func (g *gate) Active() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

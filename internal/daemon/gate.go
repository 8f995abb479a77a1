package daemon

import (
	"context"
	"sync"
)

// requestGate counts requests in progress and refuses new ones once it is closed. It is
// safe for concurrent use.
type requestGate struct {
	mu     sync.Mutex
	active int
	closed bool
	// drained is closed when the gate is closed and no request is in progress.
	drained chan struct{}
}

func newRequestGate() *requestGate { return &requestGate{drained: make(chan struct{})} }

// Enter starts a request. It returns false if the gate is closed. Each successful Enter
// must be followed by one Leave.
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

// Close makes the gate refuse new requests. Requests in progress continue.
func (g *requestGate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.signalLocked()
	}
}

// signalLocked closes drained if the gate is closed and empty. The caller holds g.mu.
func (g *requestGate) signalLocked() {
	if g.closed && g.active == 0 {
		close(g.drained)
	}
}

// Wait blocks until the gate is closed and no request is in progress, or until ctx ends.
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

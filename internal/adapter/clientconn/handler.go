package clientconn

import (
	"context"
	"net"
	"net/http"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/memory"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// withConn is the http.Server's hook for the context of a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, or nil if it is not tracked.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// Left reports whether the client has closed the connection of a request, also if the server has not found out yet. The result is
// false if the connection is not tracked.
func Left(r *http.Request) bool {
	c := connOf(r)
	return c != nil && network.Ended(c.Conn)
}

// chargeHeads returns a handler that reserves the memory of the head of each request before it calls next, which serves only
// requests for which there is enough. Reads have charged most heads already, but not those that arrived with the request
// before.
func (s *Conns) chargeHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil && !c.beginRequest(costOf(r)) {
			w.Header().Set("Connection", "close")
			s.refuse(w, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// beginRequest reserves memory for a request head that was parsed, and reports whether the request is in memory.
func (c *clientConn) beginRequest(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.chargeHead(cost) {
		return false
	}
	return !c.charged || c.memory.Finish()
}

// costOf returns the cost of a parsed request head: of its request line, the host and the other lines.
func costOf(r *http.Request) int64 {
	return memory.HeadCost(int64(len(r.Method)+len(r.RequestURI)+len(r.Host)), 2) + memory.HeaderCost(r.Header)
}

// RequestMemory returns the memory of a request, which draws on the budget b. Whatever it holds is released when the response
// has ended, if the connection is tracked. A request that is evicted while its body is read gets os.ErrDeadlineExceeded.
func RequestMemory(b *memory.Budget, w http.ResponseWriter, r *http.Request) *memory.Request {
	if c := connOf(r); c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.charged = true
		return c.memory
	}
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	return b.NewRequest(source, func() {
		// Only the writers of tests do not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

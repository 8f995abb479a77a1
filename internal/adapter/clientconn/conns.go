// Package clientconn tracks the connections that clients open to a daemon: it ends them at a stop without losing a
// request, and limits their number and the memory of their request heads.
package clientconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/memory"
)

// lastAcceptTime is how long a listener that ends waits for connections that the kernel has accepted.
// They are accepted at once unless the process does not get the processor.
const lastAcceptTime = 20 * time.Millisecond

// nextRequestTime is how long a retired connection stays open for a request from when it was accepted or
// its last answer ended. Clients open connections to send a request at once, and may have sent the next one
// on a connection whose last answer began before the stop and did not announce its end.
const nextRequestTime = 500 * time.Millisecond

// Conns tracks the accepted connections of clients. Unlike the shutdown of net/http, it ends a
// connection only while no byte of a request was read from it. The http.Server of the connections needs
// an IdleTimeout, a ReadHeaderTimeout and no ReadTimeout, and is passed to Attach. It is safe for concurrent use.
type Conns struct {
	mu       sync.Mutex
	open     map[*clientConn]struct{}
	listener *clientListener
	// accepting is set while the listener is open.
	accepting bool
	retired   bool
	// limit is the number of connections that may be open at once; 0 means that it is not limited.
	limit int
	// evicted counts the connections that were closed because of limit.
	evicted int64
	// memory is the budget of the requests.
	memory *memory.Budget
	// maxHeadBytes is the size of the largest request head that is read.
	maxHeadBytes atomic.Int64
	// refuse writes the refusal of a request whose head was not taken, with the given status.
	refuse func(w http.ResponseWriter, status int)
}

// New returns an empty set. Requests draw on the budget b. refuse writes the refusal of a request that has not run, because
// its head is larger than the limit (status 431) or does not fit into the memory (status 503); its connection closes.
func New(b *memory.Budget, refuse func(w http.ResponseWriter, status int)) *Conns {
	s := &Conns{open: map[*clientConn]struct{}{}, memory: b, refuse: refuse}
	s.SetMaxHeadBytes(0)
	return s
}

// Attach sets the hooks of the server of the connections and wraps its handler. It must be called once, before the server
// serves.
func (s *Conns) Attach(server *http.Server) {
	watch := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if watch != nil {
			watch(c, state)
		}
		s.watchState(c, state)
	}
	server.ConnContext = withConn
	server.MaxHeaderBytes = maxServerHeadBytes
	server.Handler = s.chargeHeads(server.Handler)
}

// SetLimit replaces the number of connections that may be open at once.
func (s *Conns) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Status is what an operator sees of the connections of clients.
type Status struct {
	Open    int   `json:"open"`
	Limit   int   `json:"limit"`
	Evicted int64 `json:"evicted"`
}

func (s *Conns) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Open: len(s.open), Limit: s.limit, Evicted: s.evicted}
}

// Listen returns a listener whose connections are tracked.
func (s *Conns) Listen(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.accepting = &clientListener{Listener: l, conns: s}, true
	return s.listener
}

// add tracks a connection that was accepted.
func (s *Conns) add(c net.Conn) net.Conn {
	conn := &clientConn{Conn: c, conns: s, awaitsRequest: true, idleSince: time.Now()}
	conn.memory = s.newRequest(c)
	s.mu.Lock()
	var victim *clientConn
	if s.limit > 0 && len(s.open) >= s.limit {
		if victim = s.victim(time.Now()); victim == nil {
			victim = conn
		}
		s.forget(victim)
		s.evicted++
	}
	if victim != conn {
		s.open[conn] = struct{}{}
		s.memory.Charge(memory.Connections, memory.ConnectionBytes)
	}
	retired := s.retired
	s.mu.Unlock()
	if victim != nil {
		// The goroutine of net/http that reads the connection finds it closed.
		_ = victim.Conn.Close()
	}
	if retired {
		conn.retire()
	}
	return conn
}

// Order in which connections give way to new ones.
const (
	neverCarriedRequest = iota
	awaitsNextRequest
	bodyStalled
	carriesRequest
)

// victim returns the connection that gives way to a new one: one that never carried a request before one that awaits the next
// one or reads its head, and that before one on which a body has stalled; of these the one that waits for longest. It returns
// nil if all connections carry requests that make progress or were read. s.mu must be held.
func (s *Conns) victim(now time.Time) *clientConn {
	var victim *clientConn
	order, since := carriesRequest, time.Time{}
	for c := range s.open {
		cOrder, cSince := c.yieldOrder(now)
		if cOrder < order || cOrder == order && victim != nil && cSince.Before(since) {
			victim, order, since = c, cOrder, cSince
		}
	}
	return victim
}

func (s *Conns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
}

// forget ends the tracking of a connection. s.mu must be held.
func (s *Conns) forget(c *clientConn) {
	if _, open := s.open[c]; open {
		delete(s.open, c)
		s.memory.Release(memory.Connections, memory.ConnectionBytes)
	}
}

// Count returns the number of open connections.
func (s *Conns) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Ended reports whether the listener and all connections are closed.
func (s *Conns) Ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.accepting && len(s.open) == 0
}

// Retire accepts the connections that the kernel has accepted, closes the listener, and ends each
// connection as soon as it awaits a request.
func (s *Conns) Retire() {
	s.mu.Lock()
	s.retired = true
	l := s.listener
	conns := make([]*clientConn, 0, len(s.open))
	for c := range s.open {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	if l != nil {
		l.retire()
	}
	for _, c := range conns {
		c.retire()
	}
}

func (s *Conns) isRetired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retired
}

// watchState is the http.Server's hook for the states of connections.
func (s *Conns) watchState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*clientConn); ok && state == http.StateIdle {
		conn.awaitRequest()
	}
}

// clientListener is a listener whose connections are tracked.
type clientListener struct {
	net.Listener
	conns *Conns
	// lastAccept is set once a retired listener has begun its last wait. Only Accept uses it.
	lastAccept bool
}

// Accept implements net.Listener. It returns net.ErrClosed at the end of a retired listener.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.conns.add(c), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !l.conns.isRetired() {
			return nil, err
		}
		// An expired deadline hides connections that wait.
		if l.lastAccept || l.setDeadline(time.Now().Add(lastAcceptTime)) != nil {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		l.lastAccept = true
	}
}

// setDeadline sets the deadline of Accept, if the listener has one.
func (l *clientListener) setDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// retire closes the listener after it has accepted the connections that wait.
func (l *clientListener) retire() {
	if l.setDeadline(time.Now()) != nil {
		_ = l.Close()
	}
}

// Close implements net.Listener.
func (l *clientListener) Close() error {
	err := l.Listener.Close()
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.accepting = false
	return err
}

// clientConn is a tracked connection. The goroutine of net/http that reads it ends it.
type clientConn struct {
	net.Conn
	conns *Conns

	mu sync.Mutex
	// awaitsRequest is set while no byte of the next request was read.
	awaitsRequest bool
	// idleSince is when the connection was accepted or the last answer ended.
	idleSince time.Time
	retired   bool
	// readDeadline is the read deadline that net/http has set. It is not in force while the connection
	// is retired and awaits a request; resumed is set when it is in force again.
	readDeadline time.Time
	resumed      bool
	// inRequest is set from when a request head was read until the request is answered, used once that was the case.
	inRequest, used bool
	// head counts the bytes and lines of the head that is being read.
	head headSize
	// memory is that of the request that is being read or served.
	memory *memory.Request
	// charged is set if the request may hold memory.
	charged bool
	// refused is set once the client was sent a refusal of its request head.
	refused bool
	// lingerOnce guards the wait for a client that was refused.
	lingerOnce sync.Once
}

// yieldOrder returns when the connection gives way to a new one, and since when it waits.
func (c *clientConn) yieldOrder(now time.Time) (order int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.inRequest && !c.used:
		return neverCarriedRequest, c.idleSince
	case !c.inRequest:
		return awaitsNextRequest, c.idleSince
	}
	if stalled, since := c.memory.Stalled(now); stalled {
		return bodyStalled, since
	}
	return carriesRequest, time.Time{}
}

// Read implements net.Conn. It closes a retired connection that awaits a request and has no unread
// bytes.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		if c.memory.Evicted() {
			return 0, c.endEvicted()
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			if status := c.receive(b[:n]); status != 0 {
				return 0, c.refuseHead(status)
			}
		}
		if n == 0 && c.memory.Evicted() {
			continue
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.repeatsRead() {
			return n, err
		}
	}
}

// repeatsRead reports whether a read has to be repeated whose deadline has expired, because the deadline
// was not the one of net/http. Otherwise it closes a retired connection.
func (c *clientConn) repeatsRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && c.awaitsRequest {
		// An expired deadline hides bytes that have arrived.
		if !network.HasUnread(c.Conn) {
			_ = c.Conn.Close()
			return false
		}
		c.resumeRead()
	}
	resumed := c.resumed
	c.resumed = false
	return resumed
}

// receive records that bytes of a request have arrived, and puts the read deadline of net/http into force. A status other
// than 0 refuses the request.
func (c *clientConn) receive(b []byte) (status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && c.awaitsRequest {
		c.resumeRead()
	}
	c.awaitsRequest = false
	if c.inRequest {
		return 0
	}
	return c.countHead(b)
}

// resumeRead puts the read deadline of net/http into force.
func (c *clientConn) resumeRead() {
	c.awaitsRequest = false
	c.resumed = true
	// An error means that the connection is closed, which the next read reports.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// awaitRequest records that the last request is answered.
func (c *clientConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsRequest, c.idleSince = true, time.Now()
	c.inRequest = false
	c.releaseRequest()
	c.interruptRead()
}

// retire ends the connection once it awaits a request.
func (c *clientConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.interruptRead()
}

// interruptRead ends the pending read of a retired connection that awaits a request.
func (c *clientConn) interruptRead() {
	if !c.retired || !c.awaitsRequest {
		return
	}
	end := c.idleSince.Add(nextRequestTime)
	if now := time.Now(); end.Before(now) {
		end = now
	}
	_ = c.Conn.SetReadDeadline(end)
}

// SetReadDeadline implements net.Conn. net/http awaits requests with a deadline and removes it once it
// has read the header of one, whose bytes may have come together with those of the request before.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if t.IsZero() {
		c.awaitsRequest = false
		c.inRequest, c.used = true, true
	}
	if c.retired && c.awaitsRequest {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread
// bytes.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Close implements net.Conn. A client that was refused gets the time to read that.
func (c *clientConn) Close() error {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		c.lingerOnce.Do(c.linger)
	}
	c.conns.remove(c)
	err := c.Conn.Close()
	c.mu.Lock()
	c.releaseRequest()
	c.mu.Unlock()
	return err
}

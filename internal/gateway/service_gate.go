package gateway

import "sync"

// serviceGate counts the requests in progress and separates those that arrived before the end of the
// service from later ones. It is safe for concurrent use.
type serviceGate struct {
	mu     sync.Mutex
	active int
	closed bool
}

// enter counts a request and reports whether it may be sent to a runner. Each call needs one call of
// leave, whatever the result.
func (s *serviceGate) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	return !s.closed
}

// leave ends a request that entered.
func (s *serviceGate) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// closeIfIdle closes the gate if no request is in progress, and reports whether it is closed.
func (s *serviceGate) closeIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || s.active == 0
	return s.closed
}

// close closes the gate beside requests in progress.
func (s *serviceGate) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// requests returns the number of requests in progress.
func (s *serviceGate) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

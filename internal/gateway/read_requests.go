package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// readRequests holds the calls that wait for a read of the store that begins after them. Calls that wait at
// the same time share a read. It is safe for concurrent use.
type readRequests struct {
	// wanted holds a token while a read is to begin at once.
	wanted chan struct{}

	mu      sync.Mutex
	waiting []readRequest
}

// readRequest is a call that waits: done receives the result of a read that began no earlier than since.
type readRequest struct {
	since time.Time
	done  chan error
}

func newReadRequests() *readRequests { return &readRequests{wanted: make(chan struct{}, 1)} }

// await asks for a read and returns its result, or the error of ctx if ctx is done before.
func (r *readRequests) await(ctx context.Context) error {
	q := readRequest{since: time.Now(), done: make(chan error, 1)}
	r.mu.Lock()
	r.waiting = append(r.waiting, q)
	r.mu.Unlock()
	select {
	case r.wanted <- struct{}{}:
	default:
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = slices.DeleteFunc(r.waiting, func(o readRequest) bool { return o.done == q.done })
	return ctx.Err()
}

// finish ends the calls that were waiting when a read began, with its result.
func (r *readRequests) finish(began time.Time, result error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = slices.DeleteFunc(r.waiting, func(q readRequest) bool {
		if q.since.After(began) {
			return false
		}
		q.done <- result
		return true
	})
}

// pending reports whether a call waits for a read.
func (r *readRequests) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) > 0
}

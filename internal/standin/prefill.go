package standin

import (
	"slices"
	"sync"
)

// prefillQueue lets one prompt at a time be read, by priority and then in the
// order of arrival.
type prefillQueue struct {
	mu      sync.Mutex
	current chan struct{}
	waiting []prefillWaiter
}

type prefillWaiter struct {
	priority int
	turn     chan struct{}
}

// enter returns a channel that is closed when it is the caller's turn.
func (q *prefillQueue) enter(priority int) chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := prefillWaiter{priority: priority, turn: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	slices.SortStableFunc(q.waiting, func(a, b prefillWaiter) int { return a.priority - b.priority })
	q.next()
	return w.turn
}

// leave ends a turn, or the wait for one.
func (q *prefillQueue) leave(turn chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.current == turn {
		q.current = nil
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w prefillWaiter) bool { return w.turn == turn })
	q.next()
}

func (q *prefillQueue) next() {
	if q.current != nil || len(q.waiting) == 0 {
		return
	}
	q.current = q.waiting[0].turn
	q.waiting = q.waiting[1:]
	close(q.current)
}

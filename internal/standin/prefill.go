package standin

import (
	"slices"
	"sync"
	"time"
)

// prefillQueue grants the prefill to one prompt at a time, by priority and then in
// order of arrival.
type prefillQueue struct {
	mu sync.Mutex
	// current is the turn of the prompt that is being prefilled, or nil.
	current chan struct{}
	waiting []prefillWaiter
	// currentTokens is the length of the current prompt in tokens, and currentStart is
	// when its prefill started.
	currentTokens int
	currentStart  time.Time
}

type prefillWaiter struct {
	priority int
	tokens   int
	turn     chan struct{}
}

// enter adds a prompt to the queue. The returned channel is closed when its prefill
// may start.
func (q *prefillQueue) enter(priority, tokens int) chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := prefillWaiter{priority: priority, tokens: tokens, turn: make(chan struct{})}
	q.waiting = append(q.waiting, w)
	slices.SortStableFunc(q.waiting, func(a, b prefillWaiter) int { return a.priority - b.priority })
	q.startNextLocked()
	return w.turn
}

// leave ends the prefill that was granted through turn, or removes the prompt from the
// queue.
func (q *prefillQueue) leave(turn chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.current == turn {
		q.current = nil
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w prefillWaiter) bool { return w.turn == turn })
	q.startNextLocked()
}

// startNextLocked grants the prefill to the first waiting prompt unless another prompt is
// being prefilled. prefillQueue.mu is held.
func (q *prefillQueue) startNextLocked() {
	if q.current != nil || len(q.waiting) == 0 {
		return
	}
	q.current = q.waiting[0].turn
	q.currentTokens, q.currentStart = q.waiting[0].tokens, time.Now()
	q.waiting = q.waiting[1:]
	close(q.current)
}

// pending returns the number of prompts that wait for prefill or are being prefilled,
// and the number of their tokens left to prefill at the given rate in tokens per
// second.
func (q *prefillQueue) pending(rate float64) (prompts int, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		tokens += int64(w.tokens)
	}
	prompts = len(q.waiting)
	if q.current != nil {
		prompts++
		prefilled := int64(time.Since(q.currentStart).Seconds() * rate)
		tokens += max(0, int64(q.currentTokens)-prefilled)
	}
	return prompts, tokens
}

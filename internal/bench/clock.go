package bench

import (
	"container/heap"
	"time"
)

// epoch is the wall-clock time that corresponds to the start of every run.
var epoch = time.Unix(1_700_000_000, 0)

// clock is the virtual clock and event queue of a simulation. Events at the same time run
// in the order in which they were scheduled.
type clock struct {
	// now is the virtual time since the start of the run.
	now time.Duration
	// next is the sequence number of the event scheduled last.
	next   int
	events eventHeap
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Time returns the virtual time as a wall-clock time, as the decision packages expect
// it.
func (c *clock) Time() time.Time { return epoch.Add(c.now) }

// after schedules f to run after d. A negative d counts as 0.
func (c *clock) after(d time.Duration, f func()) {
	c.next++
	heap.Push(&c.events, event{at: c.now + max(0, d), seq: c.next, run: f})
}

// runUntil runs all events up to and including end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// Package memory keeps the budget of what a daemon holds in memory for callers and runners, and decides who gives way
// when it is short. It answers crowds of clients that send much and never finish: what makes no progress is evicted, and
// small requests have a share of their own. It needs no network and no clock.
package memory

import (
	"sync"
	"time"
)

// Class is what memory is held for.
type Class int

// Classes of memory.
const (
	// Heads holds request heads beyond what each connection holds anyway.
	Heads Class = iota
	// Bodies holds the bodies of requests.
	Bodies
	// Responses holds buffered responses.
	Responses
	classCount
)

// Shares of the memory of the process that may be occupied. Small buffers may also occupy the small share of their class,
// so that large ones do not displace them. The rest of the memory is for the state of the daemon, for garbage that was not
// collected yet and for the runtime.
const (
	headShare          = 0.1
	bodyShare          = 0.25
	smallBodyShare     = 0.05
	responseShare      = 0.25
	smallResponseShare = 0.125
	totalShare         = 0.5
)

const (
	// SmallBytes is the size up to which a buffer counts as small.
	SmallBytes = 64 << 10
	// stallTime is how long an unfinished body must have made no progress before it may be evicted. A sound client
	// pauses that long only if several packets are lost.
	stallTime = time.Second
)

// Budget is the owner of the memory that is held for callers and runners. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  [classCount]int64
	total int64
	// unfinished holds the bodies that are being read.
	unfinished map[*Body]struct{}
	// evicted counts the bodies that were evicted, refused the reservations that failed.
	evicted, refused int64
}

// NewBudget returns a budget for a process with the given memory in bytes; 0 means that nothing is limited.
func NewBudget(memory int64) *Budget {
	return &Budget{limit: memory, unfinished: map[*Body]struct{}{}}
}

// SetMemory replaces the memory of the process.
func (b *Budget) SetMemory(memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = memory
}

// share returns the share of the memory that a class may occupy.
func share(c Class, small bool) float64 {
	switch {
	case c == Heads:
		return headShare
	case c == Bodies && small:
		return bodyShare + smallBodyShare
	case c == Bodies:
		return bodyShare
	case small:
		return responseShare + smallResponseShare
	}
	return responseShare
}

// Reserve reserves n bytes for a buffer that is small or not, and reports whether they were available.
func (b *Budget) Reserve(c Class, n int64, small bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(c, n, small)
}

// reserve implements Reserve. b.mu must be held.
func (b *Budget) reserve(c Class, n int64, small bool) bool {
	if b.missing(c, n, small) > 0 {
		b.refused++
		return false
	}
	b.used[c] += n
	b.total += n
	return true
}

// missing returns how many bytes have to be released before n more fit. b.mu must be held.
func (b *Budget) missing(c Class, n int64, small bool) int64 {
	if b.limit <= 0 {
		return 0
	}
	ofClass := b.used[c] + n - int64(share(c, small)*float64(b.limit))
	ofAll := b.total + n - int64(totalShare*float64(b.limit))
	return max(ofClass, ofAll)
}

// Release returns bytes that were reserved.
func (b *Budget) Release(c Class, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(c, n)
}

func (b *Budget) release(c Class, n int64) {
	b.used[c] -= n
	b.total -= n
}

// Used returns the bytes that a class occupies.
func (b *Budget) Used(c Class) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[c]
}

// Status is what an operator sees of a budget.
type Status struct {
	Heads     int64 `json:"heads"`
	Bodies    int64 `json:"bodies"`
	Responses int64 `json:"responses"`
	// Unfinished is the number of bodies that are being read.
	Unfinished int   `json:"unfinished"`
	Evicted    int64 `json:"evicted"`
	Refused    int64 `json:"refused"`
}

// Status returns the occupied bytes, and how often the budget was short.
func (b *Budget) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{
		Heads: b.used[Heads], Bodies: b.used[Bodies], Responses: b.used[Responses], Unfinished: len(b.unfinished),
		Evicted: b.evicted, Refused: b.refused,
	}
}

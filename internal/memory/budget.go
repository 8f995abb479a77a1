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
	// Heads holds request heads beyond FreeHeadBytes.
	Heads Class = iota
	// Bodies holds the bodies of requests.
	Bodies
	// Responses holds buffered responses, and response heads beyond FreeHeadBytes.
	Responses
	// Connections holds what each connection of a client occupies anyway. Their number is limited elsewhere.
	Connections
	classCount
)

// Shares of the memory of the process that may be occupied. Small buffers may also occupy the small share of their class,
// so that large ones do not displace them. The rest of the memory is for the state of the daemon, for garbage that was not
// collected yet and for the runtime.
const (
	headShare          = 0.1
	smallHeadShare     = 0.05
	bodyShare          = 0.25
	smallBodyShare     = 0.05
	responseShare      = 0.25
	smallResponseShare = 0.125
	totalShare         = 0.55
)

const (
	// SmallBytes is the size up to which a buffer counts as small.
	SmallBytes = 64 << 10
	// FreeHeadBytes is the cost of a request head up to which its memory counts as that of its connection.
	FreeHeadBytes = 8 << 10
	// ConnectionBytes is what a connection occupies: buffers and stacks of net/http, and a head of FreeHeadBytes.
	ConnectionBytes = 16<<10 + FreeHeadBytes
	// stallTime is how long an unfinished request must have made no progress before it may be evicted. A sound client
	// pauses that long only if several packets are lost.
	stallTime = time.Second
)

// Budget is the owner of the memory that is held for callers and runners. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// limits holds the bytes that each class may occupy with large and with small buffers, totalLimit what all may
	// occupy together; negative for no limit.
	limits     [classCount]limits
	totalLimit int64
	used       [classCount]int64
	total      int64
	// unfinished holds the requests that are being read and occupy memory.
	unfinished map[*Request]struct{}
	// sources holds the bytes that the requests of each source occupy.
	sources map[string]int64
	// evicted counts the requests that were evicted, refused the reservations that failed.
	evicted, refused int64
}

// limits bound a class of memory.
type limits struct{ large, small int64 }

// unlimited is the limit of what is not limited.
const unlimited = -1

// NewBudget returns a budget for a process with the given memory in bytes; 0 means that nothing is limited.
func NewBudget(memory int64) *Budget {
	b := &Budget{unfinished: map[*Request]struct{}{}, sources: map[string]int64{}}
	b.SetMemory(memory)
	return b
}

// headPart is the memory that the heads of requests may occupy in the budget of NewRequestBudget, as a part of that for
// bodies.
const headPart = 0.5

// NewRequestBudget returns a budget that limits the bodies of requests to a number of bytes and their heads to half as much,
// or to what one head of maxHeadBytes occupies if that is more. It limits nothing else.
func NewRequestBudget(bodyBytes, maxHeadBytes int64) *Budget {
	b := NewBudget(0)
	heads := max(int64(headPart*float64(bodyBytes)), MaxHeadCost(maxHeadBytes))
	b.limits[Bodies] = limits{large: bodyBytes, small: bodyBytes}
	b.limits[Heads] = limits{large: heads, small: heads}
	return b
}

// SetMemory replaces the memory of the process.
func (b *Budget) SetMemory(memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := func(share float64) int64 {
		if memory <= 0 {
			return unlimited
		}
		return int64(share * float64(memory))
	}
	b.limits[Heads] = limits{large: part(headShare), small: part(headShare + smallHeadShare)}
	b.limits[Bodies] = limits{large: part(bodyShare), small: part(bodyShare + smallBodyShare)}
	b.limits[Responses] = limits{large: part(responseShare), small: part(responseShare + smallResponseShare)}
	b.limits[Connections] = limits{large: unlimited, small: unlimited}
	b.totalLimit = part(totalShare)
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

// mayFit reports whether n bytes fit if nothing else is held. b.mu must be held.
func (b *Budget) mayFit(c Class, n int64, small bool) bool {
	limit := b.limit(c, small)
	return (limit == unlimited || n <= limit) && (b.totalLimit == unlimited || n <= b.totalLimit)
}

// limit returns the number of bytes that a class may occupy for a buffer that is small or not. b.mu must be held.
func (b *Budget) limit(c Class, small bool) int64 {
	if small {
		return b.limits[c].small
	}
	return b.limits[c].large
}

// missing returns how many bytes have to be released before n more fit, 0 or less if they do. b.mu must be held.
func (b *Budget) missing(c Class, n int64, small bool) int64 {
	if n <= 0 {
		return 0
	}
	missing := b.missingInClass(c, n, small)
	if b.totalLimit != unlimited {
		missing = max(missing, b.total+n-b.totalLimit)
	}
	return missing
}

// missingInClass is missing without regard to what all classes occupy together. b.mu must be held.
func (b *Budget) missingInClass(c Class, n int64, small bool) int64 {
	limit := b.limit(c, small)
	if limit == unlimited {
		return 0
	}
	return max(0, b.used[c]+n-limit)
}

// Charge counts n bytes that are held whether they are available or not, so that less remains for others.
func (b *Budget) Charge(c Class, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[c] += n
	b.total += n
}

// Release returns bytes that were reserved or charged.
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
	// Connections is the memory that connections of clients occupy anyway.
	Connections int64 `json:"connections"`
	// Unfinished is the number of requests that are being read and occupy memory.
	Unfinished int   `json:"unfinished"`
	Evicted    int64 `json:"evicted"`
	Refused    int64 `json:"refused"`
}

// Status returns the occupied bytes, and how often the budget was short.
func (b *Budget) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{
		Heads: b.used[Heads], Bodies: b.used[Bodies], Responses: b.used[Responses], Connections: b.used[Connections], Unfinished: len(b.unfinished),
		Evicted: b.evicted, Refused: b.refused,
	}
}

package memory

import (
	"sync/atomic"
	"time"
)

// Costs of a request head in memory. A line costs an entry in the map of the parsed header and in the copy that is
// forwarded, each with a name and a value; a byte is held as read, as parsed and as sent to a runner. The costs are those of
// net/http for the shortest lines; see TestHeadCostCoversWhatIsHeld.
const (
	headLineCost = 256
	headByteCost = 3
)

// HeadCost returns the memory that a request head occupies until its request is answered.
func HeadCost(size, lines int64) int64 { return headByteCost*size + headLineCost*lines }

// HeaderCost returns the cost of the lines of a parsed header, without the white space and the line ends that its sender may
// have left out.
func HeaderCost(h map[string][]string) int64 {
	var size, lines int64
	for name, values := range h {
		lines += int64(len(values))
		for _, value := range values {
			size += int64(len(name) + len(value))
		}
	}
	return HeadCost(size, lines)
}

// ReadAheadBytes is the size of the read buffer of net/http. So much of what follows a head may arrive with it, and count as a
// part of it until it is parsed.
const ReadAheadBytes = 4 << 10

// MaxHeadCost returns the largest cost of a head of a size: that of the shortest lines, a name of one character, a colon and a
// line feed, before a body of empty lines.
func MaxHeadCost(size int64) int64 {
	const shortestLine = 3
	return HeadCost(size+ReadAheadBytes, size/shortestLine+ReadAheadBytes)
}

// Request is the memory of one request: of its head and of its body. Its methods may be called by one goroutine, beside the
// budget.
type Request struct {
	budget *Budget
	// source identifies who sends the request, so that a source that holds much gives way first.
	source string
	// interrupt ends the pending read of the request.
	interrupt func()

	// held is the number of reserved bytes by class. It is guarded by budget.mu, like progressAt.
	held [classCount]int64
	// progressAt is when the request last made progress, sinceProgress the number of bytes that have arrived since.
	progressAt    time.Time
	sinceProgress int64
	// evicted is set with budget.mu held.
	evicted atomic.Bool
}

// NewRequest returns the memory of a request, which occupies nothing yet. interrupt is called at most once, while the request
// is being read, if it is evicted; it must not block or call the budget.
func (b *Budget) NewRequest(source string, interrupt func()) *Request {
	return &Request{budget: b, source: source, interrupt: interrupt}
}

// Grow reserves size bytes of a class in place of those that the request holds, and reports whether they are available. Other
// requests that are being read are evicted for it. The request itself counts as being read from then on until Finish.
func (r *Request) Grow(now time.Time, c Class, size int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	small := size <= SmallBytes
	n := size - r.held[c]
	for b.missing(c, n, small) > 0 && b.mayFit(c, size, small) {
		victim := b.victim(now, r, c, n, small)
		if victim == nil {
			break
		}
		b.evict(victim)
	}
	if r.evicted.Load() || !b.reserve(c, n, small) {
		return false
	}
	r.hold(c, n)
	if _, reading := b.unfinished[r]; !reading {
		b.unfinished[r] = struct{}{}
		r.progressAt, r.sinceProgress = now, 0
	}
	return true
}

// hold records n more bytes of a class. budget.mu must be held.
func (r *Request) hold(c Class, n int64) {
	r.held[c] += n
	if r.budget.sources[r.source] += n; r.budget.sources[r.source] == 0 {
		delete(r.budget.sources, r.source)
	}
}

// total returns the bytes that the request holds. budget.mu must be held.
func (r *Request) total() int64 {
	var total int64
	for _, n := range r.held {
		total += n
	}
	return total
}

// crowdFactor is how many times as much as another source a source must hold, so that its requests give way to those of the
// other although they make progress.
const crowdFactor = 2

// victim returns the request that gives way first when n more bytes of a class do not fit for the request r. Only requests
// that are being read and whose memory helps do: first those that have made no progress for stallTime, then those of a source
// that holds much more than that of r. Of these it is one of the source that holds most, and the one without progress for
// longest. It returns nil if there is none. b.mu must be held.
func (b *Budget) victim(now time.Time, r *Request, c Class, n int64, small bool) *Request {
	inClass := b.missingInClass(c, n, small) > 0
	own := b.sources[r.source] + n
	var victim *Request
	var victimStalled bool
	for o := range b.unfinished {
		if o == r || o.total() == 0 || inClass && o.held[c] == 0 {
			continue
		}
		stalled := o.stalled(now)
		if !stalled && b.sources[o.source] <= crowdFactor*own {
			continue
		}
		if victim == nil || b.yieldsBefore(o, stalled, victim, victimStalled) {
			victim, victimStalled = o, stalled
		}
	}
	return victim
}

// yieldsBefore reports whether a request gives way before another one. b.mu must be held.
func (b *Budget) yieldsBefore(r *Request, stalled bool, other *Request, otherStalled bool) bool {
	if stalled != otherStalled {
		return stalled
	}
	if held, otherHeld := b.sources[r.source], b.sources[other.source]; held != otherHeld {
		return held > otherHeld
	}
	return r.progressAt.Before(other.progressAt)
}

// evict releases the memory of a request that is being read and ends its read. b.mu must be held.
func (b *Budget) evict(r *Request) {
	b.releaseAll(r)
	r.evicted.Store(true)
	b.evicted++
	r.interrupt()
}

// releaseAll returns the memory of a request, which is not read any further. b.mu must be held.
func (b *Budget) releaseAll(r *Request) {
	delete(b.unfinished, r)
	for c, n := range r.held {
		b.release(Class(c), n)
		r.hold(Class(c), -n)
	}
}

// progressBytes is the number of bytes that count as progress. Clients that send single bytes do not hold memory for good.
const progressBytes = 512

// Progress records that n bytes of the request arrived.
func (r *Request) Progress(now time.Time, n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.sinceProgress += int64(n); r.sinceProgress >= progressBytes {
		r.progressAt, r.sinceProgress = now, 0
	}
}

// stalled reports whether a request that is being read has made no progress for stallTime. budget.mu must be held.
func (r *Request) stalled(now time.Time) bool { return now.Sub(r.progressAt) >= stallTime }

// Stalled returns whether the request holds memory while it is being read and has made no progress for a second, and since
// when.
func (r *Request) Stalled(now time.Time) (stalled bool, since time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	_, reading := r.budget.unfinished[r]
	return reading && r.stalled(now), r.progressAt
}

// Evicted reports whether the request has given way.
func (r *Request) Evicted() bool { return r.evicted.Load() }

// Finish records that the request is not read any further. It reports whether the request is still in memory; it is not
// evicted from then on, unless Grow is called again.
func (r *Request) Finish() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.unfinished, r)
	return !r.evicted.Load()
}

// Release returns the memory of one class to the budget. The request is not read any further.
func (r *Request) Release(c Class) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.unfinished, r)
	r.budget.release(c, r.held[c])
	r.hold(c, -r.held[c])
}

// ReleaseAll returns all memory to the budget. The request is not read any further.
func (r *Request) ReleaseAll() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.releaseAll(r)
}

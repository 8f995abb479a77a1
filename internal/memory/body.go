package memory

import "time"

// Body is the memory of one request body. Its methods may be called by one goroutine, beside the budget.
type Body struct {
	budget *Budget
	// source identifies who sends the body, so that a source that holds much gives way first.
	source string
	// interrupt ends the pending read of the body.
	interrupt func()

	// held is the number of reserved bytes. It is guarded by budget.mu, like the fields below.
	held int64
	// progressAt is when bytes of the body last arrived.
	progressAt time.Time
	evicted    bool
}

// NewBody returns the memory of a body that is about to be read. interrupt is called at most once, before Finish returns,
// if the body is evicted; it must not block.
func (b *Budget) NewBody(now time.Time, source string, interrupt func()) *Body {
	body := &Body{budget: b, source: source, interrupt: interrupt, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unfinished[body] = struct{}{}
	return body
}

// Grow reserves memory for a buffer of size bytes in place of the present one, and reports whether it is available.
// Other bodies that make no progress are evicted for it.
func (o *Body) Grow(now time.Time, size int64) bool {
	b := o.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	small := size <= SmallBytes
	n := size - o.held
	for b.missing(Bodies, n, small) > 0 {
		victim := b.victim(now, o)
		if victim == nil {
			break
		}
		b.evict(victim)
	}
	if o.evicted || !b.reserve(Bodies, n, small) {
		return false
	}
	o.held = size
	return true
}

// victim returns the body that gives way first: of those that have made no progress for stallTime, one of the source that
// holds most, and of these the one without progress for longest. It returns nil if there is none. b.mu must be held.
func (b *Budget) victim(now time.Time, except *Body) *Body {
	bySource := map[string]int64{}
	for o := range b.unfinished {
		bySource[o.source] += o.held
	}
	var victim *Body
	for o := range b.unfinished {
		if o == except || o.held == 0 || now.Sub(o.progressAt) < stallTime {
			continue
		}
		held := bySource[o.source]
		if victim == nil || held > bySource[victim.source] || held == bySource[victim.source] && o.progressAt.Before(victim.progressAt) {
			victim = o
		}
	}
	return victim
}

// evict releases the memory of an unfinished body and ends its read. b.mu must be held.
func (b *Budget) evict(o *Body) {
	delete(b.unfinished, o)
	b.release(Bodies, o.held)
	o.held, o.evicted = 0, true
	b.evicted++
	o.interrupt()
}

// Progress records that bytes of the body arrived.
func (o *Body) Progress(now time.Time) {
	o.budget.mu.Lock()
	defer o.budget.mu.Unlock()
	o.progressAt = now
}

// Finish records that the body is not read any further. It reports whether the body is still in memory; it is not evicted
// from then on.
func (o *Body) Finish() bool {
	o.budget.mu.Lock()
	defer o.budget.mu.Unlock()
	delete(o.budget.unfinished, o)
	return !o.evicted
}

// Release returns the memory of the body to the budget.
func (o *Body) Release() {
	o.budget.mu.Lock()
	defer o.budget.mu.Unlock()
	delete(o.budget.unfinished, o)
	o.budget.release(Bodies, o.held)
	o.held = 0
}

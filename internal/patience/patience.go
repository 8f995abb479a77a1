// Package patience bounds how long calls over one path may take when nobody knows how slow the path is. A fixed limit that
// is shorter than the path needs makes every call fail, and each one is repeated although its response is on the way.
//
// The package uses no network and no clock.
package patience

import (
	"sync"
	"time"
)

// responseFactor is how many times as long as the last response took the next one may take.
const responseFactor = 3

// Limit is the time limit of calls over one path. It doubles with each call that exceeds it, as the retransmission timer
// of TCP does, and follows the time that responses take. It is safe for concurrent use.
type Limit struct {
	least, most time.Duration

	mu      sync.Mutex
	current time.Duration
}

// New returns a limit between least and most that begins with least.
func New(least, most time.Duration) *Limit { return &Limit{least: least, most: most, current: least} }

// Current returns how long the next call may take.
func (l *Limit) Current() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Exceeded records that a call of the given length was given up. A call that had less time than the limit allows says
// nothing.
func (l *Limit) Exceeded(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after >= l.current {
		l.current = min(l.most, 2*l.current)
	}
}

// Answered records how long a response took.
func (l *Limit) Answered(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = min(l.most, max(l.least, responseFactor*took))
}

// Reset returns to the least limit, for another process at the end of the path.
func (l *Limit) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = l.least
}

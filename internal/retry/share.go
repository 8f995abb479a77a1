package retry

import (
	"sync"
	"time"
)

// Share divides the constant part of a retry limit among daemons that restart and that learn of
// each other at different times. It is safe for concurrent use.
//
// The shares that all daemons use within one window add up to about one, because a daemon has
// none while it cannot know what was used before: for a window after its start, as an earlier
// process of it may have used its share, and until it has read the registry of daemons. A smaller
// number of daemons takes effect a window later, as the missing ones may have used their shares.
type Share struct {
	window time.Duration

	mu sync.Mutex
	// earliest is when the daemon may use its share first.
	earliest time.Time
	// registryRead is set once the number of daemons is known.
	registryRead bool
	daemons      int
	// earlierDaemons is the largest number of daemons that counts until earlierUntil.
	earlierDaemons int
	earlierUntil   time.Time
}

// NewShare returns the share of a daemon that starts at now. With firstStart set, no daemon has run
// before.
func NewShare(now time.Time, window time.Duration, firstStart bool) *Share {
	s := &Share{window: window, earliest: now.Add(window)}
	if firstStart {
		s.earliest = now
	}
	return s
}

// RegistryRead records that the registry of daemons was read.
func (s *Share) RegistryRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registryRead = true
}

// SetDaemons sets the number of daemons, this one included.
func (s *Share) SetDaemons(now time.Time, daemons int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if daemons < s.daemons {
		s.earlierDaemons = max(s.daemons, s.earlier(now))
		s.earlierUntil = now.Add(s.window)
	}
	s.daemons = daemons
}

// Of returns this daemon's part of total.
func (s *Share) Of(now time.Time, total float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registryRead || now.Before(s.earliest) {
		return 0
	}
	return total / float64(max(1, s.daemons, s.earlier(now)))
}

// earlier returns the number of daemons that still counts from before, or 0. s.mu must be held.
func (s *Share) earlier(now time.Time) int {
	if now.Before(s.earlierUntil) {
		return s.earlierDaemons
	}
	return 0
}

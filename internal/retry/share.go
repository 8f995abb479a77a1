package retry

import (
	"sync"
	"time"
)

// Share divides the constant part of a retry limit among daemons that restart and that learn of
// each other at different times. It is safe for concurrent use.
//
// The shares that all daemons use within one window add up to about one, because a daemon has
// none while it cannot know what was used before: for a window after its start, as its previous
// process may have used its share, unless a peer says how much that was; and until it has read the
// registry of daemons. A smaller number of daemons takes effect a window later, as the missing ones
// may have used their shares.
type Share struct {
	window time.Duration

	mu sync.Mutex
	// earliest is when what the previous process used no longer counts.
	earliest time.Time
	// previousKnown is set once a peer has reported what the previous process used. previousUsed is
	// that number by the newest such report, which was previousAge old when it was received.
	previousKnown bool
	previousUsed  float64
	previousAge   time.Duration
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

// PreviousUsed records a peer's report of what the previous process of this daemon used. age is how
// old the number is.
func (s *Share) PreviousUsed(used float64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.previousKnown || age < s.previousAge {
		s.previousKnown, s.previousUsed, s.previousAge = true, used, age
	}
}

// PreviousCounted returns what the previous process used, as far as it still counts.
func (s *Share) PreviousCounted(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.earliest) {
		return 0
	}
	return s.previousUsed
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
	if !s.registryRead {
		return 0
	}
	share := total / float64(max(1, s.daemons, s.earlier(now)))
	switch {
	case !now.Before(s.earliest):
		return share
	case s.previousKnown:
		return max(0, share-s.previousUsed)
	}
	return 0
}

// earlier returns the number of daemons that still counts from before, or 0. s.mu must be held.
func (s *Share) earlier(now time.Time) int {
	if now.Before(s.earlierUntil) {
		return s.earlierDaemons
	}
	return 0
}

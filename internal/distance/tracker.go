// Package distance estimates the round trip to remote data centres.
package distance

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// windowSize is the number of recent samples kept per data centre. A remote data centre is
// probed every few seconds, so the estimate follows a longer path within a minute.
const windowSize = 16

// Tracker estimates the round trip to each data centre as the minimum of the recent samples,
// because connection set-up, queueing and a busy peer can only lengthen a sample (the
// windowed minimum of Cardwell et al., "BBR: Congestion-Based Congestion Control", 2016).
// It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	samples map[string][]time.Duration

	current atomic.Pointer[map[string]time.Duration]
}

// NewTracker returns a Tracker without samples.
func NewTracker() *Tracker {
	t := &Tracker{samples: map[string][]time.Duration{}}
	t.current.Store(&map[string]time.Duration{})
	return t
}

// Observe records the time between a message to a daemon of a data centre and its response.
func (t *Tracker) Observe(dataCentre string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := append(t.samples[dataCentre], roundTrip)
	window = slices.Delete(window, 0, max(0, len(window)-windowSize))
	t.samples[dataCentre] = window
	least := slices.Min(window)
	old := *t.current.Load()
	if known, ok := old[dataCentre]; ok && known == least {
		return
	}
	next := maps.Clone(old)
	next[dataCentre] = least
	t.current.Store(&next)
}

// RoundTrips returns the estimates by data centre. Later samples do not change the returned map,
// and the caller must not modify it.
func (t *Tracker) RoundTrips() map[string]time.Duration { return *t.current.Load() }

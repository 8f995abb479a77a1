// Package retry decides whether and when a failed attempt is followed by another.
package retry

import (
	"math/rand/v2"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

const (
	// floorBurst is the number of retries that a key may make at once without any
	// first attempt before, so that a quiet profile survives an engine's failure.
	floorBurst = 10
	// floorInterval is the time in which one retry of the floor is regained.
	floorInterval = time.Second
	// maxSaved bounds the retries that first attempts save up for a failure.
	maxSaved = 200
)

const (
	// baseDelay bounds the first backoff.
	baseDelay = 50 * time.Millisecond
	// maxDelay bounds every backoff.
	maxDelay = time.Second
	// deadlineFactor limits retries to this many times a profile's total target.
	deadlineFactor = 2
)

// Key selects a budget.
type Key struct {
	Profile string
	Rank    profile.Rank
}

// Budgets holds a retry budget per key. Within any time t, a key spends at most
// floorBurst + t/floorInterval retries plus its share of the first attempts. It is
// not safe for concurrent use.
type Budgets struct {
	budgets map[Key]*budget
}

type budget struct {
	saved float64
	floor float64
	since time.Time
}

// NewBudgets returns budgets that are at their floor.
func NewBudgets() *Budgets { return &Budgets{budgets: map[Key]*budget{}} }

func (b *Budgets) budget(key Key, now time.Time) *budget {
	g, ok := b.budgets[key]
	if !ok {
		g = &budget{floor: floorBurst, since: now}
		b.budgets[key] = g
	}
	g.refill(now)
	return g
}

func (g *budget) refill(now time.Time) {
	elapsed := now.Sub(g.since)
	if elapsed <= 0 {
		return
	}
	g.floor = min(floorBurst, g.floor+float64(elapsed)/float64(floorInterval))
	g.since = now
}

// RecordFirstAttempt counts a first attempt, which earns share of a retry.
func (b *Budgets) RecordFirstAttempt(key Key, share float64, now time.Time) {
	g := b.budget(key, now)
	g.saved = min(maxSaved, g.saved+share)
}

// TryRetry spends one retry. It returns false when the budget is exhausted.
func (b *Budgets) TryRetry(key Key, now time.Time) bool {
	g := b.budget(key, now)
	switch {
	case g.saved >= 1:
		g.saved--
	case g.floor >= 1:
		g.floor--
	default:
		return false
	}
	return true
}

// Retain forgets the budgets of keys that keep rejects, so that withdrawn
// profiles take no memory.
func (b *Budgets) Retain(keep func(Key) bool) {
	for key := range b.budgets {
		if !keep(key) {
			delete(b.budgets, key)
		}
	}
}

// Backoff returns the pause before the retry that follows a number of failures:
// full jitter below an exponentially growing bound.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	bound := maxDelay
	if shift := max(failures-1, 0); shift < 5 {
		bound = min(maxDelay, baseDelay<<shift)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}

// Deadline returns the time after which no retry starts, for a request that
// started at a given time. The caller's own deadline may be earlier.
func Deadline(started time.Time, total time.Duration) time.Time {
	return started.Add(deadlineFactor * total)
}

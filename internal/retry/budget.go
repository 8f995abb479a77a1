// Package retry decides whether and when a failed attempt may be retried.
package retry

import (
	"math/rand/v2"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

const (
	// floorBurst is the number of retries that a key may make at once without preceding
	// first attempts, so that a profile with little traffic survives an engine failure.
	floorBurst = 10
	// floorInterval is the time in which the floor is refilled by one retry.
	floorInterval = time.Second
	// maxSavedRetries bounds the retries that first attempts accumulate for a failure.
	maxSavedRetries = 200
)

const (
	// baseDelay is the upper bound of the first backoff.
	baseDelay = 50 * time.Millisecond
	// maxDelay is the upper bound of every backoff.
	maxDelay = time.Second
	// deadlineFactor limits the time for retries to this multiple of a profile's total
	// target.
	deadlineFactor = 2
)

// Key selects a budget.
type Key struct {
	Profile string
	Rank    profile.Rank
}

// Budgets holds a retry budget per key. In a period of length t from its first use, a key
// spends at most floorBurst + t/floorInterval retries plus its share of the first attempts.
// It is not safe for concurrent use.
type Budgets struct {
	budgets map[Key]*budget
}

// budget is the retry budget of one key.
type budget struct {
	// saved is the number of retries that first attempts have added, floor the number of
	// those that are allowed without first attempts.
	saved      float64
	floor      float64
	lastRefill time.Time
}

// NewBudgets returns an empty set of budgets. The budget of a new key starts with a full
// floor.
func NewBudgets() *Budgets { return &Budgets{budgets: map[Key]*budget{}} }

// budget returns the refilled budget of a key and creates it if necessary.
func (b *Budgets) budget(key Key, now time.Time) *budget {
	g, ok := b.budgets[key]
	if !ok {
		g = &budget{floor: floorBurst, lastRefill: now}
		b.budgets[key] = g
	}
	g.refill(now)
	return g
}

// refill adds to the floor the retries of the time since the last refill.
func (g *budget) refill(now time.Time) {
	elapsed := now.Sub(g.lastRefill)
	if elapsed <= 0 {
		return
	}
	g.floor = min(floorBurst, g.floor+float64(elapsed)/float64(floorInterval))
	g.lastRefill = now
}

// RecordFirstAttempt records a first attempt, which adds share of a retry to the budget.
func (b *Budgets) RecordFirstAttempt(key Key, share float64, now time.Time) {
	g := b.budget(key, now)
	g.saved = min(maxSavedRetries, g.saved+share)
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

// Retain removes the budgets of all keys for which keep returns false, so that removed
// profiles use no memory.
func (b *Budgets) Retain(keep func(Key) bool) {
	for key := range b.budgets {
		if !keep(key) {
			delete(b.budgets, key)
		}
	}
}

// Backoff returns the delay before the retry that follows the given number of failures: a
// random time below an exponentially growing bound (full jitter).
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

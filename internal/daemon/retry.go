package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/retry"
)

// backoffRNGStream selects the random sequence of the backoff delays.
const backoffRNGStream = 1

// retryLimiter holds the retry budgets and computes the backoff delays of a daemon. It is
// safe for concurrent use.
type retryLimiter struct {
	mu      sync.Mutex
	budgets *retry.Budgets
	rng     *rand.Rand
}

func newRetryLimiter(seed uint64) *retryLimiter {
	return &retryLimiter{
		budgets: retry.NewBudgets(),
		rng:     rand.New(rand.NewPCG(seed, backoffRNGStream)),
	}
}

// retryKey returns the key of a profile's retry budget.
func retryKey(p *profile.Profile) retry.Key { return retry.Key{Profile: p.Name, Rank: p.Rank} }

// recordFirstAttempt counts the first attempt of a request, which adds to the retry budget.
func (r *retryLimiter) recordFirstAttempt(p *profile.Profile) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.RecordFirstAttempt(retryKey(p), p.RetryShare, time.Now())
}

// allowRetry consumes one retry from the budget. It returns false if the budget is
// exhausted.
func (r *retryLimiter) allowRetry(p *profile.Profile) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.TryRetry(retryKey(p), time.Now())
}

// backoff returns the randomised delay after a number of failures.
func (r *retryLimiter) backoff(failures int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff(failures, r.rng)
}

// retainProfiles removes the budgets of profiles that the configuration does not contain,
// or contains with another rank.
func (r *retryLimiter) retainProfiles(s *profile.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.Retain(func(key retry.Key) bool {
		p := s.Profile(key.Profile)
		return p != nil && p.Rank == key.Rank
	})
}

// awaitRetry blocks after a failed attempt until the retry budget allows another one.
// Waiting for the budget, instead of failing, keeps the request alive without adding load.
// It returns a refusal if the caller disconnects or the deadline passes.
func (d *Daemon) awaitRetry(ctx context.Context, g *generation) error {
	exhausted := false
	for failures := g.failures; ; failures++ {
		if err := d.waitBackoff(ctx, g, failures); err != nil {
			if exhausted && ctx.Err() == nil {
				return g.refuse(refusal.BudgetExhausted, "the retry budget of profile %q is exhausted", g.profile.Name)
			}
			return err
		}
		if g.retryReserved.Swap(false) || d.retryLimiter.allowRetry(g.profile) {
			return nil
		}
		if !exhausted {
			exhausted = true
			d.metrics.RetriesDelayed.Add(1)
		}
	}
}

// waitBackoff sleeps for the backoff delay after a number of failures. It returns a refusal
// if the caller disconnects or the request's deadline has passed afterwards.
func (d *Daemon) waitBackoff(ctx context.Context, g *generation, failures int) error {
	clock.Sleep(ctx, d.retryLimiter.backoff(failures))
	if ctx.Err() != nil {
		return g.refuse(refusal.Incomplete, "the caller disconnected before the response was complete")
	}
	if time.Now().After(g.deadline) {
		return g.refuse(refusal.Incomplete, "the response is incomplete at the deadline, after %d attempts", g.attempt)
	}
	return nil
}

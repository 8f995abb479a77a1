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

// backoffRNGStream selects the random sequence of backoffs.
const backoffRNGStream = 1

// retryLimiter guards the retry budgets of a daemon.
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

func retryKey(p *profile.Profile) retry.Key { return retry.Key{Profile: p.Name, Rank: p.Rank} }

func (r *retryLimiter) recordRequest(p *profile.Profile) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.RecordFirstAttempt(retryKey(p), p.RetryShare, time.Now())
}

func (r *retryLimiter) allowRetry(p *profile.Profile) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.TryRetry(retryKey(p), time.Now())
}

func (r *retryLimiter) backoff(failures int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff(failures, r.rng)
}

// retainProfiles forgets the budgets of profiles that a configuration does not have.
func (r *retryLimiter) retainProfiles(s *profile.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.Retain(func(key retry.Key) bool {
		p := s.Profile(key.Profile)
		return p != nil && p.Rank == key.Rank
	})
}

// awaitRetry pauses after a failed attempt until the budget allows another one.
// Waiting for the budget keeps the request alive without adding load.
func (d *Daemon) awaitRetry(ctx context.Context, g *generation) error {
	exhausted := false
	for tries := g.failures; ; tries++ {
		if err := d.waitBackoff(ctx, g, tries); err != nil {
			if exhausted && ctx.Err() == nil {
				return g.refuse(refusal.BudgetExhausted, "the retry budget of profile %q is exhausted", g.profile.Name)
			}
			return err
		}
		if d.retryLimiter.allowRetry(g.profile) {
			return nil
		}
		if !exhausted {
			exhausted = true
			d.metrics.RetriesDelayed.Add(1)
		}
	}
}

// waitBackoff sleeps for a jittered time. It fails when the caller left or when the
// request's deadline is over afterwards.
func (d *Daemon) waitBackoff(ctx context.Context, g *generation, tries int) error {
	clock.Sleep(ctx, d.retryLimiter.backoff(tries))
	if ctx.Err() != nil {
		return g.refuse(refusal.Incomplete, "the caller left before the answer was whole")
	}
	if time.Now().After(g.deadline) {
		return g.refuse(refusal.Incomplete, "the answer is not whole at the deadline, after %d attempts", g.attempt)
	}
	return nil
}

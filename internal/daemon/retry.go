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

// retryStream selects the random sequence of backoffs.
const retryStream = 1

// retries guards the retry budgets of a daemon.
type retries struct {
	mu      sync.Mutex
	budgets *retry.Budgets
	rng     *rand.Rand
}

func newRetries(seed uint64) *retries {
	return &retries{
		budgets: retry.NewBudgets(),
		rng:     rand.New(rand.NewPCG(seed, retryStream)),
	}
}

func retryKey(p *profile.Profile) retry.Key { return retry.Key{Profile: p.Name, Rank: p.Rank} }

func (r *retries) first(p *profile.Profile) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budgets.RecordFirstAttempt(retryKey(p), p.RetryShare, time.Now())
}

func (r *retries) take(p *profile.Profile) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budgets.TryRetry(retryKey(p), time.Now())
}

func (r *retries) backoff(failures int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff(failures, r.rng)
}

// retain forgets the budgets of profiles that a configuration does not have.
func (r *retries) retain(s *profile.Snapshot) {
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
		if err := d.pause(ctx, g, tries); err != nil {
			if exhausted && ctx.Err() == nil {
				return g.refuse(refusal.BudgetExhausted, "the retry budget of profile %q is exhausted", g.profile.Name)
			}
			return err
		}
		if d.retries.take(g.profile) {
			return nil
		}
		if !exhausted {
			exhausted = true
			d.metrics.RetriesDelayed.Add(1)
		}
	}
}

// pause sleeps for a jittered time. It fails when the caller left or when the
// request's deadline is over afterwards.
func (d *Daemon) pause(ctx context.Context, g *generation, tries int) error {
	clock.Sleep(ctx, d.retries.backoff(tries))
	if ctx.Err() != nil {
		return g.refuse(refusal.Incomplete, "the caller left before the answer was whole")
	}
	if time.Now().After(g.deadline) {
		return g.refuse(refusal.Incomplete, "the answer is not whole at the deadline, after %d attempts", g.attempt)
	}
	return nil
}

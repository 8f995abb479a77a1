package placement

import (
	"math"
	"time"
)

const (
	// failureHalfLife is the time after which an outcome counts half.
	failureHalfLife = 3 * time.Second
	// assumedSuccesses is the number of successes that are assumed in addition to the observed
	// outcomes, so that a single failure does not condemn a runner.
	assumedSuccesses = 8
)

// failureRate estimates the probability that a request fails at a runner from the recent outcomes
// of this daemon and of its peers. A runner that fails some of its requests gets requests in
// proportion again as its failures fade, so that its recovery is noticed. The zero value has no
// outcomes.
type failureRate struct {
	// failed and ended are the numbers of outcomes as of at, with older ones counting less.
	failed, ended float64
	at            time.Time
}

// observe adds outcomes: failed of the ended requests have failed.
func (r *failureRate) observe(now time.Time, failed, ended int64) {
	share := r.remaining(now)
	r.failed = r.failed*share + float64(failed)
	r.ended = r.ended*share + float64(ended)
	r.at = now
}

// probability returns the probability that the next request fails, from 0 to 1.
func (r *failureRate) probability(now time.Time) float64 {
	share := r.remaining(now)
	return r.failed * share / (r.ended*share + assumedSuccesses)
}

// remaining returns the share to which the outcomes have faded.
func (r *failureRate) remaining(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(r.at).Seconds()) / failureHalfLife.Seconds())
}

// FailureProbability returns the probability that a request fails at the runner, from 0 to 1.
func (r *InFlightRequest) FailureProbability(now time.Time) float64 {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.member.failureRate.probability(now)
}

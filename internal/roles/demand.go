package roles

import (
	"math"
	"time"
)

// Demand is the offered load in tokens per second, or in another unit of work per second if the
// Speeds of the planner use the same one.
type Demand struct {
	Prompt float64
	Output float64
}

// moveTowards returns the weighted mean of d and sample; weight is from 0 (d) to 1 (sample).
func (d Demand) moveTowards(sample Demand, weight float64) Demand {
	return Demand{
		Prompt: d.Prompt + weight*(sample.Prompt-d.Prompt),
		Output: d.Output + weight*(sample.Output-d.Output),
	}
}

// EstimatorOptions holds the half-lives of the moving averages.
type EstimatorOptions struct {
	Fast time.Duration
	Slow time.Duration
}

// DefaultEstimatorOptions returns half-lives that distinguish a burst from a shift that lasts
// minutes.
func DefaultEstimatorOptions() EstimatorOptions {
	return EstimatorOptions{Fast: 10 * time.Second, Slow: 60 * time.Second}
}

// Estimator tracks the demand for one model with a fast and a slow moving average. It is not
// safe for concurrent use.
type Estimator struct {
	opts            EstimatorOptions
	lastObservation time.Time
	fast, slow      Demand
	initialised     bool
}

// NewEstimator returns an estimator without samples.
func NewEstimator(o EstimatorOptions) *Estimator { return &Estimator{opts: o} }

// Observe adds the prompt and output tokens that were offered since the previous call. The
// first call only sets the start of the measurement.
func (e *Estimator) Observe(now time.Time, prompt, output float64) {
	if e.lastObservation.IsZero() {
		e.lastObservation = now
		return
	}
	seconds := now.Sub(e.lastObservation).Seconds()
	if seconds <= 0 {
		return
	}
	e.lastObservation = now
	sample := Demand{Prompt: prompt / seconds, Output: output / seconds}
	if !e.initialised {
		e.fast, e.slow, e.initialised = sample, sample, true
		return
	}
	e.fast = e.fast.moveTowards(sample, sampleWeight(seconds, e.opts.Fast))
	e.slow = e.slow.moveTowards(sample, sampleWeight(seconds, e.opts.Slow))
}

// sampleWeight returns the weight of a sample that covers the given number of seconds.
func sampleWeight(seconds float64, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-seconds/halfLife.Seconds())
}

// Fast returns the fast average.
func (e *Estimator) Fast() Demand { return e.fast }

// Slow returns the slow average.
func (e *Estimator) Slow() Demand { return e.slow }

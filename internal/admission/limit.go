package admission

import "time"

const (
	// decreaseThreshold is the part of a target above which the limit shrinks. It
	// leaves room for the delay until a smaller limit shows.
	decreaseThreshold = 0.9
	// increaseThreshold is the part of a target below which a limit in use may grow.
	increaseThreshold = 0.7
	// minDecreaseFactor and limitDecreaseMax bound the factor of one decrease.
	minDecreaseFactor = 0.7
	maxDecreaseFactor = 0.95
	// increaseFactor is the factor of one increase, limitStart the factor until the
	// first decrease, when the right limit may still be far away.
	increaseFactor        = 1.05
	initialIncreaseFactor = 1.25
	// minChangeInterval is the shortest time between two changes.
	minChangeInterval = 500 * time.Millisecond
	// minLimitFraction is the smallest part of the initial limit.
	minLimitFraction = 0.1
)

// LimitOptions configures a Limit. Both values are in the unit of the limit.
type LimitOptions struct {
	Initial float64
	Max     float64
}

// Sample is one delay that an answer of an engine showed.
type Sample struct {
	// Sent is when the request was sent to the engine.
	Sent time.Time
	// Delay is what was measured, Target the longest delay allowed.
	Delay, Target time.Duration
}

// Limit is an adaptive limit on the work inside one engine: it grows slowly while
// answers stay well within their targets and requests wait, and shrinks with the
// excess over the targets.
type Limit struct {
	opts         LimitOptions
	value        float64
	hasDecreased bool
	lastChange   time.Time
}

// NewLimit returns a limit with its initial value.
func NewLimit(o LimitOptions) *Limit { return &Limit{opts: o, value: min(o.Initial, o.Max)} }

// Value returns the limit in the unit of its options.
func (l *Limit) Value() float64 { return l.value }

// Observe adapts the limit to one answer. Waiting tells whether requests wait
// for capacity: a limit that is not reached has no reason to grow. Answers to
// requests that were sent before the last change do not show its effect yet.
func (l *Limit) Observe(now time.Time, s Sample, waiting bool) {
	if now.Sub(l.lastChange) < minChangeInterval || s.Sent.Before(l.lastChange) || s.Target <= 0 {
		return
	}
	switch p := float64(s.Delay) / float64(s.Target); {
	case p > decreaseThreshold:
		l.hasDecreased = true
		l.set(now, l.value*max(minDecreaseFactor, min(decreaseThreshold/p, maxDecreaseFactor)))
	case p < increaseThreshold && waiting && l.hasDecreased:
		l.set(now, l.value*increaseFactor)
	case p < increaseThreshold && waiting:
		l.set(now, l.value*initialIncreaseFactor)
	}
}

func (l *Limit) set(now time.Time, value float64) {
	l.lastChange = now
	l.value = max(l.opts.Initial*minLimitFraction, min(value, l.opts.Max))
}

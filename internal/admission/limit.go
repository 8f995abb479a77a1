package admission

import "time"

const (
	// decreaseThreshold is the ratio of delay to target above which the limit shrinks. It
	// is below 1 because a smaller limit takes effect with a delay.
	decreaseThreshold = 0.9
	// increaseThreshold is the ratio of delay to target below which a limit that is
	// reached may grow.
	increaseThreshold = 0.7
	// minDecreaseFactor and maxDecreaseFactor bound the factor of one decrease.
	minDecreaseFactor = 0.7
	maxDecreaseFactor = 0.95
	// increaseFactor is the factor of one increase. Until the first decrease,
	// initialIncreaseFactor applies, because the limit may still be far below the right value.
	increaseFactor        = 1.05
	initialIncreaseFactor = 1.25
	// minChangeInterval is the shortest time between two changes.
	minChangeInterval = 500 * time.Millisecond
	// minLimitFraction is the lower bound of the limit as a fraction of its initial value.
	minLimitFraction = 0.1
)

// LimitOptions configures a Limit. Initial is its first value and Max its upper bound,
// both in the unit of the limit.
type LimitOptions struct {
	Initial float64
	Max     float64
}

// Sample is one delay that was measured on a response of an engine.
type Sample struct {
	// Sent is when the request was sent to the engine.
	Sent time.Time
	// Delay is the measured delay, Target the longest allowed one.
	Delay, Target time.Duration
}

// Limit is an adaptive limit on the load of one engine. It grows slowly while delays
// stay well below their targets and requests wait, and shrinks in proportion to the
// excess over the targets.
type Limit struct {
	opts         LimitOptions
	value        float64
	hasDecreased bool
	lastChange   time.Time
}

// NewLimit returns a Limit that starts at o.Initial, or at o.Max if that is smaller.
func NewLimit(o LimitOptions) *Limit { return &Limit{opts: o, value: min(o.Initial, o.Max)} }

// Value returns the limit in the unit of its options.
func (l *Limit) Value() float64 { return l.value }

// Observe adapts the limit to one sample. The waiting argument says whether requests
// wait for capacity: a limit that is not reached need not grow. Samples of requests that
// were sent before the last change do not reflect it yet and are ignored.
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

// set changes the limit within minLimitFraction of its initial value and its maximum.
func (l *Limit) set(now time.Time, value float64) {
	l.lastChange = now
	l.value = max(l.opts.Initial*minLimitFraction, min(value, l.opts.Max))
}

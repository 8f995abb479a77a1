package admission

import "time"

const (
	// pressureHigh is the part of a target above which the limit shrinks. It
	// leaves room for the delay until a smaller limit shows.
	pressureHigh = 0.9
	// pressureLow is the part of a target below which a limit in use may grow.
	pressureLow = 0.7
	// limitDecrease is the factor of one decrease; limitIncrease adds that part
	// of the initial limit in one increase.
	limitDecrease = 0.9
	limitIncrease = 0.05
	// limitInterval is the shortest time between two changes: the effect of a
	// change shows only in answers that started after it.
	limitInterval = 500 * time.Millisecond
	// limitFloor is the smallest part of the initial limit.
	limitFloor = 0.1
)

// LimitOptions configures a Limit. Both values are in tokens of prompt and output.
type LimitOptions struct {
	Initial float64
	// Max is the most that the engine can hold, its KV cache.
	Max float64
}

// Sample is what one answer of an engine showed.
type Sample struct {
	// FirstToken is the time from dispatch to the first token, FirstTokenTarget
	// what remained of the profile's target at dispatch.
	FirstToken, FirstTokenTarget time.Duration
	// Token is the mean time between tokens, TokenTarget the profile's target.
	Token, TokenTarget time.Duration
}

// pressure returns how far the sample used its targets, 1 for the whole target.
func (s Sample) pressure() float64 {
	p := 0.0
	if s.FirstTokenTarget > 0 {
		p = max(p, float64(s.FirstToken)/float64(s.FirstTokenTarget))
	}
	if s.TokenTarget > 0 {
		p = max(p, float64(s.Token)/float64(s.TokenTarget))
	}
	return p
}

// Limit is the adaptive concurrency limit of one engine: additive increase while
// answers stay well within their targets, multiplicative decrease otherwise.
type Limit struct {
	opts    LimitOptions
	value   float64
	changed time.Time
}

// NewLimit returns a limit with its initial value.
func NewLimit(o LimitOptions) *Limit { return &Limit{opts: o, value: min(o.Initial, o.Max)} }

// Tokens returns the work, in tokens, that the engine may hold.
func (l *Limit) Tokens() float64 { return l.value }

// Observe adapts the limit to one answer. Waiting tells whether requests wait
// for capacity: a limit that is not reached has no reason to grow.
func (l *Limit) Observe(now time.Time, s Sample, waiting bool) {
	if now.Sub(l.changed) < limitInterval {
		return
	}
	switch p := s.pressure(); {
	case p > pressureHigh:
		l.set(now, l.value*limitDecrease)
	case p < pressureLow && waiting:
		l.set(now, l.value+l.opts.Initial*limitIncrease)
	}
}

func (l *Limit) set(now time.Time, value float64) {
	l.changed = now
	l.value = max(l.opts.Initial*limitFloor, min(value, l.opts.Max))
}

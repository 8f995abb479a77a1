// Package capacity decides how many runners of each kind a service has in a data centre. It answers two loads: a sustained
// change of demand, which runners that start slowly can follow, and the loss of all reclaimable runners at once. It needs
// no network and no clock.
package capacity

import (
	"math"
	"time"
)

const (
	// targetUtilisation is the share of a runner's capacity that is planned to be in use. The rest serves bursts that end
	// before a new runner has started.
	targetUtilisation = 0.5
	// regularShare is the share of the wanted runners that cannot be reclaimed. They carry the most urgent requests until
	// the others are replaced.
	regularShare = 0.1
	// minRegular is the number of runners that cannot be reclaimed and are kept in any case, as far as Max allows, so that
	// one of them may fail.
	minRegular = 2
	// replaceDelay is how long the number of reclaimable runners must not change before they replace others.
	replaceDelay = time.Second
	// peakHalfLife is the half-life of the highest demand seen. It is long compared with bursts, so that the number of
	// runners does not swing with them.
	peakHalfLife = time.Minute
	// settleTime is how long the number of runners must not change before it counts as the number that the operators have
	// started with. It is longer than runners take to register one after another.
	settleTime = 2500 * time.Millisecond
	// retryAfterNone is how long no reclaimable runners are ordered after there were none.
	retryAfterNone = 10 * time.Second
	// repeatFactor gives the time after which an order is repeated that had no effect, as a multiple of the time that
	// runners take to start.
	repeatFactor = 3
)

// Limits bound what may be ordered in one data centre.
type Limits struct {
	Min, Max int
	// BootTime is how long a new runner takes until it serves.
	BootTime time.Duration
	// Reclaimable is set if there are runners that may be reclaimed and cost less.
	Reclaimable bool
	// DataCentres is the number of data centres that have runners of the service.
	DataCentres int
}

// Observation is what a planner knows of the runners of a service in a data centre. Runners that leave are not counted.
type Observation struct {
	Regular, Reclaimable int
	// Demand is the number of fully used runners that the sustained load occupies; negative if it is not known.
	Demand float64
}

// State is what a successor of a planner has to know.
type State struct {
	// Wanted is the number of runners of both kinds together.
	Wanted int `json:"wanted"`
	// Regular and Reclaimable are the numbers that were last ordered.
	Regular     int `json:"regular"`
	Reclaimable int `json:"reclaimable"`
}

// Order asks for a number of runners of one kind.
type Order struct {
	Reclaimable bool
	Count       int
	// Reason says why, for the log.
	Reason string
}

// Planner plans for one service in one data centre. It is not safe for concurrent use.
type Planner struct {
	limits Limits
	state  State
	// orderedAt is when runners of a kind were last ordered.
	orderedAt map[bool]time.Time
	// noneUntil is the time until which no reclaimable runners are ordered, because there were none.
	noneUntil time.Time
	peak      float64
	peakAt    time.Time
	// present is the number of runners at the last call before the wanted number was known, presentSince since when.
	present      int
	presentSince time.Time
	// reclaimable is the number of reclaimable runners that served at the last call, reclaimableSince since when.
	reclaimable      int
	reclaimableSince time.Time
}

// NewPlanner returns a planner that continues from the state of an earlier one; the zero value is none.
func NewPlanner(limits Limits, state State) *Planner {
	return &Planner{limits: limits, state: state, orderedAt: map[bool]time.Time{}}
}

// State returns the state for a successor.
func (p *Planner) State() State { return p.state }

// SetLimits replaces the limits.
func (p *Planner) SetLimits(limits Limits) { p.limits = limits }

// Plan returns the orders that are due. Whoever sends them calls Ordered.
func (p *Planner) Plan(now time.Time, o Observation) []Order {
	if p.state.Wanted == 0 && !p.adopt(now, o) {
		return nil
	}
	p.follow(now, o.Demand)
	regular, reclaimable := p.split(now, o)
	var orders []Order
	add := func(kind bool, count, ordered, present int, reason string) {
		switch {
		case count != ordered:
			orders = append(orders, Order{Reclaimable: kind, Count: count, Reason: reason})
		case present < count && now.Sub(p.orderedAt[kind]) >= repeatFactor*p.limits.BootTime:
			orders = append(orders, Order{Reclaimable: kind, Count: count, Reason: "order had no effect"})
		}
	}
	if p.limits.Reclaimable {
		add(true, reclaimable, p.state.Reclaimable, o.Reclaimable, "reserve of reclaimable runners")
	}
	add(false, regular, p.state.Regular, o.Regular, "runners that reclaimable ones do not replace")
	return orders
}

// adopt takes the number of runners that the operators have started with as the wanted one, because it holds the reserve
// that they chose. It reports whether that number is known.
func (p *Planner) adopt(now time.Time, o Observation) bool {
	if present := o.Regular + o.Reclaimable; present != p.present {
		p.present, p.presentSince = present, now
	}
	if p.present == 0 || now.Sub(p.presentSince) < settleTime {
		return false
	}
	p.state = State{Wanted: p.bound(p.present), Regular: o.Regular, Reclaimable: o.Reclaimable}
	return true
}

// follow adapts the wanted number to the demand.
func (p *Planner) follow(now time.Time, demand float64) {
	if demand < 0 {
		return
	}
	if !p.peakAt.IsZero() {
		p.peak *= math.Exp2(-now.Sub(p.peakAt).Seconds() / peakHalfLife.Seconds())
	}
	p.peak, p.peakAt = max(p.peak, demand), now
	needed := p.bound(int(math.Ceil(p.peak / targetUtilisation)))
	if needed > p.state.Wanted {
		p.state.Wanted = needed
	}
}

// split divides the wanted number into kinds. Runners that cannot be reclaimed go only once as many others serve, and
// come at once when those leave. Both numbers together do not exceed the limit; while they would,
// reclaimable runners come as the others go.
func (p *Planner) split(now time.Time, o Observation) (regular, reclaimable int) {
	if !p.limits.Reclaimable {
		return p.state.Wanted, 0
	}
	if o.Reclaimable != p.reclaimable {
		p.reclaimable, p.reclaimableSince = o.Reclaimable, now
	}
	base := max(minRegular, p.limits.Min, int(math.Ceil(regularShare*float64(p.state.Wanted))))
	base = min(base, p.state.Wanted)
	reclaimable = p.state.Wanted - base
	regular = base + max(0, reclaimable-o.Reclaimable)
	reclaimable += p.reserve(reclaimable)
	if regular < p.state.Regular && now.Sub(p.reclaimableSince) < replaceDelay {
		regular = min(p.state.Regular, p.limits.Max)
	}
	reclaimable = min(reclaimable, p.limits.Max-regular)
	if now.Before(p.noneUntil) {
		// An order for as many as there are needs no new ones, and leaves room for others.
		reclaimable = min(reclaimable, o.Reclaimable)
	}
	return min(regular, p.limits.Max-max(reclaimable, p.state.Reclaimable)), reclaimable
}

// reserve returns the number of reclaimable runners that are wanted in addition, so that the other data centres together
// replace those of one that are all reclaimed until others have started there.
func (p *Planner) reserve(reclaimable int) int {
	if p.limits.DataCentres < 2 {
		return 0
	}
	return int(math.Ceil(float64(reclaimable) / float64(p.limits.DataCentres-1)))
}

// bound returns a number within the limits.
func (p *Planner) bound(n int) int { return max(p.limits.Min, min(n, p.limits.Max)) }

// Ordered records that an order was sent. none is set if the platform had no such runners.
func (p *Planner) Ordered(now time.Time, o Order, none bool) {
	p.orderedAt[o.Reclaimable] = now
	switch {
	case none:
		p.noneUntil = now.Add(retryAfterNone)
	case o.Reclaimable:
		p.state.Reclaimable = o.Count
	default:
		p.state.Regular = o.Count
	}
}

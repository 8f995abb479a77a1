package roles

import (
	"math"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Options configures a Planner.
type Options struct {
	// Speeds holds the throughput of one engine in each role.
	Speeds Speeds
	// ChangeTime is how long an engine is out of service for drain and reload.
	ChangeTime time.Duration
	// ExpectedStay is how long the engine is expected to keep its new role; the gain counts
	// for this time.
	ExpectedStay time.Duration
	// MinStay is the shortest time between two changes of one engine.
	MinStay time.Duration
	// BusyThreshold is the utilisation, 0 to 1, below which a change has no gain, because
	// idle capacity absorbs the shift.
	BusyThreshold float64
	// Margin is the factor by which the gain must exceed the cost in a large data centre.
	// In a data centre of n engines, ShareMargin/n is added to it.
	Margin      float64
	ShareMargin float64
	// MaxConcurrent is the number of engines that may be out of service at once; 0 counts
	// as 1.
	MaxConcurrent int
}

// DefaultOptions returns options for engines of the given speeds.
func DefaultOptions(s Speeds) Options {
	return Options{
		Speeds:        s,
		ChangeTime:    30 * time.Second,
		ExpectedStay:  5 * time.Minute,
		MinStay:       2 * time.Minute,
		BusyThreshold: 0.85,
		Margin:        1.2,
		ShareMargin:   3,
	}
}

// Engine is one engine of the data centre.
type Engine struct {
	ID   string
	Role port.Role
	// Since is the time at which the engine took its role.
	Since time.Time
	// Serving is false while the engine drains, changes its role or is down. While it changes
	// its role, Role is the new one.
	Serving bool
}

// Input is the state on which a decision is based.
type Input struct {
	Engines []Engine
	// Allowed lists the roles that the engines of the pool may take.
	Allowed []port.Role
	// MinServing is the number of engines that must stay in service.
	MinServing int
	// MinPerRole is the number of engines that each role must keep.
	MinPerRole map[port.Role]int
	// Fast and Slow are the averages of an Estimator.
	Fast, Slow Demand
}

// Decision is the reason why a change is proposed or not.
type Decision string

// Decisions of a Proposal.
const (
	// Change means that the change is proposed.
	Change Decision = "change"
	// NoGain means that no change has a gain that exceeds its cost by the margin.
	NoGain Decision = "no-gain"
	// ChangeInProgress means that at least MaxConcurrent engines are already out of service.
	ChangeInProgress Decision = "another-engine-is-out-of-service"
	// BelowMinServing means that too few engines would stay in service or keep the role.
	BelowMinServing Decision = "below-min-serving"
	// MinStayNotReached means that the engine changed its role less than MinStay ago.
	MinStayNotReached Decision = "minimum-stay"
)

// Proposal is a decision with the values on which it is based. Engine, From and To are set
// for the best candidate, even if its gain is insufficient.
type Proposal struct {
	Decision Decision  `json:"verdict"`
	Engine   string    `json:"engine,omitempty"`
	From     port.Role `json:"from,omitempty"`
	To       port.Role `json:"to,omitempty"`
	// Before, During and After are the predicted utilisations before the change, while the
	// engine is unavailable and after the change, under the demand (Fast or Slow) with the
	// smaller net gain.
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	During float64 `json:"during"`
	// Gain and Cost are in seconds of engine time; for a change, Gain must exceed
	// Margin x Cost.
	Gain   float64 `json:"gain"`
	Cost   float64 `json:"cost"`
	Margin float64 `json:"margin"`
	Fast   Demand  `json:"fast"`
	Slow   Demand  `json:"slow"`

	// netGain is Gain - Margin x Cost under the fast demand. It ranks candidates.
	netGain float64
}

// Planner proposes role changes, one at a time.
type Planner struct{ opts Options }

// NewPlanner returns a planner with the given options.
func NewPlanner(o Options) *Planner { return &Planner{opts: o} }

// Propose returns the best change, or the reason why there is none.
func (p *Planner) Propose(now time.Time, in Input) Proposal {
	none := Proposal{Decision: NoGain, Fast: in.Fast, Slow: in.Slow, netGain: math.Inf(-1)}
	serving := 0
	for _, e := range in.Engines {
		if e.Serving {
			serving++
		}
	}
	if len(in.Engines)-serving >= max(1, p.opts.MaxConcurrent) {
		none.Decision = ChangeInProgress
		return none
	}
	if serving-1 < max(in.MinServing, 1) {
		none.Decision = BelowMinServing
		return none
	}
	best := none
	for _, e := range p.longestInRole(in.Engines) {
		best = higherNetGain(best, p.bestChangeOf(now, in, e))
	}
	return best
}

// longestInRole returns for each role the serving engine that has had it the longest, or the
// first one of several. The gain is the same for all engines of a role.
func (p *Planner) longestInRole(engines []Engine) []Engine {
	var out []Engine
	for _, e := range engines {
		if !e.Serving {
			continue
		}
		i := slices.IndexFunc(out, func(other Engine) bool { return other.Role == e.Role })
		switch {
		case i < 0:
			out = append(out, e)
		case e.Since.Before(out[i].Since):
			out[i] = e
		}
	}
	return out
}

// bestChangeOf returns the best role change of one engine.
func (p *Planner) bestChangeOf(now time.Time, in Input, e Engine) Proposal {
	best := Proposal{Decision: NoGain, netGain: math.Inf(-1)}
	for _, role := range in.Allowed {
		if role == e.Role {
			continue
		}
		c := p.evaluate(in, e, role)
		if c.Decision == Change && in.engineCount(e.Role) <= in.MinPerRole[e.Role] {
			c.Decision = BelowMinServing
		}
		if c.Decision == Change && now.Sub(e.Since) < p.opts.MinStay {
			c.Decision = MinStayNotReached
		}
		best = higherNetGain(best, c)
	}
	return best
}

// engineCount returns the number of engines that have a role.
func (in *Input) engineCount(role port.Role) int {
	n := 0
	for _, e := range in.Engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// higherNetGain returns the candidate with the higher net gain under the fast demand, or a
// if they are equal. It ignores whether the candidate is allowed to change yet. If it is not,
// no second best change is proposed instead: during a shift the slow demand still includes
// load that has ended, and a second best change would have to be reverted later.
func higherNetGain(a, b Proposal) Proposal {
	if b.netGain > a.netGain {
		return b
	}
	return a
}

// evaluate predicts a change under both demands and returns the less favourable result: the
// fast average shows that the shift exists, the slow one that it lasts.
func (p *Planner) evaluate(in Input, e Engine, to port.Role) Proposal {
	fast, slow := p.predict(in, e, to, in.Fast), p.predict(in, e, to, in.Slow)
	c := slow
	if fast.Gain-fast.Cost*fast.Margin < slow.Gain-slow.Cost*slow.Margin {
		c = fast
	}
	c.Fast, c.Slow = in.Fast, in.Slow
	c.netGain = fast.Gain - fast.Cost*fast.Margin
	if c.Gain > c.Margin*c.Cost {
		c.Decision = Change
	}
	return c
}

// predict returns the predicted utilisations, gain and cost of a change under one demand. It
// leaves the decision at NoGain.
func (p *Planner) predict(in Input, e Engine, to port.Role, d Demand) Proposal {
	counts := map[port.Role]int{}
	for _, engine := range in.Engines {
		counts[engine.Role]++
	}
	c := Proposal{Decision: NoGain, Engine: e.ID, From: e.Role, To: to}
	engines := float64(len(in.Engines))
	c.Before = p.opts.Speeds.utilisation(counts, d)
	counts[e.Role]--
	c.During = p.opts.Speeds.utilisation(counts, d)
	counts[to]++
	c.After = p.opts.Speeds.utilisation(counts, d)
	c.Margin = p.opts.Margin + p.opts.ShareMargin/engines
	saved := min(max(c.Before, p.opts.BusyThreshold)-max(c.After, p.opts.BusyThreshold), 1)
	c.Gain = saved * engines * p.opts.ExpectedStay.Seconds()
	// The cost includes the time of the engine itself and the excess load of the others.
	excess := min(max(0, c.During-1), 1) * (engines - 1)
	c.Cost = (1 + excess) * p.opts.ChangeTime.Seconds()
	return c
}

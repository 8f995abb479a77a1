package roles

import (
	"math"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Options configures a Planner.
type Options struct {
	// Speeds is what one engine does in each role.
	Speeds Speeds
	// ChangeTime is how long an engine is out of service for drain and reload.
	ChangeTime time.Duration
	// ExpectedStay is how long the engine is expected to keep its new role.
	ExpectedStay time.Duration
	// MinStay is the shortest time between two changes of one engine.
	MinStay time.Duration
	// BusyThreshold is the utilisation, 0 to 1, below which no change is worth anything: idle
	// engines absorb the shift.
	BusyThreshold float64
	// Margin is the factor by which the gain must exceed the cost in a large data
	// centre. ShareMargin is added for a data centre of one engine, and in
	// proportion to the share that one engine is of its data centre otherwise.
	Margin      float64
	ShareMargin float64
	// MaxConcurrent is the number of engines that may be out of service at once; 0 counts as
	// 1.
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
	// Since is when the engine took its role.
	Since time.Time
	// Serving is false while the engine drains, changes or is down. An engine that changes
	// counts with its new role.
	Serving bool
}

// Input is what a decision is based on.
type Input struct {
	Engines []Engine
	// Allowed lists the roles that the pool's engines may take.
	Allowed []port.Role
	// MinServing is the number of engines that must stay in service.
	MinServing int
	// MinPerRole is the number of engines that must have a role.
	MinPerRole map[port.Role]int
	Fast, Slow Demand
}

// Decision tells why a change is proposed or not.
type Decision string

// Verdicts of a Proposal.
const (
	Change            Decision = "change"
	NoGain            Decision = "no-gain"
	ChangeInProgress  Decision = "another-engine-is-out-of-service"
	BelowMinServing   Decision = "below-min-serving"
	MinStayNotReached Decision = "minimum-stay"
)

// Proposal is a decision with the numbers that it saw. Engine, From and To are set
// for the best candidate, even when its gain does not suffice.
type Proposal struct {
	Decision Decision  `json:"verdict"`
	Engine   string    `json:"engine,omitempty"`
	From     port.Role `json:"from,omitempty"`
	To       port.Role `json:"to,omitempty"`
	// Before and After are the predicted utilisation under the slower-moving of the
	// two demands; During is the utilisation while the engine is away.
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	During float64 `json:"during"`
	// Gain and Cost are in seconds of engine time; Gain must exceed Margin x Cost.
	Gain   float64 `json:"gain"`
	Cost   float64 `json:"cost"`
	Margin float64 `json:"margin"`
	Fast   Demand  `json:"fast"`
	Slow   Demand  `json:"slow"`

	// net is the gain less the margin over the cost under the fast demand. It ranks
	// candidates.
	net float64
}

// Planner proposes changes, one at a time.
type Planner struct{ opts Options }

// NewPlanner returns a planner.
func NewPlanner(o Options) *Planner { return &Planner{opts: o} }

// Propose returns the best change, or why there is none.
func (p *Planner) Propose(now time.Time, in Input) Proposal {
	none := Proposal{Decision: NoGain, Fast: in.Fast, Slow: in.Slow, net: math.Inf(-1)}
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
	for _, e := range p.oldest(in.Engines) {
		best = better(best, p.candidates(now, in, e))
	}
	return best
}

// oldest returns the serving engine of each role that has had it the longest, the first
// one among several. The others of the role have the same gain.
func (p *Planner) oldest(engines []Engine) []Engine {
	var out []Engine
	for _, e := range engines {
		if !e.Serving {
			continue
		}
		i := slices.IndexFunc(out, func(o Engine) bool { return o.Role == e.Role })
		switch {
		case i < 0:
			out = append(out, e)
		case e.Since.Before(out[i].Since):
			out[i] = e
		}
	}
	return out
}

// candidates returns the best change of one engine.
func (p *Planner) candidates(now time.Time, in Input, e Engine) Proposal {
	best := Proposal{Decision: NoGain, net: math.Inf(-1)}
	for _, role := range in.Allowed {
		if role == e.Role {
			continue
		}
		c := p.evaluate(in, e, role)
		if c.Decision == Change && in.holding(e.Role) <= in.MinPerRole[e.Role] {
			c.Decision = BelowMinServing
		}
		if c.Decision == Change && now.Sub(e.Since) < p.opts.MinStay {
			c.Decision = MinStayNotReached
		}
		best = better(best, c)
	}
	return best
}

// holding returns the number of engines that have a role.
func (in *Input) holding(role port.Role) int {
	n := 0
	for _, e := range in.Engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// better returns the candidate that gains more under the fast demand; at equal gain
// the first one. A candidate that may not change yet still ranks first: while a shift
// goes on, the slow demand still counts work that is gone, and the second best change
// that it allows has to be undone later.
func better(a, b Proposal) Proposal {
	if b.net > a.net {
		return b
	}
	return a
}

// evaluate predicts a change under both demands and keeps the less favourable: the
// fast average shows that the shift is there, the slow one that it lasts.
func (p *Planner) evaluate(in Input, e Engine, to port.Role) Proposal {
	fast, slow := p.predict(in, e, to, in.Fast), p.predict(in, e, to, in.Slow)
	c := slow
	if fast.Gain-fast.Cost*fast.Margin < slow.Gain-slow.Cost*slow.Margin {
		c = fast
	}
	c.Fast, c.Slow = in.Fast, in.Slow
	c.net = fast.Gain - fast.Cost*fast.Margin
	if c.Gain > c.Margin*c.Cost {
		c.Decision = Change
	}
	return c
}

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
	// The engine's own time is lost, and what the others cannot take over.
	excess := min(max(0, c.During-1), 1) * (engines - 1)
	c.Cost = (1 + excess) * p.opts.ChangeTime.Seconds()
	return c
}

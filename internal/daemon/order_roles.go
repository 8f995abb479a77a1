package daemon

import (
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/roles"
)

// rejectionInterval bounds how often rejected proposals of one model are recorded.
const rejectionInterval = time.Minute

// roleSince is when an engine was first seen in its role.
type roleSince struct {
	role port.Role
	at   time.Time
}

// rejection is the last rejected proposal that was recorded.
type rejection struct {
	decision roles.Decision
	engine   string
	to       port.Role
	at       time.Time
}

// rolePlanner implements order.Planner with package roles. It knows demand and
// times only since its daemon holds the lease, so that it proposes nothing within
// the minimum stay after a takeover.
type rolePlanner struct {
	record     func(decision.Record)
	estimators map[queueKey]*roles.Estimator
	since      map[string]roleSince
	rejected   map[queueKey]rejection
}

func newRolePlanner(note func(decision.Record)) *rolePlanner {
	p := &rolePlanner{record: note}
	p.reset()
	return p
}

// reset forgets everything when the lease is lost.
func (p *rolePlanner) reset() {
	p.estimators = map[queueKey]*roles.Estimator{}
	p.since = map[string]roleSince{}
	p.rejected = map[queueKey]rejection{}
}

// observe takes in the work since the last call.
func (p *rolePlanner) observe(now time.Time, grown map[queueKey]tokenTotal) {
	for key := range grown {
		if p.estimators[key] == nil {
			p.estimators[key] = roles.NewEstimator(roles.DefaultEstimatorOptions())
		}
	}
	for key, e := range p.estimators {
		e.Observe(now, float64(grown[key].Prompt), float64(grown[key].Output))
	}
}

// Plan implements order.Planner.
func (p *rolePlanner) Plan(in order.Input) *order.Change {
	for _, e := range in.Engines {
		if s := p.since[e.VM.ID]; e.Known && s.role != e.Status.Role {
			p.since[e.VM.ID] = roleSince{role: e.Status.Role, at: in.Now}
		}
	}
	for i := range in.Configuration.Document.Pools {
		pool := &in.Configuration.Document.Pools[i]
		speeds := speedsOf(pool)
		if len(speeds) < 2 {
			continue
		}
		for _, model := range pool.Models {
			if change := p.planModel(in, pool, speeds, queueKey{pool: pool.Name, model: model}); change != nil {
				return change
			}
		}
	}
	return nil
}

func (p *rolePlanner) planModel(in order.Input, pool *profile.Pool, speeds roles.Speeds, key queueKey) *order.Change {
	estimator := p.estimators[key]
	if estimator == nil {
		return nil
	}
	input := roles.Input{
		Allowed: pool.Roles, MinServing: pool.MinServing, Fast: estimator.Fast(), Slow: estimator.Slow(),
	}
	for _, e := range in.Engines {
		if e.VM.Pool != key.pool || e.Status.Model != key.model || in.Configuration.Withdrawn(e.VM) {
			continue
		}
		input.Engines = append(input.Engines, roles.Engine{
			ID: e.VM.ID, Role: e.Status.Role, Since: p.roleStart(in, pool, e), Serving: e.Serving(),
		})
	}
	if len(input.Engines) == 0 {
		return nil
	}
	proposal := roles.NewPlanner(roles.DefaultOptions(speeds)).Propose(in.Now, input)
	if proposal.Decision != roles.Change {
		p.recordRejection(in.Now, key, proposal)
		return nil
	}
	return &order.Change{
		Engine:  proposal.Engine,
		Order:   port.Order{Kind: port.OrderSetRole, Role: proposal.To},
		Reasons: append([]decision.Input{decision.In("model", key.model)}, proposalInputs(proposal)...),
	}
}

// roleStart returns since when an engine counts as being in its role. One that takes no
// change now counts as new, so that the planner prefers another engine.
func (p *rolePlanner) roleStart(in order.Input, pool *profile.Pool, e order.Engine) time.Time {
	for _, role := range pool.Roles {
		if role != e.Status.Role && !in.MayChange(e, port.Order{Kind: port.OrderSetRole, Role: role}) {
			return in.Now
		}
	}
	return p.since[e.VM.ID].at
}

// speedsOf returns the speeds of a pool's engines, or nil when the configuration does
// not state that of each of its roles. Without them no change can be judged.
func speedsOf(pool *profile.Pool) roles.Speeds {
	if len(pool.Speeds) < len(pool.Roles) {
		return nil
	}
	out := roles.Speeds{}
	for _, s := range pool.Speeds {
		out[s.Role] = roles.Speed{Prompt: s.PromptTokens, Output: s.OutputTokens}
	}
	return out
}

// recordRejection records a rejected proposal that would have paid its cost.
func (p *rolePlanner) recordRejection(now time.Time, key queueKey, proposal roles.Proposal) {
	last := p.rejected[key]
	same := last.decision == proposal.Decision && last.engine == proposal.Engine && last.to == proposal.To
	if proposal.Engine == "" || proposal.Gain <= proposal.Cost || same || now.Sub(last.at) < rejectionInterval {
		return
	}
	p.rejected[key] = rejection{decision: proposal.Decision, engine: proposal.Engine, to: proposal.To, at: now}
	p.record(decision.Record{
		Time: now, Subject: proposal.Engine, Stage: "roles", Outcome: "rejected: " + string(proposal.Decision),
		Inputs: append([]decision.Input{decision.In("model", key.model)}, proposalInputs(proposal)...),
	})
}

func proposalInputs(p roles.Proposal) []decision.Input {
	return slices.Clip([]decision.Input{
		decision.In("from", p.From),
		decision.In("to", p.To),
		decision.In("utilisation-before", p.Before),
		decision.In("utilisation-after", p.After),
		decision.In("utilisation-during", p.During),
		decision.In("gain-s", p.Gain),
		decision.In("cost-s", p.Cost),
		decision.In("margin", p.Margin),
		decision.In("fast-prompt-tokens-s", p.Fast.Prompt),
		decision.In("fast-output-tokens-s", p.Fast.Output),
		decision.In("slow-prompt-tokens-s", p.Slow.Prompt),
		decision.In("slow-output-tokens-s", p.Slow.Output),
	})
}

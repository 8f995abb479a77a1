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

// rejectionInterval is the minimum time between two recorded rejections for one
// model.
const rejectionInterval = time.Minute

// roleSince holds an engine's role and when the engine was first seen in it.
type roleSince struct {
	role  port.Role
	since time.Time
}

// rejection is the last rejected proposal that was recorded for a model.
type rejection struct {
	decision roles.Decision
	engine   string
	to       port.Role
	at       time.Time
}

// rolePlanner implements order.Planner with package roles. It collects demand and
// role times only while its daemon holds the lease. Therefore it proposes no change
// within the minimum stay after a takeover of the lease.
type rolePlanner struct {
	record      func(decision.Record)
	estimators  map[queueKey]*roles.Estimator
	engineRoles map[string]roleSince
	rejected    map[queueKey]rejection
}

func newRolePlanner(record func(decision.Record)) *rolePlanner {
	p := &rolePlanner{record: record}
	p.reset()
	return p
}

// reset discards all state when the lease is lost.
func (p *rolePlanner) reset() {
	p.estimators = map[queueKey]*roles.Estimator{}
	p.engineRoles = map[string]roleSince{}
	p.rejected = map[queueKey]rejection{}
}

// observe passes the increases of the token counts since the last call to the
// estimators.
func (p *rolePlanner) observe(now time.Time, increases map[queueKey]tokenTotal) {
	for key := range increases {
		if p.estimators[key] == nil {
			p.estimators[key] = roles.NewEstimator(roles.DefaultEstimatorOptions())
		}
	}
	for key, e := range p.estimators {
		e.Observe(now, float64(increases[key].Prompt), float64(increases[key].Output))
	}
}

// Plan implements order.Planner.
func (p *rolePlanner) Plan(in order.Input) *order.Change {
	for _, e := range in.Engines {
		if s := p.engineRoles[e.VM.ID]; e.Reachable && s.role != e.Status.Role {
			p.engineRoles[e.VM.ID] = roleSince{role: e.Status.Role, since: in.Now}
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

// planModel returns a role change for one model in a pool, or nil.
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

// roleStart returns the time from which an engine's stay in its role is counted. An
// engine that currently accepts no change is treated as newly assigned, so that the
// planner prefers another engine.
func (p *rolePlanner) roleStart(in order.Input, pool *profile.Pool, e order.Engine) time.Time {
	for _, role := range pool.Roles {
		if role != e.Status.Role && !in.MayChange(e, port.Order{Kind: port.OrderSetRole, Role: role}) {
			return in.Now
		}
	}
	return p.engineRoles[e.VM.ID].since
}

// speedsOf returns the speeds of a pool's engines, or nil if the configuration does
// not state the speed of each of its roles. Without these speeds, no role change
// can be evaluated.
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

// recordRejection records a rejected proposal whose gain exceeds its cost. It skips
// repetitions of the last record and records at most one rejection per model and
// rejectionInterval.
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

package bench

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/roles"
)

// planInterval is the time between two role decisions of a lease holder.
const planInterval = time.Second

// engineSpeeds returns the speeds of a simulated engine in each role, in tokens per
// second. For a mixed engine, half of the fixed time of a step is attributed to prefill.
// Decode engines are assumed to run batches of maxBatch, the others of typicalBatch.
func engineSpeeds() roles.Speeds {
	base, perSequence, perPromptToken := stepBase.Seconds(), stepPerSequence.Seconds(), stepPerPromptToken.Seconds()
	mixed, prefill, decode := float64(prefillChunkTokens[port.RoleMixed]), float64(prefillChunkTokens[port.RolePrefill]), float64(prefillChunkTokens[port.RoleDecode])
	return roles.Speeds{
		port.RoleMixed:   {Prompt: 1 / (perPromptToken + base/2/mixed), Output: 1 / (perSequence + base/2/typicalBatch)},
		port.RolePrefill: {Prompt: 1 / (perPromptToken + base/prefill), Output: 1 / (perSequence + base/typicalBatch)},
		port.RoleDecode:  {Prompt: 1 / (perPromptToken + base/decode), Output: 1 / (perSequence + base/maxBatch)},
	}
}

// planRoles runs a lease holder in each data centre that executes the role changes
// proposed by package roles.
func planRoles(sim *simulation) {
	opts := roles.DefaultOptions(engineSpeeds())
	opts.ChangeTime += roleChangeTime
	for dc := range sim.fleet.engines {
		holder := &leaseHolder{sim: sim, dc: dc, planner: roles.NewPlanner(opts), estimator: roles.NewEstimator(roles.DefaultEstimatorOptions())}
		sim.repeat(planInterval, holder.plan)
	}
}

// leaseHolder simulates the daemon that controls the engine roles of a data centre.
type leaseHolder struct {
	sim       *simulation
	dc        int
	planner   *roles.Planner
	estimator *roles.Estimator
	// nextRequest is the index of the first request that is not recorded yet.
	nextRequest int
}

// plan records the requests that were admitted in the data centre since the last call
// and executes the planner's proposal.
func (l *leaseHolder) plan() {
	prompt, output := 0.0, 0.0
	for ; l.nextRequest < len(l.sim.requests) && l.sim.requests[l.nextRequest].arrived <= l.sim.clock.now; l.nextRequest++ {
		r := l.sim.requests[l.nextRequest]
		if l.sim.nodes[r.daemon].dc == l.dc && r.outcome != refused {
			prompt += float64(r.prompt)
			output += float64(r.output)
		}
	}
	now := l.sim.clock.Time()
	l.estimator.Observe(now, prompt, output)
	in := roles.Input{
		Allowed:    []port.Role{port.RoleMixed, port.RolePrefill, port.RoleDecode},
		MinServing: l.sim.fleet.engines[l.dc] - 1, Fast: l.estimator.Fast(), Slow: l.estimator.Slow(),
	}
	byID := map[string]*engine{}
	for _, e := range l.sim.engines {
		if e.dc == l.dc {
			byID[e.id] = e
			in.Engines = append(in.Engines, roles.Engine{ID: e.id, Role: e.role, Since: epoch.Add(e.roleSince), Serving: e.serving() && !e.draining})
		}
	}
	p := l.planner.Propose(now, in)
	if p.Cost > 0 {
		l.sim.maxRoleGain = max(l.sim.maxRoleGain, p.Gain/(p.Margin*p.Cost))
	}
	if p.Decision == roles.Change {
		l.sim.roleChanges++
		byID[p.Engine].changeRole(p.To, func() {})
	}
}

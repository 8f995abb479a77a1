package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/roles"
)

const (
	// planInterval is how often the roles of engines are planned.
	planInterval = 500 * time.Millisecond
	// expectedStayFactor and minStayFactor give the expected and the shortest time that an
	// engine keeps a new role, as multiples of the duration of a role change.
	expectedStayFactor = 10
	minStayFactor      = 3
	// slowHalfLifeFactor gives the half-life of the slow average of demand, also as a multiple
	// of the duration of a role change. The half-life of the fast average is that duration.
	slowHalfLifeFactor = 3
	// minUtilisation is the utilisation below which queueing times are too short to justify a
	// role change.
	minUtilisation = 0.5
	// decodePrefillShare is the share of a decode engine's prefill rate that can be used
	// without long gaps in its streams.
	decodePrefillShare = 0.5
	// decodeFillTarget is the share of a decode engine's slots or KV cache up to which its
	// streams are not slowed down noticeably.
	decodeFillTarget = 0.5
	// minDecodeEngines is the number of decode engines that a data centre with enough engines
	// keeps, so that one of them may fail. minPrefillEngines is the number of prefill engines
	// that it keeps.
	minDecodeEngines  = 2
	minPrefillEngines = 1
	// maxChangingShare is the share of a data centre's engines that may change roles at once.
	maxChangingShare = 0.15
	// changeSlack is added to the duration of a role change, because the engine first finishes
	// the requests that it has started.
	changeSlack = 4 * time.Second
	// lateOrderWindow is how long an order without a response may still be executed.
	lateOrderWindow = 15 * time.Second
)

// rolePlanner adapts the roles of this data centre's engines to the mix of prompts and outputs.
// One daemon of the data centre plans; it sends orders under a lease.
type rolePlanner struct {
	log     *zap.Logger
	fleet   *placement.Fleet
	runners port.Runners
	lease   *orderLease
	// isPlanner reports whether this daemon is the one that plans.
	isPlanner func() bool

	// demands holds the demand by service. It is used by one goroutine only.
	demands map[string]*poolDemand
	// capacity is nil if runners are not ordered.
	capacity *capacityPlanner
}

// poolDemand estimates the demand for the engines of one service.
type poolDemand struct {
	estimator *roles.Estimator
	// lastPrefillTotal is the TotalPrefill of the pool at lastObservation.
	lastPrefillTotal time.Duration
	lastObservation  time.Time
}

// run plans until ctx is done.
func (p *rolePlanner) run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.isPlanner() {
			clear(p.demands)
			p.capacity.reset()
			continue
		}
		now := time.Now()
		for _, pool := range p.fleet.Pools(now) {
			p.capacity.step(ctx, now, pool, p.demands[pool.Service])
			if proposal, due := p.propose(now, pool); due {
				p.sendOrder(ctx, pool, proposal)
			}
		}
	}
}

// propose returns a proposed role change and whether it is due.
func (p *rolePlanner) propose(now time.Time, pool placement.Pool) (roles.Proposal, bool) {
	change := pool.Limits.RoleChange
	if change <= 0 {
		return roles.Proposal{}, false
	}
	d, ok := p.demands[pool.Service]
	if !ok {
		d = &poolDemand{estimator: roles.NewEstimator(roles.EstimatorOptions{Fast: change, Slow: slowHalfLifeFactor * change})}
		p.demands[pool.Service] = d
	}
	hasDemand := d.observe(now, pool)
	if !hasDemand {
		return roles.Proposal{}, false
	}
	in := plannerInput(pool)
	in.Fast, in.Slow = d.estimator.Fast(), d.estimator.Slow()
	proposal := roles.NewPlanner(plannerOptions(pool)).Propose(now, in)
	return proposal, proposal.Decision == roles.Change
}

// observe records the load of a pool since the last call. Prompts count as the seconds that
// prefill engines need to prefill them, outputs as the decode engines that their streams
// occupy. Both are scaled up from the engines with known load to the whole pool. It returns
// false while there is no demand to plan for.
func (d *poolDemand) observe(now time.Time, pool placement.Pool) bool {
	known, occupied := 0, 0.0
	for _, e := range pool.Engines {
		if !e.LoadKnown {
			continue
		}
		known++
		if e.Runner.Role == port.RoleDecode {
			occupied += e.Occupancy / decodeFillTarget
		}
	}
	if known == 0 {
		return false
	}
	scale := float64(len(pool.Engines)) / float64(known)
	prefill := max(0, pool.TotalPrefill-d.lastPrefillTotal)
	seconds := now.Sub(d.lastObservation).Seconds()
	hasPrevious := !d.lastObservation.IsZero()
	d.lastPrefillTotal, d.lastObservation = pool.TotalPrefill, now
	if !hasPrevious {
		return false
	}
	if prefill == 0 && occupied == 0 && d.estimator.Fast() == (roles.Demand{}) {
		// There has been no demand yet.
		return false
	}
	d.estimator.Observe(now, scale*prefill.Seconds(), scale*occupied*seconds)
	return true
}

func plannerInput(pool placement.Pool) roles.Input {
	in := roles.Input{
		Allowed:    []port.Role{port.RolePrefill, port.RoleDecode},
		MinPerRole: map[port.Role]int{port.RolePrefill: minPrefillEngines, port.RoleDecode: minDecodeEngines},
	}
	for _, e := range pool.Engines {
		in.Engines = append(in.Engines, roles.Engine{ID: e.Runner.ID, Role: e.Role, Since: e.RoleChangedAt, Serving: !e.ChangingRole && !e.OrderUnanswered && !e.Quiet})
	}
	return in
}

func plannerOptions(pool placement.Pool) roles.Options {
	change := pool.Limits.RoleChange
	o := roles.DefaultOptions(roles.Speeds{
		port.RolePrefill: {Prompt: 1},
		port.RoleDecode:  {Prompt: decodePrefillShare * pool.DecodePrefillRatio, Output: 1},
	})
	o.ChangeTime = change
	o.ExpectedStay = expectedStayFactor * change
	o.MinStay = minStayFactor * change
	o.BusyThreshold = minUtilisation
	o.MaxConcurrent = int(maxChangingShare * float64(len(pool.Engines)))
	return o
}

// sendOrder sends the order for a proposed role change if this daemon holds or acquires the lease
// for it.
func (p *rolePlanner) sendOrder(ctx context.Context, pool placement.Pool, proposal roles.Proposal) {
	var engine port.Runner
	for _, e := range pool.Engines {
		if e.Runner.ID == proposal.Engine {
			engine = e.Runner
		}
	}
	fields := []zap.Field{
		zap.String("runner", engine.ID), zap.String("service", pool.Service), zap.String("from", string(proposal.From)),
		zap.String("to", string(proposal.To)), zap.Float64("utilisation-before", proposal.Before),
		zap.Float64("utilisation-after", proposal.After), zap.Float64("prompt-demand", proposal.Slow.Prompt),
		zap.Float64("output-demand", proposal.Slow.Output),
	}
	fencing, err := p.lease.Acquire(ctx)
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			p.log.Warn("lease for role orders was not acquired", append(fields, zap.Error(err))...)
		}
		return
	}
	fields = append(fields, zap.Int64("fencing", fencing))
	p.fleet.BeginRoleChange(time.Now(), engine.ID, proposal.To, pool.Limits.RoleChange+changeSlack)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = p.runners.Order(call, engine, port.RoleOrder{Role: proposal.To, Holder: p.lease.holder, Fencing: fencing})
	switch {
	case err == nil:
		p.log.Info("engine changes its role", fields...)
	case provesNotExecuted(err):
		p.fleet.CancelRoleChange(engine.ID)
		p.log.Warn("role order was refused", append(fields, zap.Error(err))...)
	default:
		// The engine may execute the order later. It stays in use but gets no other order.
		p.fleet.MarkOrderUnanswered(time.Now(), engine.ID, lateOrderWindow)
		p.log.Warn("role order got no response", append(fields, zap.Error(err))...)
	}
}

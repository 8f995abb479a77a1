package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/roles"
)

const (
	// planInterval is how often the roles of engines are reconsidered.
	planInterval = 500 * time.Millisecond
	// expectedStayFactor and minStayFactor give the time that an engine is expected to keep a new
	// role, and the shortest one, as multiples of the time that a change takes.
	expectedStayFactor = 10
	minStayFactor      = 3
	// slowHalfLifeFactor gives the half-life of the slow average of demand likewise; that of the
	// fast one is the time of a change.
	slowHalfLifeFactor = 3
	// minUtilisation is the utilisation below which waiting is short enough to change nothing.
	minUtilisation = 0.5
	// decodePrefillShare is the part of a decode engine's reading that leaves the pauses of its
	// streams short.
	decodePrefillShare = 0.5
	// decodeFillTarget is the share of a decode engine's places or memory up to which its streams
	// are not slowed down noticeably.
	decodeFillTarget = 0.5
	// minDecodeEngines is the number of decode engines that a data centre keeps against the loss
	// of one, where it has enough engines; keepPrefill likewise.
	minDecodeEngines  = 2
	minPrefillEngines = 1
	// maxChangingShare is the part of a data centre's engines that may change at once.
	maxChangingShare = 0.15
	// changeSlack is added to the time that a change takes: the engine first ends what it
	// has begun.
	changeSlack = 4 * time.Second
	// lateOrderWindow is how long an order that got no answer may still be carried out.
	lateOrderWindow = 15 * time.Second
)

// rolePlanner lets the engines of this data centre follow the mix of prompts and outputs.
// One daemon of the data centre plans; it sends orders under a lease.
type rolePlanner struct {
	log     *zap.Logger
	fleet   *placement.Fleet
	runners port.Runners
	lease   *orderLease
	// isPlanner tells whether this daemon is the one that plans.
	isPlanner func() bool

	demands map[string]*poolDemand
}

// poolDemand follows the demand for the engines of one service.
type poolDemand struct {
	estimator        *roles.Estimator
	lastPrefillTotal time.Duration
	lastObservation  time.Time
}

// run plans until ctx ends.
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
			continue
		}
		now := time.Now()
		for _, pool := range p.fleet.Pools(now) {
			if proposal, due := p.propose(now, pool); due {
				p.sendOrder(ctx, pool, proposal)
			}
		}
	}
}

// propose returns the change of a role that is due, if there is one.
func (p *rolePlanner) propose(now time.Time, pool placement.Pool) (roles.Proposal, bool) {
	change := pool.Limits.RoleChange
	d, ok := p.demands[pool.Service]
	if !ok {
		d = &poolDemand{estimator: roles.NewEstimator(roles.EstimatorOptions{Fast: change, Slow: slowHalfLifeFactor * change})}
		p.demands[pool.Service] = d
	}
	known := d.observe(now, pool)
	if !known {
		return roles.Proposal{}, false
	}
	in := plannerInput(pool)
	in.Fast, in.Slow = d.estimator.Fast(), d.estimator.Slow()
	proposal := roles.NewPlanner(plannerOptions(pool)).Propose(now, in)
	return proposal, proposal.Verdict == roles.Change
}

// observe takes in the work of a pool since the last call. Prompts count as the seconds
// that prefill engines need to read them, outputs as the decode engines that their streams
// fill, both for the whole pool. It returns false as long as there is no demand to go by.
func (d *poolDemand) observe(now time.Time, pool placement.Pool) bool {
	known, occupied := 0, 0.0
	for _, e := range pool.Engines {
		if !e.Known {
			continue
		}
		known++
		if e.Runner.Role == port.RoleDecode {
			occupied += e.Occupied / decodeFillTarget
		}
	}
	if known == 0 {
		return false
	}
	scale := float64(len(pool.Engines)) / float64(known)
	prefill := max(0, pool.Read-d.lastPrefillTotal)
	seconds := now.Sub(d.lastObservation).Seconds()
	hasPrevious := !d.lastObservation.IsZero()
	d.lastPrefillTotal, d.lastObservation = pool.Read, now
	if !hasPrevious {
		return false
	}
	if prefill == 0 && occupied == 0 && d.estimator.Fast() == (roles.Demand{}) {
		// Nothing has been asked for yet.
		return false
	}
	d.estimator.Observe(now, scale*prefill.Seconds(), scale*occupied*seconds)
	return true
}

func plannerInput(pool placement.Pool) roles.Input {
	in := roles.Input{
		Allowed: []port.Role{port.RolePrefill, port.RoleDecode},
		Keep:    map[port.Role]int{port.RolePrefill: minPrefillEngines, port.RoleDecode: minDecodeEngines},
	}
	for _, e := range pool.Engines {
		in.Engines = append(in.Engines, roles.Engine{ID: e.Runner.ID, Role: e.Role, Since: e.Since, Serving: !e.Away && !e.Unanswered})
	}
	return in
}

func plannerOptions(pool placement.Pool) roles.Options {
	change := pool.Limits.RoleChange
	o := roles.DefaultOptions(roles.Speeds{
		port.RolePrefill: {Prompt: 1},
		port.RoleDecode:  {Prompt: decodePrefillShare * pool.DecodeRate, Output: 1},
	})
	o.ChangeTime = change
	o.ExpectedStay = expectedStayFactor * change
	o.MinStay = minStayFactor * change
	o.Busy = minUtilisation
	o.Concurrent = int(maxChangingShare * float64(len(pool.Engines)))
	return o
}

// sendOrder carries out a proposal.
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
	fencing, err := p.lease.acquire(ctx)
	if err != nil {
		if !errors.Is(err, errLeaseHeld) {
			p.log.Warn("lease for orders was not acquired", append(fields, zap.Error(err))...)
		}
		return
	}
	fields = append(fields, zap.Int64("fencing", fencing))
	p.fleet.Changing(time.Now(), engine.ID, proposal.To, pool.Limits.RoleChange+changeSlack)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = p.runners.Order(call, engine, port.RoleOrder{Role: proposal.To, Holder: p.lease.holder, Fencing: fencing})
	switch {
	case err == nil:
		p.log.Info("engine changes its role", fields...)
	case provesNotExecuted(err):
		p.fleet.NotChanging(engine.ID)
		p.log.Warn("order was refused", append(fields, zap.Error(err))...)
	default:
		// The engine may carry it out later. It stays in use, but gets no other order.
		p.fleet.Unanswered(time.Now(), engine.ID, lateOrderWindow)
		p.log.Warn("order got no answer", append(fields, zap.Error(err))...)
	}
}

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
	// stayFactor and minStayFactor give the time that an engine is expected to keep a new
	// role, and the shortest one, as multiples of the time that a change takes.
	stayFactor    = 10
	minStayFactor = 3
	// slowFactor gives the half-life of the slow average of demand likewise; that of the
	// fast one is the time of a change.
	slowFactor = 3
	// plannedBusy is the utilisation below which waiting is short enough to change nothing.
	plannedBusy = 0.5
	// readingBeside is the part of a decode engine's reading that leaves the pauses of its
	// streams short.
	readingBeside = 0.5
	// fillMost is the share of a decode engine's places or memory up to which its streams
	// are not slowed down noticeably.
	fillMost = 0.5
	// keepDecode is the number of decode engines that a data centre keeps against the loss
	// of one, where it has enough engines; keepPrefill likewise.
	keepDecode  = 2
	keepPrefill = 1
	// changeShare is the part of a data centre's engines that may change at once.
	changeShare = 0.15
	// changeSlack is added to the time that a change takes: the engine first ends what it
	// has begun.
	changeSlack = 4 * time.Second
	// lateOrder is how long an order that got no answer may still be carried out.
	lateOrder = 15 * time.Second
)

// rolePlanner lets the engines of this data centre follow the mix of prompts and outputs.
// One daemon of the data centre plans; it sends orders under a lease.
type rolePlanner struct {
	log     *zap.Logger
	fleet   *placement.Fleet
	runners port.Runners
	lease   *orderLease
	// first tells whether this daemon is the one that plans.
	first func() bool

	demands map[string]*poolDemand
}

// poolDemand follows the demand for the engines of one service.
type poolDemand struct {
	estimator *roles.Estimator
	read      time.Duration
	at        time.Time
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
		if !p.first() {
			clear(p.demands)
			continue
		}
		now := time.Now()
		for _, pool := range p.fleet.Pools(now) {
			if proposal, due := p.propose(now, pool); due {
				p.order(ctx, pool, proposal)
			}
		}
	}
}

// propose returns the change of a role that is due, if there is one.
func (p *rolePlanner) propose(now time.Time, pool placement.Pool) (roles.Proposal, bool) {
	change := pool.Limits.RoleChange
	d, ok := p.demands[pool.Service]
	if !ok {
		d = &poolDemand{estimator: roles.NewEstimator(roles.EstimatorOptions{Fast: change, Slow: slowFactor * change})}
		p.demands[pool.Service] = d
	}
	known := d.observe(now, pool)
	if !known {
		return roles.Proposal{}, false
	}
	in := poolInput(pool)
	in.Fast, in.Slow = d.estimator.Fast(), d.estimator.Slow()
	proposal := roles.NewPlanner(poolOptions(pool)).Propose(now, in)
	return proposal, proposal.Decision == roles.Change
}

// observe takes in the work of a pool since the last call. Prompts count as the seconds
// that prefill engines need to read them, outputs as the decode engines that their streams
// fill, both for the whole pool. It returns false as long as there is no demand to go by.
func (d *poolDemand) observe(now time.Time, pool placement.Pool) bool {
	known, occupied := 0, 0.0
	for _, e := range pool.Engines {
		if !e.LoadKnown {
			continue
		}
		known++
		if e.Runner.Role == port.RoleDecode {
			occupied += e.Occupancy / fillMost
		}
	}
	if known == 0 {
		return false
	}
	whole := float64(len(pool.Engines)) / float64(known)
	read := max(0, pool.TotalPrefill-d.read)
	seconds := now.Sub(d.at).Seconds()
	begun := !d.at.IsZero()
	d.read, d.at = pool.TotalPrefill, now
	if !begun {
		return false
	}
	if read == 0 && occupied == 0 && d.estimator.Fast() == (roles.Demand{}) {
		// Nothing has been asked for yet.
		return false
	}
	d.estimator.Observe(now, whole*read.Seconds(), whole*occupied*seconds)
	return true
}

func poolInput(pool placement.Pool) roles.Input {
	in := roles.Input{
		Allowed:    []port.Role{port.RolePrefill, port.RoleDecode},
		MinPerRole: map[port.Role]int{port.RolePrefill: keepPrefill, port.RoleDecode: keepDecode},
	}
	for _, e := range pool.Engines {
		in.Engines = append(in.Engines, roles.Engine{ID: e.Runner.ID, Role: e.Role, Since: e.RoleChangedAt, Serving: !e.ChangingRole && !e.OrderUnanswered})
	}
	return in
}

func poolOptions(pool placement.Pool) roles.Options {
	change := pool.Limits.RoleChange
	o := roles.DefaultOptions(roles.Speeds{
		port.RolePrefill: {Prompt: 1},
		port.RoleDecode:  {Prompt: readingBeside * pool.DecodePrefillRatio, Output: 1},
	})
	o.ChangeTime = change
	o.ExpectedStay = stayFactor * change
	o.MinStay = minStayFactor * change
	o.BusyThreshold = plannedBusy
	o.MaxConcurrent = int(changeShare * float64(len(pool.Engines)))
	return o
}

// order carries out a proposal.
func (p *rolePlanner) order(ctx context.Context, pool placement.Pool, proposal roles.Proposal) {
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
	p.fleet.BeginRoleChange(time.Now(), engine.ID, proposal.To, pool.Limits.RoleChange+changeSlack)
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = p.runners.Order(call, engine, port.RoleOrder{Role: proposal.To, Holder: p.lease.holder, Fencing: fencing})
	switch {
	case err == nil:
		p.log.Info("engine changes its role", fields...)
	case notRun(err):
		p.fleet.CancelRoleChange(engine.ID)
		p.log.Warn("order was refused", append(fields, zap.Error(err))...)
	default:
		// The engine may carry it out later. It stays in use, but gets no other order.
		p.fleet.MarkOrderUnanswered(time.Now(), engine.ID, lateOrder)
		p.log.Warn("order got no answer", append(fields, zap.Error(err))...)
	}
}

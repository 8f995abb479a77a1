package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/capacity"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// capacityRetryDelay is the time until an order is sent again that got no response.
const capacityRetryDelay = time.Second

// capacityPlanner orders the runners of this data centre under the lease for role orders. Its methods do nothing if it
// is nil. It is used by the goroutine of the role planner, apart from vars.
type capacityPlanner struct {
	log        *zap.Logger
	store      port.KeyedLog
	duties     port.Duties
	lease      *orderLease
	name       string
	dataCentre string
	// scaling returns what may be ordered of a service, or nil.
	scaling func(service string) *port.Scaling

	planners map[string]*capacity.Planner
	// restored holds the states that earlier planners have stored, by key; nil before they were read.
	restored map[string]capacity.State
	// idleUntil is the time until which nothing is ordered, because an order got no response.
	idleUntil time.Time

	// mu guards states, what was planned last by service.
	mu     sync.Mutex
	states map[string]capacityStatus
}

// capacityStatus is what an operator sees of the planning for a service.
type capacityStatus struct {
	capacity.State
	// PresentRegular and PresentReclaimable are the runners that serve.
	PresentRegular     int     `json:"present_regular"`
	PresentReclaimable int     `json:"present_reclaimable"`
	Demand             float64 `json:"demand"`
}

func newCapacityPlanner(s Settings, deps Dependencies, log *zap.Logger, l *orderLease, scaling func(string) *port.Scaling) *capacityPlanner {
	return &capacityPlanner{
		log: log, store: deps.Store, duties: deps.Duties, lease: l, name: s.Name, dataCentre: s.DataCentre, scaling: scaling,
		planners: map[string]*capacity.Planner{}, states: map[string]capacityStatus{},
	}
}

// reset forgets all plans, because another daemon plans.
func (p *capacityPlanner) reset() {
	if p == nil {
		return
	}
	clear(p.planners)
	p.restored = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.states)
}

// step plans for the runners of a pool and sends the orders that are due. d is nil while there is no estimate of the
// demand.
func (p *capacityPlanner) step(ctx context.Context, now time.Time, pool placement.Pool, d *poolDemand) {
	if p == nil {
		return
	}
	scaling := p.scaling(pool.Service)
	if scaling == nil || now.Before(p.idleUntil) || !p.restore(ctx, now) {
		return
	}
	limits := capacity.Limits{Min: scaling.Min, Max: scaling.Max, BootTime: scaling.BootTime, Reclaimable: scaling.ReclaimablePrice > 0 && scaling.ReclaimablePrice < 1, DataCentres: len(scaling.Prices)}
	planner, ok := p.planners[pool.Service]
	if !ok {
		planner = capacity.NewPlanner(limits, p.restored[p.key(pool.Service)])
		p.planners[pool.Service] = planner
	}
	planner.SetLimits(limits)
	observed := observeCapacity(pool, d)
	orders := planner.Plan(now, observed)
	p.publish(pool.Service, planner.State(), observed)
	for _, o := range orders {
		if !p.send(ctx, now, pool.Service, planner, o, observed) {
			return
		}
	}
}

// observeCapacity counts the runners of a pool and their load.
func observeCapacity(pool placement.Pool, d *poolDemand) capacity.Observation {
	o := capacity.Observation{Demand: -1}
	occupied := 0.0
	for _, e := range pool.Engines {
		if e.Runner.Reclaimable {
			o.Reclaimable++
		} else {
			o.Regular++
		}
		occupied += e.Occupancy
	}
	switch {
	case pool.Limits.Slots == 0:
		o.Demand = occupied
	case d != nil:
		slow := d.estimator.Slow()
		o.Demand = slow.Prompt + decodeFillTarget*slow.Output
	}
	return o
}

func (p *capacityPlanner) key(service string) string { return p.dataCentre + "/" + service }

// restore reads what earlier planners have ordered. It reports whether that is known.
func (p *capacityPlanner) restore(ctx context.Context, now time.Time) bool {
	if p.restored != nil {
		return true
	}
	records, _, err := p.store.Newest(ctx, port.TopicCapacity)
	if err != nil {
		p.log.Warn("orders for runners cannot be read from the store", zap.Error(err))
		p.idleUntil = now.Add(capacityRetryDelay)
		return false
	}
	p.restored = map[string]capacity.State{}
	for _, r := range records {
		var s capacity.State
		if r.Value != nil && json.Unmarshal(r.Value, &s) == nil {
			p.restored[r.Key] = s
		}
	}
	return true
}

// send sends an order under the lease and stores the state of the planner. It reports whether the platform has responded.
func (p *capacityPlanner) send(ctx context.Context, now time.Time, service string, planner *capacity.Planner, o capacity.Order, observed capacity.Observation) bool {
	fields := []zap.Field{
		zap.String("service", service), zap.Bool("reclaimable", o.Reclaimable), zap.Int("count", o.Count), zap.String("reason", o.Reason),
		zap.Int("wanted", planner.State().Wanted), zap.Int("regular", observed.Regular), zap.Int("reclaimable-present", observed.Reclaimable),
		zap.Float64("demand", observed.Demand),
	}
	fencing, err := p.lease.Acquire(ctx)
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			p.log.Warn("lease for orders of runners was not acquired", append(fields, zap.Error(err))...)
			p.idleUntil = now.Add(capacityRetryDelay)
		}
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = p.duties.OrderRunners(call, port.DutyLease{Holder: p.name, Fencing: fencing}, port.RunnerOrder{
		Service: service, DataCentre: p.dataCentre, Count: o.Count, Reclaimable: o.Reclaimable,
	})
	fields = append(fields, zap.Int64("fencing", fencing))
	none := errors.Is(err, port.ErrNoRunnersAvailable)
	if err != nil && !none {
		p.log.Warn("order for runners was not taken", append(fields, zap.Error(err))...)
		p.idleUntil = now.Add(capacityRetryDelay)
		return false
	}
	planner.Ordered(now, o, none)
	p.log.Info("runners ordered", append(fields, zap.Bool("none-available", none))...)
	// A struct of numbers can always be encoded.
	value, _ := json.Marshal(planner.State())
	if err := p.store.Put(ctx, port.TopicCapacity, []port.KeyedRecord{{Key: p.key(service), Value: value}}); err != nil {
		// A successor then starts from an earlier order and repeats this one.
		p.log.Warn("order for runners was not recorded", append(fields, zap.Error(err))...)
	}
	return true
}

func (p *capacityPlanner) publish(service string, s capacity.State, o capacity.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[service] = capacityStatus{State: s, PresentRegular: o.Regular, PresentReclaimable: o.Reclaimable, Demand: o.Demand}
}

// vars returns the wanted and the present runners by service, for the metrics.
func (p *capacityPlanner) vars() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]any{}
	for service, s := range p.states {
		out[service] = s
	}
	return out
}

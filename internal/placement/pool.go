package placement

import (
	"cmp"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// PoolEngine is the state of one engine of a pool.
type PoolEngine struct {
	Runner port.Runner
	// Role is the role that the engine has, or the pending one during a role change.
	Role port.Role
	// RoleChangedAt is when this daemon last ordered a role change of the engine, or zero.
	RoleChangedAt time.Time
	// ChangingRole is set while the engine changes its role.
	ChangingRole bool
	// OrderUnanswered is set while an order without a response may still be carried out.
	OrderUnanswered bool
	// Quiet is set while the engine wants no requests of this daemon.
	Quiet bool
	// Occupancy is the occupied share of the engine's slots or of its KV cache, whichever is
	// larger.
	Occupancy float64
	// LoadKnown is set if the load of the engine is reported to this daemon.
	LoadKnown bool
}

// Pool holds the runners of one service in this data centre.
type Pool struct {
	Service string
	// Limits is the zero value for plain services.
	Limits port.EngineLimits
	// Engines are ordered by occupancy, the least loaded first.
	Engines []PoolEngine
	// TotalPrefill is the finished prefill work of the engines with a known load, measured
	// as the time that a prefill engine needs for it. It decreases when engines leave.
	TotalPrefill time.Duration
	// DecodePrefillRatio is the prefill rate of a decode engine relative to a prefill engine.
	DecodePrefillRatio float64
}

// comparedPromptTokens is the prompt length at which the prefill rates are compared.
const comparedPromptTokens = 4000

// Pools returns the runners of this data centre by service. It omits runners that are draining or leaving.
func (f *Fleet) Pools(now time.Time) []Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var pools []Pool
	for service, members := range f.services {
		p := Pool{Service: service}
		if limits := f.limits[service]; limits != nil {
			p.Limits = *limits
			serviceModels := f.modelsOf(service)
			p.DecodePrefillRatio = float64(serviceModels.prefill.time(comparedPromptTokens, comparedPromptTokens)) / float64(serviceModels.decode.time(comparedPromptTokens, comparedPromptTokens))
		}
		for _, m := range members {
			if m.runner.DataCentre != f.dataCentre || m.runner.Draining || m.leaving {
				continue
			}
			p.Engines = append(p.Engines, m.poolEngine(now))
			if !m.inOtherCell {
				p.TotalPrefill += m.totalPrefillOfAll
			}
		}
		slices.SortFunc(p.Engines, func(a, b PoolEngine) int {
			return cmp.Or(cmp.Compare(a.Occupancy, b.Occupancy), cmp.Compare(a.Runner.ID, b.Runner.ID))
		})
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Service, b.Service) })
	return pools
}

func (m *member) poolEngine(now time.Time) PoolEngine {
	e := PoolEngine{Runner: m.runner, Role: m.runner.Role, RoleChangedAt: m.roleChangedAt, ChangingRole: m.changingRole(now), LoadKnown: !m.inOtherCell}
	if e.ChangingRole {
		e.Role = m.pendingRole
	}
	e.Quiet = now.Before(m.quietUntil)
	e.OrderUnanswered = now.Before(m.unansweredUntil)
	l := m.load(now)
	e.Occupancy = float64(l.Running) / float64(max(1, m.runner.Slots))
	if m.limits != nil && m.limits.KVTokens > 0 {
		e.Occupancy = max(e.Occupancy, float64(l.KVTokens)/float64(m.limits.KVTokens))
	}
	return e
}

// BeginRoleChange records that an engine is about to be ordered to take a role. The engine
// receives no requests until it has the role or the given time has passed. The change is
// reported to peers.
func (f *Fleet) BeginRoleChange(now time.Time, id string, role port.Role, within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.pendingRole, m.changeDeadline, m.orderedLocally = role, now.Add(within), true
		m.roleChangedAt = now
		m.dirty = true
	}
}

// CancelRoleChange reverts BeginRoleChange after the order was refused.
func (f *Fleet) CancelRoleChange(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.memberOf(id); ok {
		m.pendingRole, m.orderedLocally = "", false
		m.dirty = true
	}
}

// MarkOrderUnanswered records that an order received no response and may still be carried out
// within the given time. The engine receives requests as before.
func (f *Fleet) MarkOrderUnanswered(now time.Time, id string, within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.memberOf(id); ok {
		m.pendingRole, m.orderedLocally = "", false
		m.unansweredUntil = now.Add(within)
		m.dirty = true
	}
}

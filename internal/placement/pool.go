package placement

import (
	"cmp"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// PoolEngine is one engine of a pool.
type PoolEngine struct {
	Runner port.Runner
	// Role is the one that the engine has or was ordered to take.
	Role port.Role
	// RoleChangedAt is when this daemon last ordered it to change its role, or zero.
	RoleChangedAt time.Time
	// ChangingRole is set while it changes its role.
	ChangingRole bool
	// OrderUnanswered is set while an order that got no answer may be carried out.
	OrderUnanswered bool
	// Occupancy is the share of the engine's places or memory that is taken, whichever is
	// larger.
	Occupancy float64
	// LoadKnown is set when this daemon is told the loads of the engine.
	LoadKnown bool
}

// Pool is the engines of one service in this data centre.
type Pool struct {
	Service string
	Limits  port.EngineLimits
	// Engines are ordered by what they have to do, the idlest first.
	Engines []PoolEngine
	// TotalPrefill is what the known engines have read so far, as the time that prefill engines
	// take for it. It falls when engines leave.
	TotalPrefill time.Duration
	// DecodePrefillRatio is the rate of reading at a decode engine, in relation to a prefill one.
	DecodePrefillRatio float64
}

// typicalPrompt is the length at which the rates of reading are compared.
const typicalPrompt = 4000

// Pools returns the engines of this data centre by service. Leaving engines and those of
// services that can not change roles are left out.
func (f *Fleet) Pools(now time.Time) []Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var pools []Pool
	for service, members := range f.services {
		limits := f.limits[service]
		if limits == nil || limits.RoleChange <= 0 {
			continue
		}
		p := Pool{Service: service, Limits: *limits}
		learnt := f.modelsOf(service)
		p.DecodePrefillRatio = float64(learnt.prefill.time(typicalPrompt, typicalPrompt)) / float64(learnt.decode.time(typicalPrompt, typicalPrompt))
		for _, m := range members {
			if m.runner.DataCentre != f.dataCentre || m.runner.Draining || m.leaving {
				continue
			}
			p.Engines = append(p.Engines, m.poolEngine(now))
			if !m.outside {
				p.TotalPrefill += m.readByAll
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
	e := PoolEngine{Runner: m.runner, Role: m.runner.Role, RoleChangedAt: m.roleSince, ChangingRole: m.away(now), LoadKnown: !m.outside}
	if e.ChangingRole {
		e.Role = m.changing
	}
	e.OrderUnanswered = now.Before(m.unansweredUntil)
	l := m.load(now)
	e.Occupancy = float64(l.Running) / float64(max(1, m.runner.Slots))
	if m.limits != nil && m.limits.KVTokens > 0 {
		e.Occupancy = max(e.Occupancy, float64(l.KVTokens)/float64(m.limits.KVTokens))
	}
	return e
}

// BeginRoleChange notes that an engine is about to be ordered to take a role. No requests are
// sent to it until it has the role or the time has passed; peers are told.
func (f *Fleet) BeginRoleChange(now time.Time, id string, role port.Role, within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.changing, m.changedBy, m.ordered = role, now.Add(within), true
		m.roleSince = now
		m.dirty = true
	}
}

// CancelRoleChange takes Changing back after the order was refused.
func (f *Fleet) CancelRoleChange(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.changing, m.ordered = "", false
		m.dirty = true
	}
}

// MarkOrderUnanswered notes that an order to an engine got no answer: it may be carried out within
// a time. Requests are sent to the engine as before.
func (f *Fleet) MarkOrderUnanswered(now time.Time, id string, within time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.changing, m.ordered = "", false
		m.unansweredUntil = now.Add(within)
		m.dirty = true
	}
}

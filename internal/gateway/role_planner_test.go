package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/roles"
)

// mix is a demand in engines that are busy reading prompts, and the share of each decode
// engine's places that its streams take.
type mix struct {
	reading  float64
	occupied float64
}

// poolOf returns a pool of engines at a time after its start under a steady mix.
func poolOf(m mix, since time.Duration, list ...port.Role) placement.Pool {
	p := placement.Pool{
		Service: "s", Limits: port.EngineLimits{RoleChange: 3 * time.Second}, DecodePrefillRatio: 0.4,
		TotalPrefill: time.Duration(m.reading * float64(since)),
	}
	for i, role := range list {
		e := placement.PoolEngine{Runner: port.Runner{ID: fmt.Sprint("e", i), Service: "s", Role: role}, Role: role, LoadKnown: true}
		if role == port.RoleDecode {
			e.Occupancy = m.occupied
		}
		p.Engines = append(p.Engines, e)
	}
	return p
}

func newTestPlanner(runners port.Runners) *rolePlanner {
	clock := &manualClock{now: time.Hour}
	return &rolePlanner{
		log: zap.NewNop(), fleet: placement.NewFleet("north", "d"), runners: runners, first: func() bool { return true },
		lease: newOrderLease(&leaseLog{}, clock, "north", "d", testLease), demands: map[string]*poolDemand{},
	}
}

// Load: long prompts with short outputs, long outputs with short prompts, and neither.
// Guards against roles that do not follow the mix, that follow a mix that would not gain,
// and against a data centre that is left without engines of a role.
func TestRolesFollowTheMix(t *testing.T) {
	p, d := port.RolePrefill, port.RoleDecode
	cases := []struct {
		name  string
		mix   mix
		roles []port.Role
		to    port.Role
	}{
		{"long prompts", mix{reading: 2.4, occupied: 0.05}, []port.Role{p, p, d, d, d, d}, p},
		{"long outputs", mix{reading: 0.2, occupied: 0.6}, []port.Role{p, p, p, p, d, d}, d},
		{"balanced", mix{reading: 1.5, occupied: 0.25}, []port.Role{p, p, p, d, d, d}, ""},
		{"idle", mix{}, []port.Role{p, p, d, d, d, d}, ""},
		{"little to do", mix{reading: 0.3, occupied: 0.05}, []port.Role{p, p, d, d, d, d}, ""},
		{"long prompts, two decode engines left", mix{reading: 6, occupied: 0.05}, []port.Role{p, p, p, p, d, d}, ""},
		{"long outputs, one prefill engine left", mix{reading: 0.1, occupied: 2}, []port.Role{p, d, d, d, d, d}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			planner := newTestPlanner(noRunners{})
			start, to := time.Unix(1000, 0), port.Role("")
			for i := range 20 {
				since := time.Duration(i) * planInterval
				if proposal, due := planner.propose(start.Add(since), poolOf(c.mix, since, c.roles...)); due {
					to = proposal.To
					break
				}
			}
			if to != c.to {
				t.Errorf("an engine is to become %q, want %q", to, c.to)
			}
		})
	}
}

// orderedRunners notes orders and answers them with an error.
type orderedRunners struct {
	noRunners
	orders []port.RoleOrder
	err    error
}

func (r *orderedRunners) Order(_ context.Context, _ port.Runner, o port.RoleOrder) error {
	r.orders = append(r.orders, o)
	return r.err
}

// Guards against an engine that gets nothing although its order was refused, that gets
// requests although it changes its role, and that gets a second order while the first one
// may still be carried out.
func TestAnswersToOrders(t *testing.T) {
	cases := []struct {
		name             string
		err              error
		away, unanswered bool
	}{
		{"accepted", nil, true, false},
		{"refused", port.ErrNotRun, false, false},
		{"another runner", port.ErrWrongInstance, false, false},
		{"no answer", errors.New("timeout"), false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runners := &orderedRunners{err: c.err}
			planner := newTestPlanner(runners)
			planner.fleet.SetServices(map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{RoleChange: time.Second}}})
			planner.fleet.SetRunners([]port.Runner{{ID: "e", Service: "s", Address: "10.0.0.1:80", DataCentre: "north", Role: port.RoleDecode, Slots: 4}})
			pool := planner.fleet.Pools(time.Now())[0]
			planner.order(context.Background(), pool, proposalFor("e"))
			if len(runners.orders) != 1 || runners.orders[0].Fencing == 0 || runners.orders[0].Holder != "d" {
				t.Fatalf("orders are %+v, want one under a lease", runners.orders)
			}
			e := planner.fleet.Pools(time.Now())[0].Engines[0]
			if e.ChangingRole != c.away || e.OrderUnanswered != c.unanswered {
				t.Errorf("away %t, unanswered %t, want %t, %t", e.ChangingRole, e.OrderUnanswered, c.away, c.unanswered)
			}
		})
	}
}

func proposalFor(engine string) roles.Proposal {
	return roles.Proposal{Decision: roles.Change, Engine: engine, From: port.RoleDecode, To: port.RolePrefill}
}

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

// demandMix is a demand: the number of engines busy with prefill, and the share of each decode
// engine's slots that its streams occupy.
type demandMix struct {
	prefillBusy float64
	occupied    float64
}

// poolOf returns a pool of engines at a given time after its start under a steady demand.
func poolOf(m demandMix, since time.Duration, list ...port.Role) placement.Pool {
	p := placement.Pool{
		Service: "s", Limits: port.EngineLimits{RoleChange: 3 * time.Second}, DecodePrefillRatio: 0.4,
		TotalPrefill: time.Duration(m.prefillBusy * float64(since)),
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
		log: zap.NewNop(), fleet: placement.NewFleet("north", "d"), runners: runners, isPlanner: func() bool { return true },
		lease: newOrderLease(&faultyLog{}, clock, "north", "d", testLease), demands: map[string]*poolDemand{},
	}
}

// Load: long prompts with short outputs, long outputs with short prompts, and neither. Guards
// against roles that do not follow the mix, against changes without a gain, and against a data
// centre without engines of a role.
func TestRolesFollowTheMix(t *testing.T) {
	p, d := port.RolePrefill, port.RoleDecode
	cases := []struct {
		name  string
		mix   demandMix
		roles []port.Role
		to    port.Role
	}{
		{"long prompts", demandMix{prefillBusy: 2.4, occupied: 0.05}, []port.Role{p, p, d, d, d, d}, p},
		{"long outputs", demandMix{prefillBusy: 0.2, occupied: 0.6}, []port.Role{p, p, p, p, d, d}, d},
		{"balanced", demandMix{prefillBusy: 1.5, occupied: 0.25}, []port.Role{p, p, p, d, d, d}, ""},
		{"idle", demandMix{}, []port.Role{p, p, d, d, d, d}, ""},
		{"low utilisation", demandMix{prefillBusy: 0.3, occupied: 0.05}, []port.Role{p, p, d, d, d, d}, ""},
		{"long prompts, two decode engines left", demandMix{prefillBusy: 6, occupied: 0.05}, []port.Role{p, p, p, p, d, d}, ""},
		{"long outputs, one prefill engine left", demandMix{prefillBusy: 0.1, occupied: 2}, []port.Role{p, d, d, d, d, d}, ""},
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
				t.Errorf("proposed role is %q, want %q", to, c.to)
			}
		})
	}
}

// orderRecorder records orders and returns result for each.
type orderRecorder struct {
	noRunners
	orders []port.RoleOrder
	result error
}

func (r *orderRecorder) Order(_ context.Context, _ port.Runner, o port.RoleOrder) error {
	r.orders = append(r.orders, o)
	return r.result
}

// Guards against an engine that stays out of use although its order was refused, that gets
// requests while it changes its role, and that gets a second order while the first may still be
// executed.
func TestOrderOutcomes(t *testing.T) {
	cases := []struct {
		name                     string
		err                      error
		changingRole, unanswered bool
	}{
		{"accepted", nil, true, false},
		{"refused", port.ErrNotRun, false, false},
		{"another runner", port.ErrWrongInstance, false, false},
		{"no response", errors.New("timeout"), false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runners := &orderRecorder{result: c.err}
			planner := newTestPlanner(runners)
			planner.fleet.SetServices(map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{RoleChange: time.Second}}})
			planner.fleet.SetRunners([]port.Runner{{ID: "e", Service: "s", Address: "10.0.0.1:80", DataCentre: "north", Role: port.RoleDecode, Slots: 4}})
			pool := planner.fleet.Pools(time.Now())[0]
			planner.sendOrder(context.Background(), pool, proposalFor("e"))
			if len(runners.orders) != 1 || runners.orders[0].Fencing == 0 || runners.orders[0].Holder != "d" {
				t.Fatalf("orders are %+v, want one under a lease", runners.orders)
			}
			e := planner.fleet.Pools(time.Now())[0].Engines[0]
			if e.ChangingRole != c.changingRole || e.OrderUnanswered != c.unanswered {
				t.Errorf("changing role %t, unanswered %t, want %t, %t", e.ChangingRole, e.OrderUnanswered, c.changingRole, c.unanswered)
			}
		})
	}
}

func proposalFor(engine string) roles.Proposal {
	return roles.Proposal{Decision: roles.Change, Engine: engine, From: port.RoleDecode, To: port.RolePrefill}
}

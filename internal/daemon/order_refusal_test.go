package daemon

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against an order that can never succeed and blocks the changes of other
// engines, keeps its engine out of service, or is repeated without backoff.
func TestFailingOrderIsWithdrawn(t *testing.T) {
	forFencingModes(t, func(r *orderCluster) {
		broken := "engine-0"
		r.engines[broken].SetFaults(standin.EngineFaults{MissingVersion: "v1", FailLate: r.rng.IntN(2) == 0})
		r.publishNextVersion()
		r.await("the other engines run the version", 3*time.Minute, func() bool {
			return r.engines["engine-1"].Status().Version == "v1" && r.engines["engine-2"].Status().Version == "v1"
		})
		r.checkWithdrawn(broken)
		time.Sleep(6 * time.Minute)
		// Delays of 1, 2 and 4 minutes lie between the orders.
		if n := r.announcedFor(broken); n < 2 || n > 4 {
			r.t.Errorf("%d orders for a missing version within 9 minutes, want 2 to 4", n)
		}
		r.publishNextVersion()
		r.await("all engines run the next version", 2*time.Minute, r.allRunNewestVersion)
		r.finishRollout()
	})
}

// Guards against a copy of an order that an engine executes while it serves requests,
// because the copy arrives after the order was withdrawn and the engine is back in
// service.
func TestWithdrawnOrderHasNoLateEffect(t *testing.T) {
	forFencingModes(t, func(r *orderCluster) {
		r.startTraffic()
		r.await("a daemon holds the lease", time.Minute, func() bool { return r.leaseHolder() != "" })
		r.gates[r.leaseHolder()].delayCopies(1, 40*time.Second)
		for _, e := range r.engines {
			e.SetFaults(standin.EngineFaults{RefuseOrders: testOrderRefusals})
		}
		r.publishNextVersion()
		for range 4 * 60 {
			time.Sleep(250 * time.Millisecond)
			r.readControlStream()
			for name, e := range r.engines {
				if e.Status().Phase == port.PhaseChanging && r.controlState.Engine(name).Drain == 0 {
					r.t.Fatalf("%s executes an order while it serves: %+v", name, e.Orders())
				}
			}
		}
		r.finishRollout()
	})
}

// testOrderRefusals is the number of orders that each engine refuses: enough for one
// order to be withdrawn. The engine executes later orders.
const testOrderRefusals = 3

// checkWithdrawn checks that an engine serves its old version and that the role
// decisions give the reason.
func (r *orderCluster) checkWithdrawn(engine string) {
	r.readControlStream()
	s, state := r.engines[engine].Status(), r.controlState.Engine(engine)
	if s.Version != "" || s.Phase != port.PhaseServing || state.Changing() || len(state.Refusals) != 1 {
		r.t.Errorf("%s is not back in service with its old version and one refusal: status %+v, control state %+v", engine, s, state)
	}
	if !r.hasRoleDecision(engine, "withdrawn") {
		r.t.Errorf("role decisions do not report a withdrawn order for %s", engine)
	}
	withdrawn := int64(0)
	for _, d := range r.daemons {
		withdrawn += d.metrics.OrdersWithdrawn.Value()
	}
	if withdrawn == 0 {
		r.t.Error("no daemon counts a withdrawn order")
	}
}

// announcedFor returns the number of orders that were announced for an engine.
func (r *orderCluster) announcedFor(engine string) int {
	r.readControlStream()
	n := 0
	for _, a := range r.announced {
		if a.engine == engine {
			n++
		}
	}
	return n
}

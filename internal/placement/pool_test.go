package placement_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// newChangeable returns a fleet of engines that can change their role within a second.
func newChangeable(roles ...port.Role) *placement.Fleet {
	f := newFleet(roles...)
	changeable := limits
	changeable.RoleChange = time.Second
	f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &changeable}})
	return f
}

// Guards against requests that this daemon or a peer sends to an engine during its role
// change, where they are refused, and against avoiding an engine permanently because its
// order was refused or never carried out.
func TestEnginesChangingRoleReceiveNoRequests(t *testing.T) {
	q := placement.Query{Service: service, Prompt: prompt(1_000), NoPrefill: true}
	f, peer := newChangeable(port.RoleDecode), newChangeable(port.RoleDecode)
	usable := func(f *placement.Fleet, now time.Time) bool {
		plan, ok := f.Place(now, q)
		if ok {
			plan.Run.End(now, placement.Abandoned)
		}
		return ok
	}
	f.BeginRoleChange(start, "engine-0", port.RolePrefill, 5*time.Second)
	peer.ApplyPeerLoads(start, "d", f.LoadUpdates(start, false))
	if usable(f, start) || usable(peer, start) {
		t.Error("request placed at an engine during its role change")
	}
	later := start.Add(6 * time.Second)
	if !usable(f, later) || !usable(peer, later) {
		t.Error("engine is avoided after the time for its role change has passed")
	}
	f.BeginRoleChange(later, "engine-0", port.RolePrefill, 5*time.Second)
	f.CancelRoleChange("engine-0")
	if !usable(f, later) {
		t.Error("engine is avoided although the order was refused")
	}
	f.BeginRoleChange(later, "engine-0", port.RolePrefill, 5*time.Second)
	f.MarkOrderUnanswered(later, "engine-0", 15*time.Second)
	if !usable(f, later) {
		t.Error("engine is avoided although the order may never be carried out")
	}
	if pool := f.Pools(later)[0]; !pool.Engines[0].OrderUnanswered {
		t.Error("order without a response is not reported")
	}
}

// Guards against orders and other calls to an engine that asked this daemon for no requests.
func TestQuietEnginesGetNoOrders(t *testing.T) {
	f := newChangeable(port.RoleDecode)
	quiet := func(now time.Time) [2]bool {
		return [2]bool{f.Pools(now)[0].Engines[0].Quiet, f.Quiet(now, "engine-0")}
	}
	f.MarkQuiet(start, "engine-0", 0, 3*time.Second)
	if got := quiet(start.Add(2 * time.Second)); got != [2]bool{true, true} {
		t.Errorf("2 s after it asked for 3 s: quiet %v", got)
	}
	if got := quiet(start.Add(5 * time.Second)); got != [2]bool{} {
		t.Errorf("5 s after it asked for 3 s: quiet %v", got)
	}
}

// Guards against role planning from the load of one daemon only.
func TestPoolsIncludeTheLoadOfAllDaemons(t *testing.T) {
	f, peer := newChangeable(port.RoleDecode, port.RolePrefill), newChangeable(port.RoleDecode, port.RolePrefill)
	prefill := func(now time.Time) {
		_, req := place(t, peer, now, placement.Query{Prompt: prompt(8_000), NoPrefill: true})
		req.MarkPrefilled(now)
		f.ApplyPeerLoads(now, "peer", peer.LoadUpdates(now, false))
	}
	prefill(start)
	before := f.Pools(start)[0]
	prefill(start)
	after := f.Pools(start)[0]
	if after.TotalPrefill <= before.TotalPrefill {
		t.Errorf("total prefill of all daemons went from %s to %s after a peer's prefill", before.TotalPrefill, after.TotalPrefill)
	}
	if e := after.Engines[1]; e.Runner.ID != "engine-0" || e.Occupancy <= before.Engines[1].Occupancy {
		t.Errorf("the last engine is %s with occupancy %.2f, want engine-0 with more than %.2f", e.Runner.ID, e.Occupancy, before.Engines[1].Occupancy)
	}
}

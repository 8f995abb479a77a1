package placement_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// newChangeable returns a fleet of engines that can change their role in a second.
func newChangeable(roles ...port.Role) *placement.Fleet {
	f := newFleet(roles...)
	changeable := limits
	changeable.RoleChange = time.Second
	f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &changeable}})
	return f
}

// Guards against requests that are sent to an engine that changes its role and are turned
// away there, by this daemon or by others, and against an engine that is avoided for good
// because its order was refused or never carried out.
func TestEnginesThatChangeTheirRoleGetNothing(t *testing.T) {
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
		t.Error("a request was placed at an engine that changes its role")
	}
	later := start.Add(6 * time.Second)
	if !usable(f, later) || !usable(peer, later) {
		t.Error("the engine is avoided after its time to change has passed")
	}
	f.BeginRoleChange(later, "engine-0", port.RolePrefill, 5*time.Second)
	f.CancelRoleChange("engine-0")
	if !usable(f, later) {
		t.Error("the engine is avoided although the order was refused")
	}
	f.BeginRoleChange(later, "engine-0", port.RolePrefill, 5*time.Second)
	f.MarkOrderUnanswered(later, "engine-0", 15*time.Second)
	if !usable(f, later) {
		t.Error("the engine is avoided although it may never carry out the order")
	}
	if pool := f.Pools(later)[0]; !pool.Engines[0].OrderUnanswered {
		t.Error("an order without an answer is forgotten")
	}
}

// Guards against plans that know only the work of one daemon.
func TestPoolsCountTheWorkOfAllDaemons(t *testing.T) {
	f, peer := newChangeable(port.RoleDecode, port.RolePrefill), newChangeable(port.RoleDecode, port.RolePrefill)
	read := func(now time.Time) {
		_, w := place(t, peer, now, placement.Query{Prompt: prompt(8_000), NoPrefill: true})
		w.MarkPrefilled(now)
		f.ApplyPeerLoads(now, "peer", peer.LoadUpdates(now, false))
	}
	read(start)
	before := f.Pools(start)[0]
	read(start)
	after := f.Pools(start)[0]
	if after.TotalPrefill <= before.TotalPrefill {
		t.Errorf("reading of all daemons went from %s to %s after a peer had a prompt read", before.TotalPrefill, after.TotalPrefill)
	}
	if e := after.Engines[1]; e.Runner.ID != "engine-0" || e.Occupancy <= before.Engines[1].Occupancy {
		t.Errorf("the last engine is %s with %.2f of its places taken, want engine-0 with more than %.2f", e.Runner.ID, e.Occupancy, before.Engines[1].Occupancy)
	}
}

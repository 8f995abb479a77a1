package placement

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// named returns what a response says that names a limit.
func named(rate float64) port.RequestLimit { return port.RequestLimit{Named: true, Rate: rate} }

// engines returns a fleet of engines with the given roles; their ids are "e0", "e1" and so on.
func engines(roles ...port.Role) *Fleet {
	f := NewFleet("north", "d")
	f.SetServices(map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{Slots: 64, KVTokens: 400_000, KVTokenBytes: 18432, LinkMbps: 700_000}}})
	var list []port.Runner
	for i, role := range roles {
		r := plainRunner("e"+string(rune('0'+i)), 1)
		r.Role, r.Slots = role, 64
		list = append(list, r)
	}
	f.SetRunners(list)
	return f
}

// Guards against prompts that are prefilled although the limits of all decode engines keep them from
// being continued.
func TestNoPrefillInVainForLimitedDecodeEngines(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := engines(port.RolePrefill, port.RoleDecode, port.RoleDecode)
	q := Query{Service: "s", Prompt: &port.Prompt{Model: "m", InputTokens: 50_000, OutputTokens: 20}, AllowedGap: 300 * time.Millisecond, Objective: time.Second}
	if plan, ok := f.Place(now, q); !ok || plan.Prefill == nil {
		t.Fatal("a long prompt is not prefilled at the prefill engine")
	}
	f.RecordLimit(now, "e1", 1, now, named(1))
	if plan, ok := f.Place(now, q); !ok || plan.Prefill == nil {
		t.Error("a long prompt is not prefilled although one decode engine is not limited")
	}
	f.RecordLimit(now, "e2", 1, now, named(1))
	if _, ok := f.Place(now, q); ok {
		t.Error("a prompt is placed although no decode engine may continue it")
	}
	if _, ok := f.PlaceDecode(now, q, port.Runner{}); ok {
		t.Error("a limited decode engine continues a request")
	}
	if wait := f.AcceptsIn(now, "s"); wait < 500*time.Millisecond || wait > 2*time.Second {
		t.Errorf("the service accepts a request in %s, want about the second until a limit allows one", wait)
	}
	if plan, ok := f.Place(now.Add(2*time.Second), q); !ok || plan.Prefill == nil {
		t.Error("a long prompt is not prefilled once a limit allows a request")
	}
}

// Guards against a response that ends a limit although its request was sent before the limit was named,
// and against limits that outlive their runner's start or end with its registry entry.
func TestStatementsOnLimits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	f := NewFleet("north", "d")
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	none := port.RequestLimit{None: true}
	if !f.RecordLimit(at(1), "a", 1, at(0), named(0.5)) {
		t.Error("a named limit is not reported as a change")
	}
	if f.RecordLimit(at(1.1), "a", 1, at(0.5), none) || f.RecordLimit(at(1.2), "a", 1, at(1.1), port.RequestLimit{}) || usableAt(f, at(1.3)) {
		t.Error("a response to an earlier request, or one that says nothing, ends the limit")
	}
	f.SetRunners(nil)
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	if usableAt(f, at(1.4)) {
		t.Error("the limit ended with the registry entry")
	}
	if f.RecordLimit(at(1.5), "a", 2, at(1.4), none) {
		t.Error("a response of another start ends the limit")
	}
	if !f.RecordLimit(at(2), "a", 1, at(1.5), none) {
		t.Error("a response without a limit does not end it")
	}
	f.RecordLimit(at(3), "a", 1, at(2.5), named(0.5))
	f.SetRunners([]port.Runner{plainRunner("a", 2)})
	if !usableAt(f, at(3.1)) {
		t.Error("the limit outlives the start of its runner")
	}
}

// Guards against requests that were placed but not sent and use up a limit, and against a limit that
// counts as failures.
func TestUnsentRequestsDoNotUseALimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := NewFleet("north", "d")
	f.SetRunners([]port.Runner{plainRunner("a", 1)})
	f.RecordLimit(now, "a", 1, now, named(1))
	now = now.Add(2 * time.Second)
	for range 10 {
		plan, ok := f.Place(now, Query{Service: "s"})
		if !ok {
			t.Fatal("a request that was not sent used up the limit")
		}
		plan.Run.End(now, Unsent)
	}
	plan, _ := f.Place(now, Query{Service: "s"})
	if plan.Run.End(now, Completed); plan.Run.FailureProbability(now) != 0 {
		t.Error("the limit counts as a failure")
	}
	usableAt(f, now)
	if l := f.LimitedRunners(now)["a"]; l.Rate != 1 || l.Sent == 0 || l.Deferred != 1 {
		t.Errorf("the metrics show %+v, want a limit of 1 and one deferred request", l)
	}
}

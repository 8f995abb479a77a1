package routing

import (
	"math/rand/v2"
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// Guards against affinity to a home that does not hold the prefix while another
// engine does, hints that outlive an eviction or a restart, and hints that overload
// an engine.
func TestCacheEventsCorrectAffinity(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		fleet := []*Upstream{testEngine("a", "a", 1000), testEngine("b", "a", 1000), testEngine("c", "a", 1000)}
		table := NewTable(fleet)
		r := testRequest(rng)
		home := table.Pick(r)
		other := fleet[0]
		if other == home {
			other = fleet[1]
		}
		expect := func(when string, want *Upstream) {
			t.Helper()
			if got := table.Choose(r); got.Upstream != want || !got.Affine {
				t.Errorf("seed %d, %s: chose %s, affine %v", seed, when, got.Upstream.VM.ID, got.Affine)
			}
		}
		expect("without events", home)
		other.SetHeld(r.Prefix, true)
		expect("another engine holds the prefix", other)
		other.SetHeld(r.Prefix, false)
		expect("the other engine has evicted it", home)
		other.SetHeld(r.Prefix, true)
		other.report(port.EngineStatus{Incarnation: "second"}, testNow)
		expect("the other engine has restarted", home)
		other.SetHeld(r.Prefix, true)
		other.report(port.EngineStatus{Incarnation: "second", QueuedPrefillTokens: 1995}, testNow)
		if table.Pick(r) == other {
			t.Errorf("seed %d: a hint overloads its engine", seed)
		}
	}
}

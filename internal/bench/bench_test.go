package bench

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

func testSeeds() []uint64 {
	count := 3
	if v, err := strconv.Atoi(os.Getenv("BERGAMOT_SEEDS")); err == nil {
		count = v
	}
	out := make([]uint64, count)
	for i := range out {
		out[i] = uint64(i + 1)
	}
	return out
}

// shortScenario is a flood that is short enough for a test.
func shortScenario() scenario {
	sc := flood("short", 2, 3)
	for i := range sc.phases {
		sc.phases[i].length /= 5
	}
	return sc
}

// Guards against results that depend on anything but the seed: two runs with the same
// seed must give the same result for every policy.
func TestRunsAreRepeatable(t *testing.T) {
	sc := shortScenario()
	for _, seed := range testSeeds() {
		for _, p := range policies() {
			c := experiment{fleet: fleets()[0], policy: p}
			first, second := c.simulate(&sc, seed), c.simulate(&sc, seed)
			if first != second {
				t.Errorf("seed %d, %s: two runs gave %+v and %+v", seed, p.name, first, second)
			}
		}
	}
}

// Guards against a simulated engine that works faster than its step times allow, exceeds
// the size of its prefix cache, KV cache or batch, or loses an attempt.
func TestEngineRespectsItsLimits(t *testing.T) {
	for _, seed := range testSeeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		f := fleets()[0]
		c := &clock{}
		e := newEngine(c, "engine", 0)
		requests := generate(&f, []phase{{20 * time.Second, [3]float64{0.5, 0.5, 0.5}}}, []float64{1}, rng)
		ended, tokens := 0, 0
		for _, r := range requests {
			j := &job{request: r, priority: r.rank, engine: e, onFirstToken: func() {}, onEnd: func(bool) { ended++ }}
			c.after(r.arrived, func() { e.submit(j) })
		}
		for c.now < time.Hour && ended < len(requests) {
			c.runUntil(c.now + time.Second)
			if e.reservedTokens > engineKVTokens || e.prefixes.tokens > cacheTokens || len(e.decoding)+len(e.prefilling) > maxBatch {
				t.Fatalf("seed %d: %d tokens reserved, %d cached, %d in the batch", seed, e.reservedTokens, e.prefixes.tokens, len(e.decoding)+len(e.prefilling))
			}
		}
		var work time.Duration
		for _, r := range requests {
			tokens += r.engineTokens
			work += r.engineTime
		}
		if ended != len(requests) || e.attempts() != 0 || e.reservedTokens != 0 {
			t.Errorf("seed %d: %d of %d attempts ended, %d tokens reserved", seed, ended, len(requests), e.reservedTokens)
		}
		if work > c.now {
			t.Errorf("seed %d: %s of work in %s", seed, work, c.now)
		}
	}
}

// Guards against an upper bound below the goodput of a policy, and against policies that
// send new requests to drained engines, while one engine of each data centre is replaced
// in each phase.
func TestReplacementAtPeak(t *testing.T) {
	for _, seed := range testSeeds() {
		phases := mixPhases(rand.New(rand.NewPCG(seed, 3)))
		for i := range phases {
			phases[i].length /= 20
		}
		sc := scenario{name: "short peak", phases: phases, faults: rollingReplacement(phases), drainedPerCentre: 1, isolatedCentre: -1}
		for _, f := range fleets() {
			for _, p := range policies()[:2] {
				c := experiment{fleet: f, scenario: sc, policy: p}
				sim := newSimulation(&c.fleet, &sc, &c.policy, seed)
				sim.repeat(time.Second, func() {
					for _, e := range sim.engines {
						for _, j := range append(e.prefilling, e.decoding...) {
							if e.replacing && j.sent > sim.clock.now-sc.sincePhase(sim.clock.now) {
								t.Fatalf("seed %d, %s: %s received work at %s while it was drained", seed, p.name, e.id, j.sent)
							}
						}
					}
				})
				sim.run(&sc, c.requests(&sc, seed))
				upper := goodputBound(&f, &sc, c.requests(&sc, seed))
				if got := sim.measure().Goodput; got > upper {
					t.Errorf("seed %d, %s %s: goodput %.3f, upper bound %.3f", seed, f.name, p.name, got, upper)
				}
			}
		}
	}
}

// sincePhase returns the time since the start of the current phase. After the last
// phase it returns the time since the start of that phase.
func (s *scenario) sincePhase(now time.Duration) time.Duration {
	for _, p := range s.phases {
		if now < p.length {
			return now
		}
		now -= p.length
	}
	return now + s.phases[len(s.phases)-1].length
}

// Guards against comparing a rank in a flood with different requests in its solo run:
// only the requests of the flooded rank may be thinned.
func TestSoloRunsUseTheSameRequests(t *testing.T) {
	sc := shortScenario()
	for _, seed := range testSeeds() {
		c := experiment{fleet: fleets()[0], scenario: sc}
		requests := c.requests(&sc, seed)
		for rank := range 3 {
			want := 0.0
			for _, r := range requests {
				if r.rank == rank {
					want += 1 / max(1, sc.phaseAt(r.arrived).load[rank])
				}
			}
			if got := float64(len(sc.requestsOfRank(rank, requests))); got < want-1 || got > want+1 {
				t.Errorf("seed %d, rank %d: %.0f requests in the solo run, want %.1f", seed, rank, got, want)
			}
		}
	}
}

package bench

import (
	"math/rand/v2"
	"runtime"
	"sync"
)

// Options configures Run.
type Options struct {
	Seed uint64
	// Ablations adds rows with one mechanism switched off in each.
	Ablations bool
	// Only limits the run to one scenario. If it is empty, all scenarios run.
	Only string
}

// upperBound is the name of the row that no policy can exceed.
const upperBound = "upper bound"

// experiment is one run: a policy in a scenario on a fleet.
type experiment struct {
	fleet        fleet
	scenario     scenario
	policy       policy
	isUpperBound bool
	soloBaseline *soloRuns
	result       Result
}

// soloRuns holds the worth that each rank reaches alone on the fleet under
// bergamotsill. The experiments of a scenario share it.
type soloRuns struct {
	once  sync.Once
	worth [3]float64
}

// Run simulates all scenarios under all policies and returns one result for each.
func Run(o Options) []Result {
	var experiments []*experiment
	for _, f := range fleets() {
		for _, sc := range scenarios(o.Seed) {
			if o.Only != "" && o.Only != sc.name {
				continue
			}
			list := policies()
			if o.Ablations && sc.withAblations {
				list = append(list, ablations()...)
			}
			alone := &soloRuns{}
			for _, p := range list {
				experiments = append(experiments, &experiment{fleet: f, scenario: sc, policy: p, soloBaseline: alone})
			}
			experiments = append(experiments, &experiment{fleet: f, scenario: sc, policy: policy{name: upperBound}, isUpperBound: true})
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for _, c := range experiments {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			c.run(o.Seed)
		})
	}
	group.Wait()
	out := make([]Result, len(experiments))
	for i, c := range experiments {
		out[i] = c.result
	}
	return out
}

// requests returns the requests of a scenario on the experiment's fleet. They depend only
// on the seed.
func (c *experiment) requests(sc *scenario, seed uint64) []*request {
	return generate(&c.fleet, sc.phases, sc.weights(&c.fleet), rand.New(rand.NewPCG(seed, 2)))
}

func (c *experiment) run(seed uint64) {
	if c.isUpperBound {
		c.result = Result{Goodput: goodputBound(&c.fleet, &c.scenario, c.requests(&c.scenario, seed))}
	} else {
		c.result = c.simulate(&c.scenario, seed)
		c.compareWithSolo(seed)
	}
	c.result.Fleet, c.result.Scenario, c.result.Policy = c.fleet.name, c.scenario.name, c.policy.name
}

func (c *experiment) simulate(sc *scenario, seed uint64) Result {
	return c.simulateRequests(sc, seed, c.requests(sc, seed))
}

func (c *experiment) simulateRequests(sc *scenario, seed uint64, requests []*request) Result {
	sim := newSimulation(&c.fleet, sc, &c.policy, seed)
	if c.policy.startRoleControl != nil {
		c.policy.startRoleControl(sim)
	}
	sim.run(sc, requests)
	return sim.measure()
}

// compareWithSolo sets the goodput of each rank in a flood relative to the rank's
// goodput alone on the fleet under bergamotsill.
func (c *experiment) compareWithSolo(seed uint64) {
	if !c.scenario.compareSolo {
		return
	}
	c.soloBaseline.once.Do(func() { c.simulateSolo(seed) })
	for rank := range c.result.Kept {
		demand := 0.0
		for _, p := range c.scenario.phases {
			demand = max(demand, p.load[rank])
		}
		c.result.Kept[rank] = ratio(c.result.worth[rank], c.soloBaseline.worth[rank])
		c.result.Guarantee[rank] = min(1, c.fleet.minShares[rank]/min(1, demand))
	}
}

// simulateSolo simulates the requests of each rank alone.
func (c *experiment) simulateSolo(seed uint64) {
	for rank := range c.soloBaseline.worth {
		solo := experiment{fleet: c.fleet, policy: policies()[0]}
		requests := c.scenario.requestsOfRank(rank, c.requests(&c.scenario, seed))
		c.soloBaseline.worth[rank] = solo.simulateRequests(&c.scenario, seed, requests).worth[rank]
	}
}

// requestsOfRank returns the requests of one rank. Those of a flooded rank are thinned
// to the fleet's capacity. Newly generated requests at the same rate would differ in
// number by several percent, and so would the goodput that a rank keeps.
func (s *scenario) requestsOfRank(rank int, requests []*request) []*request {
	var out []*request
	fraction := 0.0
	for _, r := range requests {
		if r.rank != rank {
			continue
		}
		fraction += 1 / max(1, s.phaseAt(r.arrived).load[rank])
		if fraction >= 1 {
			fraction--
			out = append(out, r)
		}
	}
	return out
}

package bench

import (
	"math/rand/v2"
	"runtime"
	"sync"
)

// Options configures Run.
type Options struct {
	Seed uint64
	// Ablations adds the rows with one mechanism switched off.
	Ablations bool
	// Only limits the run to one scenario; empty runs all.
	Only string
}

// cell is one run: a policy in a scenario of a fleet.
type cell struct {
	fleet    fleet
	scenario scenario
	policy   policy
	upper    bool
	result   Result
}

// Run plays all scenarios under all policies and returns one result for each.
func Run(o Options) []Result {
	var cells []*cell
	for _, f := range fleets() {
		for _, sc := range scenarios(o.Seed) {
			if o.Only != "" && o.Only != sc.name {
				continue
			}
			list := policies()
			if o.Ablations {
				list = append(list, ablations()...)
			}
			for _, p := range list {
				cells = append(cells, &cell{fleet: f, scenario: sc, policy: p})
			}
			cells = append(cells, &cell{fleet: f, scenario: sc, policy: policy{name: "upper bound"}, upper: true})
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for _, c := range cells {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			c.run(o.Seed)
		})
	}
	group.Wait()
	out := make([]Result, len(cells))
	for i, c := range cells {
		out[i] = c.result
	}
	return out
}

// load returns the requests of the cell's scenario; they depend on the seed only.
func (c *cell) load(sc *scenario, seed uint64) []*request {
	return generate(&c.fleet, sc.phases, sc.weights(&c.fleet), rand.New(rand.NewPCG(seed, 2)))
}

func (c *cell) run(seed uint64) {
	if c.upper {
		c.result = Result{Goodput: bound(&c.fleet, &c.scenario, c.load(&c.scenario, seed))}
	} else {
		c.result = c.play(&c.scenario, seed)
		c.compareAlone(seed)
	}
	c.result.Fleet, c.result.Scenario, c.result.Policy = c.fleet.name, c.scenario.name, c.policy.name
}

func (c *cell) play(sc *scenario, seed uint64) Result {
	w := newWorld(&c.fleet, sc, &c.policy, seed)
	if c.policy.control != nil {
		c.policy.control(w)
	}
	w.run(sc, c.load(sc, seed))
	return w.measure()
}

// compareAlone plays the load of each rank alone on the fleet, under this system,
// and relates the rank's goodput in the flood to it.
func (c *cell) compareAlone(seed uint64) {
	if c.scenario.alone == nil {
		return
	}
	for rank := range c.result.Kept {
		sc := c.scenario
		sc.phases = nil
		demand := 0.0
		for _, p := range c.scenario.phases {
			alone := phase{length: p.length}
			alone.load[rank] = min(p.load[rank], 1)
			demand = max(demand, p.load[rank])
			sc.phases = append(sc.phases, alone)
		}
		own := cell{fleet: c.fleet, policy: policies()[0]}
		alone := own.play(&sc, seed)
		c.result.Kept[rank] = ratio(c.result.worth[rank], alone.worth[rank])
		c.result.Guarantee[rank] = min(1, c.fleet.shares[rank]/min(1, demand))
	}
}

package bench

import (
	"math/rand/v2"
	"time"
)

// scenario is a load with faults.
type scenario struct {
	name   string
	phases []phase
	faults []fault
	// isolatedCentre is the data centre that is cut off from all others, or -1.
	isolatedCentre int
	// trafficSkew is the traffic of each daemon but the first of a data centre, as a
	// multiple of the traffic of the first. Values below 1 count as 1.
	trafficSkew float64
	// drainedPerCentre is the number of engines in each data centre that accept no new
	// work.
	drainedPerCentre int
	// compareSolo compares each rank with a run of the rank alone on the fleet.
	compareSolo bool
	// withAblations adds rows with one mechanism switched off in each.
	withAblations bool
}

func (s *scenario) length() time.Duration {
	total := time.Duration(0)
	for _, p := range s.phases {
		total += p.length
	}
	return total
}

// phaseAt returns the phase at a time, or the last phase for a time after the end.
func (s *scenario) phaseAt(at time.Duration) *phase {
	for i := range s.phases {
		if at < s.phases[i].length {
			return &s.phases[i]
		}
		at -= s.phases[i].length
	}
	return &s.phases[len(s.phases)-1]
}

// weights returns the load balancer's weight of each daemon.
func (s *scenario) weights(f *fleet) []float64 {
	var out []float64
	for _, n := range f.daemons {
		for i := range n {
			if i == 0 {
				out = append(out, 1)
			} else {
				out = append(out, max(1, s.trafficSkew))
			}
		}
	}
	return out
}

// baseLoad is the load before and after a flood. It keeps all ranks below their
// minimum shares.
var baseLoad = [3]float64{0.15, 0.25, 0.12}

const floodLength = 100 * time.Second

// scenarios returns the scenarios for a seed. The lengths of the phases of the mix are
// random and the same for all policies.
func scenarios(seed uint64) []scenario {
	rng := rand.New(rand.NewPCG(seed, 3))
	mix := mixPhases(rng)
	return []scenario{
		{name: "mix", phases: mix, isolatedCentre: -1, withAblations: true},
		{name: "mix-peak", phases: mix, faults: rollingReplacement(mix), drainedPerCentre: 1, isolatedCentre: -1, withAblations: true},
		flood("flood-background", 2, 10),
		flood("flood-urgent", 0, 5),
		{
			name: "flood-both", isolatedCentre: -1, compareSolo: true,
			phases: []phase{
				{30 * time.Second, baseLoad},
				{floodLength, [3]float64{5, baseLoad[1], 10}},
				{30 * time.Second, baseLoad},
			},
		},
		{
			name: "loss", isolatedCentre: -1, phases: []phase{{5 * time.Minute, [3]float64{0.2, 0.35, 0.15}}},
			faults: lossFaults(),
		},
		{
			name: "cut", isolatedCentre: 1, trafficSkew: 10, withAblations: true, phases: []phase{{4 * time.Minute, [3]float64{0.2, 0.35, 0.15}}},
		},
	}
}

// lossFaults makes three engines of the first data centre unavailable one after
// another, while all load reports are delayed: the first crashes, the second is drained,
// and the third is drained and replaced. Cache events are not simulated, because
// no policy here uses them.
func lossFaults() []fault {
	const lateReports = 5 * time.Second
	const unavailable = time.Minute
	return []fault{
		{0, func(sim *simulation) { sim.reportLag = lateReports }},
		{time.Minute, func(sim *simulation) { sim.engines[0].crash(unavailable) }},
		{2 * time.Minute, func(sim *simulation) { sim.engines[1].draining = true }},
		{2*time.Minute + unavailable, func(sim *simulation) { sim.engines[1].draining = false }},
		{3 * time.Minute, func(sim *simulation) { sim.engines[2].draining = true }},
		{3*time.Minute + unavailable, func(sim *simulation) { sim.engines[2].replace() }},
	}
}

// rollingReplacement keeps one engine of each data centre drained, a different one in
// each phase. The fleet is fixed and daemons drain one engine of a data centre at a
// time, so this is the smallest number of engines that a planned change leaves at a
// peak: 6 of 9 and 9 of 12.
func rollingReplacement(phases []phase) []fault {
	var out []fault
	at := time.Duration(0)
	for i, p := range phases {
		out = append(out, fault{at, func(sim *simulation) { sim.replaceNext(i) }})
		at += p.length
	}
	return out
}

// replaceNext replaces the engines that are drained for replacement and drains engine i
// of each data centre, modulo its number of engines.
func (sim *simulation) replaceNext(i int) {
	for _, e := range sim.engines {
		if e.replacing {
			e.replacing = false
			e.replace()
		}
	}
	first := 0
	for _, n := range sim.fleet.engines {
		e := sim.engines[first+i%n]
		e.replacing, e.draining = true, true
		first += n
	}
}

// mixPhases alternates between long prompts and short exchanges every 2 to 10 minutes.
// The prefill share of the load varies between 0.72 and 0.57 (feed-board) and between
// 0.68 and 0.56 (cooperative). With the request sizes of the workloads, even phases
// with a single rank would only vary it between 0.78 and 0.53, and between 0.70 and
// 0.49.
func mixPhases(rng *rand.Rand) []phase {
	const phasePairs = 3
	var out []phase
	for range phasePairs {
		out = append(out,
			phase{mixLength(rng), [3]float64{0.15, 0.8, 0.1}},
			phase{mixLength(rng), [3]float64{0.75, 0.15, 0.1}},
		)
	}
	return out
}

// mixLength returns a random length of 2 to 10 minutes.
func mixLength(rng *rand.Rand) time.Duration {
	return 2*time.Minute + time.Duration(rng.Int64N(int64(8*time.Minute)))
}

// flood returns a scenario with a load of one rank at a multiple of the fleet's
// capacity.
func flood(name string, rank int, multiple float64) scenario {
	high := baseLoad
	high[rank] = multiple
	return scenario{
		name: name, isolatedCentre: -1, compareSolo: true, withAblations: true,
		phases: []phase{{30 * time.Second, baseLoad}, {floodLength, high}, {30 * time.Second, baseLoad}},
	}
}

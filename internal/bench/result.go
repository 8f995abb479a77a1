package bench

import (
	"cmp"
	"slices"
	"time"
)

// Result is the outcome of one policy in one scenario.
type Result struct {
	Fleet    string `json:"fleet"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// Goodput is the worth of the responses within target per second of engine time
	// during the scenario.
	Goodput float64 `json:"goodput"`
	// Useful is the share of engine time that was spent on responses within target. It
	// counts engine time until the end of the scenario or of the last attempt, whichever
	// is later.
	Useful      float64 `json:"useful"`
	RoleChanges int     `json:"role_changes"`
	// RoleGain is the largest predicted gain of a role change, relative to the gain
	// that package roles requires. It shows how close a run came to a change.
	RoleGain float64 `json:"role_gain"`
	// Within is the share of requests answered within target, by rank.
	Within [3]float64 `json:"within"`
	// Kept is the goodput of a rank relative to the goodput of the rank alone on the
	// fleet. Guarantee is the part of it that the rank's minimum share covers. Both
	// are set only for floods.
	Kept      [3]float64 `json:"kept"`
	Guarantee [3]float64 `json:"guarantee"`
	Refused   int        `json:"refused"`
	Lost      int        `json:"lost"`
	Late      int        `json:"late"`
	// Wasted is the number of tokens spent on requests that were not answered within
	// target.
	Wasted int `json:"wasted_tokens"`

	worth [3]float64
}

// measure computes the result of a finished run.
func (sim *simulation) measure() Result {
	var out Result
	var useful time.Duration
	var count, onTarget [3]float64
	for _, r := range sim.requests {
		count[r.rank]++
		switch r.outcome {
		case withinTarget:
			onTarget[r.rank]++
			out.worth[r.rank] += r.workload.profile.Worth
			useful += r.engineTime
			continue
		case refused:
			out.Refused++
		case lost:
			out.Lost++
		default:
			out.Late++
		}
		out.Wasted += r.engineTokens
	}
	engineTime := sim.arrivalPeriod.Seconds() * float64(sim.fleet.engineCount())
	for rank := range count {
		out.Within[rank] = ratio(onTarget[rank], count[rank])
		out.Goodput += out.worth[rank] / engineTime
	}
	out.Useful = useful.Seconds() / (max(sim.arrivalPeriod, sim.lastEnd).Seconds() * float64(sim.fleet.engineCount()))
	out.RoleChanges, out.RoleGain = sim.roleChanges, sim.maxRoleGain
	return out
}

// ratio returns a / b, or 1 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// goodputBound returns the goodput that no policy can exceed. It assumes that the whole load
// is known, every prompt prefix is cached, batches are full, requests wait as long as
// their targets allow, and requests with the most worth per engine time are served
// first.
func goodputBound(f *fleet, sc *scenario, requests []*request) float64 {
	engines := float64(f.engineCount())
	available := engines - float64(sc.drainedPerCentre*len(f.engines))
	byPhase := 0.0
	start := time.Duration(0)
	for _, p := range sc.phases {
		byPhase += boundPhase(start, start+p.length, engines, available, requests)
		start += p.length
	}
	// Draining engines continue to work for at most the longest target of their
	// requests.
	longest := time.Duration(len(sc.phases)) * f.longestTarget()
	seconds := sc.length().Seconds()*available + min(longest, sc.length()).Seconds()*(engines-available) + drainTime.Seconds()*engines
	whole := maxWorth(requests, seconds)
	return min(byPhase, whole) / (sc.length().Seconds() * engines)
}

func (f *fleet) longestTarget() time.Duration {
	longest := time.Duration(0)
	for i := range f.workloads {
		longest = max(longest, time.Duration(f.workloads[i].profile.TotalMS)*time.Millisecond)
	}
	return longest
}

// boundPhase bounds the worth of the requests that arrive in a phase in which only the
// available engines accept work. After the phase, all engines can serve these requests
// until their targets.
func boundPhase(start, end time.Duration, engines, available float64, requests []*request) float64 {
	var arriving []*request
	longest := time.Duration(0)
	for _, r := range requests {
		if r.arrived >= start && r.arrived < end {
			arriving = append(arriving, r)
			longest = max(longest, time.Duration(r.workload.profile.TotalMS)*time.Millisecond)
		}
	}
	return maxWorth(arriving, (end-start).Seconds()*available+longest.Seconds()*engines)
}

// minCost returns the engine time, in seconds, of a request in the largest batch
// with its prefix cached.
func (r *request) minCost() float64 {
	perSequence := stepPerSequence + stepBase/maxBatch
	cost := time.Duration(r.prompt-r.prefixTokens)*stepPerPromptToken + time.Duration(r.output)*perSequence
	return cost.Seconds()
}

// maxWorth returns the highest worth that can be served in the given seconds of
// engine time. The last request may be served in part.
func maxWorth(requests []*request, seconds float64) float64 {
	sorted := slices.Clone(requests)
	density := func(r *request) float64 { return r.workload.profile.Worth / r.minCost() }
	slices.SortFunc(sorted, func(a, b *request) int { return cmp.Compare(density(b), density(a)) })
	total := 0.0
	for _, r := range sorted {
		part := min(1, seconds/r.minCost())
		total += part * r.workload.profile.Worth
		seconds -= part * r.minCost()
		if seconds <= 0 {
			break
		}
	}
	return total
}

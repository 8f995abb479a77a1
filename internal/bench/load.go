package bench

import (
	"math/rand/v2"
	"sort"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// Names of the model and the pool in the benchmark's configuration.
const (
	model = "model"
	pool  = "engines"
)

// workload describes the requests of one rank of a fleet. Sizes are in tokens.
type workload struct {
	profile              profile.Profile
	promptMin, promptMax int
	outputMin, outputMax int
	// prefixShare is the part of a prompt that requests on the same subject share.
	prefixShare float64
	subjects    int
}

// fleet describes the data centres and workloads of one user.
type fleet struct {
	name string
	// engines and daemons are counts per data centre.
	engines, daemons []int
	// remoteDelay is the one-way network delay between data centres.
	remoteDelay time.Duration
	// minShares and workloads are indexed by rank.
	minShares [3]float64
	workloads [3]workload
}

func newProfile(name string, rank profile.Rank, first, total time.Duration, worth float64, maxOutput int) profile.Profile {
	return profile.Profile{
		Name: name, Rank: rank, Pool: pool, Model: model, Worth: worth, MaxOutputTokens: maxOutput,
		FirstTokenMS: first.Milliseconds(), TokenMS: 62, TotalMS: total.Milliseconds(),
	}
}

// fleets returns the fleets of the users in docs/design.md, section 1.6.
func fleets() []fleet {
	return []fleet{
		{
			name: "feed-board", engines: []int{3, 3, 3}, daemons: []int{3, 2, 2}, remoteDelay: 5 * time.Millisecond,
			minShares: [3]float64{0.3, 0.3, 0.15},
			workloads: [3]workload{
				{newProfile("slot-query", profile.Urgent, 910*time.Millisecond, 6*time.Second, 3, 200), 200, 400, 30, 80, 0.5, 40},
				{newProfile("feed-history", profile.Standard, 5*time.Second, 45*time.Second, 6, 800), 3000, 9000, 200, 500, 0.6, 120},
				{newProfile("reindex", profile.Background, 30*time.Second, 120*time.Second, 1, 500), 800, 2000, 150, 300, 0, 1},
			},
		},
		{
			name: "cooperative", engines: []int{4, 4, 4}, daemons: []int{2, 2, 2}, remoteDelay: 4 * time.Millisecond,
			minShares: [3]float64{0.25, 0.35, 0.2},
			workloads: [3]workload{
				{newProfile("counter-question", profile.Urgent, 910*time.Millisecond, 12*time.Second, 2, 300), 300, 700, 60, 150, 0.5, 60},
				{newProfile("restoration-brief", profile.Standard, 6*time.Second, 60*time.Second, 6, 1200), 4000, 10000, 400, 800, 0.6, 150},
				{newProfile("photo-tag", profile.Background, 30*time.Second, 120*time.Second, 0.5, 100), 600, 1000, 10, 40, 0, 1},
			},
		},
	}
}

func (f *fleet) engineCount() int {
	total := 0
	for _, n := range f.engines {
		total += n
	}
	return total
}

// request is one request of the load and its outcome.
type request struct {
	id           int
	rank         int
	workload     *workload
	organisation int
	// daemon is the index of the daemon that receives the request.
	daemon int
	// arrived is the time since the start of the run.
	arrived time.Duration
	// prompt and output are lengths in tokens.
	prompt int
	output int
	// prefix identifies the shared prefix of the prompt, or is 0 if there is none.
	prefix       int
	prefixTokens int

	// engineTime and engineTokens are the engine time and the number of tokens spent
	// on the request in all its attempts.
	engineTime   time.Duration
	engineTokens int
	outcome      outcome
	// firstTokenDelay is the time from the arrival of the request to the arrival of its
	// first token at the daemon.
	firstTokenDelay time.Duration
	retries         int
}

// outcome says how a request ended. In results, unfinished requests count as late.
type outcome int

const (
	unfinished outcome = iota
	withinTarget
	late
	refused
	lost
)

// meanEngineTime estimates the engine time of an average request in a batch of typical
// size.
func (w *workload) meanEngineTime() time.Duration {
	prompt := float64(w.promptMin+w.promptMax) / 2
	output := float64(w.outputMin+w.outputMax) / 2
	return engineTime(prompt, output)
}

// typicalBatch is the batch size that is assumed when the fixed time of a step is
// divided among requests.
const typicalBatch = 32

// engineTime estimates the engine time of a request with the given numbers of prompt and
// output tokens.
func engineTime(prompt, output float64) time.Duration {
	perSequence := stepPerSequence + stepBase/typicalBatch
	return time.Duration(prompt*float64(stepPerPromptToken) + output*float64(perSequence))
}

// phase is a part of a scenario with constant request rates. load is the offered load of
// each rank as a multiple of the fleet's engine time; 1 is its full capacity.
type phase struct {
	length time.Duration
	load   [3]float64
}

// generate returns the requests of all phases in order of arrival. The weights determine
// the shares of the daemons.
func generate(f *fleet, phases []phase, weights []float64, rng *rand.Rand) []*request {
	var out []*request
	start := time.Duration(0)
	for _, p := range phases {
		for rank, load := range p.load {
			out = append(out, f.arrivals(rank, load, start, p.length, weights, rng)...)
		}
		start += p.length
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].arrived < out[j].arrived })
	for i, r := range out {
		r.id = i
	}
	return out
}

// arrivals returns the requests of one rank, which arrive as a Poisson process.
func (f *fleet) arrivals(rank int, load float64, start, length time.Duration, weights []float64, rng *rand.Rand) []*request {
	if load <= 0 {
		return nil
	}
	work := &f.workloads[rank]
	interval := float64(work.meanEngineTime()) / (load * float64(f.engineCount()))
	var out []*request
	for at := start + time.Duration(rng.ExpFloat64()*interval); at < start+length; at += time.Duration(rng.ExpFloat64() * interval) {
		r := &request{rank: rank, workload: work, arrived: at, organisation: rng.IntN(20), daemon: pickWeighted(weights, rng)}
		r.prompt = work.promptMin + rng.IntN(work.promptMax-work.promptMin)
		// The minimum of two draws gives a right-skewed distribution of output lengths.
		width := work.outputMax - work.outputMin
		r.output = work.outputMin + min(rng.IntN(width), rng.IntN(width))
		if work.prefixShare > 0 {
			subject := min(rng.IntN(work.subjects), rng.IntN(work.subjects))
			r.prefix = 1 + rank*1000 + subject
			r.prefixTokens = int(work.prefixShare * float64(work.promptMin))
		}
		out = append(out, r)
	}
	return out
}

// pickWeighted returns a random index with a probability proportional to its weight.
func pickWeighted(weights []float64, rng *rand.Rand) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at := rng.Float64() * total
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// fixedSplitRole returns the role of an engine in a fixed split: every third engine is
// a prefill engine.
func fixedSplitRole(index int) port.Role {
	if index%3 == 0 {
		return port.RolePrefill
	}
	return port.RoleDecode
}

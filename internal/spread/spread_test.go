package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a choice that is not the cheapest server while nothing else arrives, and against shares that do not fill
// servers up to one level.
func TestWorkFillsServersUpToOneLevel(t *testing.T) {
	costs := []time.Duration{40, 10, 20, 100}
	counts := func(arriving time.Duration) []int {
		r := rand.New(rand.NewPCG(1, 1))
		out := make([]int, len(costs))
		for range 10000 {
			candidates := make([]Candidate, len(costs))
			for i, c := range costs {
				candidates[i] = Candidate{Index: i, Cost: c * time.Millisecond}
			}
			out[candidates[Choose(candidates, arriving, r.Float64)].Index]++
		}
		return out
	}
	cases := []struct {
		arriving time.Duration
		// want is the share of each server in percent.
		want []int
	}{
		{0, []int{0, 100, 0, 0}},
		{5 * time.Millisecond, []int{0, 100, 0, 0}},
		// The level is 25 ms.
		{20 * time.Millisecond, []int{0, 75, 25, 0}},
		// The level is 50 ms.
		{80 * time.Millisecond, []int{12, 50, 38, 0}},
	}
	for _, c := range cases {
		got := counts(c.arriving)
		for i := range got {
			if percent := float64(got[i]) / 100; percent < float64(c.want[i])-2 || percent > float64(c.want[i])+2 {
				t.Errorf("arriving %v: server %d gets %.0f%%, want %d%%", c.arriving, i, percent, c.want[i])
			}
		}
	}
}

// herd plays deciders that choose among servers by reports of the same age, without a network. Requests arrive at random at
// the deciders; a server runs one after another.
type herd struct {
	deciders, servers int
	// lost deciders send nothing; the others expect them to.
	lost int
	// age is the time between two reports, which all deciders get.
	age time.Duration
	// utilisation is the mean load of the servers.
	utilisation float64
}

// policy chooses a server by the reported waits, the decider's own work that is in no report, and the work that others are
// expected to send.
type policy func(r *rand.Rand, reported, own []time.Duration, arriving time.Duration) int

func best(r *rand.Rand, reported, own []time.Duration, _ time.Duration) int {
	best := 0
	for i := range reported {
		if reported[i]+own[i] < reported[best]+own[best] {
			best = i
		}
	}
	return best
}

func twoAtRandom(r *rand.Rand, reported, own []time.Duration, _ time.Duration) int {
	a, b := r.IntN(len(reported)), r.IntN(len(reported))
	if reported[a]+own[a] <= reported[b]+own[b] {
		return a
	}
	return b
}

func atRandom(r *rand.Rand, reported, _ []time.Duration, _ time.Duration) int {
	return r.IntN(len(reported))
}

func levelled(r *rand.Rand, reported, own []time.Duration, arriving time.Duration) int {
	candidates := make([]Candidate, len(reported))
	for i := range reported {
		candidates[i] = Candidate{Index: i, Cost: reported[i] + own[i]}
	}
	return candidates[Choose(candidates, arriving, r.Float64)].Index
}

// play returns the median and the 99th percentile of the waits of requests.
func (h herd) play(seed uint64, choose policy) (p50, p99 time.Duration) {
	const requests, meanWork = 20000, 25 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 7))
	interval := time.Duration(float64(meanWork) / (float64(h.servers) * h.utilisation))
	perDecider := interval * time.Duration(h.deciders-h.lost)
	freeAt := make([]time.Duration, h.servers)
	reported := make([]time.Duration, h.servers)
	own := make([][]time.Duration, h.deciders)
	var now, reportAt time.Duration
	var waits []time.Duration
	for range requests {
		now += time.Duration(r.ExpFloat64() * float64(interval))
		if now >= reportAt {
			for i := range freeAt {
				reported[i] = max(0, freeAt[i]-now)
			}
			for i := range own {
				own[i] = make([]time.Duration, h.servers)
			}
			reportAt = now + h.age
		}
		d := r.IntN(h.deciders - h.lost)
		// Each decider knows its own rate, and expects the others to have the same one.
		arriving := time.Duration(float64(h.deciders-1) * float64(h.age) / float64(perDecider) * float64(meanWork))
		i := choose(r, reported, own[d], arriving)
		work := time.Duration(r.ExpFloat64() * float64(meanWork))
		waits = append(waits, max(0, freeAt[i]-now))
		freeAt[i] = max(freeAt[i], now) + work
		own[d][i] += work
	}
	slices.SortFunc(waits, cmp.Compare[time.Duration])
	return waits[len(waits)/2], waits[len(waits)*99/100]
}

// Guards against a choice by which deciders that see the same reports overrun servers in turns: callers must wait less than
// with the best of all that are known, and no longer than with servers drawn at random, also if half of the deciders are
// lost.
func TestLevelledChoiceAvoidsHerds(t *testing.T) {
	for _, deciders := range []int{8, 60, 300} {
		for _, lost := range []int{0, deciders / 2} {
			h := herd{deciders: deciders, lost: lost, servers: 60, age: 100 * time.Millisecond, utilisation: 0.6}
			waits := map[string]time.Duration{}
			for name, choose := range map[string]policy{"best of all": best, "two at random": twoAtRandom, "at random": atRandom, "levelled": levelled} {
				p50, p99 := h.play(1, choose)
				waits[name] = p99
				t.Logf("%3d deciders, %3d lost, %-13s p50 %5.1f ms, p99 %6.1f ms", deciders, lost, name, p50.Seconds()*1000, p99.Seconds()*1000)
			}
			if waits["levelled"] >= waits["best of all"] || waits["levelled"] > waits["at random"] {
				t.Errorf("%d deciders, %d lost: waits at p99 are %v", deciders, lost, waits)
			}
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	const servers = 600
	r := rand.New(rand.NewPCG(1, 1))
	costs := make([]Candidate, servers)
	for i := range costs {
		costs[i] = Candidate{Index: i, Cost: time.Duration(r.IntN(300)) * time.Millisecond}
	}
	candidates := make([]Candidate, servers)
	b.ReportAllocs()
	for b.Loop() {
		copy(candidates, costs)
		Choose(candidates, 500*time.Millisecond, r.Float64)
	}
}

// Package spread chooses among servers whose load is known a little late. Deciders that see the same reports and all take
// the cheapest server overrun it while others idle. It answers that load by filling servers up to one level: the work that
// the other deciders are expected to send before their choices show in a report is distributed over the cheapest servers,
// and each decider draws at random in proportion to what a server gets of it (the basic load interpretation of M. Dahlin,
// Interpreting Stale Load Information, 2000). With fresh reports or little work that is the cheapest server. It needs no
// network and no clock.
package spread

import "time"

// Candidate is a server with the predicted cost of sending a request there.
type Candidate struct {
	// Index identifies the server for the caller.
	Index int
	Cost  time.Duration
}

// Choose returns the position in candidates of the server to take. arriving is the work of other deciders that is expected
// to arrive at the servers together and is in no report yet, in the unit of the costs. random returns a number in [0, 1). It
// reorders the candidates, of which there must be at least one.
func Choose(candidates []Candidate, arriving time.Duration, random func() float64) int {
	cheapest := 0
	for i, c := range candidates {
		if c.Cost < candidates[cheapest].Cost {
			cheapest = i
		}
	}
	if arriving <= 0 || len(candidates) == 1 {
		return cheapest
	}
	// No server is filled beyond the level that the cheapest one alone would reach.
	below := keepBelow(candidates, candidates[cheapest].Cost+arriving)
	var level time.Duration
	for before := len(below) + 1; len(below) < before; {
		before = len(below)
		level = (arriving + sum(below)) / time.Duration(len(below))
		// The servers above the level get nothing, so that the others are filled further. Rounding must not drop the
		// cheapest one.
		below = keepBelow(below, max(level, candidates[0].Cost+1))
	}
	drawn := time.Duration(random() * float64(arriving))
	for i, c := range below {
		if drawn -= level - c.Cost; drawn < 0 {
			return i
		}
	}
	return len(below) - 1
}

// keepBelow moves the candidates with a cost below limit to the begin and returns them, the cheapest one first.
func keepBelow(candidates []Candidate, limit time.Duration) []Candidate {
	kept := 0
	for i := range candidates {
		if candidates[i].Cost >= limit {
			continue
		}
		candidates[kept], candidates[i] = candidates[i], candidates[kept]
		if candidates[kept].Cost < candidates[0].Cost {
			candidates[kept], candidates[0] = candidates[0], candidates[kept]
		}
		kept++
	}
	return candidates[:kept]
}

func sum(candidates []Candidate) time.Duration {
	var sum time.Duration
	for _, c := range candidates {
		sum += c.Cost
	}
	return sum
}

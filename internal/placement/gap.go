package placement

import "time"

const (
	// defaultIdleGap is the time between two events of a stream while its engine does not
	// prefill, until it has been measured.
	defaultIdleGap = 40 * time.Millisecond
	// gapWeight is the weight of a new measurement in the moving average of the idle gap.
	gapWeight = 0.05
	// raiseWeight and lowerWeight are the weights of a new measurement that is above or below
	// gapModel.maxAdded: the estimated bound rises fast and falls slowly. Most measurements are
	// below it, because load reports are old: the engine often finished the prefill earlier.
	raiseWeight = 0.3
	lowerWeight = 0.002
	// minBoundSamples is the number of measurements after which gapModel.maxAdded is known. Until
	// then, prefill is assumed to lengthen a gap by its whole time.
	minBoundSamples = 20
	// lateFromShare and lateToShare are the ratios of a predicted gap to the allowed gap from
	// which the gap may be late, and from which it is certainly late.
	lateFromShare = 0.8
	lateToShare   = 1.2
)

// gapModel predicts the gap between events of streams at the decode engines of a service.
// An event covers several decode steps, and each step prefills at most one chunk of a
// prompt. The gap therefore grows with the prefill work that falls into it, up to a bound.
type gapModel struct {
	// idleGap is the time between events while the engine does not prefill.
	idleGap time.Duration
	// maxAdded is the longest time that prefill adds to a gap. It is unknown until boundSamples
	// has reached minBoundSamples.
	maxAdded time.Duration
	// boundSamples counts the measurements of maxAdded, up to minBoundSamples.
	boundSamples int
}

func newGapModel() *gapModel { return &gapModel{idleGap: defaultIdleGap} }

// predict returns the gap expected for an engine with the given outstanding prefill time.
func (g *gapModel) predict(prefill time.Duration) time.Duration {
	if g.boundSamples >= minBoundSamples {
		prefill = min(prefill, g.maxAdded)
	}
	return g.idleGap + prefill
}

// prefillActivity is the part of a gap in which the engine is assumed to have prefilled.
type prefillActivity int

const (
	prefillNone prefillActivity = iota
	prefillPartly
	prefillThroughout
)

// observe updates the model with a measured gap.
func (g *gapModel) observe(gap time.Duration, during prefillActivity) {
	switch during {
	case prefillNone:
		g.idleGap += time.Duration(gapWeight * float64(min(gap, 4*g.idleGap)-g.idleGap))
	case prefillThroughout:
		added := gap - g.idleGap
		if g.boundSamples < minBoundSamples {
			g.boundSamples++
			g.maxAdded = max(g.maxAdded, added)
			return
		}
		weight := lowerWeight
		if added > g.maxAdded {
			weight = raiseWeight
		}
		g.maxAdded = max(1, g.maxAdded+time.Duration(weight*float64(added-g.maxAdded)))
	}
}

// lateProbability returns the estimated probability, from 0 to 1, that a predicted gap
// exceeds the allowed one.
func lateProbability(gap, allowed time.Duration) float64 {
	if allowed <= 0 {
		return 0
	}
	share := (float64(gap)/float64(allowed) - lateFromShare) / (lateToShare - lateFromShare)
	return max(0, min(1, share))
}

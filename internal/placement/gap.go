package placement

import "time"

const (
	// defaultIdleGap is the time between two events of a stream while its engine reads no
	// prompt, until it has been measured.
	defaultIdleGap = 40 * time.Millisecond
	// gapWeight is the weight of a measurement in the moving average.
	gapWeight = 0.05
	// raiseWeight and lowerWeight move the estimate of an upper bound: up fast, down slowly.
	raiseWeight = 0.3
	lowerWeight = 0.02
	// lateFromShare and lateTo are the shares of the allowed pause at which a predicted one
	// begins to be too long, and surely is.
	lateFromShare = 0.8
	lateToShare   = 1.2
)

// gapModel predicts the pause between events of streams at the decode engines of a
// service. An event stands for a number of steps, and each step reads at most one chunk
// of a prompt: the pause grows with the reading that falls into it, up to a bound.
type gapModel struct {
	// idleGap is the time between events while nothing is read.
	idleGap time.Duration
	// maxAdded is the longest time that reading adds; 0 as long as it is not known.
	maxAdded time.Duration
}

func newGapModel() *gapModel { return &gapModel{idleGap: defaultIdleGap} }

// predict returns the pause when an engine has so much to read.
func (p *gapModel) predict(prefill time.Duration) time.Duration {
	if p.maxAdded > 0 {
		prefill = min(prefill, p.maxAdded)
	}
	return p.idleGap + prefill
}

// prefillActivity tells how much of a pause an engine is taken to have read prompts.
type prefillActivity int

const (
	prefillNone prefillActivity = iota
	prefillPartly
	prefillThroughout
)

// observe takes in a pause.
func (p *gapModel) observe(gap time.Duration, during prefillActivity) {
	switch during {
	case prefillNone:
		p.idleGap += time.Duration(gapWeight * float64(min(gap, 4*p.idleGap)-p.idleGap))
	case prefillThroughout:
		added := gap - p.idleGap
		weight := lowerWeight
		if added > p.maxAdded {
			weight = raiseWeight
		}
		if p.maxAdded == 0 {
			p.maxAdded = max(1, added)
			return
		}
		p.maxAdded = max(1, p.maxAdded+time.Duration(weight*float64(added-p.maxAdded)))
	}
}

// lateProbability returns how likely a predicted pause is longer than allowed, from 0 to 1.
func lateProbability(gap, allowed time.Duration) float64 {
	if allowed <= 0 {
		return 0
	}
	share := (float64(gap)/float64(allowed) - lateFromShare) / (lateToShare - lateFromShare)
	return max(0, min(1, share))
}

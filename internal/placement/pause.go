package placement

import "time"

const (
	// quietDefault is the time between two events of a stream while its engine reads no
	// prompt, until it has been measured.
	quietDefault = 40 * time.Millisecond
	// pauseWeight is the weight of a measurement in the moving average.
	pauseWeight = 0.05
	// raiseWeight and lowerWeight move the estimate of an upper bound: up fast, down slowly.
	raiseWeight = 0.3
	lowerWeight = 0.02
	// lateFrom and lateTo are the shares of the allowed pause at which a predicted one
	// begins to be too long, and surely is.
	lateFrom = 0.8
	lateTo   = 1.2
)

// pauseModel predicts the pause between events of streams at the decode engines of a
// service. An event stands for a number of steps, and each step reads at most one chunk
// of a prompt: the pause grows with the reading that falls into it, up to a bound.
type pauseModel struct {
	// quiet is the time between events while nothing is read.
	quiet time.Duration
	// most is the longest time that reading adds; 0 as long as it is not known.
	most time.Duration
}

func newPauseModel() *pauseModel { return &pauseModel{quiet: quietDefault} }

// predict returns the pause when an engine has so much to read.
func (p *pauseModel) predict(reading time.Duration) time.Duration {
	if p.most > 0 {
		reading = min(reading, p.most)
	}
	return p.quiet + reading
}

// readingDuring tells how much of a pause an engine is taken to have read prompts.
type readingDuring int

const (
	readNothing readingDuring = iota
	readSome
	readAll
)

// learn takes in a pause.
func (p *pauseModel) learn(pause time.Duration, during readingDuring) {
	switch during {
	case readNothing:
		p.quiet += time.Duration(pauseWeight * float64(min(pause, 4*p.quiet)-p.quiet))
	case readAll:
		added := pause - p.quiet
		weight := lowerWeight
		if added > p.most {
			weight = raiseWeight
		}
		if p.most == 0 {
			p.most = max(1, added)
			return
		}
		p.most = max(1, p.most+time.Duration(weight*float64(added-p.most)))
	}
}

// lateShare returns how likely a predicted pause is longer than allowed, from 0 to 1.
func lateShare(pause, allowed time.Duration) float64 {
	if allowed <= 0 {
		return 0
	}
	share := (float64(pause)/float64(allowed) - lateFrom) / (lateTo - lateFrom)
	return max(0, min(1, share))
}

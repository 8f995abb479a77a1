package admission

import "slices"

const (
	// predictorWindow is the number of most recent output lengths kept per profile.
	predictorWindow = 256
	// predictorRefresh is the number of new output lengths after which the sorted copy
	// is rebuilt.
	predictorRefresh = 16
	// costQuantile is the quantile of the output length that a request is charged for.
	// It is above the median because output lengths are skewed to the right.
	costQuantile = 0.6
)

// Predictor predicts the output length of a request from the quantiles of the recent
// output lengths of its profile.
type Predictor struct {
	profiles map[string]*outputHistory
}

// outputHistory holds the most recent output lengths of one profile, in tokens.
type outputHistory struct {
	// recent is a ring buffer; next is the index that is overwritten next.
	recent []int
	next   int
	// sorted is a sorted copy of recent, sinceSort the number of lengths added since.
	sorted    []int
	sinceSort int
}

// NewPredictor returns a Predictor without any observations.
func NewPredictor() *Predictor { return &Predictor{profiles: map[string]*outputHistory{}} }

// Observe adds the output length, in tokens, of a finished response.
func (p *Predictor) Observe(profile string, tokens int) {
	o, ok := p.profiles[profile]
	if !ok {
		o = &outputHistory{}
		p.profiles[profile] = o
	}
	o.add(tokens)
}

// add records an output length and rebuilds the sorted copy if it is due.
func (o *outputHistory) add(tokens int) {
	if len(o.recent) < predictorWindow {
		o.recent = append(o.recent, tokens)
	} else {
		o.recent[o.next] = tokens
		o.next = (o.next + 1) % predictorWindow
	}
	o.sinceSort++
	if o.sinceSort < predictorRefresh && len(o.sorted) > 0 {
		return
	}
	o.sinceSort = 0
	o.sorted = append(o.sorted[:0], o.recent...)
	slices.Sort(o.sorted)
}

// Output predicts the total output, in tokens, of a response of which produced tokens
// have been generated and which may not exceed limit. For a profile without
// observations it predicts half of the limit.
func (p *Predictor) Output(profile string, produced, limit int) int {
	predicted := max(limit/2, produced+1)
	if o, ok := p.profiles[profile]; ok {
		predicted = o.quantileAbove(produced)
	}
	return max(1, produced, min(predicted, limit))
}

// quantileAbove returns the costQuantile of the output lengths above produced.
func (o *outputHistory) quantileAbove(produced int) int {
	start, _ := slices.BinarySearch(o.sorted, produced+1)
	longer := o.sorted[start:]
	if len(longer) == 0 {
		// No recent response was this long. In a heavy-tailed distribution the
		// expected remaining length grows with the length reached.
		return produced + max(produced/4, 1)
	}
	return longer[int(costQuantile*float64(len(longer)))]
}

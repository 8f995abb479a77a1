package admission

import "slices"

const (
	// predictorWindow is the number of newest outputs kept per profile.
	predictorWindow = 256
	// predictorRefresh is the number of new outputs after which quantiles are
	// computed again.
	predictorRefresh = 16
	// costQuantile is the quantile of output that a request is charged for. It
	// is above the median because output lengths are skewed to the right.
	costQuantile = 0.6
)

// Predictor learns the output length of each profile as quantiles.
type Predictor struct {
	profiles map[string]*outputHistory
}

// outputHistory holds the newest output lengths of one profile, in tokens.
type outputHistory struct {
	recent    []int
	next      int
	sorted    []int
	sinceSort int
}

// NewPredictor returns a predictor that knows no profile.
func NewPredictor() *Predictor { return &Predictor{profiles: map[string]*outputHistory{}} }

// Observe adds the output length, in tokens, of a finished answer.
func (p *Predictor) Observe(profile string, tokens int) {
	o, ok := p.profiles[profile]
	if !ok {
		o = &outputHistory{}
		p.profiles[profile] = o
	}
	o.add(tokens)
}

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

// Output predicts the whole output, in tokens, of an answer that has produced
// tokens already and may not exceed limit. An unknown profile is expected to
// reach half of the limit.
func (p *Predictor) Output(profile string, produced, limit int) int {
	predicted := max(limit/2, produced+1)
	if o, ok := p.profiles[profile]; ok {
		predicted = o.quantileAbove(produced)
	}
	return max(1, produced, min(predicted, limit))
}

// quantileAbove returns the quantile among the answers longer than produced.
func (o *outputHistory) quantileAbove(produced int) int {
	start, _ := slices.BinarySearch(o.sorted, produced+1)
	longer := o.sorted[start:]
	if len(longer) == 0 {
		// No answer was this long. The remaining length of a heavy-tailed
		// distribution grows with the length reached.
		return produced + max(produced/4, 1)
	}
	return longer[int(costQuantile*float64(len(longer)))]
}

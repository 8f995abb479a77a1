package placement

import (
	"math"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// defaultPairTime is the prefill time in ms per million pairs of tokens that attention
	// compares, until it has been measured. The value is typical for models of about 100
	// billion parameters.
	defaultPairTime = 0.25
	// forgettingFactor is the weight that older measurements keep with each new one.
	forgettingFactor = 0.99
	// initialVariance is the variance of the defaults relative to their squares.
	initialVariance = 1.0
	// maxResidualShare is the share of a prediction at which its error is clipped, because
	// requests of other daemons may have delayed the measured prefill.
	maxResidualShare = 0.5
	// minPredictionMS is the smallest prediction, in ms, used to bound and weight an error.
	minPredictionMS = 20.0
)

// prefillModel predicts the prefill time at the engines of one service and role from a time
// per token and a time per pair of tokens. Both are fitted to the measured times of the
// engines' responses by recursive least squares with exponential forgetting (Ljung, System
// Identification, section 11.2).
type prefillModel struct {
	// perToken is in ms per thousand tokens, perPair in ms per million pairs.
	perToken, perPair float64
	// covariance is that of perToken and perPair, scaled by the variance of a measurement.
	covariance [2][2]float64
}

func newPrefillModel(role port.Role) *prefillModel {
	rate := defaultDecodeRate
	if role == port.RolePrefill {
		rate = defaultPrefillRate
	}
	m := &prefillModel{perToken: 1000 / rate, perPair: defaultPairTime}
	m.covariance[0][0] = initialVariance * m.perToken * m.perToken
	m.covariance[1][1] = initialVariance * m.perPair * m.perPair
	return m
}

// tokenPairs returns the number of token pairs, in millions, that attention compares when
// the last uncached tokens of a prompt of context tokens are prefilled.
func tokenPairs(uncached, context int) float64 {
	return float64(uncached) * (float64(context) - float64(uncached)/2) / 1e6
}

// time predicts the time to prefill the last uncached tokens of a prompt of context tokens.
func (m *prefillModel) time(uncached, context int) time.Duration {
	ms := m.perToken*float64(uncached)/1000 + m.perPair*tokenPairs(uncached, context)
	return time.Duration(ms * float64(time.Millisecond))
}

// observe updates the model with a measured prefill time.
func (m *prefillModel) observe(uncached, context int, elapsed time.Duration) {
	x := [2]float64{float64(uncached) / 1000, tokenPairs(uncached, context)}
	predicted := m.perToken*x[0] + m.perPair*x[1]
	limit := maxResidualShare * math.Max(minPredictionMS, predicted)
	residual := math.Max(-limit, math.Min(limit, elapsed.Seconds()*1000-predicted))
	p := &m.covariance
	px := [2]float64{p[0][0]*x[0] + p[0][1]*x[1], p[1][0]*x[0] + p[1][1]*x[1]}
	// The variance of a measurement grows with the square of the measured time.
	noise := math.Max(minPredictionMS, predicted)
	gain := forgettingFactor*noise*noise/4 + x[0]*px[0] + x[1]*px[1]
	m.perToken += px[0] / gain * residual
	m.perPair += px[1] / gain * residual
	for i := range p {
		for j := range p[i] {
			p[i][j] = (p[i][j] - px[i]*px[j]/gain) / forgettingFactor
		}
	}
	m.perToken = math.Max(1000/maxRate, math.Min(1000/minRate, m.perToken))
	m.perPair = math.Max(0, math.Min(20*defaultPairTime, m.perPair))
	// The variance must not grow without bound during long sequences of equal prompts.
	p[0][0] = math.Min(p[0][0], initialVariance*m.perToken*m.perToken)
	p[1][1] = math.Min(p[1][1], math.Max(initialVariance*m.perPair*m.perPair, defaultPairTime*defaultPairTime))
}

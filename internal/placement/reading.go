package placement

import (
	"math"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// defaultPairTime is the reading time per million pairs of tokens that attention
	// compares, until it has been measured; typical for models of about 100 billion
	// parameters.
	defaultPairTime = 0.25
	// readingForgets is the weight that an old measurement keeps at each new one.
	readingForgets = 0.99
	// readingDoubt is the variance of the defaults, relative to their squares.
	readingDoubt = 1.0
	// readingSurprise bounds the part of a prediction by which a measurement may be off
	// before it is clipped: work of other daemons may have been in the way.
	readingSurprise = 0.5
	// minReading is a lower bound of predictions that are used for that, in ms.
	minReading = 20.0
)

// readingModel predicts how long the engines of one service and role take to read a
// prompt: a time per token and a time per pair of tokens, fitted to the engines' own
// answers by recursive least squares with exponential forgetting (Ljung, System
// Identification, section 11.2).
type readingModel struct {
	// perToken is in ms for a thousand tokens, perPair in ms for a million pairs.
	perToken, perPair float64
	// covariance of both, scaled by the variance of a measurement.
	covariance [2][2]float64
}

func newReadingModel(role port.Role) *readingModel {
	rate := defaultDecodeRate
	if role == port.RolePrefill {
		rate = defaultPrefillRate
	}
	m := &readingModel{perToken: 1000 / rate, perPair: defaultPairTime}
	m.covariance[0][0] = readingDoubt * m.perToken * m.perToken
	m.covariance[1][1] = readingDoubt * m.perPair * m.perPair
	return m
}

// pairsOf returns the millions of pairs of tokens that attention compares when the last
// tokens of a context are read.
func pairsOf(unread, context int) float64 {
	return float64(unread) * (float64(context) - float64(unread)/2) / 1e6
}

// time predicts the reading of unread tokens at the end of a context.
func (m *readingModel) time(unread, context int) time.Duration {
	ms := m.perToken*float64(unread)/1000 + m.perPair*pairsOf(unread, context)
	return time.Duration(ms * float64(time.Millisecond))
}

// learn takes in a measured reading.
func (m *readingModel) learn(unread, context int, took time.Duration) {
	x := [2]float64{float64(unread) / 1000, pairsOf(unread, context)}
	predicted := m.perToken*x[0] + m.perPair*x[1]
	limit := readingSurprise * math.Max(minReading, predicted)
	surprise := math.Max(-limit, math.Min(limit, took.Seconds()*1000-predicted))
	p := &m.covariance
	px := [2]float64{p[0][0]*x[0] + p[0][1]*x[1], p[1][0]*x[0] + p[1][1]*x[1]}
	// The variance of a measurement grows with the square of what is measured.
	noise := math.Max(minReading, predicted)
	gain := readingForgets*noise*noise/4 + x[0]*px[0] + x[1]*px[1]
	m.perToken += px[0] / gain * surprise
	m.perPair += px[1] / gain * surprise
	for i := range p {
		for j := range p[i] {
			p[i][j] = (p[i][j] - px[i]*px[j]/gain) / readingForgets
		}
	}
	m.perToken = math.Max(1000/maxRate, math.Min(1000/minRate, m.perToken))
	m.perPair = math.Max(0, math.Min(20*defaultPairTime, m.perPair))
	// Long runs of equal prompts must not let the doubt grow without bound.
	p[0][0] = math.Min(p[0][0], readingDoubt*m.perToken*m.perToken)
	p[1][1] = math.Min(p[1][1], math.Max(readingDoubt*m.perPair*m.perPair, defaultPairTime*defaultPairTime))
}

package placement

import "time"

// shortShare is the part of the objective up to which a request is short: it keeps its
// urgency when it will miss the objective, because it hardly delays others.
const shortShare = 1.0 / 3

// Class is how a stream is to be treated.
type Class struct {
	Urgency int
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Accepted is false when the first event is predicted only after the client has left.
	Accepted bool
}

// Classify chooses the urgency of a stream of a rank and decides whether it is accepted. It
// answers loads that the engines can not serve in time: long requests that will miss their
// objective wait for all others, and those that nobody would wait for are refused.
func (f *Fleet) Classify(now time.Time, q Query, rank int) Class {
	q.Urgency = min(rank, UrgencyLate-1)
	first, wait, ok := f.Predict(now, q)
	if ok && first > q.RemainingTarget && float64(first-wait) > shortShare*float64(q.Objective) {
		q.Urgency = UrgencyLate
		first, _, ok = f.Predict(now, q)
	}
	return Class{Urgency: q.Urgency, FirstEvent: first, Accepted: !ok || first < q.ClientTimeout}
}

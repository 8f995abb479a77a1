package placement

import "time"

// shortRequestShare is the share of the objective up to which a request counts as short. A
// short request keeps its urgency even if it will miss the objective, because it hardly
// delays others.
const shortRequestShare = 1.0 / 3

// Class is the treatment of a stream.
type Class struct {
	Urgency int
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Accepted is false if the first event is predicted after the client timeout.
	Accepted bool
}

// Classify chooses the urgency of a stream of the given rank and decides whether to accept
// it. It handles overload: long requests that will miss their objective run after all
// others, and requests whose client would time out first are refused.
func (f *Fleet) Classify(now time.Time, q Query, rank int) Class {
	q.Urgency = min(rank, UrgencyLate-1)
	firstEvent, wait, ok := f.Predict(now, q)
	if ok && firstEvent > q.RemainingTarget && float64(firstEvent-wait) > shortRequestShare*float64(q.Objective) {
		q.Urgency = UrgencyLate
		firstEvent, _, ok = f.Predict(now, q)
	}
	return Class{Urgency: q.Urgency, FirstEvent: firstEvent, Accepted: !ok || firstEvent < q.ClientTimeout}
}

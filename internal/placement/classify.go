package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// shortRequestShare is the share of the objective up to which a request counts as short, by
// its predicted time without queueing. A short request keeps its urgency even if it will miss
// the objective, because it hardly delays others.
const shortRequestShare = 1.0 / 3

// lateTimeoutShare is the share of the client timeout within which the first event of a request of
// UrgencyLate must be predicted. All requests that arrive while it waits run before it, so that it
// waits longer than predicted.
const lateTimeoutShare = 0.5

// Class is the urgency of a stream and the decision whether to accept it.
type Class struct {
	// Urgency is the class in which the stream queues at an engine; see UrgencyCount.
	Urgency int
	// FirstEvent is the predicted time to the first event.
	FirstEvent time.Duration
	// Accepted is false if the first event is predicted after the client timeout, or after
	// lateTimeoutShare of it for UrgencyLate, or if Saturated is set. It is true if no runner is
	// usable.
	Accepted bool
	// Saturated is set if all engines that could run the stream are full, or have no room beside the streams that wait for it.
	Saturated bool
}

// Classify chooses the urgency of a stream of the given rank (0 is the most urgent) and
// decides whether to accept it. It handles overload: long requests that will miss their
// objective run after all others, and requests whose client would time out before the first
// event are refused. If all engines are full, as when others limit their requests, each further
// stream would only preempt those that run. A stream that has begun keeps its urgency: its client has waited
// already, and only the engines of one version can serve it. If they are full, it may wait; see
// QueueForRoom. RemainingTarget and ClientTimeout of the query must be set.
func (f *Fleet) Classify(now time.Time, q Query, rank int) Class {
	q.Urgency = min(rank, UrgencyLate-1)
	latest := q.ClientTimeout
	firstEvent, wait, ok := f.Predict(now, q)
	if ok && q.Version == "" && firstEvent > q.RemainingTarget && float64(firstEvent-wait) > shortRequestShare*float64(q.Objective) {
		q.Urgency = UrgencyLate
		latest = time.Duration(lateTimeoutShare * float64(latest))
		firstEvent, _, ok = f.Predict(now, q)
	}
	saturated := ok && f.saturated(now, q)
	return Class{Urgency: q.Urgency, FirstEvent: firstEvent, Accepted: !ok || firstEvent < latest && !saturated, Saturated: saturated}
}

// saturated reports whether all usable engines that could run a request are full. An engine that runs
// nothing is not, however large the request.
func (f *Fleet) saturated(now time.Time, q Query) bool {
	if q.Prompt == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.roomQueues[versionKey{q.Service, q.Version}]; ok && q.Version != "" {
		return true
	}
	full := false
	for _, m := range f.services[q.Service] {
		if m.runner.Role == port.RolePrefill || q.excludes(m) || !f.usable(now, m) {
			continue
		}
		l := f.estimatedLoad(m, now)
		if (l.Running == 0 || !m.full(&l, q.Prompt.InputTokens+q.Prompt.OutputTokens)) && !f.awaited(m, &q) {
			return false
		}
		full = true
	}
	return full
}

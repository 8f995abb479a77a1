package placement

import "time"

const (
	// silentTime is the shortest time without events after which an engine with running streams counts
	// as silent, silentGaps the same time as a multiple of the allowed gap.
	silentTime = 700 * time.Millisecond
	silentGaps = 3
)

// silent reports whether a running stream of this daemon waits for events too long, and no other one
// receives any: the engine may have stopped working, or may go on in a moment.
func (m *member) silent(now time.Time) bool {
	if now.Sub(m.lastEvent) < silentTime {
		return false
	}
	for r := range m.inFlight {
		if !r.lastEvent.IsZero() && now.Sub(m.lastEvent) >= silentGaps*r.allowedGap {
			return true
		}
	}
	return false
}

// RecordSilence records that the stream receives no events for too long: this daemon avoids the runner,
// although the stream may go on. A later failure of the request has no effect. CountFailure makes it a
// failure of the runner.
func (r *InFlightRequest) RecordSilence(now time.Time) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.ended {
		r.avoidLocked(now)
		r.silent = true
	}
}

// avoidLocked lets this daemon avoid the runner, unless RecordSilence did, and doubt its process. The caller holds f.mu.
func (r *InFlightRequest) avoidLocked(now time.Time) {
	if r.silent {
		r.doubtProcess(now)
		return
	}
	r.member.avoid(now)
	r.doubtProcess(now)
	r.member.dirty = true
	r.fleet.pathFailed(r.member.runner.DataCentre, now)
}

// CountFailure counts the failure of a request that RecordSilence or the outcome NoContact recorded, and
// lets peers know of it. Calls after the first have no effect.
func (r *InFlightRequest) CountFailure(now time.Time) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.countFailureLocked(now)
}

func (r *InFlightRequest) countFailureLocked(now time.Time) {
	if r.failureCounted {
		return
	}
	r.failureCounted = true
	r.member.recordOutcome(now, 1)
	r.member.dirty = true
}

// EndAvoidance lets requests go to all runners of a service again that failures let this daemon avoid,
// because the failures were its own.
func (f *Fleet) EndAvoidance(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.services[service] {
		m.failures, m.suspectUntil = 0, time.Time{}
	}
}

// EngineResponsive reports whether the runner of the request appears to respond: it is neither silent
// nor avoided because of failures.
func (r *InFlightRequest) EngineResponsive(now time.Time) bool {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.member.usable(now) && !r.member.silent(now)
}

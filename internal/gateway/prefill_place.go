package gateway

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/retry"
)

// soundFailureRate is the failure rate up to which an engine counts as sound: a prefill there needs
// no place of the retry limit in advance. The share of the limit that the daemons leave unused
// covers prefills of sound engines that fail.
const soundFailureRate = 0.05

// prefillPlace is the place of a prefill in the shared retry limit. If the prefill fails, the send
// that replaces it is an arrival beyond the first of the request, which the limit has to allow
// before the prefill is sent.
type prefillPlace struct {
	window *retry.Window
	// reservation is the zero value for a prefill at a sound engine that was sent without a place.
	reservation retry.Reservation
	reserved    bool
}

// takePrefillPlace returns the place for a prefill. It returns false if the limit has none, unless
// nothing was sent for the request before and the engine is sound.
func (c *call) takePrefillPlace(prefill *placement.InFlightRequest) (prefillPlace, bool) {
	now := time.Now()
	p := prefillPlace{window: c.gateway.retryWindow(c.service)}
	p.reservation, p.reserved = p.window.Reserve(now)
	// While the service is in doubt, failures do not count against engines yet.
	sound := prefill.FailureProbability(now) <= soundFailureRate && c.gateway.reach.isReached(c.service)
	if !p.reserved && (c.arrived || !sound) {
		c.logRetryLimit()
		return p, false
	}
	return p, true
}

// settle ends the use of the place: counts tells whether the prefill or the send that replaces it
// is an arrival beyond the first of the request.
func (p prefillPlace) settle(counts bool) {
	switch {
	case !counts:
		p.reservation.Cancel()
	case !p.reserved:
		p.window.Record(time.Now())
	}
}

package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Default prefill rates in prompt tokens per millisecond, used until the rates of the
// engines are measured.
const (
	defaultPrefillRate = 42.0
	defaultDecodeRate  = 19.0
	// minRate and maxRate bound the fitted rates.
	minRate = 1.0
	maxRate = 500.0
	// speedWeight is the weight of a new measurement in the moving average of an engine's
	// speed; minSpeed and maxSpeed bound a measurement.
	speedWeight = 0.25
	minSpeed    = 0.2
	maxSpeed    = 5.0
	// minSampleTokens is the smallest prefill, in tokens, to which models are fitted. The
	// time of a shorter one depends on fixed costs rather than on the rate.
	minSampleTokens = 500
)

const (
	// firstEventDelay is the time from the end of the prefill to the first event.
	firstEventDelay = 15 * time.Millisecond
	// transferSetup is the fixed cost of a KV cache transfer.
	transferSetup = 3 * time.Millisecond
	// prefillRoundTrip is the extra round trip of a separate prefill call.
	prefillRoundTrip = 3 * time.Millisecond
	// remoteRoundTrip is a round trip to another data centre.
	remoteRoundTrip = 11 * time.Millisecond
	// remoteTransferFactor is the slowdown of a transfer to another data centre.
	remoteTransferFactor = 2
)

// Penalties are added to predicted times for costs that fall on other requests or follow
// from missed limits.
const (
	// transferPenaltyFactor is the share of the transfer time that is added because other
	// transfers wait for the link meanwhile; remoteTransferPenaltyFactor multiplies the
	// penalty between data centres.
	transferPenaltyFactor       = 1.0
	remoteTransferPenaltyFactor = 3
	// remoteBodyPenalty is added per KB of request body sent to another data centre.
	remoteBodyPenalty = 700 * time.Microsecond
	// fullPenalty keeps requests off engines without free slots or KV cache space.
	fullPenalty = 2 * time.Second
	// queueDelayFactor is the share of a request's prefill time that is added for the
	// requests that it delays.
	queueDelayFactor = 0.5
	// maxAffinityPenalty is the cost difference up to which a daemon keeps to its preferred
	// engines. It is about the prefill that an engine finishes before other daemons receive
	// the load report.
	maxAffinityPenalty = 30 * time.Millisecond
	// streamPenalty is added per running stream, because each lengthens every decode step.
	streamPenalty = time.Millisecond
	// latePenalty applies if the objective is missed, and for each stream that is predicted
	// to exceed its allowed gap. abandonedPenalty applies if the client times out before the
	// first event.
	latePenalty      = 500 * time.Millisecond
	abandonedPenalty = 5 * time.Second
	// runFailurePenalty applies to a request that is certain to fail at a decode engine, and in
	// proportion to one that may fail there. prefillFailurePenalty is the same for a prefill, which
	// another engine can repeat, and serviceFailurePenalty for a call to a plain service, whose
	// instances are few: a higher one would overload those that have not failed lately.
	runFailurePenalty     = 2 * time.Second
	prefillFailurePenalty = latePenalty
	serviceFailurePenalty = 5 * assumedServiceTime
	// kvCacheLimit is the share of an engine's KV cache that running requests may occupy
	// before other engines are preferred.
	kvCacheLimit = 0.85
)

// transferTime predicts the time to transfer the KV cache of the given number of tokens, and
// the penalty for it. It returns only the setup time if the speed of the link is unknown.
func transferTime(limits *port.EngineLimits, tokens int, remote bool) (took, penalty time.Duration) {
	if limits == nil || limits.LinkMbps <= 0 {
		return transferSetup, 0
	}
	gigabytes := float64(tokens) * float64(limits.KVTokenBytes) / 1e9
	transfer := time.Duration(gigabytes * 8000 / limits.LinkMbps * float64(time.Second))
	penalty = time.Duration(transferPenaltyFactor * float64(transfer))
	if remote {
		return transferSetup + remoteTransferFactor*transfer, remoteTransferPenaltyFactor * penalty
	}
	return transferSetup + transfer, penalty
}

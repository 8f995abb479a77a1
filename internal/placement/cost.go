package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Rates that are assumed until an engine has been measured, in prompt tokens per
// millisecond. An engine's own measurements replace them.
const (
	defaultPrefillRate = 42.0
	defaultDecodeRate  = 19.0
	// minRate and maxRate bound measurements.
	minRate = 1.0
	maxRate = 500.0
	// speedWeight is the weight of a new measurement in the moving average of an engine's
	// speed, minSpeed and maxSpeed bound it.
	speedWeight = 0.25
	minSpeed    = 0.2
	maxSpeed    = 5.0
	// minSampleTokens is the number of tokens from which a reading time says something about
	// the rate rather than about fixed costs.
	minSampleTokens = 500
)

const (
	// firstEventDelay is the time from a read prompt to the first event.
	firstEventDelay = 15 * time.Millisecond
	// transferSetup is the fixed part of a KV cache transfer.
	transferSetup = 3 * time.Millisecond
	// prefillRoundTrip is the extra round trip of a prefill call and its answer.
	prefillRoundTrip = 3 * time.Millisecond
	// remoteRoundTrip is a round trip to another data centre.
	remoteRoundTrip = 11 * time.Millisecond
	// remoteTransferFactor is how much longer a transfer to another data centre takes.
	remoteTransferFactor = 2
)

// Penalties are added to predicted times where a choice costs more than time.
const (
	// transferPenaltyFactor is the part of a transfer's time that is added for the transfers that
	// wait for the link, remoteMovePenalty its factor between data centres.
	transferPenaltyFactor       = 1.0
	remoteTransferPenaltyFactor = 3
	// remoteBodyPenalty per KB of request body sent to another data centre.
	remoteBodyPenalty = 700 * time.Microsecond
	// fullPenalty keeps requests off engines whose slots or memory are taken.
	fullPenalty = 2 * time.Second
	// queueDelayFactor is the part of a request's own reading time that is added for the
	// requests that it delays.
	queueDelayFactor = 0.5
	// maxAffinityPenalty is the difference in cost up to which a daemon keeps to the engines
	// that it prefers: about what an engine reads until other daemons have heard of it.
	maxAffinityPenalty = 30 * time.Millisecond
	// streamPenalty per running stream: each one lengthens the steps of all.
	streamPenalty = time.Millisecond
	// latePenalty is for places where an objective is missed, abandonedPenalty for those
	// where the client leaves before the first event.
	latePenalty      = 500 * time.Millisecond
	abandonedPenalty = 5 * time.Second
	// kvCacheLimit is the share of an engine's memory that running requests may take
	// before others are preferred.
	kvCacheLimit = 0.85
)

// transferTime predicts the transfer of a prompt's KV cache.
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

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
	// minSample is the number of tokens from which a reading time says something about
	// the rate rather than about fixed costs.
	minSample = 500
)

const (
	// firstEvent is the time from a read prompt to the first event.
	firstEvent = 15 * time.Millisecond
	// moveSetup is the fixed part of a KV cache transfer.
	moveSetup = 3 * time.Millisecond
	// prefillTrip is the extra round trip of a prefill call and its answer.
	prefillTrip = 3 * time.Millisecond
	// remoteTrip is a round trip to another data centre.
	remoteTrip = 11 * time.Millisecond
	// remoteMoveFactor is how much longer a transfer to another data centre takes.
	remoteMoveFactor = 2
)

// Penalties are added to predicted times where a choice costs more than time.
const (
	// movePenalty is the part of a transfer's time that is added for the transfers that
	// wait for the link, remoteMovePenalty its factor between data centres.
	movePenalty       = 1.0
	remoteMovePenalty = 3
	// remotePenalty per KB of request body sent to another data centre.
	remotePenalty = 700 * time.Microsecond
	// fullPenalty keeps requests off engines whose slots or memory are taken.
	fullPenalty = 2 * time.Second
	// shareOfOthers is the part of a request's own reading time that is added for the
	// requests that it delays.
	shareOfOthers = 0.5
	// affinitySpread is the difference in cost up to which a daemon keeps to the engines
	// that it prefers: about what an engine reads until other daemons have heard of it.
	affinitySpread = 30 * time.Millisecond
	// streamPenalty per running stream: each one lengthens the steps of all.
	streamPenalty = time.Millisecond
	// latePenalty is for places where an objective is missed, abandonedPenalty for those
	// where the client leaves before the first event.
	latePenalty      = 500 * time.Millisecond
	abandonedPenalty = 5 * time.Second
	// memoryLimit is the share of an engine's memory that running requests may take
	// before others are preferred.
	memoryLimit = 0.85
)

// moveTime predicts the transfer of a prompt's KV cache.
func moveTime(limits *port.EngineLimits, tokens int, remote bool) (took, penalty time.Duration) {
	if limits == nil || limits.LinkMbps <= 0 {
		return moveSetup, 0
	}
	gigabytes := float64(tokens) * float64(limits.KVTokenBytes) / 1e9
	transfer := time.Duration(gigabytes * 8000 / limits.LinkMbps * float64(time.Second))
	penalty = time.Duration(movePenalty * float64(transfer))
	if remote {
		return moveSetup + remoteMoveFactor*transfer, remoteMovePenalty * penalty
	}
	return moveSetup + transfer, penalty
}

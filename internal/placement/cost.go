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
	// rateWeight is the weight of a new measurement in the moving average.
	rateWeight = 0.25
	// minSample is the number of tokens from which a reading time says something about
	// the rate rather than about fixed costs.
	minSample = 500
)

const (
	// attentionPerMillion is the extra reading time per million pairs of tokens that
	// attention compares; it is typical for models of about 100 billion parameters.
	attentionPerMillion = 250 * time.Microsecond
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
	// movePenalty per GB of KV cache moved, and its factor between data centres.
	movePenalty       = 100 * time.Millisecond
	remoteMovePenalty = 3
	// remotePenalty per KB of request body sent to another data centre.
	remotePenalty = 700 * time.Microsecond
	// fullPenalty keeps requests off engines whose slots or memory are taken.
	fullPenalty = 2 * time.Second
	// shareOfOthers is the part of a request's own reading time that is added for the
	// requests that it delays.
	shareOfOthers = 0.5
	// streamPenalty per running stream: each one lengthens the steps of all.
	streamPenalty = time.Millisecond
	// busyStreams is the number of running streams at which a decode engine has about
	// half of its steps left. Reading a prompt there takes steps from all of them.
	busyStreams = 16
	// latePenalty is for places where an objective is missed, abandonedPenalty for those
	// where the client leaves before the first event.
	latePenalty      = 500 * time.Millisecond
	abandonedPenalty = 5 * time.Second
	// memoryLimit is the share of an engine's memory that running requests may take
	// before others are preferred.
	memoryLimit = 0.85
)

// readingTime predicts how long reading unread tokens at the end of a context takes.
func readingTime(rate float64, unread, context int) time.Duration {
	linear := time.Duration(float64(unread) / rate * float64(time.Millisecond))
	pairs := float64(unread) * (float64(context) - float64(unread)/2) / 1e6
	return linear + time.Duration(pairs*float64(attentionPerMillion))
}

// decodeShare is the cost of reading at a decode engine with running streams: little on
// an idle one, several times the reading time on one that is short of steps.
func decodeShare(reading time.Duration, running int) time.Duration {
	busy := float64(running) / busyStreams
	return time.Duration(float64(reading) * busy * busy)
}

// moveTime predicts the transfer of a prompt's KV cache.
func moveTime(limits *port.EngineLimits, tokens int, remote bool) (took, penalty time.Duration) {
	if limits == nil || limits.LinkMbps <= 0 {
		return moveSetup, 0
	}
	gigabytes := float64(tokens) * float64(limits.KVTokenBytes) / 1e9
	transfer := time.Duration(gigabytes * 8000 / limits.LinkMbps * float64(time.Second))
	penalty = time.Duration(gigabytes * float64(movePenalty))
	if remote {
		return moveSetup + remoteMoveFactor*transfer, remoteMovePenalty * penalty
	}
	return moveSetup + transfer, penalty
}

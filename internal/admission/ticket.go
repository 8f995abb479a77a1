package admission

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// Request describes a request to be admitted.
type Request struct {
	Profile      *profile.Profile
	Organisation string
	// Weight is the organisation's weight within the rank.
	Weight float64
	// PromptTokens is the length of the prompt, MaxTokens the limit on the output.
	PromptTokens int
	MaxTokens    int
	// Arrived is when the caller's request arrived; its targets are measured from then.
	Arrived time.Time
}

// Usage is the actual usage of a finished request, in tokens.
type Usage struct {
	PromptTokens int
	OutputTokens int
	// Complete is set when the response ended normally, so that its output length is a
	// valid observation for the profile.
	Complete bool
}

// State is the state of a ticket.
type State int

// States of a ticket. Refused and Released are final; Refused includes cancelled requests.
const (
	Waiting State = iota
	Running
	Refused
	Released
)

// Ticket is one request that is queued or in flight. Only the Queue changes its state.
type Ticket struct {
	Request
	state State
	// rank is the priority of the profile's rank; 0 is the most urgent.
	rank int
	// cost is the predicted cost in tokens; produced is the output so far.
	cost     float64
	produced int
	// prefilling is set from the start of the request until its first token.
	prefilling bool
	// guaranteed is set when the rank's minimum share covered the start.
	guaranteed bool
	startBy    time.Time
	started    time.Time
	refusal    *refusal.Error
}

// State returns the current state.
func (t *Ticket) State() State { return t.state }

// Refusal returns the refusal of an expired request, or nil.
func (t *Ticket) Refusal() *refusal.Error { return t.refusal }

// Cost returns the predicted cost in tokens.
func (t *Ticket) Cost() float64 { return t.cost }

// Guaranteed reports whether the rank's minimum share covered the start.
func (t *Ticket) Guaranteed() bool { return t.guaranteed }

// Priority returns the engine priority of a running request; lower is more urgent.
// Requests within a rank's minimum share get the highest priority, because a flood of
// urgent requests would otherwise overtake them indefinitely inside the engines.
func (t *Ticket) Priority() int {
	if t.guaranteed {
		return 0
	}
	return t.rank
}

// StartBy returns the latest time at which the request can start and still produce its
// first token within its target.
func (t *Ticket) StartBy() time.Time { return t.startBy }

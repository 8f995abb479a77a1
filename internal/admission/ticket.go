package admission

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// Request describes work that asks for admission.
type Request struct {
	Profile      *profile.Profile
	Organisation string
	// Weight is the organisation's weight within the rank.
	Weight float64
	// PromptTokens is the length of the prompt, MaxTokens the limit of the output.
	PromptTokens int
	MaxTokens    int
	// Arrived is when the caller's request arrived; its targets count from there.
	Arrived time.Time
}

// Usage is what a finished request really took, in tokens.
type Usage struct {
	PromptTokens int
	OutputTokens int
	// Complete is set when the answer came to its end, so that its output length
	// tells something about the profile.
	Complete bool
}

// State is the place of a ticket in its life.
type State int

// States of a ticket. Refused and Released are final.
const (
	Waiting State = iota
	Running
	Refused
	Released
)

// Ticket is one request in the queue or in flight. The queue owns its state.
type Ticket struct {
	Request
	state    State
	rank     int
	cost     float64
	produced int
	// reading is set from the start until the first token.
	reading bool
	// guaranteed is set when the rank's minimum share paid for the start.
	guaranteed bool
	startBy    time.Time
	started    time.Time
	refusal    *refusal.Error
}

// State returns where the request stands.
func (t *Ticket) State() State { return t.state }

// Refusal returns why a waiting request was refused, or nil.
func (t *Ticket) Refusal() *refusal.Error { return t.refusal }

// Cost returns the predicted cost in tokens.
func (t *Ticket) Cost() float64 { return t.cost }

// Guaranteed tells whether the rank's minimum share paid for the start.
func (t *Ticket) Guaranteed() bool { return t.guaranteed }

// Priority returns the engine priority of a running request; lower is more urgent.
// Work within a rank's minimum share goes in with the most urgent work: engines
// would otherwise let a flood of urgent work pass it without end.
func (t *Ticket) Priority() int {
	if t.guaranteed {
		return 0
	}
	return t.rank
}

// StartBy returns when the request must have started to reach its first token
// within its target.
func (t *Ticket) StartBy() time.Time { return t.startBy }

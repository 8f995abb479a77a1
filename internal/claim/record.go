// Package claim decides which daemon may run a non-repeatable call, based on the order
// of records on a log stream.
package claim

import "bergamotsill.example/bergamotsill/internal/port"

// Kind distinguishes records on a claim stream.
type Kind string

// Kinds of record.
const (
	KindClaim      Kind = "claim"
	KindOutcome    Kind = "outcome"
	KindWithdraw   Kind = "withdraw"
	KindCheckpoint Kind = "checkpoint"
	KindReset      Kind = "reset"
)

// Result is the result of a claimed call. It is empty until an outcome is recorded.
type Result string

// Results of a claimed call.
const (
	// Answered means that the call ran and that its answer was received.
	Answered Result = "answered"
	// Unknown means that the call was sent but that no answer was received.
	Unknown Result = "unknown"
)

// Record is the payload of a record on a claim stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Key  string `json:"key,omitempty"`
	// Claim is the id of the claim that the record makes or refers to.
	Claim string `json:"claim,omitempty"`
	// Owner is the incarnation of the daemon that wrote the claim.
	Owner string `json:"owner,omitempty"`
	// OwnerAddress is host:port of the owner's peer interface.
	OwnerAddress string `json:"owner_address,omitempty"`
	// Digest identifies the content of the request.
	Digest string `json:"digest,omitempty"`
	// Issued is the issue time of the key, in Unix seconds.
	Issued int64 `json:"issued,omitempty"`
	// WindowS is how long, in seconds, the key is valid after its issue time.
	WindowS int64  `json:"window_s,omitempty"`
	Result  Result `json:"result,omitempty"`
	// Answer is nil when the answer was too large to record.
	Answer     *port.ServiceResponse `json:"answer,omitempty"`
	Checkpoint *Checkpoint           `json:"checkpoint,omitempty"`
	// Through is the offset at which the writer of a reset expected its next record.
	Through int64 `json:"through,omitempty"`
}

// RecordID returns the id under which the record is appended. A repeated append uses the
// same id.
func (r Record) RecordID() string { return r.Claim + "/" + string(r.Kind) }

// Attempt identifies a claim and the daemon that wrote it.
type Attempt struct {
	Claim string `json:"claim"`
	Owner string `json:"owner"`
}

// Entry is the state of one key.
type Entry struct {
	// Attempt is the claim that is in force, or zero if there is none.
	Attempt
	OwnerAddress string `json:"owner_address,omitempty"`
	Digest       string `json:"digest,omitempty"`
	// Issued is the issue time of the key, in Unix seconds.
	Issued int64 `json:"issued"`
	// Claimed is the partition's clock at the claim, in Unix seconds.
	Claimed int64  `json:"claimed,omitempty"`
	Result  Result `json:"result,omitempty"`
	// AnswerOffset is the offset of the record that holds the answer, or -1 if the
	// answer was not recorded. The answer itself stays on the log: the window of a key
	// is shorter than the log's retention.
	AnswerOffset int64 `json:"answer_offset,omitempty"`
	// Withdrawn holds the withdrawn claims on the key. They must not come into force, or
	// not again: an append whose response was lost may still reach the log after the
	// withdrawal of its claim.
	Withdrawn []Attempt `json:"withdrawn,omitempty"`
}

// InForce reports whether a claim on the key is accepted and not withdrawn. The entry may
// be nil.
func (e *Entry) InForce() bool { return e != nil && e.Claim != "" }

// withdrawn reports whether the claim a was withdrawn. The entry may be nil.
func (e *Entry) withdrawn(a Attempt) bool {
	if e == nil {
		return false
	}
	for _, w := range e.Withdrawn {
		if w == a {
			return true
		}
	}
	return false
}

// clone returns a copy that shares no memory with e. The entry may be nil.
func (e *Entry) clone() *Entry {
	if e == nil {
		return nil
	}
	copied := *e
	copied.Withdrawn = append([]Attempt(nil), e.Withdrawn...)
	return &copied
}

// Package claim decides, from the order of records on a log stream, which daemon
// may run a non-repeatable call.
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

// Result is what became of a claimed call. It is empty while the call may run.
type Result string

// Results of a claimed call.
const (
	// Answered means that the call ran and was answered.
	Answered Result = "answered"
	// Unknown means that the call was sent and that no answer arrived.
	Unknown Result = "unknown"
)

// Record is the content of a record on a claim stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Key  string `json:"key,omitempty"`
	// Claim is the id of the claim that the record states or refers to.
	Claim string `json:"claim,omitempty"`
	// Owner is the incarnation of the daemon that wrote the claim.
	Owner string `json:"owner,omitempty"`
	// OwnerAddress is host:port of the owner's peer interface.
	OwnerAddress string `json:"owner_address,omitempty"`
	// Digest identifies the content of the request.
	Digest string `json:"digest,omitempty"`
	// Issued is the issue time of the key, in Unix seconds.
	Issued int64 `json:"issued,omitempty"`
	// WindowS is how long, in seconds, the key is valid after its issue.
	WindowS int64  `json:"window_s,omitempty"`
	Result  Result `json:"result,omitempty"`
	// Answer is nil when the answer was too large to record.
	Answer     *port.ServiceResponse `json:"answer,omitempty"`
	Checkpoint *Checkpoint           `json:"checkpoint,omitempty"`
	// Through is the offset up to which the writer of a reset had read.
	Through int64 `json:"through,omitempty"`
}

// RecordID returns the id under which the record is appended; a repeated append
// uses the same id.
func (r Record) RecordID() string { return r.Claim + "/" + string(r.Kind) }

// Attempt names a claim and its writer.
type Attempt struct {
	Claim string `json:"claim"`
	Owner string `json:"owner"`
}

// Entry is the state of one key.
type Entry struct {
	// Attempt is the claim that stands; it is zero when none does.
	Attempt
	OwnerAddress string `json:"owner_address,omitempty"`
	Digest       string `json:"digest,omitempty"`
	// Issued is the issue time of the key, in Unix seconds.
	Issued int64 `json:"issued"`
	// Claimed is the log's time of the claim, in Unix seconds.
	Claimed int64  `json:"claimed,omitempty"`
	Result  Result `json:"result,omitempty"`
	// AnswerOffset is the offset of the record that holds the answer, or -1 when
	// none was recorded. The answer itself stays on the log: the window of a key
	// is shorter than the log's retention.
	AnswerOffset int64 `json:"answer_offset,omitempty"`
	// Withdrawn holds claims that must never stand (again): an append whose
	// answer was lost may still reach the log after its withdrawal.
	Withdrawn []Attempt `json:"withdrawn,omitempty"`
}

// InForce tells whether a claim on the key is accepted and not withdrawn.
func (e *Entry) InForce() bool { return e != nil && e.Claim != "" }

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

func (e *Entry) clone() *Entry {
	if e == nil {
		return nil
	}
	copied := *e
	copied.Withdrawn = append([]Attempt(nil), e.Withdrawn...)
	return &copied
}

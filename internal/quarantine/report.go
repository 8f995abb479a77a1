package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MethodReport is the peer method that carries a Report.
const MethodReport = "quarantine.report"

const (
	// maxReportEntries bounds the entries of one message.
	maxReportEntries = 32
	// maxReportDigests bounds the digests of one message, which take about 18 KB.
	maxReportDigests = 512
)

// Digest identifies what a request asks an engine to compute.
type Digest string

// digestBytes is the length of a digest before it is written in hexadecimal.
const digestBytes = 16

// DigestOf returns the digest of a prompt for a model. It leaves out the request
// id and the limits, so that a caller's resend has the same digest.
func DigestOf(model, prompt string) Digest {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// Loss is the end of one engine incarnation. Daemons that saw the same one report
// equal losses, which count once.
type Loss struct {
	Engine      string `json:"engine"`
	Incarnation string `json:"incarnation"`
}

// ReportedLoss is a loss and whether it counts against the digest.
type ReportedLoss struct {
	Loss
	// Cleared is set when the digest completed afterwards, or when the engine
	// turned out to be alive. It is final.
	Cleared bool `json:"cleared,omitempty"`
}

// ReportEntry is what a daemon knows of one digest.
type ReportEntry struct {
	Digest Digest         `json:"digest"`
	Losses []ReportedLoss `json:"losses"`
	// RemainingMS is the time in milliseconds until the entry expires. It is not a
	// time of day, because clocks of daemons differ.
	RemainingMS int64 `json:"remaining_ms"`
}

// Crash is one loss of an engine with the digests that were in flight at it.
type Crash struct {
	ReportedLoss
	Digests []Digest `json:"digests"`
	// RemainingMS is the time in milliseconds until the entries of the digests
	// expire, at most.
	RemainingMS int64 `json:"remaining_ms"`
}

// Trial is a run of a suspect on an engine that does nothing else meanwhile.
type Trial struct {
	Digest Digest `json:"digest"`
	// Holder is the incarnation of the daemon that runs the trial.
	Holder string `json:"holder"`
	// Engine is the VM id of the engine.
	Engine string `json:"engine"`
}

// Report is the argument of MethodReport.
type Report struct {
	Entries []ReportEntry `json:"entries,omitempty"`
	// Crashes are the changes that the sender made.
	Crashes []Crash `json:"crashes,omitempty"`
	// Checksum is the checksum of the sender's entries, or 0. The receiver answers with its
	// own entries only when they differ.
	Checksum uint64 `json:"sum,omitempty"`
	// Trials are the trials that the sender holds or asks for.
	Trials []Trial `json:"trials,omitempty"`
	// Released are trials that the sender has ended.
	Released []Trial `json:"released,omitempty"`
}

// ReportResult is the answer to MethodReport.
type ReportResult struct {
	// Busy lists the trials that must not start yet: the receiver has a run of the
	// digest, or a trial that takes precedence.
	Busy []Digest `json:"busy,omitempty"`
	// Entries are the receiver's entries: of the digests of trials, of those digests
	// of crashes of which it knows more than the sender, or else its newest ones
	// unless the checksums agree.
	Entries []ReportEntry `json:"entries,omitempty"`
}

// Status says how a request with some digest is treated.
type Status int

// Statuses of a digest.
const (
	// Clear means that the request runs like any other.
	Clear Status = iota
	// Suspect means that the request runs in isolation only.
	Suspect
	// Quarantined means that the request is refused.
	Quarantined
)

// Decision is the status of a digest and how long a quarantine still lasts.
type Decision struct {
	Status    Status
	Remaining time.Duration
}

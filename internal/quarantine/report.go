package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MethodReport is the name of the peer method that carries a Report.
const MethodReport = "quarantine.report"

const (
	// maxReportEntries bounds the number of entries in one message.
	maxReportEntries = 32
	// maxReportDigests bounds the number of digests in one message; that many take about
	// 18 KB.
	maxReportDigests = 512
)

// Digest identifies the computation that a request asks of an engine.
type Digest string

// digestBytes is the length of a digest before hexadecimal encoding.
const digestBytes = 16

// DigestOf returns the digest of a prompt for a model. The digest excludes the request id
// and the limits, so that a request that a caller sends again has the same digest.
func DigestOf(model, prompt string) Digest {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// Loss is the end of one engine incarnation. Daemons that observe the same end report
// equal losses, which count once.
type Loss struct {
	Engine      string `json:"engine"`
	Incarnation string `json:"incarnation"`
}

// ReportedLoss is a loss and whether it counts against the digest.
type ReportedLoss struct {
	Loss
	// Cleared is set when the digest completed afterwards, or when the engine was found
	// alive. It is never unset.
	Cleared bool `json:"cleared,omitempty"`
}

// ReportEntry is a daemon's state of one digest.
type ReportEntry struct {
	Digest Digest         `json:"digest"`
	Losses []ReportedLoss `json:"losses"`
	// RemainingMS is the time in milliseconds until the entry expires. It is a duration
	// and not a time of day, because the clocks of daemons differ.
	RemainingMS int64 `json:"remaining_ms"`
}

// Crash is one loss of an engine with the digests that were in flight on the engine.
type Crash struct {
	ReportedLoss
	Digests []Digest `json:"digests"`
	// RemainingMS is the time in milliseconds until the last of the digests' entries
	// expires.
	RemainingMS int64 `json:"remaining_ms"`
}

// Trial is a run of a suspect on an engine that serves no other request meanwhile.
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
	// Crashes are the changes made by the sender itself.
	Crashes []Crash `json:"crashes,omitempty"`
	// Checksum is the checksum of the sender's entries, or 0. The receiver responds with
	// its entries only if its checksum differs.
	Checksum uint64 `json:"sum,omitempty"`
	// Trials are the trials that the sender holds or requests.
	Trials []Trial `json:"trials,omitempty"`
	// Released are trials that the sender has ended.
	Released []Trial `json:"released,omitempty"`
}

// ReportResult is the response to MethodReport.
type ReportResult struct {
	// Busy lists the digests whose trials must not start yet, because the receiver has a
	// run of the digest, has just ended one on the engine, or knows of a trial that takes
	// precedence.
	Busy []Digest `json:"busy,omitempty"`
	// Entries are entries of the receiver that the sender may not have. For a report that
	// has only trials, crashes or releases, they are the entries of the trials' digests and,
	// of the crashes' digests, those for which the receiver has more losses than the sender.
	// For any other report, they are the entries that expire last, or none if the checksums
	// are equal.
	Entries []ReportEntry `json:"entries,omitempty"`
}

// Status determines how requests with a digest are handled.
type Status int

// Statuses of a digest.
const (
	// Clear means that the request runs normally.
	Clear Status = iota
	// Suspect means that the request runs only in isolation.
	Suspect
	// Quarantined means that the request is refused.
	Quarantined
)

// Decision is the status of a digest and, if it is quarantined, the remaining time of the
// quarantine.
type Decision struct {
	Status    Status
	Remaining time.Duration
}

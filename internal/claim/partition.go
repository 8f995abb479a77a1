// Package claim decides, from the order of records on a log stream, which daemon
// may run a non-repeatable call.
package claim

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
)

// StreamPrefix precedes the partition number in the name of a claim stream.
const StreamPrefix = "claims/"

// Stream returns the stream of the partition that a key belongs to.
func Stream(key string, partitions int) string {
	n := xxhash.Sum64String(key) % uint64(partitions)
	return StreamPrefix + strconv.FormatUint(n, 10)
}

// Kind distinguishes records on a claim stream.
type Kind string

// Kinds of record.
const (
	KindClaim    Kind = "claim"
	KindOutcome  Kind = "outcome"
	KindWithdraw Kind = "withdraw"
)

// Record is the content of a record on a claim stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Key  string `json:"key"`
	// Claim is the id of the claim that the record states or refers to.
	Claim string `json:"claim"`
	// Digest identifies the content of the request.
	Digest string `json:"digest,omitempty"`
	// Owner is the incarnation of the daemon that wrote the claim.
	Owner  string                `json:"owner,omitempty"`
	Answer *port.ServiceResponse `json:"answer,omitempty"`
}

// Entry is the state of one key.
type Entry struct {
	Claim  string
	Digest string
	Owner  string
	// Finished is set once the outcome is recorded; Answer may be nil even then
	// when it was too large to record.
	Finished bool
	Answer   *port.ServiceResponse
}

// Partition applies the records of one stream. It is not safe for concurrent use.
type Partition struct {
	next    int64
	entries map[string]*Entry
}

// NewPartition returns a Partition that expects offset 0 next.
func NewPartition() *Partition {
	return &Partition{entries: map[string]*Entry{}}
}

// Next returns the offset expected next.
func (p *Partition) Next() int64 { return p.next }

// Entry returns the state of a key, or nil when no claim on it stands.
func (p *Partition) Entry(key string) *Entry { return p.entries[key] }

// Apply applies a record. The first claim on a key wins; malformed records and
// records below Next are ignored alike by every reader.
func (p *Partition) Apply(rec port.Record) {
	if rec.Offset < p.next {
		return
	}
	p.next = rec.Offset + 1
	var r Record
	if err := json.Unmarshal(rec.Data, &r); err != nil {
		return
	}
	e := p.entries[r.Key]
	switch {
	case r.Kind == KindClaim && e == nil:
		p.entries[r.Key] = &Entry{Claim: r.Claim, Digest: r.Digest, Owner: r.Owner}
	case e == nil || e.Claim != r.Claim:
		return
	case r.Kind == KindOutcome:
		e.Finished = true
		e.Answer = r.Answer
	case r.Kind == KindWithdraw && !e.Finished:
		delete(p.entries, r.Key)
	}
}

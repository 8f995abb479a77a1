// Package decision stores the newest decisions of a daemon, so that operators can find out
// why a request or an engine was treated as it was.
package decision

import (
	"sync"
	"time"
)

// Record is one decision and the values on which it was based.
type Record struct {
	Time time.Time `json:"time"`
	// Subject is a request id, or the name of an engine for role changes.
	Subject string `json:"subject"`
	// Stage names the module that decided, such as "routing".
	Stage string `json:"stage"`
	// Outcome is what was decided.
	Outcome string `json:"verdict"`
	// Inputs are the values on which the decision was based.
	Inputs []Input `json:"inputs,omitempty"`
}

// Input is one value on which a decision was based.
type Input struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// In returns an Input with the given name and value.
func In(name string, value any) Input { return Input{Name: name, Value: value} }

// Ring holds a bounded number of records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int
}

// NewRing returns a ring that holds the newest size records; size must be positive.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, 0, size)}
}

// Add stores a record and overwrites the oldest one if the ring is full.
func (r *Ring) Add(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, rec)
		return
	}
	r.records[r.next] = rec
	r.next = (r.next + 1) % len(r.records)
}

// Find returns the records of a subject, oldest first. An empty subject selects all
// records.
func (r *Ring) Find(subject string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for i := range r.records {
		rec := r.records[(r.next+i)%len(r.records)]
		if subject == "" || rec.Subject == subject {
			out = append(out, rec)
		}
	}
	return out
}

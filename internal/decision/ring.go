// Package decision keeps the newest decisions of a daemon, so that operators can
// ask why a request or an engine was treated as it was.
package decision

import (
	"sync"
	"time"
)

// Record is one decision with what it was based on.
type Record struct {
	Time time.Time `json:"time"`
	// Subject is a request id, or the name of an engine for role changes.
	Subject string `json:"subject"`
	// Stage names the module that decided, such as "routing".
	Stage   string `json:"stage"`
	Outcome string `json:"verdict"`
	// Inputs are the numbers and names that the decision saw.
	Inputs []Input `json:"inputs,omitempty"`
}

// Input is one value that a decision saw.
type Input struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
}

// In returns an Input.
func In(name string, value any) Input { return Input{Name: name, Value: value} }

// Ring holds a bounded number of records. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int
}

// NewRing returns a ring that keeps the newest size records.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, 0, size)}
}

// Add stores a record, replacing the oldest one when the ring is full.
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

// Find returns the records of a subject, oldest first. An empty subject selects
// all records.
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

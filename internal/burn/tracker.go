// Package burn counts how far each profile misses its service-level targets.
package burn

import (
	"sort"
	"sync"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// Row is the account of one profile.
type Row struct {
	Rank    profile.Rank `json:"rank"`
	Profile string       `json:"profile"`
	// Answered counts whole answers, Within those within their targets.
	Answered int64 `json:"answered"`
	Within   int64 `json:"within"`
	// Refused counts refusals that did not run, Unknown those that may have run.
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Worth is the sum of the worth of answers within their targets.
	Worth float64 `json:"worth"`
}

// MissedShare returns the share of requests that were not answered within their
// targets, 0 to 1.
func (r Row) MissedShare() float64 {
	total := r.Answered + r.Refused + r.Unknown
	if total == 0 {
		return 0
	}
	return 1 - float64(r.Within)/float64(total)
}

// Result is the end of one request.
type Result int

// Results of a request.
const (
	AnsweredWithin Result = iota
	AnsweredLate
	Refused
	Unknown
)

// Tracker counts results. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	rows map[string]*Row
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{rows: map[string]*Row{}} }

// Count adds one result for a profile.
func (t *Tracker) Count(p *profile.Profile, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[p.Name]
	if !ok {
		row = &Row{Profile: p.Name}
		t.rows[p.Name] = row
	}
	row.Rank = p.Rank
	switch result {
	case AnsweredWithin:
		row.Answered++
		row.Within++
		row.Worth += p.Worth
	case AnsweredLate:
		row.Answered++
	case Refused:
		row.Refused++
	case Unknown:
		row.Unknown++
	}
}

// Rows returns a copy of all rows by rank and profile.
func (t *Tracker) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, *r)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Rank != rows[j].Rank {
			return rows[i].Rank.Priority() < rows[j].Rank.Priority()
		}
		return rows[i].Profile < rows[j].Profile
	})
	return rows
}

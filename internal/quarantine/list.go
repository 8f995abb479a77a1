package quarantine

import (
	"slices"
	"strings"
	"time"
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	}
	return "unknown"
}

// ListEntry describes a digest that counts as suspect or quarantined.
type ListEntry struct {
	Digest Digest
	Status Status
	// Engines are the VM ids of the engines that crashed, sorted.
	Engines   []string
	Remaining time.Duration
}

// List returns the digests that are suspect or quarantined, sorted by digest.
func (t *Table) List(now time.Time) []ListEntry {
	var out []ListEntry
	for digest, e := range t.entries {
		v := t.Decision(digest, now)
		if v.Status == Clear {
			continue
		}
		out = append(out, ListEntry{
			Digest:    digest,
			Status:    v.Status,
			Engines:   e.engines(),
			Remaining: e.expires.Sub(now),
		})
	}
	slices.SortFunc(out, func(a, b ListEntry) int { return strings.Compare(string(a.Digest), string(b.Digest)) })
	return out
}

// engines returns the engines whose loss counts against the digest, sorted.
func (e *entry) engines() []string {
	var out []string
	for loss, state := range e.losses {
		if !state.cleared {
			out = append(out, loss.Engine)
		}
	}
	slices.Sort(out)
	return out
}

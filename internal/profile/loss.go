package profile

import (
	"encoding/json"

	"bergamotsill.example/bergamotsill/internal/port"
)

// KindAfterLoss marks a publication that takes effect regardless of the revision in
// force, because records that determine that revision expired before they were read.
const KindAfterLoss = "after-loss"

// Loss identifies records that expired from the stream before they were read, and the
// range of later records that was read.
type Loss struct {
	// First is the oldest retained offset; records below it have expired.
	First int64 `json:"first"`
	// Newest is the newest offset that was read, First-1 if there was none.
	Newest int64 `json:"newest"`
}

// Valid reports whether the offsets can be those of a loss.
func (l Loss) Valid() bool { return l.First >= 1 && l.Newest >= l.First-1 }

// appliesAt reports whether a publication after the loss may be accepted at offset. The
// only such offset is the one right after the newest record that the operator saw.
// Therefore the decision depends on no other record, which a reader may not have, and a
// late or repeated append never replaces a revision that the operator did not see.
func (l *Loss) appliesAt(offset int64) bool {
	return l != nil && l.Valid() && offset == l.Newest+1
}

// Loss returns the records that this reader has lost while it still looks for a
// checkpoint or a publication after the loss, or nil.
func (s *State) Loss() *Loss {
	first, newest, ok := s.Expired()
	if !ok {
		return nil
	}
	return &Loss{First: first, Newest: newest}
}

// parsePublication returns the publication in a record's data, or nil.
func parsePublication(data json.RawMessage) *Publication {
	pub := &Publication{}
	if json.Unmarshal(data, pub) != nil {
		return nil
	}
	return pub
}

// appliesAfterLoss reports whether p is a publication after a loss at an offset where it
// may be accepted.
func (p *Publication) appliesAfterLoss(offset int64) bool {
	return p != nil && p.Kind == KindAfterLoss && p.AfterLoss.appliesAt(offset)
}

// recoverAfterLoss decides about a publication after a loss while records before it are
// missing, which the decision does not need. Acceptance ends the recovery.
func (s *State) recoverAfterLoss(rec port.Record, pub *Publication) (Decision, error) {
	v, err := s.decide(rec, pub)
	if err != nil {
		s.RequireCheckpointAfter(rec.Offset)
		return Decision{}, err
	}
	if !v.Accepted {
		return v, nil
	}
	s.Cursor.Restore(rec.Offset + 1)
	s.recent = []port.Record{rec}
	s.resetDecisions(v)
	return v, nil
}

// resetDecisions removes the decisions before an accepted publication after a loss,
// because a reader that lost records does not have them.
func (s *State) resetDecisions(v Decision) {
	s.decisions = map[string]Decision{}
	s.decisionIDs = nil
	s.recordDecision(v)
}

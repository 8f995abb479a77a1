package profile

import (
	"encoding/json"

	"bergamotsill.example/bergamotsill/internal/port"
)

// KindAfterLoss marks a publication that takes effect whatever revision is in
// force, because records that decide about it have expired unread.
const KindAfterLoss = "after-loss"

// Loss names records that have expired from the stream and the part of the stream
// that is known instead.
type Loss struct {
	// First is the oldest retained offset; records below it have expired.
	First int64 `json:"first"`
	// Newest is the newest offset that was read, First-1 when there was none.
	Newest int64 `json:"newest"`
}

// Valid tells whether the offsets can be those of a loss.
func (l Loss) Valid() bool { return l.First >= 1 && l.Newest >= l.First-1 }

// decidesAt tells whether a publication after the loss may be accepted at offset.
// The record right after the newest one that the operator saw is the only one, so
// that the verdict depends on no other record, which a reader may lack, and that a
// late or repeated append never replaces a revision that the operator did not see.
func (l *Loss) decidesAt(offset int64) bool {
	return l != nil && l.Valid() && offset == l.Newest+1
}

// Loss returns what this reader has lost, or nil. It is still looking for a
// checkpoint or a publication after the loss.
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

// afterLoss tells whether the publication is one after a loss and stands where it
// can be accepted.
func (p *Publication) afterLoss(offset int64) bool {
	return p != nil && p.Kind == KindAfterLoss && p.AfterLoss.decidesAt(offset)
}

// recoverAfterLoss decides about a publication after a loss while records before it
// are missing. It needs none of them.
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
	s.startOver(v)
	return v, nil
}

// startOver forgets the ids of records before an accepted publication after a loss,
// because a reader that lost records does not know them.
func (s *State) startOver(v Decision) {
	s.verdicts = map[string]Decision{}
	s.ids = nil
	s.remember(v)
}

package profile

import (
	"encoding/json"
	"fmt"
	"slices"

	"bergamotsill.example/bergamotsill/internal/port"
)

// KindCheckpoint marks a record on Stream that holds a Checkpoint.
const KindCheckpoint = "checkpoint"

// Checkpoint is the result of all records below an offset.
type Checkpoint struct {
	Kind string `json:"kind"`
	// Covers is the offset of the first record that is not included.
	Covers int64 `json:"covers"`
	// Revision is the one in force, 0 for none; Schema and Document belong to it.
	Revision int64           `json:"revision"`
	Schema   int             `json:"schema,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	// Decisions are those of the newest records, oldest first, without findings.
	Decisions []Decision `json:"verdicts,omitempty"`
}

// parseCheckpoint returns the checkpoint in a record's data, or nil.
func parseCheckpoint(data json.RawMessage) *Checkpoint {
	c := &Checkpoint{}
	if err := json.Unmarshal(data, c); err != nil || c.Kind != KindCheckpoint {
		return nil
	}
	return c
}

// Checkpoint returns the result of all records below Next.
func (s *State) Checkpoint() *Checkpoint {
	c := &Checkpoint{
		Kind:     KindCheckpoint,
		Covers:   s.Next(),
		Revision: s.revision(),
		Schema:   s.schema,
		Document: s.document,
	}
	for _, id := range s.ids {
		v := s.verdicts[id]
		v.Findings = nil
		c.Decisions = append(c.Decisions, v)
	}
	return c
}

// Restore takes over a checkpoint if that takes the state forward, also when
// records after it are missing still: a daemon that starts while records are lost
// then serves with the revision that its peers have. The document
// was accepted before, possibly by a program with newer rules, so it is not
// checked again and fields that this program does not know are ignored.
func (s *State) Restore(c *Checkpoint) error {
	if c.Covers <= s.Next() {
		return nil
	}
	if c.Revision < s.revision() {
		return fmt.Errorf("checkpoint at offset %d goes back from revision %d to %d", c.Covers, s.revision(), c.Revision)
	}
	if c.Revision > s.revision() {
		doc := &Document{}
		if err := json.Unmarshal(c.Document, doc); err != nil {
			return fmt.Errorf("document of revision %d in checkpoint: %w", c.Revision, err)
		}
		s.current = newSnapshot(c.Revision, doc)
		s.schema = c.Schema
		s.document = c.Document
	}
	s.verdicts = map[string]Decision{}
	s.ids = nil
	for _, v := range c.Decisions {
		s.remember(v)
	}
	s.recent = nil
	s.Cursor.Restore(c.Covers)
	return nil
}

// Transfer is what a daemon passes to a peer: records from the offset that the
// peer asked for, on top of a checkpoint when the records before are not kept.
type Transfer struct {
	Checkpoint *Checkpoint   `json:"checkpoint,omitempty"`
	Records    []port.Record `json:"records,omitempty"`
}

// Since returns what a peer needs that expects offset from next.
func (s *State) Since(from int64) Transfer {
	if from >= s.Next() {
		return Transfer{}
	}
	oldest := s.Next() - int64(len(s.recent))
	if from < oldest {
		return Transfer{Checkpoint: s.Checkpoint()}
	}
	return Transfer{Records: slices.Clone(s.recent[from-oldest:])}
}

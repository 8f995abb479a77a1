package profile

import (
	"encoding/json"
	"fmt"
	"slices"

	"bergamotsill.example/bergamotsill/internal/port"
)

// KindCheckpoint marks a record on Stream that holds a Checkpoint.
const KindCheckpoint = "checkpoint"

// Checkpoint is the state after all records below an offset.
type Checkpoint struct {
	Kind string `json:"kind"`
	// Covers is the offset of the first record that is not included.
	Covers int64 `json:"covers"`
	// Revision is the revision in force, 0 for none. Schema and Document are those of
	// that revision.
	Revision int64           `json:"revision"`
	Schema   int             `json:"schema,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	// Decisions are the decisions about the newest publications, oldest first, without
	// findings.
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

// Checkpoint returns the state after all records below Next.
func (s *State) Checkpoint() *Checkpoint {
	c := &Checkpoint{
		Kind:     KindCheckpoint,
		Covers:   s.Next(),
		Revision: s.revision(),
		Schema:   s.schema,
		Document: s.document,
	}
	for _, id := range s.decisionIDs {
		v := s.decisions[id]
		v.Findings = nil
		c.Decisions = append(c.Decisions, v)
	}
	return c
}

// Restore replaces the state by a checkpoint that covers more records, even if records
// after the checkpoint are still missing: a daemon that starts while records are lost
// then serves with the revision of its peers. The document was accepted before,
// possibly by a program with newer rules, so it is not checked again and its unknown
// fields are ignored. Restore returns an error if the checkpoint has an older revision
// than the one in force or its document cannot be decoded.
func (s *State) Restore(c *Checkpoint) error {
	if c.Covers <= s.Next() {
		return nil
	}
	if c.Revision < s.revision() {
		return fmt.Errorf("checkpoint at offset %d would revert the configuration from revision %d to %d", c.Covers, s.revision(), c.Revision)
	}
	if c.Revision > s.revision() {
		doc := &Document{}
		if err := json.Unmarshal(c.Document, doc); err != nil {
			return fmt.Errorf("decode document of revision %d in checkpoint: %w", c.Revision, err)
		}
		s.current = newSnapshot(c.Revision, doc)
		s.schema = c.Schema
		s.document = c.Document
	}
	s.decisions = map[string]Decision{}
	s.decisionIDs = nil
	for _, v := range c.Decisions {
		s.recordDecision(v)
	}
	s.recent = nil
	s.Cursor.Restore(c.Covers)
	return nil
}

// Transfer is what a daemon sends to a peer that requests records from an offset: these
// records, or a checkpoint if some of them are no longer kept.
type Transfer struct {
	Checkpoint *Checkpoint   `json:"checkpoint,omitempty"`
	Records    []port.Record `json:"records,omitempty"`
}

// Since returns the Transfer for a peer whose next offset is from. It is empty if the
// peer is up to date.
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

package profile

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/replay"
)

// Stream is the log stream that carries configuration.
const Stream = "config"

// Publication is the content of a record on Stream.
type Publication struct {
	// Kind is empty or KindAfterLoss; see also KindCheckpoint.
	Kind   string `json:"kind,omitempty"`
	Schema int    `json:"schema"`
	// Base is the revision that the publication is based on, 0 for the first one. It is
	// ignored with KindAfterLoss.
	Base int64 `json:"base"`
	// AfterLoss is set only with KindAfterLoss.
	AfterLoss *Loss           `json:"after_loss,omitempty"`
	Author    string          `json:"author,omitempty"`
	Document  json.RawMessage `json:"document,omitempty"`
	// Changes replaces Document and holds an encoded Changes. Since schema version 3.
	Changes json.RawMessage `json:"changes,omitempty"`
}

// Decision is the decision about one publication.
type Decision struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Revision is the publication's revision if it is accepted, else the one in force.
	Revision int64              `json:"revision"`
	Reason   string             `json:"reason,omitempty"`
	Findings []findings.Finding `json:"findings,omitempty"`
}

// Snapshot is an accepted configuration. It is immutable.
type Snapshot struct {
	Revision int64
	Document *Document

	profiles map[string]*Profile
	pools    map[string]*Pool
	weights  map[string]float64
	// withdrawn holds VM ids, withdrawnDataCentres the names of data centres.
	withdrawn            map[string]bool
	withdrawnDataCentres map[string]bool
}

func newSnapshot(revision int64, doc *Document) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		Document: doc,
		profiles: map[string]*Profile{},
		pools:    map[string]*Pool{},
		weights:  map[string]float64{},

		withdrawn:            map[string]bool{},
		withdrawnDataCentres: map[string]bool{},
	}
	for _, id := range doc.Withdrawn.Upstreams {
		s.withdrawn[id] = true
	}
	for _, name := range doc.Withdrawn.DataCentres {
		s.withdrawnDataCentres[name] = true
	}
	for i := range doc.Profiles {
		s.profiles[doc.Profiles[i].Name] = &doc.Profiles[i]
	}
	for i := range doc.Pools {
		s.pools[doc.Pools[i].Name] = &doc.Pools[i]
	}
	for _, o := range doc.Organisations {
		s.weights[o.Name] = o.Weight
	}
	return s
}

// Profile returns the profile with the given name, or nil.
func (s *Snapshot) Profile(name string) *Profile { return s.profiles[name] }

// Pool returns the pool with the given name, or nil.
func (s *Snapshot) Pool(name string) *Pool { return s.pools[name] }

// Withdrawn reports whether the configuration excludes an upstream from new requests.
func (s *Snapshot) Withdrawn(vm port.VM) bool {
	return s.withdrawn[vm.ID] || s.withdrawnDataCentres[vm.DataCentre]
}

// Weight returns an organisation's weight; unlisted organisations have weight 1.
func (s *Snapshot) Weight(organisation string) float64 {
	if w, ok := s.weights[organisation]; ok {
		return w
	}
	return 1
}

// Service returns the route with the longest prefix that matches path, or nil.
func (s *Snapshot) Service(path string) *ServiceRoute {
	var best *ServiceRoute
	for i := range s.Document.Services {
		r := &s.Document.Services[i]
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// Errors of State.
var (
	// ErrGap reports a record that does not follow the last one applied.
	ErrGap = errors.New("records before this one are missing")
	// ErrNewerSchema reports a record with a schema version that this program does not
	// support.
	ErrNewerSchema = errors.New("schema version is newer than this program")
)

const (
	// maxDecisions bounds the table of decisions by record id. A writer repeats a record
	// for seconds only, and 1,600 changes a day are 12 in ten minutes. A repeated record
	// whose id is no longer in the table is rejected because its base is not current.
	maxDecisions = 256
	// maxRecent bounds the number of newest records kept for peers; see State.Since.
	maxRecent = 32
)

// CheckpointLimits define when a checkpoint is due.
var CheckpointLimits = replay.Limits{Records: 64, Age: 10 * time.Minute}

// State is the state of Stream, whose records it applies in offset order. It is not
// safe for concurrent use.
type State struct {
	replay.Cursor

	current *Snapshot
	// schema is the schema version of current, document the JSON of its whole document.
	schema    int
	document  json.RawMessage
	decisions map[string]Decision
	// decisionIDs lists the keys of decisions, oldest first.
	decisionIDs []string
	// recent holds the newest records; the last one is at Next-1.
	recent []port.Record
}

// NewState returns a State that expects offset 0 next.
func NewState() *State {
	return &State{decisions: map[string]Decision{}}
}

// Current returns the snapshot in force, or nil.
func (s *State) Current() *Snapshot { return s.current }

// Document returns the JSON of the whole document in force, or nil.
func (s *State) Document() json.RawMessage { return s.document }

// Decision returns the decision about the record with the given id.
func (s *State) Decision(id string) (Decision, bool) {
	v, ok := s.decisions[id]
	return v, ok
}

// Apply applies one record and returns the decision about it. Records below Next are
// ignored, so that the configuration never reverts. ErrGap and ErrNewerSchema leave the
// revision in force unchanged; after ErrNewerSchema the state needs a checkpoint by a
// newer program.
func (s *State) Apply(rec port.Record) (Decision, error) {
	checkpoint := parseCheckpoint(rec.Data)
	if checkpoint != nil && rec.Offset >= s.Base() {
		s.ObserveCheckpoint(checkpoint.Covers, rec.Time)
	}
	switch {
	case rec.Offset < s.Next():
		return s.decisions[rec.ID], nil
	case rec.Offset > s.Next() && s.Recovering():
		return s.recover(rec, checkpoint)
	case rec.Offset > s.Next():
		return Decision{}, fmt.Errorf("%w: expected offset %d, found %d", ErrGap, s.Next(), rec.Offset)
	}
	if checkpoint != nil {
		s.advance(rec)
		return Decision{ID: rec.ID, Revision: s.revision()}, nil
	}
	return s.applyPublication(rec)
}

// recover processes a record while the reader needs a checkpoint: it restores a
// checkpoint or applies a publication after a loss, and ignores all other records.
func (s *State) recover(rec port.Record, checkpoint *Checkpoint) (Decision, error) {
	s.MarkScanned(rec.Offset)
	if checkpoint != nil {
		return Decision{}, s.Restore(checkpoint)
	}
	if pub := parsePublication(rec.Data); pub.appliesAfterLoss(rec.Offset) {
		return s.recoverAfterLoss(rec, pub)
	}
	return Decision{}, nil
}

func (s *State) applyPublication(rec port.Record) (Decision, error) {
	pub := parsePublication(rec.Data)
	// Readers that lost records do not have earlier ids, so a repeated id must not
	// affect the decision about a publication after a loss.
	afterLoss := pub.appliesAfterLoss(rec.Offset)
	earlier, repeated := s.decisions[rec.ID]
	if repeated && !afterLoss {
		s.advance(rec)
		return earlier, nil
	}
	v, err := s.decide(rec, pub)
	if err != nil {
		s.RequireCheckpointAfter(rec.Offset)
		return Decision{}, err
	}
	s.advance(rec)
	switch {
	case afterLoss && v.Accepted:
		s.resetDecisions(v)
	case !repeated:
		s.recordDecision(v)
	}
	return v, nil
}

// advance moves to the next offset and keeps the record for peers.
func (s *State) advance(rec port.Record) {
	s.Advance(rec.Time)
	s.recent = append(s.recent, rec)
	if len(s.recent) > maxRecent {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-maxRecent)
	}
}

func (s *State) recordDecision(v Decision) {
	s.decisions[v.ID] = v
	s.decisionIDs = append(s.decisionIDs, v.ID)
	if len(s.decisionIDs) > maxDecisions {
		delete(s.decisions, s.decisionIDs[0])
		s.decisionIDs = slices.Delete(s.decisionIDs, 0, 1)
	}
}

// decide accepts or rejects a publication; pub is nil if the record holds none. It
// returns ErrNewerSchema if this program cannot decide.
func (s *State) decide(rec port.Record, pub *Publication) (Decision, error) {
	v := Decision{ID: rec.ID, Revision: s.revision()}
	v.Reason = s.rejectionReason(rec, pub)
	if v.Reason != "" {
		return v, nil
	}
	if pub.Schema > SchemaVersion {
		return v, fmt.Errorf("%w: record has %d, program supports %d", ErrNewerSchema, pub.Schema, SchemaVersion)
	}
	if pub.Schema < 1 {
		v.Reason = "schema version is missing"
		return v, nil
	}
	if pub.hasChanges() && pub.Kind == "" && s.schema > SchemaVersion {
		return v, fmt.Errorf("%w: base revision has %d, program supports %d", ErrNewerSchema, s.schema, SchemaVersion)
	}
	doc, list := s.proposedDocument(pub)
	if items := list.Items(); len(items) > 0 {
		v.Reason = "document is invalid"
		v.Findings = items
		return v, nil
	}
	s.current = newSnapshot(rec.Offset+1, doc)
	s.schema, s.document = pub.Schema, pub.Document
	if pub.hasChanges() {
		s.schema, s.document = max(pub.Schema, s.schema), encode(doc)
	}
	v.Accepted = true
	v.Revision = s.current.Revision
	return v, nil
}

// proposedDocument returns the whole document of a publication and the findings of its
// check.
func (s *State) proposedDocument(pub *Publication) (*Document, *findings.List) {
	if !pub.hasChanges() {
		return ParseVersion(pub.Schema, "", pub.Document)
	}
	list := &findings.List{}
	if s.current == nil || pub.Kind != "" || len(pub.Document) > 0 {
		list.Add("changes", "require a base revision and no document beside them")
		return nil, list
	}
	return s.current.Document.withChanges(pub.Changes)
}

// rejectionReason returns why a publication cannot replace the revision in force, or "".
func (s *State) rejectionReason(rec port.Record, pub *Publication) string {
	switch {
	case pub == nil:
		return "record is not a publication"
	case pub.Kind == KindAfterLoss && !pub.AfterLoss.appliesAt(rec.Offset):
		return "record does not follow the newest one that the operator saw"
	case pub.Kind == KindAfterLoss:
		return ""
	case pub.Kind != "":
		return "kind of record is unknown"
	case pub.Base != s.revision():
		return "base revision is not current"
	}
	return ""
}

func (s *State) revision() int64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

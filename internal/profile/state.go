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
	// Base is the revision that the document revises; 0 for the first. It has no
	// meaning after a loss.
	Base int64 `json:"base"`
	// AfterLoss is set with KindAfterLoss only.
	AfterLoss *Loss           `json:"after_loss,omitempty"`
	Author    string          `json:"author,omitempty"`
	Document  json.RawMessage `json:"document,omitempty"`
	// Changes takes the place of Document since schema version 3; see type Changes.
	Changes json.RawMessage `json:"changes,omitempty"`
}

// Decision tells what became of one publication.
type Decision struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	// Revision is the publication's own revision when accepted, else the one that
	// is in force.
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
	// withdrawn holds VM ids, withdrawnDataCentres names.
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

// Withdrawn tells whether the configuration gives an upstream no new work.
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

// Service returns the route with the longest prefix of path, or nil.
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
	// ErrNewerSchema reports a record whose rules this program does not know.
	ErrNewerSchema = errors.New("schema version is newer than this program")
)

const (
	// maxVerdicts bounds the table of record ids. A writer repeats a record for
	// seconds, and 1,600 changes a day are 12 in ten minutes. The rules on base
	// reject a repeated record that is not in the table any more.
	maxVerdicts = 256
	// maxRecent bounds the records kept for peers.
	maxRecent = 32
)

// CheckpointLimits tell when a checkpoint is due.
var CheckpointLimits = replay.Limits{Records: 64, Age: 10 * time.Minute}

// State applies records of Stream in offset order. It is not safe for concurrent
// use.
type State struct {
	replay.Cursor

	current *Snapshot
	// schema and document are those of current as published.
	schema   int
	document json.RawMessage
	verdicts map[string]Decision
	// ids lists the keys of verdicts, oldest first.
	ids []string
	// recent holds the newest records; the last one is at Next-1.
	recent []port.Record
}

// NewState returns a State that expects offset 0 next.
func NewState() *State {
	return &State{verdicts: map[string]Decision{}}
}

// Current returns the snapshot in force, or nil.
func (s *State) Current() *Snapshot { return s.current }

// Document returns the document in force as it is published whole, or nil.
func (s *State) Document() json.RawMessage { return s.document }

// Decision returns what became of the record with the given id.
func (s *State) Decision(id string) (Decision, bool) {
	v, ok := s.verdicts[id]
	return v, ok
}

// Apply decides about one record. Records below Next are ignored, so that the
// configuration never goes back. ErrGap and ErrNewerSchema leave the state as it
// is; after ErrNewerSchema it needs a checkpoint by a newer program.
func (s *State) Apply(rec port.Record) (Decision, error) {
	checkpoint := parseCheckpoint(rec.Data)
	if checkpoint != nil && rec.Offset >= s.Base() {
		s.ObserveCheckpoint(checkpoint.Covers, rec.Time)
	}
	switch {
	case rec.Offset < s.Next():
		return s.verdicts[rec.ID], nil
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

// recover looks at a record while a checkpoint is needed.
func (s *State) recover(rec port.Record, checkpoint *Checkpoint) (Decision, error) {
	s.MarkScanned(rec.Offset)
	if checkpoint != nil {
		return Decision{}, s.Restore(checkpoint)
	}
	if pub := parsePublication(rec.Data); pub.afterLoss(rec.Offset) {
		return s.recoverAfterLoss(rec, pub)
	}
	return Decision{}, nil
}

func (s *State) applyPublication(rec port.Record) (Decision, error) {
	pub := parsePublication(rec.Data)
	// Readers that lost records do not know earlier ids, so these do not decide
	// about a publication after a loss.
	afterLoss := pub.afterLoss(rec.Offset)
	known, repeated := s.verdicts[rec.ID]
	if repeated && !afterLoss {
		s.advance(rec)
		return known, nil
	}
	v, err := s.decide(rec, pub)
	if err != nil {
		s.RequireCheckpointAfter(rec.Offset)
		return Decision{}, err
	}
	s.advance(rec)
	switch {
	case afterLoss && v.Accepted:
		s.startOver(v)
	case !repeated:
		s.remember(v)
	}
	return v, nil
}

func (s *State) advance(rec port.Record) {
	s.Advance(rec.Time)
	s.recent = append(s.recent, rec)
	if len(s.recent) > maxRecent {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-maxRecent)
	}
}

func (s *State) remember(v Decision) {
	s.verdicts[v.ID] = v
	s.ids = append(s.ids, v.ID)
	if len(s.ids) > maxVerdicts {
		delete(s.verdicts, s.ids[0])
		s.ids = slices.Delete(s.ids, 0, 1)
	}
}

// decide accepts or rejects a publication; pub is nil when the record holds none.
func (s *State) decide(rec port.Record, pub *Publication) (Decision, error) {
	v := Decision{ID: rec.ID, Revision: s.revision()}
	v.Reason = s.obstacle(rec, pub)
	if v.Reason != "" {
		return v, nil
	}
	if pub.Schema > SchemaVersion {
		return v, fmt.Errorf("%w: found %d, know %d", ErrNewerSchema, pub.Schema, SchemaVersion)
	}
	if pub.Schema < 1 {
		v.Reason = "schema version is missing"
		return v, nil
	}
	if pub.hasChanges() && pub.Kind == "" && s.schema > SchemaVersion {
		return v, fmt.Errorf("%w: base has %d, know %d", ErrNewerSchema, s.schema, SchemaVersion)
	}
	doc, list := s.proposed(pub)
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

// proposed returns the whole document of a publication, checked.
func (s *State) proposed(pub *Publication) (*Document, *findings.List) {
	if !pub.hasChanges() {
		return ParseVersion(pub.Schema, "", pub.Document)
	}
	list := &findings.List{}
	if s.current == nil || pub.Kind != "" || len(pub.Document) > 0 {
		list.Add("changes", "require a base revision and no document beside them")
		return nil, list
	}
	return s.current.Document.changed(pub.Changes)
}

// obstacle returns why a publication cannot follow the revision in force, or "".
func (s *State) obstacle(rec port.Record, pub *Publication) string {
	switch {
	case pub == nil:
		return "record is not a publication"
	case pub.Kind == KindAfterLoss && !pub.AfterLoss.decidesAt(rec.Offset):
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

package profile

import (
	"encoding/json"
	"strings"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Stream is the log stream that carries configuration.
const Stream = "config"

// Publication is the content of a record on Stream.
type Publication struct {
	Schema int `json:"schema"`
	// Base is the revision that the document revises; 0 for the first.
	Base     int64           `json:"base"`
	Author   string          `json:"author,omitempty"`
	Document json.RawMessage `json:"document"`
}

// Verdict tells what became of one publication.
type Verdict struct {
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
}

func newSnapshot(revision int64, doc *Document) *Snapshot {
	s := &Snapshot{
		Revision: revision,
		Document: doc,
		profiles: map[string]*Profile{},
		pools:    map[string]*Pool{},
		weights:  map[string]float64{},
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

// State applies records of Stream in offset order. It is not safe for concurrent
// use.
type State struct {
	next    int64
	current *Snapshot
	applied map[string]Verdict
}

// NewState returns a State that expects offset 0 next.
func NewState() *State {
	return &State{applied: map[string]Verdict{}}
}

// Next returns the offset that Apply expects next.
func (s *State) Next() int64 { return s.next }

// Current returns the snapshot in force, or nil.
func (s *State) Current() *Snapshot { return s.current }

// Verdict returns what became of the record with the given id.
func (s *State) Verdict(id string) (Verdict, bool) {
	v, ok := s.applied[id]
	return v, ok
}

// Apply decides about one record. Records below Next are ignored, so that the
// configuration never goes back.
func (s *State) Apply(rec port.Record) Verdict {
	if rec.Offset < s.next {
		return s.applied[rec.ID]
	}
	s.next = rec.Offset + 1
	if v, ok := s.applied[rec.ID]; ok {
		return v
	}
	v := s.decide(rec)
	s.applied[rec.ID] = v
	return v
}

func (s *State) decide(rec port.Record) Verdict {
	v := Verdict{ID: rec.ID, Revision: s.revision()}
	var pub Publication
	if err := json.Unmarshal(rec.Data, &pub); err != nil {
		v.Reason = "record is not a publication: " + err.Error()
		return v
	}
	if pub.Base != s.revision() {
		v.Reason = "base revision is not current"
		return v
	}
	doc, list := ParseDocument("", pub.Document)
	if items := list.Items(); len(items) > 0 {
		v.Reason = "document is invalid"
		v.Findings = items
		return v
	}
	s.current = newSnapshot(rec.Offset+1, doc)
	v.Accepted = true
	v.Revision = s.current.Revision
	return v
}

func (s *State) revision() int64 {
	if s.current == nil {
		return 0
	}
	return s.current.Revision
}

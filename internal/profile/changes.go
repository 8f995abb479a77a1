package profile

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"bergamotsill.example/bergamotsill/internal/findings"
)

// changesSchema is the first schema version whose records may carry Changes.
const changesSchema = 3

// Changes are the differences between the document of a base revision and a new one.
// An item replaces the item of the same name, or is appended to its list.
type Changes struct {
	Ranks         []RankPolicy   `json:"ranks,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Profiles      []Profile      `json:"profiles,omitempty"`
	Services      []ServiceRoute `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	// Withdrawn, unless nil, replaces the whole section.
	Withdrawn *Withdrawn `json:"withdrawn,omitempty"`
	// Remove names the items of the base that the new document does not have.
	Remove Removal `json:"remove,omitzero"`
}

// Removal lists the names of items to remove, by section.
type Removal struct {
	Ranks         []string `json:"ranks,omitempty"`
	Pools         []string `json:"pools,omitempty"`
	Profiles      []string `json:"profiles,omitempty"`
	Services      []string `json:"services,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
}

// hasChanges reports whether the publication has changes that take effect. Programs
// with earlier schema versions do not have the field, so it has no effect in records of
// those versions.
func (p *Publication) hasChanges() bool { return len(p.Changes) > 0 && p.Schema >= changesSchema }

func rankName(r RankPolicy) string           { return string(r.Name) }
func poolName(p Pool) string                 { return p.Name }
func profileName(p Profile) string           { return p.Name }
func serviceName(s ServiceRoute) string      { return s.Name }
func organisationName(o Organisation) string { return o.Name }

// newChanges returns the changes from one document to another. A different order of
// items is not a change.
func newChanges(from, to *Document) *Changes {
	c := &Changes{}
	c.Ranks, c.Remove.Ranks = difference(from.Ranks, to.Ranks, rankName)
	c.Pools, c.Remove.Pools = difference(from.Pools, to.Pools, poolName)
	c.Profiles, c.Remove.Profiles = difference(from.Profiles, to.Profiles, profileName)
	c.Services, c.Remove.Services = difference(from.Services, to.Services, serviceName)
	c.Organisations, c.Remove.Organisations = difference(from.Organisations, to.Organisations, organisationName)
	if !reflect.DeepEqual(from.Withdrawn, to.Withdrawn) {
		c.Withdrawn = &to.Withdrawn
	}
	return c
}

// difference returns the items of to that are new or changed, and the names of the
// items of from that to does not have.
func difference[T any](from, to []T, name func(T) string) (set []T, remove []string) {
	known := make(map[string]T, len(from))
	for _, item := range from {
		known[name(item)] = item
	}
	for _, item := range to {
		old, ok := known[name(item)]
		if !ok || !reflect.DeepEqual(old, item) {
			set = append(set, item)
		}
		delete(known, name(item))
	}
	for _, item := range from {
		if _, ok := known[name(item)]; ok {
			remove = append(remove, name(item))
		}
	}
	return set, remove
}

// applyTo returns the new document and does not modify the base. The findings that it
// adds are about the changes, not about the resulting document.
func (c *Changes) applyTo(base *Document, list *findings.List) *Document {
	doc := *base
	doc.Ranks = applyItems(list, "ranks", base.Ranks, c.Ranks, c.Remove.Ranks, rankName)
	doc.Pools = applyItems(list, "pools", base.Pools, c.Pools, c.Remove.Pools, poolName)
	doc.Profiles = applyItems(list, "profiles", base.Profiles, c.Profiles, c.Remove.Profiles, profileName)
	doc.Services = applyItems(list, "services", base.Services, c.Services, c.Remove.Services, serviceName)
	doc.Organisations = applyItems(list, "organisations", base.Organisations, c.Organisations, c.Remove.Organisations, organisationName)
	if c.Withdrawn != nil {
		doc.Withdrawn = *c.Withdrawn
	}
	return &doc
}

// applyItems returns the items of a base section with the items of set replaced or
// appended and the items named in remove left out.
func applyItems[T any](list *findings.List, section string, base, set []T, remove []string, name func(T) string) []T {
	out := slices.Clone(base)
	index := make(map[string]int, len(out))
	for i, item := range out {
		index[name(item)] = i
	}
	setNames := map[string]bool{}
	for i, item := range set {
		key := name(item)
		if setNames[key] {
			list.Add(fmt.Sprintf("changes.%s[%d].name", section, i), "duplicate name %q", key)
		}
		setNames[key] = true
		if at, ok := index[key]; ok {
			out[at] = item
		} else {
			out = append(out, item)
		}
	}
	removed := map[string]bool{}
	for i, key := range remove {
		if _, ok := index[key]; !ok || setNames[key] || removed[key] {
			list.Add(fmt.Sprintf("changes.remove.%s[%d]", section, i), "%q is not in the base, or named twice", key)
		}
		removed[key] = true
	}
	return slices.DeleteFunc(out, func(item T) bool { return removed[name(item)] })
}

// ChangesTo returns the changes from the document in force to another, encoded for
// Publication.Changes, or nil if only a whole document can be published: no revision is
// in force, or its schema version is newer than this program.
func (s *State) ChangesTo(doc *Document) json.RawMessage {
	if s.current == nil || s.schema > SchemaVersion {
		return nil
	}
	return encode(newChanges(s.current.Document, doc))
}

// encode returns the JSON of a Document or of Changes. Both contain only data that JSON
// can represent, so the encoding cannot fail.
func encode(v any) json.RawMessage {
	data, _ := json.Marshal(v)
	return data
}

// withChanges returns the document with encoded changes applied, checked like a
// document that is published whole. All schema versions with changes have the same
// rules so far; a later version must check by the newer of the rules of the record and
// of its base.
func (d *Document) withChanges(data json.RawMessage) (*Document, *findings.List) {
	changes := &Changes{}
	list := findings.Decode("", data, changes)
	if len(list.Items()) > 0 {
		return nil, list
	}
	doc := changes.applyTo(d, list)
	doc.check(list)
	return doc, list
}

// Package credentials finds the organisation that holds a key. It needs no network and no clock.
package credentials

import (
	"fmt"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Directory holds the keys of all organisations of one configuration. It is immutable.
type Directory struct {
	// holders holds the index in organisations of the holder of each key.
	holders       map[port.KeyDigest]int
	organisations []Organisation
	// byName holds the index in organisations by name.
	byName map[string]int
}

// Organisation is what a key says of the requests that are sent with it.
type Organisation struct {
	Name string
	// Rank replaces the rank of the route; nil leaves it.
	Rank *int
}

// NewDirectory returns a directory of the given organisations, and what is wrong with them. Organisations of one name
// are one organisation with the rank of the first one. A key of two organisations identifies neither, because a request
// must not be counted and ranked as one of another organisation. Organisations without a name have no keys.
func NewDirectory(list []port.Organisation) (*Directory, []string) {
	d := &Directory{holders: map[port.KeyDigest]int{}, byName: map[string]int{}}
	var findings []string
	ambiguous := map[port.KeyDigest]bool{}
	for position, o := range list {
		if o.Name == "" {
			findings = append(findings, fmt.Sprintf("organisation %d has no name; its keys are ignored", position))
			continue
		}
		index, known := d.byName[o.Name]
		if known {
			findings = append(findings, fmt.Sprintf("organisation %d has the name %q of an earlier one; its keys are added to that one", position, o.Name))
		} else {
			index = len(d.organisations)
			d.byName[o.Name] = index
			d.organisations = append(d.organisations, Organisation{Name: o.Name, Rank: o.Rank})
		}
		for _, key := range o.Keys {
			holder, taken := d.holders[key]
			if taken && holder != index && !ambiguous[key] {
				ambiguous[key] = true
				findings = append(findings, fmt.Sprintf("organisations %q and %q have a key in common; it identifies neither", d.organisations[holder].Name, o.Name))
			}
			d.holders[key] = index
		}
	}
	for key := range ambiguous {
		delete(d.holders, key)
	}
	// An empty header is no key, whatever the configuration says.
	delete(d.holders, port.DigestKey(""))
	return d, findings
}

// Lookup returns the organisation that holds a key.
func (d *Directory) Lookup(key port.KeyDigest) (Organisation, bool) {
	index, ok := d.holders[key]
	if !ok {
		return Organisation{}, false
	}
	return d.organisations[index], true
}

// Rank returns the rank that replaces that of the route for requests of the named organisation, and whether the
// organisation is known.
func (d *Directory) Rank(name string) (*int, bool) {
	index, ok := d.byName[name]
	if !ok {
		return nil, false
	}
	return d.organisations[index].Rank, true
}

// Size returns the number of organisations.
func (d *Directory) Size() int { return len(d.organisations) }

package crashes

import "strings"

// Trait is a property that requests have in common and that may crash runners: the content of a
// request, or a part of its prompt.
type Trait string

// partPrefix distinguishes the traits of prompt parts from those of contents.
const partPrefix = "part "

// PartTrait returns the trait of a part of a prompt for a model.
func PartTrait(model, id string) Trait { return Trait(partPrefix + model + " " + id) }

// isPart reports whether the trait is a prompt part.
func (t Trait) isPart() bool { return strings.HasPrefix(string(t), partPrefix) }

// Traits holds the traits of one request.
type Traits struct {
	// Content identifies the request by its content, not by its id, which changes with each
	// attempt of a client. It is empty if the content does not identify the request.
	Content Trait
	// Common is set if many clients may send requests with the content, as of a lookup without a
	// body.
	Common bool
	// Parts are the prompt parts that other requests may share, from the first part of the prompt
	// on. Requests with a later part usually share the earlier ones, too.
	Parts []Trait
}

// All returns all traits.
func (t Traits) All() []Trait {
	if t.Content == "" {
		return t.Parts
	}
	return append([]Trait{t.Content}, t.Parts...)
}

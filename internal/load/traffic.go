// Package load sends a mix of calls to a running installation, as callers would, and
// checks every response against the expected response of the stand-ins.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// Interface is the caller interface that a kind of call uses.
type Interface string

// Interfaces of callers.
const (
	Completion Interface = "completion"
	Chat       Interface = "chat"
	// Confirmation is a non-repeatable call with an idempotency key.
	Confirmation Interface = "confirmation"
	// Lookup is a repeatable call to a plain service.
	Lookup Interface = "lookup"
)

// Kind describes one kind of call.
type Kind struct {
	Name      string    `json:"name"`
	Interface Interface `json:"interface"`
	// Profile and Prompt are used by completion and chat.
	Profile string `json:"profile,omitempty"`
	Prompt  string `json:"prompt,omitempty"`
	// Path is used by confirmation and lookup.
	Path string `json:"path,omitempty"`
	// RatePerS is the mean number of calls per second.
	RatePerS float64 `json:"rate_per_s"`
	// PromptTokens and OutputTokens are the lengths of prompt and output.
	PromptTokens int  `json:"prompt_tokens,omitempty"`
	OutputTokens int  `json:"output_tokens,omitempty"`
	Stream       bool `json:"stream,omitempty"`
	// ResendShare is the share, 0 to 1, of confirmations that the caller sends twice.
	ResendShare float64 `json:"resend_share,omitempty"`
	// Organisations are the callers' organisations, used in turn.
	Organisations []string `json:"organisations,omitempty"`
}

// Factor multiplies the rate of one kind during a phase.
type Factor struct {
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
}

// Phase is a period of a load with its own rates of the kinds of call.
type Phase struct {
	Name     string            `json:"name"`
	Duration settings.Duration `json:"duration"`
	Factors  []Factor          `json:"factors,omitempty"`
}

// Traffic describes a load: kinds of call and consecutive phases.
type Traffic struct {
	Kinds  []Kind  `json:"kinds"`
	Phases []Phase `json:"phases"`
}

// Duration returns the total duration of all phases.
func (t *Traffic) Duration() time.Duration {
	var total time.Duration
	for _, p := range t.Phases {
		total += p.Duration.Std()
	}
	return total
}

// PhaseAt returns the phase at the time elapsed since the start, or nil after the last
// phase.
func (t *Traffic) PhaseAt(elapsed time.Duration) *Phase {
	for i := range t.Phases {
		elapsed -= t.Phases[i].Duration.Std()
		if elapsed < 0 {
			return &t.Phases[i]
		}
	}
	return nil
}

// Rate returns the mean number of calls per second of a kind in a phase.
func (p *Phase) Rate(k *Kind) float64 {
	rate := k.RatePerS
	for _, f := range p.Factors {
		if f.Kind == k.Name {
			rate *= f.Factor
		}
	}
	return rate
}

// ReadTraffic reads a traffic description and checks it against a configuration.
func ReadTraffic(path string, doc *profile.Document) (*Traffic, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	t := &Traffic{}
	list := findings.Decode(path, data, t)
	t.check(list, doc)
	return t, list.Err()
}

func (t *Traffic) check(list *findings.List, doc *profile.Document) {
	kinds := map[string]bool{}
	for i := range t.Kinds {
		k := &t.Kinds[i]
		kinds[k.Name] = true
		k.check(list, fmt.Sprintf("kinds[%d]", i), doc)
	}
	for i, p := range t.Phases {
		place := fmt.Sprintf("phases[%d]", i)
		if p.Duration <= 0 {
			list.Add(place+".duration", "must be greater than 0")
		}
		for j, f := range p.Factors {
			if !kinds[f.Kind] {
				list.Add(fmt.Sprintf("%s.factors[%d].kind", place, j), "unknown kind %q", f.Kind)
			}
		}
	}
}

func (k *Kind) check(list *findings.List, place string, doc *profile.Document) {
	if k.RatePerS <= 0 {
		list.Add(place+".rate_per_s", "must be greater than 0")
	}
	switch k.Interface {
	case Completion, Chat:
		if findProfile(doc, k.Profile) == nil {
			list.Add(place+".profile", "unknown profile %q", k.Profile)
		}
		if k.OutputTokens <= 0 {
			list.Add(place+".output_tokens", "must be greater than 0")
		}
	case Confirmation, Lookup:
		if k.Path == "" {
			list.Add(place+".path", "is required")
		}
	default:
		list.Add(place+".interface", "unknown interface %q", k.Interface)
	}
}

func findProfile(doc *profile.Document, name string) *profile.Profile {
	for i := range doc.Profiles {
		if doc.Profiles[i].Name == name {
			return &doc.Profiles[i]
		}
	}
	return nil
}

package routing

import (
	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// prefixBytes is the part of a prompt that decides its home: the first blocks
	// of an engine's prefix cache.
	prefixBytes = 1024
	// bytesPerToken is the usual mean for text.
	bytesPerToken = 4
)

// PrefixOf returns the hash and the length in tokens of the first blocks of a
// prompt. A prompt that is shorter than that has no prefix worth keeping.
func PrefixOf(prompt string) (uint64, int) {
	if len(prompt) < prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]), prefixBytes / bytesPerToken
}

// roleMismatch tells whether the engine's role is for the other kind of work.
func roleMismatch(r *Request, u *Upstream) bool {
	report := u.Report()
	if report == nil {
		return false
	}
	switch report.Status.Role {
	case port.RolePrefill:
		return !PrefillHeavy(r.PromptTokens, r.OutputTokens)
	case port.RoleDecode:
		return PrefillHeavy(r.PromptTokens, r.OutputTokens)
	}
	return false
}

// PrefillHeavy tells whether reading the prompt dominates a request. Sizes are in
// tokens.
func PrefillHeavy(prompt, output int) bool {
	return prompt >= longPrompt && prompt >= promptRatio*output
}

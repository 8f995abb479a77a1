package routing

import (
	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// prefixBytes is the length of the prompt prefix that determines the home of a prompt:
	// the first blocks of an engine's prefix cache.
	prefixBytes = 1024
	// bytesPerToken is the usual mean for text.
	bytesPerToken = 4
)

// PrefixOf returns the hash of the first blocks of a prompt and their length in tokens. It
// returns zeros for a shorter prompt, whose prefix is not worth caching.
func PrefixOf(prompt string) (uint64, int) {
	if len(prompt) < prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]), prefixBytes / bytesPerToken
}

// roleMismatch reports whether the engine's role is meant for the other kind of request.
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

// PrefillHeavy reports whether the prefill dominates a request. Sizes are in tokens.
func PrefillHeavy(prompt, output int) bool {
	return prompt >= longPrompt && prompt >= promptRatio*output
}

package routing

import (
	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// prefixBytes is the length of the prompt prefix that determines the home of a prompt, the
	// engine that is preferred for it. It covers the first blocks of an engine's prefix cache.
	prefixBytes = 1024
	// bytesPerToken is the usual mean number of bytes per token of text.
	bytesPerToken = 4
)

// PrefixOf returns the hash of the first prefixBytes of a prompt and their estimated length in
// tokens. It returns zeros for a shorter prompt, whose prefix is not worth caching.
func PrefixOf(prompt string) (uint64, int) {
	if len(prompt) < prefixBytes {
		return 0, 0
	}
	return xxhash.Sum64String(prompt[:prefixBytes]), prefixBytes / bytesPerToken
}

// roleMismatch reports whether the engine's role does not suit the request: a prefill engine
// is meant for requests that are dominated by prefill, a decode engine for the others.
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

// PrefillHeavy reports whether prefill dominates a request with the given numbers of prompt
// and output tokens.
func PrefillHeavy(prompt, output int) bool {
	return prompt >= longPrompt && prompt >= promptRatio*output
}

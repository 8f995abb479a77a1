package placement

import "time"

// minFetchTokens is the number of tokens below which a prefill is as fast as a transfer.
const minFetchTokens = 128

// holder is an engine and the number of tokens at the start of a prompt that it has cached.
type holder struct {
	member *member
	tokens int
}

// holders are the engines from which other engines can fetch parts of a prompt: those with
// the most cached tokens in each data centre and overall.
type holders struct {
	byDataCentre map[string]holder
	best         holder
}

// holders finds the engines that have cached the most tokens of a prompt. Engines that are
// leaving or unreachable or whose failure count is not 0 are omitted. The caller holds f.mu.
func (f *Fleet) holders(now time.Time, q Query) holders {
	h := holders{}
	if q.Prompt == nil || len(q.Prompt.Parts) == 0 {
		return h
	}
	h.byDataCentre = map[string]holder{}
	for _, m := range f.services[q.Service] {
		if m.failures > 0 || m.leaving || f.unreachable(m.runner.DataCentre, now) {
			continue
		}
		tokens := m.cache.cached(q.Prompt)
		if tokens < minFetchTokens {
			continue
		}
		dc := m.runner.DataCentre
		if tokens > h.byDataCentre[dc].tokens {
			h.byDataCentre[dc] = holder{member: m, tokens: tokens}
		}
		if tokens > h.best.tokens {
			h.best = holder{member: m, tokens: tokens}
		}
	}
	return h
}

// fetchSource returns the engine from which a member can fetch the most tokens beyond those
// that it has cached, and their number; nil if there are fewer than minFetchTokens. A transfer
// within the data centre is preferred even if a remote engine has cached more.
func (h holders) fetchSource(m *member, cached int) (*member, int) {
	for _, source := range []holder{h.byDataCentre[m.runner.DataCentre], h.best} {
		if source.member != nil && source.member != m && source.tokens >= cached+minFetchTokens {
			return source.member, source.tokens - cached
		}
	}
	return nil, 0
}

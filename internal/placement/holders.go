package placement

import "time"

// minFetchTokens is the number of tokens below which a prefill is as fast as a transfer.
const minFetchTokens = 128

// holder is the engine of a data centre that has cached the longest prefix of a prompt.
type holder struct {
	member *member
	tokens int
}

// holders are the engines from which other engines can fetch parts of a prompt: the best one
// of each data centre, and the best one overall.
type holders struct {
	byDataCentre map[string]holder
	best         holder
}

// holders finds the engines that cache most of a prompt. Engines that are leaving or
// unreachable or whose failure count is not 0 are no source. The caller holds f.mu.
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
// that it has cached, and their number. A transfer within the data centre is preferred.
func (h holders) fetchSource(m *member, cached int) (*member, int) {
	for _, source := range []holder{h.byDataCentre[m.runner.DataCentre], h.best} {
		if source.member != nil && source.member != m && source.tokens >= cached+minFetchTokens {
			return source.member, source.tokens - cached
		}
	}
	return nil, 0
}

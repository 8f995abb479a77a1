package placement

import "time"

// minFetchTokens is the number of tokens below which reading again is as fast as a transfer.
const minFetchTokens = 128

// holder is the engine of a data centre that has cached most of a prompt.
type holder struct {
	member *member
	tokens int
}

// holders are the engines that others can fetch parts of a prompt from, by data centre,
// and the best of all.
type holders struct {
	local map[string]holder
	best  holder
}

// holders finds the engines that keep most of a prompt. Engines that leave or are
// suspect are no source.
func (f *Fleet) holders(now time.Time, q Query) holders {
	h := holders{}
	if q.Prompt == nil || len(q.Prompt.Parts) == 0 {
		return h
	}
	h.local = map[string]holder{}
	for _, m := range f.services[q.Service] {
		if m.failures > 0 || m.leaving || f.unreachable(m.runner.DataCentre, now) {
			continue
		}
		tokens := m.cache.cached(q.Prompt)
		if tokens < minFetchTokens {
			continue
		}
		dc := m.runner.DataCentre
		if tokens > h.local[dc].tokens {
			h.local[dc] = holder{member: m, tokens: tokens}
		}
		if tokens > h.best.tokens {
			h.best = holder{member: m, tokens: tokens}
		}
	}
	return h
}

// fetchSource returns the engine from which a member gets most fetchSource what it has cached, and
// how much. A transfer inside a data centre is preferred.
func (h holders) fetchSource(m *member, cached int) (*member, int) {
	for _, source := range []holder{h.local[m.runner.DataCentre], h.best} {
		if source.member != nil && source.member != m && source.tokens >= cached+minFetchTokens {
			return source.member, source.tokens - cached
		}
	}
	return nil, 0
}

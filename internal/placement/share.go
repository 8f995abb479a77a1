package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// RunnerLoad is what a daemon tells its peers of one runner.
type RunnerLoad struct {
	ID   string
	Load Load
	// Parts are shared parts of prompts that the runner has read since the last message,
	// FirstParts those of prompts of which no engine of this data centre had read all.
	Parts                []port.PromptPart
	PartsNewInDataCentre []port.PromptPart
	// PartsOnly is set when the load is not told.
	PartsOnly bool
	// PendingRole is the role that the runner was ordered to take, which it has after
	// ChangeLeft at the latest; empty when it was not.
	PendingRole    port.Role
	ChangeTimeLeft time.Duration
}

// LoadUpdates returns the loads that peers have not been told of; with all set, also every
// other one that is not zero.
func (f *Fleet) LoadUpdates(now time.Time, all bool) []RunnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if all {
		f.assumeWritten()
	}
	f.learnTypical(now)
	var out []RunnerLoad
	for id, m := range f.members {
		if !m.dirty && !(all && len(m.work) > 0) {
			continue
		}
		l := RunnerLoad{ID: id, Load: m.own(now), Parts: m.readParts, PartsNewInDataCentre: m.firstParts}
		if m.away(now) && m.ordered {
			l.PendingRole, l.ChangeTimeLeft = m.changing, m.changedBy.Sub(now)
		}
		out = append(out, l)
		m.dirty = false
		m.readParts, m.firstParts = nil, nil
	}
	return out
}

// assumeWritten takes what is written into the memory of engines of other cells, which this
// daemon is not told, to be what is written into those of its own cell on average. The lock
// is held.
func (f *Fleet) assumeWritten() {
	for _, members := range f.services {
		known, sum := int64(0), int64(0)
		for _, m := range members {
			if !m.outside {
				known++
				sum += m.cache.written - m.cache.assumed
				m.cache.assumed = m.cache.written
			}
		}
		if known == 0 {
			continue
		}
		for _, m := range members {
			if m.outside {
				m.cache.written += sum / known
				m.cache.assumed = m.cache.written
			}
		}
	}
}

// ApplyPeerLoads takes in what a peer told. It returns the parts that were not known before.
func (f *Fleet) ApplyPeerLoads(now time.Time, peer string, loads []RunnerLoad) []RunnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []RunnerLoad
	for _, l := range loads {
		m, ok := f.members[l.ID]
		if !ok {
			continue
		}
		if l.PendingRole != "" && l.PendingRole != m.runner.Role {
			m.changing, m.changedBy = l.PendingRole, now.Add(l.ChangeTimeLeft)
		}
		if !l.PartsOnly {
			m.heard(peer, l.Load, now)
		}
		if unknown := m.cache.unknown(l.Parts); len(unknown) > 0 || l.PendingRole != "" {
			news = append(news, RunnerLoad{ID: l.ID, Parts: unknown, PartsOnly: true, PendingRole: l.PendingRole, ChangeTimeLeft: l.ChangeTimeLeft})
		}
		m.cache.use(l.Parts)
	}
	return news
}

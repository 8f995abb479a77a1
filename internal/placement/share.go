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
		f.estimateStoredInOtherCells()
	}
	f.updateMeanLoads(now)
	var out []RunnerLoad
	for id, m := range f.members {
		if !m.dirty && !(all && len(m.inFlight) > 0) {
			continue
		}
		l := RunnerLoad{ID: id, Load: m.localLoad(now), Parts: m.newParts, PartsNewInDataCentre: m.partsNewInDataCentre}
		if m.changingRole(now) && m.orderedLocally {
			l.PendingRole, l.ChangeTimeLeft = m.pendingRole, m.changeDeadline.Sub(now)
		}
		out = append(out, l)
		m.dirty = false
		m.newParts, m.partsNewInDataCentre = nil, nil
	}
	return out
}

// estimateStoredInOtherCells takes what is written into the memory of engines of other cells, which this
// daemon is not told, to be what is written into those of its own cell on average. The lock
// is held.
func (f *Fleet) estimateStoredInOtherCells() {
	for _, members := range f.services {
		known, sum := int64(0), int64(0)
		for _, m := range members {
			if !m.inOtherCell {
				known++
				sum += m.cache.stored - m.cache.storedAtEstimate
				m.cache.storedAtEstimate = m.cache.stored
			}
		}
		if known == 0 {
			continue
		}
		for _, m := range members {
			if m.inOtherCell {
				m.cache.stored += sum / known
				m.cache.storedAtEstimate = m.cache.stored
			}
		}
	}
}

// ApplyPeerLoads takes in what a peer told. It returns the parts that were not known before.
func (f *Fleet) ApplyPeerLoads(now time.Time, peer string, loads []RunnerLoad) []RunnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unknownParts []RunnerLoad
	for _, l := range loads {
		m, ok := f.members[l.ID]
		if !ok {
			continue
		}
		if l.PendingRole != "" && l.PendingRole != m.runner.Role {
			m.pendingRole, m.changeDeadline = l.PendingRole, now.Add(l.ChangeTimeLeft)
		}
		if !l.PartsOnly {
			m.applyPeerLoad(peer, l.Load, now)
		}
		if missing := m.cache.missing(l.Parts); len(missing) > 0 || l.PendingRole != "" {
			unknownParts = append(unknownParts, RunnerLoad{ID: l.ID, Parts: missing, PartsOnly: true, PendingRole: l.PendingRole, ChangeTimeLeft: l.ChangeTimeLeft})
		}
		m.cache.touch(l.Parts)
	}
	return unknownParts
}

package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// RunnerLoad is the report on one runner that a daemon sends to its peers.
type RunnerLoad struct {
	ID string
	// Load is the load of the reporting daemon's requests.
	Load Load
	// Parts are the shared parts of prompts that the runner has prefilled since the last
	// report. PartsNewInDataCentre are the shared parts of prompts of which at least one part
	// was cached by no engine of this data centre.
	Parts                []port.PromptPart
	PartsNewInDataCentre []port.PromptPart
	// PartsOnly is set if the report contains no load.
	PartsOnly bool
	// PendingRole is the role that the runner was ordered to take, or empty. The runner has
	// the role after ChangeTimeLeft at the latest.
	PendingRole    port.Role
	ChangeTimeLeft time.Duration
	// Limit is the report on the request limit of the runner, in the start that StartedMS names; nil if
	// none is in force.
	Limit *LimitReport
	// Leaving is set if the runner announced that it leaves, in the start that StartedMS names.
	Leaving   bool
	StartedMS int64
}

// LoadUpdates returns the loads that changed since they were last reported, and marks them as
// reported. If all is set, it also returns the loads of all other runners with in-flight
// requests of this daemon. It updates the estimates for engines of other cells.
func (f *Fleet) LoadUpdates(now time.Time, all bool) []RunnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	if all {
		f.estimateStoredInOtherCells()
	}
	f.updateMeanLoads(now)
	f.countLimitedRunners(now)
	var out []RunnerLoad
	for id, m := range f.members {
		if !m.dirty && !(all && (len(m.inFlight) > 0 || m.limit.InForce(now))) {
			continue
		}
		l := RunnerLoad{ID: id, Load: m.localLoad(now), Parts: m.newParts, PartsNewInDataCentre: m.partsNewInDataCentre}
		if m.changingRole(now) && m.orderedLocally {
			l.PendingRole, l.ChangeTimeLeft = m.pendingRole, m.changeDeadline.Sub(now)
		}
		l.Leaving, l.Limit = m.leavingUnreported, f.limitReport(now, m)
		if l.Leaving || l.Limit != nil {
			l.StartedMS = m.runner.StartedMS
		}
		out = append(out, l)
		m.dirty, m.leavingUnreported = false, false
		m.newParts, m.partsNewInDataCentre = nil, nil
	}
	return out
}

// estimateStoredInOtherCells estimates how many tokens were stored in the KV caches of the
// engines of other cells, which send this daemon no load reports: as many as on average in
// those of the local cell. The caller holds f.mu.
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

// ApplyPeerLoads applies the reports of a peer. It returns the parts that were unknown so
// far, the pending role changes and the news on limits, so that the caller can forward them. Reports on unknown
// runners are ignored.
func (f *Fleet) ApplyPeerLoads(now time.Time, peer string, loads []RunnerLoad) []RunnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var toForward []RunnerLoad
	for _, l := range loads {
		m, ok := f.members[l.ID]
		if !ok {
			continue
		}
		if l.PendingRole != "" && l.PendingRole != m.runner.Role {
			m.pendingRole, m.changeDeadline = l.PendingRole, now.Add(l.ChangeTimeLeft)
		}
		// The announcement reaches the daemons that do not exchange loads with the sender.
		learnt := l.Leaving && f.markLeaving(l.ID, l.StartedMS)
		if !l.PartsOnly {
			m.applyPeerLoad(peer, l.Load, now)
		}
		var limit *LimitReport
		if l.Limit != nil && l.StartedMS == m.runner.StartedMS {
			limit = f.applyLimitReport(now, peer, m, *l.Limit)
		}
		if missing := m.cache.missing(l.Parts); len(missing) > 0 || l.PendingRole != "" || learnt || limit != nil {
			toForward = append(toForward, RunnerLoad{
				ID: l.ID, Parts: missing, PartsOnly: true, PendingRole: l.PendingRole, ChangeTimeLeft: l.ChangeTimeLeft,
				Leaving: learnt, Limit: limit, StartedMS: l.StartedMS,
			})
		}
		m.cache.touch(l.Parts)
	}
	return toForward
}

// DropPeerLoads forgets the loads that a peer has reported, because its process has ended: so have its requests. A peer that
// only does not respond may still have them.
func (f *Fleet) DropPeerLoads(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		delete(m.peers, peer)
	}
	for _, m := range f.lapsed {
		delete(m.peers, peer)
	}
}

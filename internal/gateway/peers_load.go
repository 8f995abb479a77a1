package gateway

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// loadMessage tells peers what a daemon has in flight. Times are in microseconds.
type loadMessage struct {
	From    string         `json:"from"`
	DC      string         `json:"data_centre"`
	Address string         `json:"address"`
	Config  int64          `json:"config"`
	Runners []runnerShare  `json:"runners,omitempty"`
	Crashes []crashMessage `json:"crashes,omitempty"`
	Leaving bool           `json:"leaving,omitempty"`
}

// runnerShare is a placement.RunnerLoad on its way: First, For and Pause are BegunUrgency, the
// time since BegunAt and AllowedPause of its Load, the others are named as there.
type runnerShare struct {
	ID      string                        `json:"id"`
	Begun   int64                         `json:"begun"`
	First   int                           `json:"first,omitempty"`
	For     int64                         `json:"for,omitempty"`
	Read    int64                         `json:"read,omitempty"`
	Written int64                         `json:"written,omitempty"`
	Reading [placement.UrgencyCount]int64 `json:"reading"`
	Running int                           `json:"running"`
	KV      int                           `json:"kv"`
	OnTime  int                           `json:"on_time,omitempty"`
	Pause   int64                         `json:"pause,omitempty"`
	Recent  int64                         `json:"recent,omitempty"`
	Parts   map[string]int                `json:"parts,omitempty"`
	// Change is the role that the runner was ordered to take, ChangeLeft the time that it
	// has for it.
	Change     port.Role `json:"change,omitempty"`
	ChangeLeft int64     `json:"change_left,omitempty"`
	// PartsOnly is set for daemons that do not share the load of the runner.
	PartsOnly bool `json:"parts_only,omitempty"`
}

// maxPendingCrashes bounds the crash reports that wait for a peer.
const maxPendingCrashes = 64

// partsOf leaves only what daemons need to know that do not share loads: the parts of
// prompts that runners have read, and changes of roles.
func partsOf(changes []runnerShare) []runnerShare {
	var out []runnerShare
	for _, c := range changes {
		if len(c.Parts) > 0 || c.Change != "" {
			out = append(out, runnerShare{ID: c.ID, Parts: c.Parts, Change: c.Change, ChangeLeft: c.ChangeLeft, PartsOnly: true})
		}
	}
	return out
}

// firstPartsOf leaves only the parts that are new to the data centre, which others fetch
// from there instead of reading them again.
func firstPartsOf(loads []placement.RunnerLoad) []placement.RunnerLoad {
	var out []placement.RunnerLoad
	for _, l := range loads {
		if len(l.PartsNewInDataCentre) > 0 || l.PendingRole != "" {
			out = append(out, placement.RunnerLoad{
				ID: l.ID, Parts: l.PartsNewInDataCentre, PartsOnly: true, PendingRole: l.PendingRole, ChangeTimeLeft: l.ChangeTimeLeft,
			})
		}
	}
	return out
}

// queueLoads adds changes; the newest load of a runner replaces an older one.
func (l *peerLink) queueLoads(changes []runnerShare) {
	for _, c := range changes {
		if old, ok := l.pending[c.ID]; ok {
			parts := mergeParts(old.Parts, c.Parts)
			if c.PartsOnly {
				old.Change, old.ChangeLeft = c.Change, c.ChangeLeft
				c = old
			}
			c.Parts = parts
		}
		l.pending[c.ID] = c
	}
}

func (l *peerLink) queueCrashes(crashes []crashMessage) {
	l.crashes = append(l.crashes, crashes...)
	if extra := len(l.crashes) - maxPendingCrashes; extra > 0 {
		l.crashes = l.crashes[extra:]
	}
}

func mergeParts(a, b map[string]int) map[string]int {
	if len(a) == 0 {
		return b
	}
	out := make(map[string]int, len(a)+len(b))
	for id, tokens := range a {
		out[id] = tokens
	}
	for id, tokens := range b {
		out[id] = tokens
	}
	return out
}

// passParts tells the daemons of this data centre that share no loads with the sender
// which parts engines of another data centre have read.
func (p *peers) passParts(news []placement.RunnerLoad) {
	shares := encodeLoads(news)
	if len(shares) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sharesAll() {
		return
	}
	for _, l := range p.links {
		if l.dataCentre == p.dc {
			l.queueLoads(shares)
		}
	}
}

// sharesAll tells whether all daemons share the loads of all engines; the lock is held.
func (p *peers) sharesAll() bool {
	for _, l := range p.links {
		if !l.partner {
			return false
		}
	}
	return true
}

func encodeLoads(loads []placement.RunnerLoad) []runnerShare {
	out := make([]runnerShare, 0, len(loads))
	for _, l := range loads {
		s := runnerShare{ID: l.ID, PartsOnly: l.PartsOnly, Running: l.Load.Running, KV: l.Load.KVTokens, Begun: l.Load.CurrentPrefill.Microseconds(), First: l.Load.CurrentUrgency, Read: l.Load.TotalPrefill.Microseconds(), Written: l.Load.TotalKVStored,
			Change: l.PendingRole, ChangeLeft: l.ChangeTimeLeft.Microseconds()}
		if l.Load.CurrentPrefill > 0 {
			s.For = time.Since(l.Load.CurrentSince).Microseconds()
		}
		s.OnTime, s.Pause, s.Recent = l.Load.OnTimeStreams, l.Load.AllowedGap.Microseconds(), l.Load.RecentPrefill.Microseconds()
		for i, d := range l.Load.QueuedPrefill {
			s.Reading[i] = d.Microseconds()
		}
		if len(l.Parts) > 0 {
			s.Parts = make(map[string]int, len(l.Parts))
		}
		for _, part := range l.Parts {
			s.Parts[part.ID] = part.Tokens
		}
		out = append(out, s)
	}
	return out
}

func decodeLoads(shares []runnerShare) []placement.RunnerLoad {
	out := make([]placement.RunnerLoad, 0, len(shares))
	for _, s := range shares {
		l := placement.RunnerLoad{ID: s.ID, PartsOnly: s.PartsOnly}
		l.Load.Running, l.Load.KVTokens = s.Running, s.KV
		l.Load.CurrentPrefill = time.Duration(s.Begun) * time.Microsecond
		l.Load.CurrentUrgency = min(max(0, s.First), placement.UrgencyCount-1)
		l.Load.CurrentSince = time.Now().Add(-time.Duration(s.For) * time.Microsecond)
		l.Load.TotalPrefill, l.Load.TotalKVStored = time.Duration(s.Read)*time.Microsecond, s.Written
		l.PendingRole, l.ChangeTimeLeft = s.Change, time.Duration(s.ChangeLeft)*time.Microsecond
		l.Load.OnTimeStreams = s.OnTime
		l.Load.AllowedGap = time.Duration(s.Pause) * time.Microsecond
		l.Load.RecentPrefill = time.Duration(s.Recent) * time.Microsecond
		for i, us := range s.Reading {
			l.Load.QueuedPrefill[i] = time.Duration(us) * time.Microsecond
		}
		for id, tokens := range s.Parts {
			l.Parts = append(l.Parts, port.PromptPart{ID: id, Tokens: tokens})
		}
		out = append(out, l)
	}
	return out
}

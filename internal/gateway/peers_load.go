package gateway

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/usage"
)

// loadMessage reports the in-flight load of a daemon to its peers. From, DataCentre and Address
// are those of the sender, and Config is the version of its configuration. Leaving is set in the
// last message of a daemon that stops. Started is when the sender's process started, in Unix
// milliseconds; 0 from daemons of earlier versions.
type loadMessage struct {
	From       string           `json:"from"`
	Started    int64            `json:"started,omitempty"`
	DataCentre string           `json:"data_centre"`
	Address    string           `json:"address"`
	Config     int64            `json:"config"`
	Runners    []runnerLoad     `json:"runners,omitempty"`
	Crashes    []crashes.Report `json:"crashes,omitempty"`
	Leaving    bool             `json:"leaving,omitempty"`
	// Unreached holds the services whose runners the sender does not reach.
	Unreached []string `json:"unreached,omitempty"`
	// Origins holds the origins of streams that the receiver keeps.
	Origins []originReport `json:"origins,omitempty"`
	// UsedSlack is the part of the constant retry limit that the sender has used; see
	// retryLimits.usedSlack. Previous is what the previous process of the receiver last reported
	// of it, in the first message after its start.
	UsedSlack float64        `json:"used_slack,omitempty"`
	Previous  *previousSlack `json:"previous,omitempty"`
	// Usage holds what the sender has counted of the usage, so that it is known if the sender ends.
	Usage []usage.Report `json:"usage,omitempty"`
}

// previousSlack is the UsedSlack that a process reported last, AgeMS milliseconds ago.
type previousSlack struct {
	Used  float64 `json:"used"`
	AgeMS int64   `json:"age"`
}

// runnerLoad is the wire form of a placement.RunnerLoad. Times are in microseconds.
//
// CurrentPrefill is the predicted prefill time of the prompt that the runner prefills first among
// those of the sender, CurrentUrgency its urgency and CurrentElapsed the time since it became the
// first. QueuedPrefill is the predicted prefill time of the queued prompts, by urgency.
// TotalPrefill, the finished prefill work, and TotalKVStored, the tokens stored in the KV cache,
// are totals since the start of the sender, like TotalEnded and TotalFailed, the requests that ended
// at the runner and those of them that failed. AllowedGap is the smallest limit for gaps among the
// OnTimeStreams, and RecentPrefill the finished prefill time that may lengthen a current gap. Parts
// holds the tokens of prompt parts by id.
type runnerLoad struct {
	ID             string                        `json:"id"`
	CurrentPrefill int64                         `json:"begun"`
	CurrentUrgency int                           `json:"first,omitempty"`
	CurrentElapsed int64                         `json:"for,omitempty"`
	TotalPrefill   int64                         `json:"read,omitempty"`
	TotalKVStored  int64                         `json:"written,omitempty"`
	QueuedPrefill  [placement.UrgencyCount]int64 `json:"reading"`
	TotalEnded     int64                         `json:"ended,omitempty"`
	TotalFailed    int64                         `json:"failed,omitempty"`
	Running        int                           `json:"running"`
	KVTokens       int                           `json:"kv"`
	OnTimeStreams  int                           `json:"on_time,omitempty"`
	AllowedGap     int64                         `json:"pause,omitempty"`
	RecentPrefill  int64                         `json:"recent,omitempty"`
	Parts          map[string]int                `json:"parts,omitempty"`
	// PendingRole is the role that the runner was ordered to take, ChangeTimeLeft the time left
	// for the change.
	PendingRole    port.Role `json:"change,omitempty"`
	ChangeTimeLeft int64     `json:"change_left,omitempty"`
	// Leaving is set if the runner announced that it leaves, in the start that Started names, in
	// Unix milliseconds.
	Leaving bool  `json:"leaving,omitempty"`
	Started int64 `json:"started,omitempty"`
	// Limit is set while a request limit of the runner is in force, in the start that Started names.
	Limit *limitReport `json:"limit,omitempty"`
	// PartsOnly is set if the message contains no load, because the receiver does not exchange
	// loads with the daemon whose requests are concerned.
	PartsOnly bool `json:"parts_only,omitempty"`
}

// limitReport is the wire form of a placement.LimitReport. Age is in microseconds.
type limitReport struct {
	Rate         float64 `json:"rate"`
	Ended        bool    `json:"ended,omitempty"`
	Age          int64   `json:"age"`
	Sent         int64   `json:"sent"`
	SentByOthers int64   `json:"others,omitempty"`
	// news is set if the limit or the numbers have changed since the last report.
	news bool
}

// maxPendingCrashReports bounds the crash reports that are queued for a peer.
const maxPendingCrashReports = 256

// partsOnly reduces changes to the prompt parts that runners have prefilled, role changes, leaving
// runners and news on limits, for the daemons of this data centre that do not exchange loads with this
// one.
func partsOnly(changes []runnerLoad) []runnerLoad {
	var out []runnerLoad
	for _, c := range changes {
		if len(c.Parts) > 0 || c.PendingRole != "" || c.Leaving || c.Limit != nil && c.Limit.news {
			out = append(out, runnerLoad{
				ID: c.ID, Parts: c.Parts, PendingRole: c.PendingRole, ChangeTimeLeft: c.ChangeTimeLeft, Leaving: c.Leaving, Started: c.Started,
				Limit: c.Limit, PartsOnly: true,
			})
		}
	}
	return out
}

// newPartsOnly reduces loads to role changes, leaving runners, news on limits and the prompt parts that
// are new in this data centre. Remote engines fetch such parts from here instead of prefilling them again.
func newPartsOnly(loads []placement.RunnerLoad) []placement.RunnerLoad {
	var out []placement.RunnerLoad
	for _, l := range loads {
		if len(l.PartsNewInDataCentre) > 0 || l.PendingRole != "" || l.Leaving || l.Limit != nil && l.Limit.News {
			out = append(out, placement.RunnerLoad{
				ID: l.ID, Parts: l.PartsNewInDataCentre, PartsOnly: true, PendingRole: l.PendingRole, ChangeTimeLeft: l.ChangeTimeLeft,
				Leaving: l.Leaving, Limit: l.Limit, StartedMS: l.StartedMS,
			})
		}
	}
	return out
}

// queueLoads queues changes. A newer load of a runner replaces the queued one; a change without a
// load does not. The prompt parts of both are kept. For a peer that does not respond only the notices of runners are queued: the
// rest would be old when it arrives. peers.mu must be held.
func (l *peerLink) queueLoads(changes []runnerLoad) {
	if !l.responds() {
		changes = noticesOnly(changes)
	}
	for _, c := range changes {
		if old, ok := l.pendingLoads[c.ID]; ok {
			parts := mergeParts(old.Parts, c.Parts)
			if old.Leaving && !c.Leaving {
				c.Leaving, c.Started = true, old.Started
			}
			if c.Limit = mergeLimits(old, c); c.Limit != nil {
				c.Started = max(c.Started, old.Started)
			}
			if c.PartsOnly {
				old.Leaving, old.Started, old.Limit = c.Leaving, c.Started, c.Limit
				old.PendingRole, old.ChangeTimeLeft = c.PendingRole, c.ChangeTimeLeft
				c = old
			}
			c.Parts = parts
		}
		l.pendingLoads[c.ID] = c
	}
}

// mergeLimits returns the report on the limit of a runner that replaces a queued one.
func mergeLimits(queued, c runnerLoad) *limitReport {
	switch {
	case queued.Limit == nil || c.Limit != nil && queued.Started < c.Started:
		return c.Limit
	case c.Limit == nil:
		return queued.Limit
	}
	merged := *c.Limit
	merged.SentByOthers += queued.Limit.SentByOthers
	merged.news = merged.news || queued.Limit.news
	return &merged
}

// noteSender records the state that a peer reports. For a peer that has just started it queues what
// its previous process knew: the crashes of runners and the retries that it had used. The loads of that
// process end. peers.mu must be held.
func (p *peers) noteSender(l *peerLink, m *loadMessage, now time.Time) {
	if l.started != m.Started {
		l.queueCrashReports(now, p.crashes.allReports(now))
		l.endPause()
		l.toldUsage = usage.Told{}
		if l.started != 0 {
			// The call went to the previous process.
			l.endCall()
			p.fleet.DropPeerLoads(l.name)
			l.previous = &previousSlack{Used: l.usedSlack, AgeMS: now.Sub(l.usedSlackAt).Milliseconds()}
		}
		l.started = m.Started
	}
	l.usedSlack, l.usedSlackAt = m.UsedSlack, now
	l.unreached = m.Unreached
}

// queueCrashReports queues crash reports and drops the oldest ones beyond maxPendingCrashReports.
// peers.mu must be held.
func (l *peerLink) queueCrashReports(now time.Time, reports []crashes.Report) {
	for _, r := range reports {
		l.pendingCrashes = append(l.pendingCrashes, queuedCrash{Report: r, queuedAt: now})
	}
	l.trimCrashes()
}

func (l *peerLink) trimCrashes() {
	if extra := len(l.pendingCrashes) - maxPendingCrashReports; extra > 0 {
		l.pendingCrashes = l.pendingCrashes[extra:]
	}
}

// mergeParts returns the union of two sets of prompt parts.
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

// forwardParts forwards the prompt parts that engines of a remote data centre have prefilled to
// the daemons of this data centre, which do not all exchange loads with the sender.
func (p *peers) forwardParts(loads []placement.RunnerLoad) {
	messages := encodeLoads(loads)
	if len(messages) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.allCellPeers() {
		return
	}
	for _, l := range p.links {
		if l.dataCentre == p.dataCentre {
			l.queueLoads(messages)
		}
	}
}

// allCellPeers reports whether all peers are cell peers, so that all daemons exchange the loads of
// all engines. p.mu must be held.
func (p *peers) allCellPeers() bool {
	for _, l := range p.links {
		if !l.cellPeer {
			return false
		}
	}
	return true
}

func encodeLoads(loads []placement.RunnerLoad) []runnerLoad {
	out := make([]runnerLoad, 0, len(loads))
	for _, l := range loads {
		s := runnerLoad{ID: l.ID, PartsOnly: l.PartsOnly, Running: l.Load.Running, KVTokens: l.Load.KVTokens, CurrentPrefill: l.Load.CurrentPrefill.Microseconds(), CurrentUrgency: l.Load.CurrentUrgency, TotalPrefill: l.Load.TotalPrefill.Microseconds(), TotalKVStored: l.Load.TotalKVStored,
			PendingRole: l.PendingRole, ChangeTimeLeft: l.ChangeTimeLeft.Microseconds(), Leaving: l.Leaving, Started: l.StartedMS}
		if l.Load.CurrentPrefill > 0 {
			s.CurrentElapsed = time.Since(l.Load.CurrentSince).Microseconds()
		}
		s.TotalEnded, s.TotalFailed = l.Load.TotalEnded, l.Load.TotalFailed
		s.OnTimeStreams, s.AllowedGap, s.RecentPrefill = l.Load.OnTimeStreams, l.Load.AllowedGap.Microseconds(), l.Load.RecentPrefill.Microseconds()
		for i, d := range l.Load.QueuedPrefill {
			s.QueuedPrefill[i] = d.Microseconds()
		}
		if len(l.Parts) > 0 {
			s.Parts = make(map[string]int, len(l.Parts))
		}
		for _, part := range l.Parts {
			s.Parts[part.ID] = part.Tokens
		}
		if r := l.Limit; r != nil {
			s.Limit = &limitReport{Rate: r.Rate, Ended: r.Ended, Age: r.Age.Microseconds(), Sent: r.Sent, SentByOthers: r.SentByOthers, news: r.News}
		}
		out = append(out, s)
	}
	return out
}

func decodeLoads(messages []runnerLoad) []placement.RunnerLoad {
	out := make([]placement.RunnerLoad, 0, len(messages))
	for _, s := range messages {
		l := placement.RunnerLoad{ID: s.ID, PartsOnly: s.PartsOnly, Leaving: s.Leaving, StartedMS: s.Started}
		l.Load.Running, l.Load.KVTokens = s.Running, s.KVTokens
		l.Load.CurrentPrefill = time.Duration(s.CurrentPrefill) * time.Microsecond
		l.Load.CurrentUrgency = min(max(0, s.CurrentUrgency), placement.UrgencyCount-1)
		l.Load.CurrentSince = time.Now().Add(-time.Duration(s.CurrentElapsed) * time.Microsecond)
		l.Load.TotalPrefill, l.Load.TotalKVStored = time.Duration(s.TotalPrefill)*time.Microsecond, s.TotalKVStored
		l.Load.TotalEnded, l.Load.TotalFailed = s.TotalEnded, s.TotalFailed
		l.PendingRole, l.ChangeTimeLeft = s.PendingRole, time.Duration(s.ChangeTimeLeft)*time.Microsecond
		l.Load.OnTimeStreams = s.OnTimeStreams
		l.Load.AllowedGap = time.Duration(s.AllowedGap) * time.Microsecond
		l.Load.RecentPrefill = time.Duration(s.RecentPrefill) * time.Microsecond
		for i, us := range s.QueuedPrefill {
			l.Load.QueuedPrefill[i] = time.Duration(us) * time.Microsecond
		}
		for id, tokens := range s.Parts {
			l.Parts = append(l.Parts, port.PromptPart{ID: id, Tokens: tokens})
		}
		if r := s.Limit; r != nil {
			l.Limit = &placement.LimitReport{
				Rate: r.Rate, Ended: r.Ended, Age: time.Duration(max(0, r.Age)) * time.Microsecond, Sent: r.Sent, SentByOthers: max(0, r.SentByOthers),
			}
		}
		out = append(out, l)
	}
	return out
}

package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/requestlimit"
)

// Request limits of runners. All daemons share the limit of a runner: they report to each other what
// the runner said and how many requests they sent to it; see package requestlimit.

// LimitReport is what a daemon reports to its peers on the request limit of a runner.
type LimitReport struct {
	// Rate is the limit in requests per second, Ended is set if the runner no longer names one. The
	// runner said so Age ago.
	Rate  float64
	Ended bool
	Age   time.Duration
	// Sent is the number of requests that the daemon has sent to the runner since it started.
	Sent int64
	// SentByOthers is the number of requests since the last report that daemons have sent of which
	// the receiver gets no reports.
	SentByOthers int64
	// News is set if the limit, or the number of requests, has changed since the last report.
	News bool
}

// patienceStep is the number of tokens for which each group of daemons waits longer than the one before,
// and over which its daemons are spread. Those of the cell of a limited runner go first, as they know best
// what the others send, then those of its data centre, then the others.
const patienceStep = requestlimit.MaxPatience / 3

// SetLimitShare sets the part of the limits of runners that this daemon and those that it hears may
// use, from 0 to 1.
func (f *Fleet) SetLimitShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limitShare = share
}

// RecordLimit records what a response to a request that was sent at sentAt says of the request limit
// of its runner, and reports whether that changes the limit. A response that names no limit ends one
// only if its request was sent after the limit was last named: responses may overtake each other.
func (f *Fleet) RecordLimit(now time.Time, id string, startedMS int64, sentAt time.Time, limit port.RequestLimit) bool {
	if !limit.Named && (!limit.None || f.limitedRunners.Load() == 0) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.memberOf(id)
	if !ok || m.runner.StartedMS != startedMS {
		return false
	}
	changed := false
	switch {
	case limit.Named:
		changed = m.limit.Name(now, now, limit.Rate)
		// The next update counts them.
		f.limitedRunners.Add(1)
	case sentAt.After(m.limit.HeardAt()):
		changed = m.limit.End(now, now)
	}
	if changed {
		m.dirty, m.limitNews = true, true
	}
	return changed
}

// limitWait returns the time until the request limit of a runner allows this daemon another request;
// see requestlimit.Limit.Wait. The caller holds f.mu.
func (f *Fleet) limitWait(now time.Time, m *member) time.Duration {
	if !m.limit.InForce(now) {
		return 0
	}
	patience := m.affinity * patienceStep
	switch {
	case m.inOtherCell && m.runner.DataCentre != f.dataCentre:
		patience += 2 * patienceStep
	case m.inOtherCell:
		patience += patienceStep
	}
	return m.limit.Wait(now, f.limitShare, patience)
}

// accepts reports whether a runner may receive a request now, also if it is suspect. The caller holds
// f.mu.
func (f *Fleet) accepts(now time.Time, m *member) bool {
	return m.acceptsRequests(now) && f.limitWait(now, m) == 0
}

// usable reports whether a runner may receive a new request and is reachable. The caller holds f.mu.
func (f *Fleet) usable(now time.Time, m *member) bool {
	return m.usable(now) && !f.unreachable(m.runner.DataCentre, now) && f.limitWait(now, m) == 0
}

// decodeDeferred reports whether the request limits of the decode engines keep a request from all that
// are usable otherwise. The caller holds f.mu.
func (f *Fleet) decodeDeferred(now time.Time, q Query) bool {
	if q.Prompt == nil || f.limitedRunners.Load() == 0 {
		return false
	}
	deferred := false
	for _, m := range f.services[q.Service] {
		if m.runner.Role == port.RolePrefill || q.excludes(m) {
			continue
		}
		if f.usable(now, m) {
			return false
		}
		deferred = deferred || m.usable(now)
	}
	return deferred
}

// countDeferred counts the runners that could have received a request if their limit allowed it. The
// caller holds f.mu.
func (f *Fleet) countDeferred(now time.Time, q Query) {
	if f.limitedRunners.Load() == 0 {
		return
	}
	for _, m := range f.services[q.Service] {
		if !q.excludes(m) && m.usable(now) && f.limitWait(now, m) != 0 {
			m.deferred++
		}
	}
}

// drawLimit counts a request that is sent to a runner. The caller holds f.mu.
func (f *Fleet) drawLimit(now time.Time, m *member) {
	m.sent++
	if m.limit.InForce(now) {
		m.limit.Draw(now, f.limitShare, 1)
		m.limitNews = true
	}
}

// returnToLimit takes back a request that was not sent to its runner. The caller holds f.mu.
func (f *Fleet) returnToLimit(now time.Time, m *member) {
	m.sent--
	m.limit.Draw(now, f.limitShare, -1)
}

// limitReport returns the report on the limit of a runner for the peers, and nil if none is in force.
// The caller holds f.mu.
func (f *Fleet) limitReport(now time.Time, m *member) *LimitReport {
	if !m.limit.InForce(now) {
		return nil
	}
	rate, named := m.limit.Named()
	r := &LimitReport{Rate: rate, Ended: !named, Age: max(0, now.Sub(m.limit.HeardAt())), Sent: m.sent, News: m.limitNews}
	m.limitNews = false
	return r
}

// countLimitedRunners counts the runners whose limit is in force. The caller holds f.mu.
func (f *Fleet) countLimitedRunners(now time.Time) {
	n := int32(0)
	for _, m := range f.members {
		if m.limit.InForce(now) {
			n++
		}
	}
	f.limitedRunners.Store(n)
}

// applyLimitReport applies a peer's report on the limit of a runner. It returns the report for the
// daemons of this data centre to which the peer does not send it, or nil if there is no news. The
// caller holds f.mu.
func (f *Fleet) applyLimitReport(now time.Time, peer string, m *member, r LimitReport) *LimitReport {
	var changed bool
	if at := now.Add(-r.Age); r.Ended {
		changed = m.limit.End(now, at)
	} else {
		changed = m.limit.Name(now, at, r.Rate)
	}
	others := r.SentByOthers
	// A lower number than before is that of a new process, of which nothing is known.
	if known, ok := m.sentByPeers[peer]; ok && r.Sent > known {
		others += r.Sent - known
	}
	m.sentByPeers[peer] = r.Sent
	if others > 0 {
		m.limit.Draw(now, f.limitShare, others)
	}
	if m.limit.InForce(now) {
		f.limitedRunners.Add(1)
	}
	if !changed && others == 0 {
		return nil
	}
	rate, named := m.limit.Named()
	return &LimitReport{Rate: rate, Ended: !named, Age: max(0, now.Sub(m.limit.HeardAt())), Sent: m.sent, SentByOthers: others, News: true}
}

// LimitedRunner is the state of a runner whose request limit is in force.
type LimitedRunner struct {
	Service string `json:"service"`
	// Rate is the limit in requests per second of all daemons together; Ended is set if the runner no
	// longer names it and the rate recovers. Share is the part of it that this daemon and those that
	// it hears may use.
	Rate  float64 `json:"requests_per_second"`
	Ended bool    `json:"ended"`
	Share float64 `json:"share"`
	// Sent is the number of requests that this daemon has sent to the runner since it started,
	// Deferred the number of requests that were placed elsewhere or refused because of the limit.
	Sent     int64 `json:"sent"`
	Deferred int64 `json:"deferred"`
}

// LimitedRunners returns the runners whose request limit is in force, by id.
func (f *Fleet) LimitedRunners(now time.Time) map[string]LimitedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]LimitedRunner{}
	for id, m := range f.members {
		if m.limit.InForce(now) {
			rate, named := m.limit.Named()
			out[id] = LimitedRunner{Service: m.runner.Service, Rate: rate, Ended: !named, Share: f.limitShare, Sent: m.sent, Deferred: m.deferred}
		}
	}
	return out
}

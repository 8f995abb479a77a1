package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/patience"
)

const (
	// peerTimeout is how long a call to a peer may take at first.
	peerTimeout = 700 * time.Millisecond
	// maxPeerTimeout bounds the time for a call on a slow path, maxPeerBackoff the delay between calls to an unresponsive
	// peer. Together they are how long after the end of a partition a peer may be called first.
	maxPeerTimeout = 2 * time.Second
	maxPeerBackoff = 500 * time.Millisecond
	// heardWithin is how long after a message of a daemon it counts as running although calls to it get no response.
	heardWithin = 1200 * time.Millisecond
	// maxCrashesPerMessage and maxOriginsPerMessage bound the news in one message, so that messages to all peers together
	// pass a slow link within peerTimeout.
	maxCrashesPerMessage = 32
	maxOriginsPerMessage = 64
)

// callLimit returns the time limit of calls to the peer. peers.mu must be held.
func (l *peerLink) callLimit() *patience.Limit {
	if l.limit == nil {
		l.limit = patience.New(peerTimeout, maxPeerTimeout)
	}
	return l.limit
}

// responds reports whether the last call to the peer got a response. peers.mu must be held.
func (l *peerLink) responds() bool { return l.backoff == 0 }

// runs reports whether the peer responds or has just sent a message, so that it does its duties although this daemon may
// not reach it. peers.mu must be held.
func (l *peerLink) runs(now time.Time) bool { return l.responds() || now.Sub(l.heardAt) < heardWithin }

// endPause lets the next call to the peer, whose process is new, begin at once. peers.mu must be held.
func (l *peerLink) endPause() {
	l.backoff, l.nextSend = 0, time.Time{}
	l.callLimit().Reset()
}

// endCall ends the call to the peer that is in flight. peers.mu must be held.
func (l *peerLink) endCall() {
	if l.cancelCall != nil {
		l.cancelCall()
	}
}

// heard records a message from a peer. It shows that the peer runs, not that calls reach it.
func (p *peers) heard(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[name]; ok {
		l.heardAt = time.Now()
	}
}

// mayCall reports whether a call to a peer may begin now, and how long it may take. All calls that are not part of a
// client's request keep the pause after a call without a response.
func (p *peers) mayCall(l *peerLink) (limit time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.callLimit().Current(), !time.Now().Before(l.nextSend) || l.responds()
}

// recordCallResult records whether a peer responded to a call, and after how long.
func (p *peers) recordCallResult(l *peerLink, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := l.callLimit()
	if err == nil {
		limit.Answered(took)
		if l.backoff > 0 {
			p.log.Info("daemon responds again", zap.String("peer", l.name), zap.Duration("response-time", took))
		}
		l.backoff = 0
		l.lastContact = time.Now()
		return
	}
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		if took < limit.Current() {
			return
		}
		limit.Exceeded(took)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		// A process listens until its requests have ended.
		p.fleet.DropPeerLoads(l.name)
	}
	if l.backoff == 0 {
		p.log.Warn("daemon does not respond", zap.String("peer", l.name), zap.String("peer-address", l.address), zap.Error(err))
	}
	l.backoff = min(maxPeerBackoff, max(loadInterval, 2*l.backoff))
	l.nextSend = time.Now().Add(l.backoff)
}

// news is what a message tells a peer beside the state of the sender. What is not repeated by itself is told again if the
// message gets no response.
type news struct {
	loads    map[string]runnerLoad
	crashes  []queuedCrash
	origins  []queuedOrigin
	previous *previousSlack
	takenAt  time.Time
}

// queuedCrash and queuedOrigin are reports with the time at which their age was right.
type queuedCrash struct {
	crashes.Report
	queuedAt time.Time
}

type queuedOrigin struct {
	originReport
	queuedAt time.Time
}

// takeNews removes the queued news that the next message carries: nothing for a peer that does not respond, so that
// messages are the smaller the fewer arrive. peers.mu must be held.
func (l *peerLink) takeNews(now time.Time) news {
	n := news{takenAt: now}
	if !l.responds() {
		return n
	}
	n.loads, l.pendingLoads = l.pendingLoads, map[string]runnerLoad{}
	n.previous, l.previous = l.previous, nil
	n.crashes, l.pendingCrashes = split(l.pendingCrashes, maxCrashesPerMessage)
	n.origins, l.pendingOrigins = split(l.pendingOrigins, maxOriginsPerMessage)
	return n
}

// split divides a list after at most n entries.
func split[T any](list []T, n int) (first, rest []T) {
	n = min(n, len(list))
	return list[:n:n], list[n:]
}

// addTo adds the news to a message.
func (n *news) addTo(m *loadMessage) {
	for _, load := range n.loads {
		m.Runners = append(m.Runners, load)
	}
	for _, c := range n.crashes {
		c.AgeMS += n.takenAt.Sub(c.queuedAt).Milliseconds()
		m.Crashes = append(m.Crashes, c.Report)
	}
	for _, o := range n.origins {
		o.AgeMS += n.takenAt.Sub(o.queuedAt).Milliseconds()
		m.Origins = append(m.Origins, o.originReport)
	}
	m.Previous = n.previous
}

// requeue queues news again that got no response. Of loads, also of those that were queued since, only the notices of runners are
// kept: the rest would be old when it arrives, and the next full report follows soon. peers.mu must be held.
func (l *peerLink) requeue(n *news, now time.Time) {
	elapsed := now.Sub(n.takenAt)
	newer := l.pendingLoads
	l.pendingLoads = map[string]runnerLoad{}
	for id, load := range n.loads {
		if notice, ok := noticeOnly(load, elapsed); ok {
			l.pendingLoads[id] = notice
		}
	}
	l.queueLoads(slices.Collect(maps.Values(newer)))
	l.pendingCrashes = append(n.crashes, l.pendingCrashes...)
	l.trimCrashes()
	l.pendingOrigins = append(n.origins, l.pendingOrigins...)
	if n.previous != nil && l.previous == nil {
		l.previous = &previousSlack{Used: n.previous.Used, AgeMS: n.previous.AgeMS + elapsed.Milliseconds()}
	}
}

// noticeOnly reduces a load to what its runner has announced, if there is any: that it leaves, and its request limit, which
// is the given time older by now.
func noticeOnly(load runnerLoad, elapsed time.Duration) (runnerLoad, bool) {
	if !load.Leaving && load.Limit == nil {
		return runnerLoad{}, false
	}
	notice := runnerLoad{ID: load.ID, Leaving: load.Leaving, Started: load.Started, PartsOnly: true}
	if load.Limit != nil {
		limit := *load.Limit
		limit.Age += elapsed.Microseconds()
		notice.Limit = &limit
	}
	return notice, true
}

// noticesOnly reduces changes to what their runners have announced.
func noticesOnly(changes []runnerLoad) []runnerLoad {
	var out []runnerLoad
	for _, c := range changes {
		if notice, ok := noticeOnly(c, 0); ok {
			out = append(out, notice)
		}
	}
	return out
}

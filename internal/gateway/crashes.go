package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

const (
	// crashRetention is how long a request that was in flight at crashes is remembered.
	crashRetention = time.Minute
	// maxCrashEntries bounds the requests that are remembered.
	maxCrashEntries = 4096
	// lossConfirmWindow is how long after a lost connection the end of its runner is taken
	// as the cause: a restart or a lapsed entry shows within some heartbeats.
	lossConfirmWindow = 6 * time.Second
	// maxPendingLosses bounds the lost connections that wait for evidence.
	maxPendingLosses = 1024
)

// crashReport tells peers of a request that was in flight as a runner ended.
type crashReport struct {
	Digest quarantine.Digest `json:"digest"`
	Runner string            `json:"runner"`
	// Start tells runs of a runner apart that have the same id.
	Start    int64 `json:"start"`
	Answered bool  `json:"answered,omitempty"`
}

// crashGuard refuses requests that were in flight at the ends of several runners: a
// request that crashes each runner that begins it comes again and again.
type crashGuard struct {
	mu            sync.Mutex
	entries       map[quarantine.Digest]*crashEntry
	unsentReports []crashReport
	// pendingLosses holds connections that ended while a request ran. They count once their
	// runner is seen to have ended, because connections also end for other reasons.
	pendingLosses []connectionLoss
}

type connectionLoss struct {
	digest quarantine.Digest
	runner port.Runner
	at     time.Time
}

type crashEntry struct {
	// runners holds the runners that ended with the request, by id and start.
	runners map[string]bool
	expires time.Time
}

// maxCrashes is the number of runners that a request may take down before it is
// refused. One loss can be a coincidence, also of all requests at a runner.
const maxCrashes = 2

func newCrashGuard() *crashGuard {
	return &crashGuard{entries: map[quarantine.Digest]*crashEntry{}}
}

// digestOf identifies a request by what a runner computes, not by its id, which is new
// with each attempt of a client. Requests without a body have no digest: many clients
// send equal ones, and all of them would be refused after two crashes by coincidence.
func digestOf(r *port.ForwardRequest) quarantine.Digest {
	if len(r.Body) == 0 {
		return ""
	}
	return quarantine.DigestOf(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// blocked tells whether a request has taken down too many runners.
func (g *crashGuard) blocked(d quarantine.Digest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[d]
	return ok && now.Before(e.expires) && len(e.runners) >= maxCrashes
}

// recordLoss notes that a connection ended while a runner ran a request.
func (g *crashGuard) recordLoss(d quarantine.Digest, r port.Runner, now time.Time) {
	if d == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingLosses) >= maxPendingLosses {
		g.pendingLosses = g.pendingLosses[1:]
	}
	g.pendingLosses = append(g.pendingLosses, connectionLoss{digest: d, runner: r, at: now})
}

// confirmFromRunners confirms losses at runners that are gone or have started again since.
func (g *crashGuard) confirmFromRunners(runners []port.Runner, now time.Time) {
	started := make(map[string]int64, len(runners))
	for _, r := range runners {
		started[r.ID] = r.StartedMS
	}
	g.confirmLosses(now, func(l connectionLoss) bool {
		start, ok := started[l.runner.ID]
		return !ok && !l.runner.Draining || ok && start != l.runner.StartedMS
	})
}

// confirmRefused confirms losses at a runner that refuses connections.
func (g *crashGuard) confirmRefused(runner string, now time.Time) {
	g.confirmLosses(now, func(l connectionLoss) bool { return l.runner.ID == runner })
}

// confirmLosses turns the losses that confirmed accepts into entries, and forgets old ones.
func (g *crashGuard) confirmLosses(now time.Time, confirmed func(connectionLoss) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingLosses = slices.DeleteFunc(g.pendingLosses, func(l connectionLoss) bool {
		if now.Sub(l.at) > lossConfirmWindow {
			return true
		}
		if !confirmed(l) {
			return false
		}
		m := crashReport{Digest: l.digest, Runner: l.runner.ID, Start: l.runner.StartedMS}
		g.addCrash(m, now)
		g.unsentReports = append(g.unsentReports, m)
		return true
	})
}

// clearRequest clears a request that a runner completed.
func (g *crashGuard) clearRequest(d quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingLosses = slices.DeleteFunc(g.pendingLosses, func(l connectionLoss) bool { return l.digest == d })
	if _, ok := g.entries[d]; ok {
		delete(g.entries, d)
		g.unsentReports = append(g.unsentReports, crashReport{Digest: d, Answered: true})
	}
}

func (g *crashGuard) addCrash(m crashReport, now time.Time) {
	e, ok := g.entries[m.Digest]
	if !ok || !now.Before(e.expires) {
		g.evictEntries(now)
		e = &crashEntry{runners: map[string]bool{}}
		g.entries[m.Digest] = e
	}
	e.runners[m.Runner+" "+strconv.FormatInt(m.Start, 10)] = true
	e.expires = now.Add(crashRetention)
}

func (g *crashGuard) evictEntries(now time.Time) {
	if len(g.entries) < maxCrashEntries {
		return
	}
	for d, e := range g.entries {
		if !now.Before(e.expires) || len(e.runners) < maxCrashes {
			delete(g.entries, d)
		}
	}
	if len(g.entries) >= maxCrashEntries {
		clear(g.entries)
	}
}

// takeReports returns what peers have not been told.
func (g *crashGuard) takeReports() []crashReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.unsentReports
	g.unsentReports = nil
	return out
}

// applyReports takes in what a peer told.
func (g *crashGuard) applyReports(now time.Time, messages []crashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		if m.Answered {
			delete(g.entries, m.Digest)
			continue
		}
		g.addCrash(m, now)
	}
}

package gateway

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

const (
	// crashRetention is how long a request that was in flight during crashes is recorded.
	crashRetention = time.Minute
	// maxCrashEntries bounds the recorded requests.
	maxCrashEntries = 4096
	// lossConfirmWindow is how long after the loss of a connection the termination of its runner
	// counts as the cause of the loss. A restart or an expired registry entry becomes visible
	// within a few heartbeats.
	lossConfirmWindow = 6 * time.Second
	// maxPendingLosses bounds the lost connections for which the termination of the runner is
	// not confirmed yet.
	maxPendingLosses = 1024
)

// crashReport informs peers of a request that was in flight when a runner terminated, or, with
// Answered set, that a runner completed the request.
type crashReport struct {
	Digest quarantine.Digest `json:"digest"`
	Runner string            `json:"runner"`
	// Start distinguishes incarnations of a runner with the same id.
	Start    int64 `json:"start"`
	Answered bool  `json:"answered,omitempty"`
}

// crashGuard detects requests that were in flight when several runners terminated, so that they
// can be refused. Clients retry a request that crashes its runner; it would crash one runner after
// another. A crashGuard is safe for concurrent use.
type crashGuard struct {
	log *zap.Logger

	mu      sync.Mutex
	entries map[quarantine.Digest]*crashEntry
	// unsentReports holds the reports that were not sent to peers yet.
	unsentReports []crashReport
	// pendingLosses holds connections that were lost while a request was executing. They count
	// only once their runner is known to have terminated, because connections are also lost for
	// other reasons.
	pendingLosses []connectionLoss
}

type connectionLoss struct {
	digest quarantine.Digest
	// requestID, promptParts and firstEvent describe the request for the log: firstEvent is set if
	// the attempt had received an event.
	requestID   string
	promptParts []string
	firstEvent  bool
	runner      port.Runner
	at          time.Time
}

type crashEntry struct {
	// runners holds the runners that terminated during the request, by id and start time.
	runners map[string]bool
	expires time.Time
}

// maxCrashes is the number of runners that may terminate during a request before it is refused.
// A single crash can be unrelated to the request: all requests in flight at the runner are lost
// with it.
const maxCrashes = 2

func newCrashGuard(log *zap.Logger) *crashGuard {
	return &crashGuard{log: log, entries: map[quarantine.Digest]*crashEntry{}}
}

// digestOf identifies a request by its content, not by its id, which changes with each attempt
// of a client. Requests without a body have no digest: many clients send identical ones, and
// all of them would be refused after two crashes that are unrelated to them.
func digestOf(r *port.ForwardRequest) quarantine.Digest {
	if len(r.Body) == 0 {
		return ""
	}
	return quarantine.DigestOf(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// blocked reports whether too many runners terminated during a request.
func (g *crashGuard) blocked(d quarantine.Digest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[d]
	return ok && now.Before(e.expires) && len(e.runners) >= maxCrashes
}

// recordLoss records that a connection was lost while a runner executed a request.
func (g *crashGuard) recordLoss(l connectionLoss) {
	if l.digest == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingLosses) >= maxPendingLosses {
		g.pendingLosses = g.pendingLosses[1:]
	}
	g.pendingLosses = append(g.pendingLosses, l)
}

// confirmFromRunners confirms losses at runners that have disappeared or restarted since. The
// disappearance of a runner that was draining is expected and confirms nothing.
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

// confirmLosses converts the pending losses for which confirmed returns true into crash entries,
// and removes the losses that are older than lossConfirmWindow.
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
		g.log.Warn("runner terminated during a request", zap.String("runner", l.runner.ID), zap.Int64("started-ms", l.runner.StartedMS),
			zap.String(jsonlog.FieldRequestID, l.requestID), zap.Bool("first-event-received", l.firstEvent),
			zap.Strings("prompt-parts", l.promptParts), zap.Duration("lost-before", now.Sub(l.at)))
		m := crashReport{Digest: l.digest, Runner: l.runner.ID, Start: l.runner.StartedMS}
		g.addCrash(m, now)
		g.unsentReports = append(g.unsentReports, m)
		return true
	})
}

// clearRequest removes the records of a request that a runner completed.
func (g *crashGuard) clearRequest(d quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingLosses = slices.DeleteFunc(g.pendingLosses, func(l connectionLoss) bool { return l.digest == d })
	if _, ok := g.entries[d]; ok {
		delete(g.entries, d)
		g.unsentReports = append(g.unsentReports, crashReport{Digest: d, Answered: true})
	}
}

// addCrash records a crash of a runner during a request. g.mu must be held.
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

// evictEntries makes room for an entry once there are maxCrashEntries: it removes expired entries
// and those of requests that are not blocked, or all entries if that is not enough. g.mu must be
// held.
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

// takeReports returns and clears the reports that were not sent to peers yet.
func (g *crashGuard) takeReports() []crashReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.unsentReports
	g.unsentReports = nil
	return out
}

// applyReports applies the reports of a peer.
func (g *crashGuard) applyReports(now time.Time, reports []crashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range reports {
		if m.Answered {
			delete(g.entries, m.Digest)
			continue
		}
		g.addCrash(m, now)
	}
}

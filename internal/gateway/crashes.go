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
	// crashHold is how long a request that was in flight at crashes is remembered.
	crashHold = time.Minute
	// maxCrashEntries bounds the requests that are remembered.
	maxCrashEntries = 4096
	// crashEvidence is how long after a lost connection the end of its runner is taken
	// as the cause: a restart or a lapsed entry shows within some heartbeats.
	crashEvidence = 6 * time.Second
	// maxLosses bounds the lost connections that wait for evidence.
	maxLosses = 1024
)

// crashMessage tells peers of a request that was in flight as a runner ended.
type crashMessage struct {
	Digest quarantine.Digest `json:"digest"`
	Runner string            `json:"runner"`
	// Start tells runs of a runner apart that have the same id.
	Start    int64 `json:"start"`
	AnswerOK bool  `json:"answered,omitempty"`
}

// crashGuard refuses requests that were in flight at the ends of several runners: a
// request that crashes each runner that begins it comes again and again.
type crashGuard struct {
	mu      sync.Mutex
	entries map[quarantine.Digest]*crashEntry
	report  []crashMessage
	// losses holds connections that ended while a request ran. They count once their
	// runner is seen to have ended, because connections also end for other reasons.
	losses []loss
}

type loss struct {
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

// lost notes that a connection ended while a runner ran a request.
func (g *crashGuard) lost(d quarantine.Digest, r port.Runner, now time.Time) {
	if d == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.losses) >= maxLosses {
		g.losses = g.losses[1:]
	}
	g.losses = append(g.losses, loss{digest: d, runner: r, at: now})
}

// observe confirms losses at runners that are gone or have started again since.
func (g *crashGuard) observe(runners []port.Runner, now time.Time) {
	started := make(map[string]int64, len(runners))
	for _, r := range runners {
		started[r.ID] = r.StartedMS
	}
	g.resolve(now, func(l loss) bool {
		start, ok := started[l.runner.ID]
		return !ok && !l.runner.Draining || ok && start != l.runner.StartedMS
	})
}

// ended confirms losses at a runner that refuses connections.
func (g *crashGuard) ended(runner string, now time.Time) {
	g.resolve(now, func(l loss) bool { return l.runner.ID == runner })
}

// resolve turns the losses that confirmed accepts into entries, and forgets old ones.
func (g *crashGuard) resolve(now time.Time, confirmed func(loss) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses = slices.DeleteFunc(g.losses, func(l loss) bool {
		if now.Sub(l.at) > crashEvidence {
			return true
		}
		if !confirmed(l) {
			return false
		}
		m := crashMessage{Digest: l.digest, Runner: l.runner.ID, Start: l.runner.StartedMS}
		g.note(m, now)
		g.report = append(g.report, m)
		return true
	})
}

// answered clears a request that a runner completed.
func (g *crashGuard) answered(d quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses = slices.DeleteFunc(g.losses, func(l loss) bool { return l.digest == d })
	if _, ok := g.entries[d]; ok {
		delete(g.entries, d)
		g.report = append(g.report, crashMessage{Digest: d, AnswerOK: true})
	}
}

func (g *crashGuard) note(m crashMessage, now time.Time) {
	e, ok := g.entries[m.Digest]
	if !ok || !now.Before(e.expires) {
		g.makeRoom(now)
		e = &crashEntry{runners: map[string]bool{}}
		g.entries[m.Digest] = e
	}
	e.runners[m.Runner+" "+strconv.FormatInt(m.Start, 10)] = true
	e.expires = now.Add(crashHold)
}

func (g *crashGuard) makeRoom(now time.Time) {
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

// unreported returns what peers have not been told.
func (g *crashGuard) unreported() []crashMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.report
	g.report = nil
	return out
}

// heard takes in what a peer told.
func (g *crashGuard) heard(now time.Time, messages []crashMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range messages {
		if m.AnswerOK {
			delete(g.entries, m.Digest)
			continue
		}
		g.note(m, now)
	}
}

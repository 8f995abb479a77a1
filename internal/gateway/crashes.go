package gateway

import (
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
)

// crashMessage tells peers of a request that was in flight as a runner ended.
type crashMessage struct {
	Digest   quarantine.Digest `json:"digest"`
	Runner   string            `json:"runner"`
	Start    string            `json:"start"`
	AnswerOK bool              `json:"answered,omitempty"`
}

// crashGuard refuses requests that were in flight at the ends of several runners: a
// request that crashes each runner that begins it comes again and again.
type crashGuard struct {
	mu      sync.Mutex
	entries map[quarantine.Digest]*crashEntry
	report  []crashMessage
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
// with each attempt of a client.
func digestOf(r *port.ForwardRequest) quarantine.Digest {
	return quarantine.DigestOf(r.Method+" "+r.Host+r.Target, string(r.Body))
}

// blocked tells whether a request has taken down too many runners.
func (g *crashGuard) blocked(d quarantine.Digest, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.entries[d]
	return ok && now.Before(e.expires) && len(e.runners) >= maxCrashes
}

// lost notes that a runner's connection ended while it ran a request.
func (g *crashGuard) lost(d quarantine.Digest, r port.Runner, now time.Time) {
	m := crashMessage{Digest: d, Runner: r.ID, Start: r.Address}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(m, now)
	g.report = append(g.report, m)
}

// answered clears a request that a runner completed.
func (g *crashGuard) answered(d quarantine.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
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
	e.runners[m.Runner+" "+m.Start] = true
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

package gateway

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

const (
	// crashRetention is how long a trait is recorded after a crash, and how long it is blocked at
	// first. Each crash after the end of a block doubles the time, up to maxBlock.
	crashRetention = time.Minute
	maxBlock       = time.Hour
	// maxCrashEntries bounds the recorded traits.
	maxCrashEntries = 4096
	// lossConfirmWindow is how long after the loss of a connection the termination of its runner
	// counts as the cause of the loss. A restart or an expired registry entry becomes visible
	// within a few heartbeats.
	lossConfirmWindow = 6 * time.Second
	// maxPendingLosses bounds the lost connections for which the termination of the runner is
	// not confirmed yet.
	maxPendingLosses = 1024
	// maxCrashes is the number of runners that may terminate during requests with a trait before
	// such requests are refused. A single crash can be unrelated to the request: all requests in
	// flight at the runner are lost with it.
	maxCrashes = 2
	// crashSpacing is the time between crashes that count separately against a prompt part.
	// Runners that terminate together, as when a host fails, hold the same popular parts.
	crashSpacing = 250 * time.Millisecond
	// completionMemory is how long completed requests are remembered at least: a loss that is
	// confirmed late counts against no trait of a request that completed since.
	completionMemory = 2 * lossConfirmWindow
	// maxCompletions bounds the traits that are remembered for each completionMemory.
	maxCompletions = 8192
)

// crashTrait is a property that requests have in common and that may crash runners: the content of
// a request, or a part of its prompt.
type crashTrait string

// partTraitPrefix distinguishes the traits of prompt parts from those of contents.
const partTraitPrefix = "part "

// isPart reports whether the trait is a prompt part.
func (t crashTrait) isPart() bool { return strings.HasPrefix(string(t), partTraitPrefix) }

// crashTraits holds the traits of one request.
type crashTraits struct {
	// content identifies the request by its content, not by its id, which changes with each
	// attempt of a client. It is empty for requests without a body: many clients send identical
	// ones, and all of them would be refused after two crashes that are unrelated to them.
	content crashTrait
	// parts are the prompt parts that other requests may share: all but the last one.
	parts []crashTrait
}

// traitsOf returns the traits of a request.
func traitsOf(r *port.ForwardRequest) crashTraits {
	var t crashTraits
	if len(r.Body) > 0 {
		t.content = crashTrait(quarantine.DigestOf(r.Method+" "+r.Host+r.Target, string(r.Body)))
	}
	if r.Prompt != nil {
		for _, part := range r.Prompt.Parts[:max(0, len(r.Prompt.Parts)-1)] {
			t.parts = append(t.parts, crashTrait(partTraitPrefix+r.Prompt.Model+" "+part.ID))
		}
	}
	return t
}

// all returns all traits.
func (t crashTraits) all() []crashTrait {
	if t.content == "" {
		return t.parts
	}
	return append([]crashTrait{t.content}, t.parts...)
}

// crashReport informs peers of a crash during a request with a trait, or, with Answered set, that a
// runner completed such a request.
type crashReport struct {
	// Trait has the JSON name that peers of earlier versions read.
	Trait  crashTrait `json:"digest"`
	Runner string     `json:"runner"`
	// Start distinguishes incarnations of a runner with the same id.
	Start int64 `json:"start"`
	// AgeMS is how long before the report the connection was lost, in milliseconds.
	AgeMS    int64 `json:"age,omitempty"`
	Answered bool  `json:"answered,omitempty"`
}

// crashGuard detects traits of requests that were in flight when several runners terminated, so
// that requests with them can be refused. Clients retry a request that crashes its runner, and
// different requests may share the part that does it; they would crash one runner after another.
// A trait is cleared once a request with it completes. A crashGuard is safe for concurrent use.
type crashGuard struct {
	log *zap.Logger

	mu      sync.Mutex
	entries map[crashTrait]*crashEntry
	// unsentReports holds the reports that were not sent to peers yet.
	unsentReports []crashReport
	// pendingLosses holds connections that were lost while a request was executing. They count
	// only once their runner is known to have terminated, because connections are also lost for
	// other reasons.
	pendingLosses []connectionLoss
	// completions holds when requests with a trait last completed. Traits move to
	// earlierCompletions after completionMemory, and are forgotten after twice that.
	completions, earlierCompletions map[crashTrait]time.Time
	completionsSince                time.Time
}

type connectionLoss struct {
	traits crashTraits
	// requestID and promptParts describe the request for the log. firstEvent is set if the attempt
	// had received an event: then its prompt parts are not the cause, because the runner had begun
	// to generate before it terminated.
	requestID   string
	promptParts []string
	firstEvent  bool
	runner      port.Runner
	at          time.Time
}

// suspects returns the traits that may have caused the loss.
func (l *connectionLoss) suspects() []crashTrait {
	if l.firstEvent {
		return crashTraits{content: l.traits.content}.all()
	}
	return l.traits.all()
}

// crashEntry records the crashes of one trait.
type crashEntry struct {
	// runners holds the runners that terminated, by id and start time.
	runners map[string]bool
	// counted are the crashes that count, at most maxCrashes.
	counted []crashReport
	// countedAt are the times of the counted crashes.
	countedAt []time.Time
	// blockFor is the length of the last block, 0 if there was none.
	blockFor     time.Duration
	blockedUntil time.Time
	expires      time.Time
}

func newCrashGuard(log *zap.Logger) *crashGuard {
	return &crashGuard{
		log: log, entries: map[crashTrait]*crashEntry{},
		completions: map[crashTrait]time.Time{}, earlierCompletions: map[crashTrait]time.Time{},
	}
}

// blocked reports whether too many runners terminated during requests with one of the traits.
func (g *crashGuard) blocked(t crashTraits, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, trait := range t.all() {
		if e, ok := g.entries[trait]; ok && now.Before(e.blockedUntil) {
			return true
		}
	}
	return false
}

// recordLoss records that a connection was lost while a runner executed a request.
func (g *crashGuard) recordLoss(l connectionLoss) {
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
		for _, trait := range l.suspects() {
			if g.completedSince(trait, l.at) {
				continue
			}
			m := crashReport{Trait: trait, Runner: l.runner.ID, Start: l.runner.StartedMS, AgeMS: now.Sub(l.at).Milliseconds()}
			g.addCrash(m, l.at, now)
			g.unsentReports = append(g.unsentReports, m)
		}
		return true
	})
}

// recordCompletion clears the traits of a request that a runner completed.
func (g *crashGuard) recordCompletion(t crashTraits, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.completionsSince) >= completionMemory || len(g.completions) >= maxCompletions {
		g.earlierCompletions, g.completions = g.completions, map[crashTrait]time.Time{}
		g.completionsSince = now
	}
	for _, trait := range t.all() {
		g.completions[trait] = now
		if _, ok := g.entries[trait]; ok {
			delete(g.entries, trait)
			g.unsentReports = append(g.unsentReports, crashReport{Trait: trait, Answered: true})
		}
	}
}

// completedSince reports whether this daemon remembers that a request with a trait completed after
// a time. g.mu must be held.
func (g *crashGuard) completedSince(t crashTrait, at time.Time) bool {
	return g.completions[t].After(at) || g.earlierCompletions[t].After(at)
}

// addCrash records a crash at a time. g.mu must be held.
func (g *crashGuard) addCrash(m crashReport, at, now time.Time) {
	e, ok := g.entries[m.Trait]
	if !ok || !now.Before(e.expires) {
		g.evictEntries(now)
		e = &crashEntry{runners: map[string]bool{}}
		g.entries[m.Trait] = e
	}
	runner := m.Runner + " " + strconv.FormatInt(m.Start, 10)
	if e.runners[runner] {
		return
	}
	e.runners[runner] = true
	together := slices.ContainsFunc(e.countedAt, func(t time.Time) bool { return at.Sub(t).Abs() < crashSpacing })
	if len(e.counted) < maxCrashes && !(m.Trait.isPart() && together) {
		e.counted = append(e.counted, m)
		e.countedAt = append(e.countedAt, at)
	}
	if len(e.counted) >= maxCrashes && !now.Before(e.blockedUntil) {
		e.blockFor = min(maxBlock, max(crashRetention, 2*e.blockFor))
		e.blockedUntil = now.Add(e.blockFor)
		g.log.Warn("requests are blocked because runners terminated during them", zap.String("trait", string(m.Trait)),
			zap.Int("runners", len(e.runners)), zap.Duration("block", e.blockFor))
	}
	e.expires = now.Add(max(crashRetention, 2*e.blockFor))
}

// evictEntries makes room for an entry once there are maxCrashEntries: it removes expired entries
// and those of traits that are not blocked, or all entries if that is not enough. g.mu must be
// held.
func (g *crashGuard) evictEntries(now time.Time) {
	if len(g.entries) < maxCrashEntries {
		return
	}
	for t, e := range g.entries {
		if !now.Before(e.expires) || !now.Before(e.blockedUntil) {
			delete(g.entries, t)
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

// allReports returns reports of all crashes that count, for a peer that knows none of them.
func (g *crashGuard) allReports(now time.Time) []crashReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []crashReport
	for _, e := range g.entries {
		for i, m := range e.counted {
			m.AgeMS = now.Sub(e.countedAt[i]).Milliseconds()
			out = append(out, m)
		}
	}
	return out
}

// applyReports applies the reports of a peer. It reports to all peers that a request with the trait
// completed, if this daemon has seen that since the crash.
func (g *crashGuard) applyReports(now time.Time, reports []crashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range reports {
		at := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		switch {
		case m.Answered:
			delete(g.entries, m.Trait)
		case g.completedSince(m.Trait, at):
			g.unsentReports = append(g.unsentReports, crashReport{Trait: m.Trait, Answered: true})
		default:
			g.addCrash(m, at, now)
		}
	}
}

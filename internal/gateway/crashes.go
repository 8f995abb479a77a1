package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

const (
	// lossConfirmWindow is how long after the loss of a connection the termination of its runner
	// counts as the cause of the loss. A restart or an expired registry entry becomes visible
	// within a few heartbeats.
	lossConfirmWindow = 6 * time.Second
	// maxPendingLosses bounds the lost connections for which the termination of the runner is
	// not confirmed yet.
	maxPendingLosses = 1024
)

// traitsOf returns the traits of a request. The last part of a prompt belongs to one request or
// session, so that it is no trait of its own.
func traitsOf(r *port.ForwardRequest) crashes.Traits {
	t := crashes.Traits{Common: len(r.Body) == 0}
	var subject strings.Builder
	subject.WriteString(r.Method + " " + r.Host + r.Target)
	if r.Prompt != nil {
		for i, part := range r.Prompt.Parts {
			subject.WriteString(" " + part.ID)
			if i < len(r.Prompt.Parts)-1 {
				t.Parts = append(t.Parts, crashes.PartTrait(r.Prompt.Model, part.ID))
			}
		}
	}
	t.Content = crashes.Trait(quarantine.DigestOf(subject.String(), string(r.Body)))
	return t
}

// crashGuard detects traits of requests that were in flight when several runners terminated, so
// that requests with them can be refused. Clients retry a request that crashes its runner, and
// different requests may share the part that does it; they would crash one runner after another.
// A trait is cleared once a request with it completes, or begins to be answered; see trials. A crashGuard is safe for concurrent use.
type crashGuard struct {
	log *zap.Logger

	mu       sync.Mutex
	evidence *crashes.Evidence
	// unsentReports holds the reports that were not sent to peers yet.
	unsentReports []crashes.Report
	// told holds the last completion of each trait that all daemons were told of, by this one or by another.
	told map[crashes.Trait]time.Time
	// changed holds the traits whose block has changed or ended since takeChanged.
	changed map[crashes.Trait]bool
	// pendingLosses holds connections that were lost while a request was executing. They count
	// only once their runner is known to have terminated, because connections are also lost for
	// other reasons.
	pendingLosses []connectionLoss
}

type connectionLoss struct {
	traits crashes.Traits
	// requestID and promptParts describe the request for the log. firstEvent is set if the attempt
	// had received an event: then its prompt parts are not the cause, because the runner had begun
	// to generate before it terminated.
	requestID   string
	promptParts []string
	firstEvent  bool
	// retry is set if another runner had failed the request before.
	retry  bool
	runner port.Runner
	at     time.Time
}

// suspects returns the traits that may have caused the loss.
func (l *connectionLoss) suspects() crashes.Traits {
	if l.firstEvent {
		return crashes.Traits{Content: l.traits.Content, Common: l.traits.Common}
	}
	return l.traits
}

func newCrashGuard(log *zap.Logger) *crashGuard {
	return &crashGuard{log: log, evidence: crashes.NewEvidence(), changed: map[crashes.Trait]bool{}, told: map[crashes.Trait]time.Time{}}
}

// decide returns how a request is handled and, unless it is allowed, because of which trait.
func (g *crashGuard) decide(t crashes.Traits, now time.Time) (crashes.Decision, crashes.Trait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Decide(t, now)
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

// confirmReported confirms losses at the starts of runners that peers have reported as terminated.
func (g *crashGuard) confirmReported(reports []crashes.Report, now time.Time) {
	terminated := map[string]int64{}
	for _, r := range reports {
		if r.Runner != "" {
			terminated[r.Runner] = r.Start
		}
	}
	if len(terminated) == 0 {
		return
	}
	g.confirmLosses(now, func(l connectionLoss) bool {
		start, ok := terminated[l.runner.ID]
		return ok && start == l.runner.StartedMS
	})
}

// confirmLosses records the pending losses for which confirmed returns true as crashes, and removes
// the losses that are older than lossConfirmWindow.
func (g *crashGuard) confirmLosses(now time.Time, confirmed func(connectionLoss) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var losses []crashes.Loss
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
		loss, _, ok := g.evidence.Accept(crashes.Loss{Traits: l.suspects(), Runner: l.runner.ID, Start: l.runner.StartedMS, At: l.at, Retry: l.retry, Began: l.firstEvent})
		if ok {
			losses = append(losses, loss)
			g.unsentReports = append(g.unsentReports, crashes.ReportOf(loss, now))
		}
		return true
	})
	g.addLosses(losses, now)
}

// addLosses adds losses to the evidence and logs the blocks that follow. g.mu must be held.
func (g *crashGuard) addLosses(losses []crashes.Loss, now time.Time) {
	if len(losses) == 0 {
		return
	}
	g.recordBlocks(g.evidence.Add(losses, now))
}

// recordBlocks logs blocks that are new or count more crashes. g.mu must be held.
func (g *crashGuard) recordBlocks(blocks []crashes.Block) {
	for _, b := range blocks {
		g.logBlock("requests are blocked because runners terminated during them", b)
		g.changed[b.Trait] = true
	}
}

func (g *crashGuard) logBlock(message string, b crashes.Block) {
	g.log.Warn(message, zap.String("trait", string(b.Trait)), zap.Int("crashes", b.Crashes), zap.Time("last-crash", b.LastCrash),
		zap.Time("next-trial", b.NextTrial))
}

// recordCompletion clears the traits of a request that a runner completed.
func (g *crashGuard) recordCompletion(t crashes.Traits, now time.Time) {
	g.clear(now, t.All())
}

// recordFirstEvent clears the prompt parts of a request that a runner has begun to answer.
func (g *crashGuard) recordFirstEvent(t crashes.Traits, now time.Time) { g.clear(now, t.Parts) }

// clear records that a runner completed or began to answer a request with the given traits, and
// reports to peers which suspects this clears.
func (g *crashGuard) clear(now time.Time, traits []crashes.Trait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared := g.evidence.Complete(traits, now, now)
	if len(cleared) > 0 {
		g.recordBlocks(g.evidence.Reconsider(now))
	}
	for _, t := range cleared {
		g.changed[t] = true
		g.log.Info("trait is no suspect: a runner answered a request with it", zap.String("trait", string(t)))
		g.unsentReports = append(g.unsentReports, crashes.CompletionReport(t, now, now))
		g.noteTold(t, now)
	}
}

// takeReports returns and clears the reports that were not sent to peers yet.
func (g *crashGuard) takeReports() []crashes.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.unsentReports
	g.unsentReports = nil
	return out
}

// allReports returns reports of all losses and blocks, for a peer that knows none of them. The blocks
// come last, as the first reports are dropped if there are too many.
func (g *crashGuard) allReports(now time.Time) []crashes.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []crashes.Report
	for _, l := range g.evidence.Losses() {
		out = append(out, crashes.ReportOf(l, now))
	}
	for _, b := range g.evidence.Blocks() {
		out = append(out, crashes.BlockReport(b, now))
	}
	return out
}

// maxTold bounds the traits whose last reported completion is remembered. Without it a completion may be reported once more.
const maxTold = 4096

// noteTold records that all daemons were told of the completion of a trait. g.mu must be held.
func (g *crashGuard) noteTold(t crashes.Trait, at time.Time) {
	if len(g.told) >= maxTold {
		clear(g.told)
	}
	if at.After(g.told[t]) {
		g.told[t] = at
	}
}

// reportCompletion reports to all peers that a request with a trait completed, unless they were told of a completion after
// the crash. Each daemon hears of each loss, so that without this the reports on a part that most requests have in common
// would multiply. g.mu must be held.
func (g *crashGuard) reportCompletion(t crashes.Trait, crashed, now time.Time) {
	if g.told[t].After(crashed) {
		return
	}
	last := g.evidence.LastCompletion(t)
	g.unsentReports = append(g.unsentReports, crashes.CompletionReport(t, last, now))
	g.noteTold(t, last)
}

// applyReports applies the reports of a peer. It reports to all peers that a request with a trait
// completed, if this daemon has seen that since the crash.
func (g *crashGuard) applyReports(now time.Time, reports []crashes.Report) {
	g.confirmReported(reports, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var losses []crashes.Loss
	cleared := false
	for _, r := range reports {
		switch {
		case r.Answered:
			for _, t := range g.evidence.Complete([]crashes.Trait{r.Trait}, r.At(now), now) {
				g.changed[t], cleared = true, true
			}
			g.noteTold(r.Trait, r.At(now))
			continue
		case r.Crashes > 0:
			g.merge(r.Block(now), now)
			continue
		}
		reported := r.Loss(now)
		loss, completed, ok := g.evidence.Accept(reported)
		for _, t := range completed {
			g.reportCompletion(t, reported.At, now)
		}
		if ok {
			losses = append(losses, loss)
		}
	}
	if cleared {
		g.recordBlocks(g.evidence.Reconsider(now))
	}
	g.addLosses(losses, now)
}

// merge adds a block that another process decided, or reports to all peers that a request with the
// trait completed. g.mu must be held.
func (g *crashGuard) merge(b crashes.Block, now time.Time) {
	changed, sound := g.evidence.Merge(b, now)
	switch {
	case changed:
		g.logBlock("requests are blocked because a peer or an earlier process observed crashes", b)
	case sound:
		g.reportCompletion(b.Trait, b.LastCrash, now)
	}
}

// restore adds the blocks that earlier processes have recorded.
func (g *crashGuard) restore(blocks []crashes.Block, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range blocks {
		g.merge(b, now)
	}
}

// takeChanged returns the blocks that have changed since the last call, by trait; nil for a trait
// that is no longer blocked.
func (g *crashGuard) takeChanged() map[crashes.Trait]*crashes.Block {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.changed) == 0 {
		return nil
	}
	out := make(map[crashes.Trait]*crashes.Block, len(g.changed))
	for t := range g.changed {
		out[t] = nil
	}
	for _, b := range g.evidence.Blocks() {
		if _, ok := out[b.Trait]; ok {
			out[b.Trait] = &b
		}
	}
	clear(g.changed)
	return out
}

// blocks returns all blocks, for the metrics.
func (g *crashGuard) blocks() []crashes.Block {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Blocks()
}

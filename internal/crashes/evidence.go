package crashes

import (
	"maps"
	"slices"
	"time"
)

// maxLosses bounds the recorded losses. The oldest one is dropped first: it says least about the
// requests that arrive now.
const maxLosses = 1024

// Evidence holds what a daemon knows of crashes. It is not safe for concurrent use.
type Evidence struct {
	// losses holds the losses of the last retention, with the traits that no completed request
	// has cleared since.
	losses []Loss
	// known holds the keys of the losses, accused the number of losses with a trait.
	known   map[lossKey]bool
	accused map[Trait]int
	// droppedUntil is the time of the latest loss that was dropped because there were too many.
	droppedUntil time.Time
	blocks       map[Trait]*Block
	completions  completions
}

// NewEvidence returns an Evidence that knows nothing.
func NewEvidence() *Evidence {
	return &Evidence{known: map[lossKey]bool{}, accused: map[Trait]int{}, blocks: map[Trait]*Block{}, completions: newCompletions()}
}

// Decision says how a request is handled.
type Decision int

// Decisions on a request.
const (
	// Allow means that the request runs normally.
	Allow Decision = iota
	// Refuse means that the request must not run.
	Refuse
	// Trial means that the request may run if no other request with the trait is tried in the
	// fleet, and only at one runner.
	Trial
)

// Decide returns how a request with the given traits is handled and, unless it is allowed, the
// blocked trait that decides it. A request that other traits may cause to crash its runner, too, is
// tried much later than one that tells only of one.
func (e *Evidence) Decide(t Traits, now time.Time) (Decision, Trait) {
	if len(e.blocks) == 0 {
		return Allow, ""
	}
	var deciding *Block
	suspects := 0
	for _, trait := range t.All() {
		b, ok := e.blocks[trait]
		if ok && (deciding == nil || b.NextTrial.After(deciding.NextTrial)) {
			deciding = b
		}
		if ok || deciding != nil && e.accused[trait] > 0 {
			suspects++
		}
	}
	switch {
	case deciding == nil:
		return Allow, ""
	case now.Before(deciding.NextTrial.Add(time.Duration(suspects-1) * jointTrialDelay)):
		return Refuse, deciding.Trait
	}
	return Trial, deciding.Trait
}

// Blocks returns all blocks.
func (e *Evidence) Blocks() []Block {
	out := make([]Block, 0, len(e.blocks))
	for _, b := range e.blocks {
		out = append(out, *b)
	}
	return out
}

// Merge adds the block of a peer or of an earlier process. changed reports whether it is new or counts
// more crashes than the known one. sound is set if this daemon remembers a completion since the last
// crash; the block is ignored then, and the caller reports the completion.
func (e *Evidence) Merge(b Block, now time.Time) (changed, sound bool) {
	if b.Trait == "" || b.Crashes < minCrashes || b.forgotten(now) {
		return false, false
	}
	if last := e.completions.lastOf(b.Trait); !last.IsZero() && b.refutedBy(last) {
		return false, true
	}
	known, ok := e.blocks[b.Trait]
	switch {
	case !ok:
		e.addBlock(&b)
		return true, false
	case b.Crashes <= known.Crashes:
		return false, false
	}
	*known = b
	return true, false
}

// Accept removes from a loss the traits with which requests have completed since, and reports
// whether a suspect is left. It returns the removed traits.
func (e *Evidence) Accept(l Loss) (rest Loss, cleared []Trait, ok bool) {
	rest = l.withoutTraits(func(t Trait) bool {
		if !e.completions.lastOf(t).After(l.At) {
			return false
		}
		cleared = append(cleared, t)
		return true
	})
	return rest, cleared, !rest.suspectless()
}

// Add records losses that Accept has returned, and returns the blocks that are new or count more
// crashes. Losses that are known already, or older than retention, change nothing.
func (e *Evidence) Add(losses []Loss, now time.Time) []Block {
	e.expire(now)
	var changed []Block
	suspects := false
	for _, l := range losses {
		key := l.key()
		if e.known[key] || now.Sub(l.At) >= retention {
			continue
		}
		e.known[key] = true
		e.losses = append(e.losses, l)
		for _, t := range l.Traits.All() {
			e.accused[t]++
			suspects = suspects || e.accused[t] >= minCrashes
		}
		if b, ok := e.confirm(l, now); ok {
			changed = append(changed, b)
		}
	}
	if extra := len(e.losses) - maxLosses; extra > 0 {
		for _, l := range e.losses[:extra] {
			if l.At.After(e.droppedUntil) {
				e.droppedUntil = l.At
			}
		}
		e.setLosses(e.losses[extra:])
	}
	if !suspects {
		return changed
	}
	return append(changed, e.attribute(now)...)
}

// confirm counts the loss of a request with a blocked trait whose earlier losses are no longer
// recorded: that of the content, or else that of the last part in the prompt, which explains the loss
// as well as the earlier parts do. The result is false if the request has no such trait.
func (e *Evidence) confirm(l Loss, now time.Time) (Block, bool) {
	candidates := append([]Trait{l.Traits.Content}, l.Traits.Parts...)
	slices.Reverse(candidates[1:])
	for _, trait := range candidates {
		b, ok := e.blocks[trait]
		if !ok || e.holdsLossesOf(b, now) {
			continue
		}
		if l.At.Sub(b.LastCrash) >= trialSpacing {
			b.setCrashes(b.Crashes+1, b.firstCrash, l.At, now)
		}
		return *b, true
	}
	return Block{}, false
}

// Complete records that a runner completed a request, or began to answer it, with the given traits
// at a time. It returns the traits that this clears: those with losses before it or with a block.
func (e *Evidence) Complete(traits []Trait, at, now time.Time) []Trait {
	var cleared []Trait
	for _, t := range traits {
		e.completions.add(t, at, now)
		if e.clear(t, at) {
			cleared = append(cleared, t)
		}
	}
	return cleared
}

// Reconsider returns the blocks that follow from the recorded losses after traits were cleared: others
// may explain now what a cleared one did.
func (e *Evidence) Reconsider(now time.Time) []Block {
	e.expire(now)
	if len(e.losses) < minCrashes {
		return nil
	}
	return e.attribute(now)
}

// clear removes the losses with a trait up to a time, and its block if a completion at that time
// refutes it. It reports whether there were any.
func (e *Evidence) clear(t Trait, at time.Time) bool {
	b, blocked := e.blocks[t]
	if blocked = blocked && b.refutedBy(at); blocked {
		delete(e.blocks, t)
	}
	if e.accused[t] == 0 {
		return blocked
	}
	before := e.accused[t]
	kept := e.losses[:0:0]
	for _, l := range e.losses {
		if !l.At.After(at) {
			l = l.withoutTraits(func(o Trait) bool { return o == t })
		}
		if !l.suspectless() {
			kept = append(kept, l)
		}
	}
	e.setLosses(kept)
	return blocked || e.accused[t] < before
}

// Losses returns the recorded losses.
func (e *Evidence) Losses() []Loss { return slices.Clone(e.losses) }

// expire removes the losses and blocks that no longer count.
func (e *Evidence) expire(now time.Time) {
	old := func(l Loss) bool { return now.Sub(l.At) >= retention }
	if slices.ContainsFunc(e.losses, old) {
		e.setLosses(slices.DeleteFunc(e.losses, old))
	}
	maps.DeleteFunc(e.blocks, func(_ Trait, b *Block) bool { return b.forgotten(now) })
}

// setLosses replaces the losses.
func (e *Evidence) setLosses(losses []Loss) {
	e.losses = losses
	clear(e.accused)
	clear(e.known)
	for _, l := range losses {
		e.known[l.key()] = true
		for _, t := range l.Traits.All() {
			e.accused[t]++
		}
	}
}

// LastCompletion returns the time of the last remembered completion of a request with a trait; the
// zero time if there is none.
func (e *Evidence) LastCompletion(t Trait) time.Time { return e.completions.lastOf(t) }

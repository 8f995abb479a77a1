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
	// losses holds the losses of the last Retention, with the traits that no completed request
	// has cleared since.
	losses []Loss
	// known holds the keys of the losses, accused the number of losses with a trait.
	known       map[lossKey]bool
	accused     map[Trait]int
	blocks      map[Trait]*Block
	completions completions
}

// NewEvidence returns an Evidence that knows nothing.
func NewEvidence() *Evidence {
	return &Evidence{known: map[lossKey]bool{}, accused: map[Trait]int{}, blocks: map[Trait]*Block{}, completions: newCompletions()}
}

// Blocked returns the trait because of which a request must be refused. The second result is false
// if there is none.
func (e *Evidence) Blocked(t Traits, now time.Time) (Trait, bool) {
	if len(e.blocks) == 0 {
		return "", false
	}
	for _, trait := range t.All() {
		if b, ok := e.blocks[trait]; ok && b.active(now) {
			return trait, true
		}
	}
	return "", false
}

// Suspects returns the number of traits with recorded losses.
func (e *Evidence) Suspects() int { return len(e.accused) }

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

// Add records losses that Accept has returned, and returns the blocks that follow from them. Losses
// that are known already, or older than Retention, change nothing.
func (e *Evidence) Add(losses []Loss, now time.Time) []Block {
	e.expire(now)
	var decided []Block
	suspects := map[Trait]bool{}
	for _, l := range losses {
		key := l.key()
		if e.known[key] || now.Sub(l.At) >= Retention {
			continue
		}
		e.known[key] = true
		e.losses = append(e.losses, l)
		for _, t := range l.Traits.All() {
			e.accused[t]++
			suspects[t] = true
		}
		decided = append(decided, e.blockAgain(l, now)...)
	}
	if extra := len(e.losses) - maxLosses; extra > 0 {
		e.setLosses(e.losses[extra:])
	}
	maps.DeleteFunc(suspects, func(t Trait, _ bool) bool { return e.accused[t] < minCrashes })
	if len(suspects) == 0 {
		return decided
	}
	return append(decided, e.attribute(suspects, now)...)
}

// blockAgain extends the block whose end a loss has followed: that of the content, or else that of
// the last part in the prompt, which explains the loss as well as the earlier parts do.
func (e *Evidence) blockAgain(l Loss, now time.Time) []Block {
	candidates := slices.Clone(l.Traits.Parts)
	slices.Reverse(candidates)
	for _, trait := range append([]Trait{l.Traits.Content}, candidates...) {
		if b, ok := e.blocks[trait]; ok && !l.At.Before(b.Until) && now.Before(b.forgottenAt()) {
			b.extend(l.At, now)
			return []Block{*b}
		}
	}
	return nil
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

// clear removes the losses with a trait up to a time, and its block unless a later loss counts
// against the trait. It reports whether there were any.
func (e *Evidence) clear(t Trait, at time.Time) bool {
	b, blocked := e.blocks[t]
	if blocked = blocked && !b.LastCrash.After(at); blocked {
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
	old := func(l Loss) bool { return now.Sub(l.At) >= Retention }
	if slices.ContainsFunc(e.losses, old) {
		e.setLosses(slices.DeleteFunc(e.losses, old))
	}
	maps.DeleteFunc(e.blocks, func(_ Trait, b *Block) bool { return !now.Before(b.forgottenAt()) })
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

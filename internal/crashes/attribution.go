package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of runners that must have terminated during requests with a trait
	// before it is blocked. A single crash can be unrelated to the request: all requests in flight
	// at the runner are lost with it.
	minCrashes = 2
	// minCrashesAfterSuccess is the same number for a prompt part, or a common content, with which
	// requests are remembered to have completed before: it is likely to have been in flight by
	// chance.
	minCrashesAfterSuccess = 4
	// minBlockedBelow is the number of later parts that must be blocked before an earlier one is
	// blocked in their place. With minBlockedBelowAfterSuccess it holds for a part with which
	// requests are remembered to have completed.
	minBlockedBelow             = 2
	minBlockedBelowAfterSuccess = 3
	// spacing is the time between crashes that count separately against a prompt part or a common
	// content. Runners that terminate together, as when a host fails, hold the same popular ones.
	spacing = 250 * time.Millisecond
)

// attribute blocks those of the suspects that explain the recorded losses, and returns the new
// blocks. Parts come first: a blocked part clears the other requests that were lost with it.
func (e *Evidence) attribute(suspects map[Trait]bool, now time.Time) []Block {
	var decided []Block
	for {
		part, ok := e.likeliestPart(suspects)
		if !ok {
			return append(decided, e.attributeToContents(suspects, now)...)
		}
		decided = append(decided, e.block(part.trait, part.crashes, part.all, now))
	}
}

// attributeToContents blocks the contents that were in flight at several runners whose termination no
// blocked part explains. Unless it is common, a content is that of one request and of its repeats, so
// that no other request suffers.
func (e *Evidence) attributeToContents(suspects map[Trait]bool, now time.Time) []Block {
	explained := e.explainedCrashes()
	losses := map[Trait][]Loss{}
	for _, l := range e.losses {
		if t := l.Traits.Content; suspects[t] && !e.isBlocked(t) && !explained[l.incarnation()] {
			losses[t] = append(losses[t], l)
		}
	}
	var decided []Block
	for t, lost := range losses {
		need, runners := minCrashes, len(crashTimes(lost))
		if lost[0].Traits.Common {
			runners = countCommon(lost)
			if e.completions.count(t) > 0 {
				need = minCrashesAfterSuccess
			}
		}
		if runners >= need {
			decided = append(decided, e.block(t, runners, lost, now))
		}
	}
	return decided
}

// explainedCrashes returns the incarnations of runners that terminated during a request with a
// blocked part.
func (e *Evidence) explainedCrashes() map[incarnation]bool {
	out := map[incarnation]bool{}
	for _, l := range e.losses {
		if slices.ContainsFunc(l.Traits.Parts, e.isBlocked) {
			out[l.incarnation()] = true
		}
	}
	return out
}

// suspectPart is a prompt part and the losses with it.
type suspectPart struct {
	trait Trait
	// depth is the position of the part in the prompt.
	depth int
	// all holds the losses with the part, unexplained those of crashes that no blocked part
	// explains.
	all, unexplained []Loss
	// followers holds what follows the part in the unexplained losses: the next part, or the
	// content after the last part.
	followers map[string]bool
	// blockedBelow holds the blocked parts that follow the part in prompts that were lost.
	blockedBelow map[Trait]bool
	// crashes is the number of crashes that count.
	crashes int
}

// likeliestPart returns the part that explains at best the crashes that no blocked part explains: one
// with which fewer requests have completed, and then one that fewer requests share. All requests
// with a later part hold the earlier ones, so that the later one explains the crashes as well and
// its block refuses fewer requests. If the earlier one was the cause, requests with other later
// parts crash runners, too, and it is blocked then.
func (e *Evidence) likeliestPart(suspects map[Trait]bool) (suspectPart, bool) {
	var best suspectPart
	found := false
	for _, s := range e.suspectParts(suspects) {
		if e.convict(&s) && (!found || e.likelier(s, best)) {
			best, found = s, true
		}
	}
	return best, found
}

// convict reports whether the losses suffice to block a part, and sets the crashes that count. What
// follows the part must differ between them, as otherwise that explains the crashes as well.
func (e *Evidence) convict(s *suspectPart) bool {
	if e.isBlocked(s.trait) {
		return false
	}
	need, needBelow := minCrashes, minBlockedBelow
	if e.completions.count(s.trait) > 0 {
		need, needBelow = minCrashesAfterSuccess, minBlockedBelowAfterSuccess
	}
	if s.crashes = countSpaced(crashTimes(s.unexplained)); s.crashes >= need && len(s.followers) > 1 {
		return true
	}
	s.crashes = countSpaced(crashTimes(s.all))
	return len(s.blockedBelow) >= needBelow
}

// likelier reports whether a explains crashes better than b.
func (e *Evidence) likelier(a, b suspectPart) bool {
	return cmp.Or(
		cmp.Compare(e.completions.count(a.trait), e.completions.count(b.trait)),
		cmp.Compare(b.depth, a.depth),
		cmp.Compare(b.crashes, a.crashes),
		cmp.Compare(a.trait, b.trait),
	) < 0
}

// suspectParts returns those of the suspects that are prompt parts, with their losses.
func (e *Evidence) suspectParts(suspects map[Trait]bool) map[Trait]suspectPart {
	explained := e.explainedCrashes()
	out := map[Trait]suspectPart{}
	for _, l := range e.losses {
		for i, t := range l.Traits.Parts {
			if !suspects[t] {
				continue
			}
			s, ok := out[t]
			if !ok {
				s = suspectPart{trait: t, followers: map[string]bool{}, blockedBelow: map[Trait]bool{}}
			}
			s.depth = max(s.depth, i)
			s.all = append(s.all, l)
			if !explained[l.incarnation()] {
				s.unexplained = append(s.unexplained, l)
				s.followers[l.follower(i)] = true
			}
			for _, later := range l.Traits.Parts[i+1:] {
				if e.isBlocked(later) {
					s.blockedBelow[later] = true
				}
			}
			out[t] = s
		}
	}
	return out
}

// isBlocked reports whether a trait is blocked or remembered as blocked.
func (e *Evidence) isBlocked(t Trait) bool {
	_, ok := e.blocks[t]
	return ok
}

// crashTimes returns when the runners of the losses terminated, in order.
func crashTimes(losses []Loss) []time.Time {
	at := map[incarnation]time.Time{}
	for _, l := range losses {
		if first, ok := at[l.incarnation()]; !ok || l.At.Before(first) {
			at[l.incarnation()] = l.At
		}
	}
	return slices.SortedFunc(maps.Values(at), time.Time.Compare)
}

// countSpaced counts the times, those within spacing as one.
func countSpaced(times []time.Time) int {
	count := 0
	var last time.Time
	for _, t := range times {
		if count == 0 || t.Sub(last) >= spacing {
			count++
			last = t
		}
	}
	return count
}

// countCommon counts the crashes during requests with a common content. Crashes within spacing count
// as one, except that of a runner to which a request was sent after the first one.
func countCommon(losses []Loss) int {
	var chance, retried []Loss
	for _, l := range losses {
		if l.Retry {
			retried = append(retried, l)
		} else {
			chance = append(chance, l)
		}
	}
	return countSpaced(crashTimes(chance)) + len(crashTimes(retried))
}

// block blocks a trait for the first time because of losses of a number of runners.
func (e *Evidence) block(t Trait, runners int, losses []Loss, now time.Time) Block {
	if len(e.blocks) >= maxBlocks {
		e.dropBlock()
	}
	crashed := crashTimes(losses)
	b := &Block{Trait: t, Runners: runners, LastCrash: crashed[len(crashed)-1], For: Retention, Until: now.Add(Retention)}
	e.blocks[t] = b
	return *b
}

// dropBlock drops the block that ends first.
func (e *Evidence) dropBlock() {
	var first *Block
	for _, b := range e.blocks {
		if first == nil || b.Until.Before(first.Until) {
			first = b
		}
	}
	delete(e.blocks, first.Trait)
}

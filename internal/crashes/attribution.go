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
	// minCrashesAfterSuccess is the same number for a prompt part with which requests are remembered
	// to have completed before, and minCommonCrashesAfterSuccess that for a common content: they are
	// likely to have been in flight by chance.
	minCrashesAfterSuccess       = 3
	minCommonCrashesAfterSuccess = 4
	// minCrashesAfterBegin is the number of crashes from which on a content is blocked if a runner had
	// begun to answer the request at one of them.
	minCrashesAfterBegin = 3
	// minCrashesOfOneRequest is the number of runners that must have terminated during one request and
	// its repeats before others with its last shared part are refused.
	minCrashesOfOneRequest = 4
	// minBlamedBelow is the number of later parts that must be blamed before an earlier one is blamed
	// in their place. With minBlamedBelowAfterSuccess it holds for a part with which requests are
	// remembered to have completed.
	minBlamedBelow             = 2
	minBlamedBelowAfterSuccess = 3
	// minRepeated is the number of different successors of a part in repeats of requests that crashed
	// runners from which on the part is blamed.
	minRepeated = 2
	// spacing is the time between crashes that count separately against a prompt part or a common
	// content. Runners that terminate together, as when a host fails, hold the same popular ones.
	spacing = 250 * time.Millisecond
	// trialSpacing is the same time for the crashes that defer the trial of a blocked trait: one that
	// crashes runners crashes several in short order.
	trialSpacing = 50 * time.Millisecond
	// maxFirstTrialCrashes bounds the crashes that defer the first trial of a blocked part.
	maxFirstTrialCrashes = 4
)

// attribution finds the traits that explain the losses of an Evidence. The result depends on the
// losses and completions only, not on the order in which they became known.
type attribution struct {
	*Evidence
	// blamed holds the number of crashes of each trait that explains losses. kept holds the blocked
	// traits whose losses are no longer recorded; they explain losses, too.
	blamed map[Trait]int
	kept   map[Trait]bool
}

// attribute blocks the traits that explain the recorded losses and ends the blocks of those that later
// losses have shown not to. It returns the blocks that are new or count more crashes.
func (e *Evidence) attribute(now time.Time) []Block {
	a := &attribution{Evidence: e, blamed: map[Trait]int{}, kept: map[Trait]bool{}}
	for t, b := range e.blocks {
		a.kept[t] = !e.holdsLossesOf(b, now)
	}
	a.blameBlockedParts()
	a.blameParts()
	a.blameEarlierParts()
	a.blameContents()
	maps.DeleteFunc(e.blocks, func(t Trait, _ *Block) bool { return !a.kept[t] && a.blamed[t] == 0 })
	var changed []Block
	for t, crashes := range a.blamed {
		b, ok := e.blocks[t]
		if !ok {
			b = &Block{Trait: t}
			e.addBlock(b)
		}
		if crashes > b.Crashes {
			times := crashTimes(e.lossesWith(t))
			b.setCrashes(crashes, times[0], times[len(times)-1], now)
			changed = append(changed, *b)
		}
	}
	return changed
}

// blameBlockedParts blames the blocked parts again, unless a later part explains their crashes now.
func (a *attribution) blameBlockedParts() {
	suspects := a.suspectParts()
	for t, b := range a.blocks {
		s := suspects[t]
		if a.kept[t] || s == nil {
			continue
		}
		better := slices.ContainsFunc(slices.Collect(maps.Values(suspects)), func(o *suspectPart) bool {
			return slices.Contains(o.before, t) && o.guilty() && countSpaced(crashTimes(without(s.unexplained, o.trait)), trialSpacing) < s.need
		})
		if better {
			continue
		}
		later := slices.DeleteFunc(crashTimes(a.withoutBlocked(s)), func(at time.Time) bool { return at.Sub(b.LastCrash) < trialSpacing })
		a.blamed[t] = max(b.Crashes+countSpaced(later, trialSpacing), trialCrashes(a.withoutBlocked(s)))
	}
}

// withoutBlocked returns the unexplained losses of a part less those of crashes at which a runner also
// held a request with another blocked part.
func (a *attribution) withoutBlocked(s *suspectPart) []Loss {
	others := map[incarnation]bool{}
	for _, l := range a.losses {
		if !slices.Contains(l.Traits.Parts, s.trait) && slices.ContainsFunc(l.Traits.Parts, a.isBlocked) {
			others[l.incarnation()] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(s.unexplained), func(l Loss) bool { return others[l.incarnation()] })
}

// isBlocked reports whether a trait is blocked.
func (e *Evidence) isBlocked(t Trait) bool {
	_, ok := e.blocks[t]
	return ok
}

// without returns the losses without a prompt part.
func without(losses []Loss, part Trait) []Loss {
	return slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool { return slices.Contains(l.Traits.Parts, part) })
}

// holdsLossesOf reports whether the losses of which a block follows are all recorded.
func (e *Evidence) holdsLossesOf(b *Block, now time.Time) bool {
	return !b.firstCrash.IsZero() && now.Sub(b.firstCrash) < retention && b.firstCrash.After(e.droppedUntil)
}

// lossesWith returns the losses with a trait.
func (e *Evidence) lossesWith(t Trait) []Loss {
	var out []Loss
	for _, l := range e.losses {
		if slices.Contains(l.Traits.All(), t) {
			out = append(out, l)
		}
	}
	return out
}

// explains reports whether a trait explains the losses with it.
func (a *attribution) explains(t Trait) bool { return a.kept[t] || a.blamed[t] > 0 }

// blameParts blames the likeliest part until no further part explains enough crashes.
func (a *attribution) blameParts() {
	for {
		suspects := a.suspectParts()
		var best *suspectPart
		for _, s := range suspects {
			if s.guilty() && (best == nil || a.likelier(s, best)) {
				best = s
			}
		}
		if best == nil {
			return
		}
		blamed, crashes := best, trialCrashes(best.unexplained)
		if len(best.followers) == 1 || best.crashes < best.need {
			// The crashes accuse the one request as well, so that the part is tried early.
			crashes = minCrashes
		}
		for _, earlier := range best.before {
			// One cause is likelier than several: the part explains enough further crashes.
			if s := suspects[earlier]; s != nil && s.crashes >= s.need && s.crashes-best.crashes >= minCrashes {
				blamed, crashes = s, max(minCrashes, s.distinct()-best.distinct())
			}
		}
		a.blamed[blamed.trait] = crashes
	}
}

// blameEarlierParts blames an earlier part in place of several blamed parts that follow it: one cause is
// likelier than many. Of several such parts it begins with the latest, which refuses fewer requests. A
// part that crashed repeats is blamed beside those that follow it, so that a trial separates them.
func (a *attribution) blameEarlierParts() {
	for {
		var best *commonPart
		for _, c := range a.commonParts() {
			if (a.replacesLater(c) || a.crashedRepeats(c)) && (best == nil || cmp.Or(cmp.Compare(best.depth, c.depth), cmp.Compare(c.trait, best.trait)) < 0) {
				best = c
			}
		}
		if best == nil {
			return
		}
		if a.replacesLater(best) {
			for t := range best.later {
				delete(a.blamed, t)
			}
		}
		// The crashes accuse the later parts as well, so that this one is tried early.
		a.blamed[best.trait] = minCrashes
	}
}

// replacesLater reports whether enough parts that follow a part are blamed to blame it in their place.
func (a *attribution) replacesLater(c *commonPart) bool {
	need := minBlamedBelow
	if a.completions.count(c.trait) > 0 {
		need = minBlamedBelowAfterSuccess
	}
	return len(c.later) >= need
}

// crashedRepeats reports whether repeats of requests with a part crashed runners with different parts
// following it, and none with it is remembered to have completed.
func (a *attribution) crashedRepeats(c *commonPart) bool {
	return a.completions.count(c.trait) == 0 && len(c.repeated) >= minRepeated
}

// commonPart is a prompt part that blamed parts follow.
type commonPart struct {
	trait Trait
	// depth is the position of the part in the prompt.
	depth int
	later map[Trait]bool
	// repeated holds what follows the part in the losses of repeats; see suspectPart.
	repeated map[string]bool
}

// commonParts returns the parts that explain no losses and that blamed parts follow.
func (a *attribution) commonParts() map[Trait]*commonPart {
	out := map[Trait]*commonPart{}
	for _, l := range a.losses {
		for i, t := range l.Traits.Parts {
			for _, later := range l.Traits.Parts[i+1:] {
				if a.blamed[later] == 0 || a.explains(t) {
					continue
				}
				if out[t] == nil {
					out[t] = &commonPart{trait: t, depth: i, later: map[Trait]bool{}, repeated: map[string]bool{}}
				}
				out[t].later[later] = true
			}
		}
	}
	for _, l := range a.losses {
		for i, t := range l.Traits.Parts {
			if c := out[t]; c != nil && l.Retry {
				c.repeated[l.follower(i)] = true
			}
		}
	}
	return out
}

// blameContents blames the contents that were in flight at several runners whose termination no part
// explains. Unless it is common, a content is that of one request and of its repeats, so that no
// other request suffers.
func (a *attribution) blameContents() {
	explained := a.explainedCrashes()
	losses := map[Trait][]Loss{}
	for _, l := range a.losses {
		if t := l.Traits.Content; a.accused[t] >= minCrashes && !a.kept[t] && !explained[l.incarnation()] {
			losses[t] = append(losses[t], l)
		}
	}
	for t, lost := range losses {
		need, crashes := minCrashes, len(crashTimes(lost))
		if slices.ContainsFunc(lost, func(l Loss) bool { return l.Began }) {
			need = minCrashesAfterBegin
		}
		if lost[0].Traits.Common {
			crashes = countCommon(lost)
			if a.completions.count(t) > 0 {
				need = max(need, minCommonCrashesAfterSuccess)
			}
		}
		if crashes >= need {
			a.blamed[t] = crashes
		}
	}
}

// explainedCrashes returns the incarnations of runners that terminated during a request with a part
// that explains it.
func (a *attribution) explainedCrashes() map[incarnation]bool {
	out := map[incarnation]bool{}
	for _, l := range a.losses {
		if slices.ContainsFunc(l.Traits.Parts, a.explains) {
			out[l.incarnation()] = true
		}
	}
	return out
}

// suspectPart is a prompt part that may explain losses.
type suspectPart struct {
	trait Trait
	// depth is the position of the part in the prompt, before holds the parts before it.
	depth  int
	before []Trait
	// unexplained holds the losses that no blamed part explains, crashes is the number of crashes in
	// them, and need the number from which on the part is blamed.
	unexplained   []Loss
	crashes, need int
	// followers holds what follows the part in these losses: the next part, or the content after the
	// last part. If it is the same in all of them, it explains the crashes as well.
	followers map[string]bool
	// repeated holds the followers in the losses of repeats.
	repeated map[string]bool
}

// guilty reports whether the losses suffice to blame the part. If what follows it is always the same,
// that explains the crashes as well, and many of them are needed.
func (s *suspectPart) guilty() bool {
	return s.crashes >= s.need && (len(s.followers) > 1 || s.distinct() >= minCrashesOfOneRequest) || s.guiltyByRepeats()
}

// guiltyByRepeats reports whether repeats of different requests with the part crashed runners and none
// with it is remembered to have completed: they do not hold it by chance, however short the time between
// the crashes.
func (s *suspectPart) guiltyByRepeats() bool {
	return s.need == minCrashes && len(s.repeated) >= minRepeated
}

// distinct returns the number of crashes with short gaps between them.
func (s *suspectPart) distinct() int { return countSpaced(crashTimes(s.unexplained), trialSpacing) }

// trialCrashes returns the number of crashes in losses that decides when a part is tried first. Runners
// that terminate together count, too, but only a few: their host may have failed.
func trialCrashes(losses []Loss) int {
	return min(maxFirstTrialCrashes, max(minCrashes, len(crashTimes(losses))))
}

// suspectParts returns the prompt parts that were lost more than once and do not explain losses yet.
func (a *attribution) suspectParts() map[Trait]*suspectPart {
	explained := a.explainedCrashes()
	out := map[Trait]*suspectPart{}
	for _, l := range a.losses {
		for i, t := range l.Traits.Parts {
			if explained[l.incarnation()] || a.accused[t] < minCrashes {
				continue
			}
			s, ok := out[t]
			if !ok {
				s = &suspectPart{trait: t, depth: i, before: l.Traits.Parts[:i], need: minCrashes, followers: map[string]bool{}, repeated: map[string]bool{}}
				if a.completions.count(t) > 0 {
					s.need = minCrashesAfterSuccess
				}
				out[t] = s
			}
			s.unexplained = append(s.unexplained, l)
			s.followers[l.follower(i)] = true
			if l.Retry {
				s.repeated[l.follower(i)] = true
			}
		}
	}
	for _, s := range out {
		s.crashes = countSpaced(crashTimes(s.unexplained), spacing)
	}
	return out
}

// likelier reports whether s explains crashes better than o: fewer requests have completed with it,
// or fewer requests share it. All requests with a later part hold the earlier ones, so that the later
// one explains the crashes as well and its block refuses fewer requests. If the earlier one was the
// cause, requests with other later parts crash runners, too, and it is blamed then.
func (a *attribution) likelier(s, o *suspectPart) bool {
	return cmp.Or(
		cmp.Compare(a.completions.count(s.trait), a.completions.count(o.trait)),
		cmp.Compare(o.depth, s.depth),
		cmp.Compare(o.crashes, s.crashes),
		cmp.Compare(s.trait, o.trait),
	) < 0
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

// countSpaced counts the times, those within a period as one.
func countSpaced(times []time.Time, period time.Duration) int {
	count := 0
	var last time.Time
	for _, t := range times {
		if count == 0 || t.Sub(last) >= period {
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
	return countSpaced(crashTimes(chance), spacing) + len(crashTimes(retried))
}

// addBlock adds a block. If there are too many, it drops the one that is tried next: its evidence is
// the weakest.
func (e *Evidence) addBlock(b *Block) {
	if len(e.blocks) >= maxBlocks {
		var first *Block
		for _, o := range e.blocks {
			if first == nil || o.NextTrial.Before(first.NextTrial) {
				first = o
			}
		}
		delete(e.blocks, first.Trait)
	}
	e.blocks[b.Trait] = b
}

package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxInterruptionProbability is the probability of late events from which a prefill counts as an
// interruption of the streams at a decode engine.
const maxInterruptionProbability = 0.5

// candidates collects the options of a request and selects the one with the lowest cost. It handles
// overload by long prompts: a decode engine at which the prompt would interrupt streams is selected
// only if prefill engines cannot replace it. Otherwise each long prompt makes several shorter
// requests late. The zero value has no options.
type candidates struct {
	// harmless is the option with the lowest cost among those that interrupt no streams,
	// interrupting the one among the others.
	harmless, interrupting option
	// fastestPrefill is the option at the prefill engine that would be fastest without load.
	fastestPrefill option
	// all holds all options if collect is set.
	all     []option
	collect bool
}

// add adds an option at a usable runner.
func (c *candidates) add(o option, q Query) {
	if o.member.runner.Role == port.RolePrefill && (c.fastestPrefill.member == nil || o.withoutWait() < c.fastestPrefill.withoutWait()) {
		c.fastestPrefill = o
	}
	cheapest := &c.harmless
	if o.interrupts = o.interruptsStreams(q); o.interrupts {
		cheapest = &c.interrupting
	}
	if c.collect {
		c.all = append(c.all, o)
	}
	if o.better(cheapest) {
		*cheapest = o
	}
}

// best returns the selected option. Its member is nil if there is none.
func (c *candidates) best(q Query) option {
	if c.interrupting.member != nil && c.mayInterrupt(q) && c.interrupting.better(&c.harmless) {
		return c.interrupting
	}
	return c.harmless
}

// mayInterrupt reports whether the option that interrupts streams is allowed: if no prefill engine
// is usable, or if every prefill engine would miss the objective even without load and the option
// is faster, as over slow links. A queue at the prefill engines is no reason.
func (c *candidates) mayInterrupt(q Query) bool {
	if c.fastestPrefill.member == nil {
		return true
	}
	unloaded := c.fastestPrefill.withoutWait()
	return q.Objective > 0 && unloaded > q.Objective && c.interrupting.withoutWait() < unloaded
}

// interruptsStreams reports whether the prefill of the prompt at a decode engine is so long that
// streams there exceed the allowed gap. It holds for an idle engine too: streams that are placed
// there during the prefill, by any daemon, would be late.
func (o *option) interruptsStreams(q Query) bool {
	if q.Prompt == nil || o.member.runner.Role == port.RolePrefill {
		return false
	}
	gap := o.member.models.gaps.predict(o.prefill)
	return lateProbability(gap, q.AllowedGap) > maxInterruptionProbability
}

// withoutWait returns the predicted time to the first event if no request were queued.
func (o *option) withoutWait() time.Duration { return o.firstEvent - o.wait }

package order

import (
	"maps"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// drainTimeout bounds a drain that a daemon does not acknowledge or that a
	// long request delays. After it the drain ends and the engine serves again.
	drainTimeout = 2 * time.Minute
	// drainBackoff is the time between a drain that timed out and the next change.
	drainBackoff = time.Minute
	// settleTimeout is the longest time for which a pending order delays changes of other
	// engines.
	settleTimeout = 2 * time.Minute
	// copyRetryInterval is the time after which an unanswered copy is repeated. It can
	// be short, because an engine reports in its status at once that it executes an
	// order.
	copyRetryInterval = 10 * time.Second
)

// ActionKind is the kind of the lease holder's next action.
type ActionKind int

// Kinds of action.
const (
	// ActNothing means that the holder waits.
	ActNothing ActionKind = iota
	// ActAppend means that the holder appends Action.Records to the log in one request.
	ActAppend
	// ActRaiseFencing means that the holder sends Action.Order, which raises the
	// engine's fencing token.
	ActRaiseFencing
	// ActSend means that the holder sends Action.Order.
	ActSend
)

// Action is the next action of the lease holder.
type Action struct {
	Kind ActionKind
	// Engine is the VM id of the engine.
	Engine  string
	Records []Record
	Order   port.Order
	// CopyNumber is the number of the copy to send, 0 if the engine checks fencing.
	CopyNumber int64
	// Decision and Reasons are recorded in the ring of role decisions. An empty
	// Decision is not recorded.
	Decision string
	Reasons  []decision.Input
}

// Controller decides the lease holder's next action. Its fields need not survive a
// change of holder: everything that a new holder needs is in State. It is not safe
// for concurrent use.
type Controller struct {
	opts     lease.Options
	planners []Planner
	newID    func() string
	// change is the change for which this holder drains an engine, nil for none. The
	// drain began at drainStarted.
	change       *Change
	drainStarted time.Time
	// notBefore is the earliest time of the next change after a drain timed out.
	notBefore time.Time
	// confirmedFencing holds the fencing token that each engine confirmed last, by VM id.
	confirmedFencing map[string]int64
	// attempts holds this holder's attempts at the pending order of each engine, by
	// VM id.
	attempts map[string]*attempt
	// copyResults holds the result of each copy that was sent, by number; see RecordSend.
	copyResults map[int64]string
}

// NewController returns a Controller that consults the planners in their order; newID
// returns a different id on each call.
func NewController(opts lease.Options, planners []Planner, newID func() string) *Controller {
	return &Controller{
		opts: opts, planners: planners, newID: newID,
		confirmedFencing: map[string]int64{}, attempts: map[string]*attempt{}, copyResults: map[int64]string{},
	}
}

// FencingConfirmed records the fencing token that an engine, given by its VM id, has
// confirmed.
func (c *Controller) FencingConfirmed(engine string, fencing int64) {
	c.confirmedFencing[engine] = fencing
}

// RecordSend records the result of an ActSend action: CopyAccepted, CopyRefused,
// CopyNotSent, or "" if the order may still take effect. The detail of a refusal is
// the engine's message.
func (c *Controller) RecordSend(action Action, result, detail string) {
	if action.CopyNumber > 0 {
		c.copyResults[action.CopyNumber] = result
	}
	if a := c.attempts[action.Engine]; a != nil && result == CopyRefused {
		a.refused++
		a.detail = detail
	}
}

// Relinquish returns the records in which a daemon that has lost the lease reports
// the results of the copies that it announced. The Controller never sends a copy that
// Relinquish reports as not sent. It must not be called while an order is being sent.
func (c *Controller) Relinquish(s *State) []Record {
	c.change = nil
	var out []Record
	for _, e := range s.Engines() {
		for _, open := range e.Copies {
			if open.Sender != c.opts.Holder {
				continue
			}
			if _, sent := c.copyResults[open.Number]; !sent {
				c.copyResults[open.Number] = CopyNotSent
			}
			if result := c.copyResults[open.Number]; result != "" {
				out = append(out, c.copyEndRecord(s, e, open, result))
			}
		}
	}
	return out
}

// Next returns the holder's next action. Pending orders have precedence over drains
// and drains over new changes, so that at most one engine changes at a time. The
// exception is an order that is pending for settleTimeout or longer: it does not
// delay changes of other engines.
func (c *Controller) Next(s *State, v View) Action {
	engines := s.Engines()
	c.removeEndedCopies(engines)
	for _, e := range engines {
		if records := c.endedCopies(s, e, v); len(records) > 0 {
			return appendAction("", e.Engine, records...)
		}
	}
	waiting := false
	for _, e := range engines {
		if e.Pending == nil {
			continue
		}
		if action := c.settlePending(s, e, v); action.Kind != ActNothing || action.Decision != "" {
			return action
		}
		waiting = waiting || v.Now.Sub(c.attempt(e, v.Now).firstSeen) < settleTimeout
	}
	if waiting {
		return Action{}
	}
	for _, e := range engines {
		if e.Drain > 0 && e.Pending == nil {
			return c.continueDrain(s, e, v)
		}
	}
	return c.startChange(s, v)
}

func (c *Controller) newRecord(s *State, kind lease.Kind, engine string) Record {
	return Record{
		Record: lease.Record{
			Kind:    kind,
			Holder:  c.opts.Holder,
			Daemon:  c.opts.Daemon,
			Fencing: s.Lease.Lease().Fencing,
		},
		Engine: engine,
	}
}

func appendAction(decisionText, engine string, records ...Record) Action {
	return Action{Kind: ActAppend, Engine: engine, Decision: decisionText, Records: records}
}

// removeEndedCopies removes the results of copies that are no longer open on the log.
func (c *Controller) removeEndedCopies(engines []EngineState) {
	open := map[int64]bool{}
	for _, e := range engines {
		for _, copied := range e.Copies {
			open[copied.Number] = true
		}
	}
	maps.DeleteFunc(c.copyResults, func(number int64, _ string) bool { return !open[number] })
}

// continueDrain announces the order that an engine is drained for once the engine has
// no requests left. It ends the drain if the drain timed out, if the engine is leaving,
// or if an earlier holder began it: the order of that drain was never announced.
func (c *Controller) continueDrain(s *State, e EngineState, v View) Action {
	if c.change == nil || c.change.Engine != e.Engine {
		return c.endDrain(s, e, "drain of earlier holder ended")
	}
	if v.Now.Sub(c.drainStarted) >= drainTimeout {
		c.notBefore = v.Now.Add(drainBackoff)
		return c.endDrain(s, e, "drain given up")
	}
	engine, ok := v.engine(e.Engine)
	if !ok || engine.Leaving() {
		return c.endDrain(s, e, "engine is leaving")
	}
	if !v.idle(engine) {
		return Action{}
	}
	announce := c.newRecord(s, KindOrder, e.Engine)
	order := c.change.Order
	order.ID = c.newID()
	announce.Order, announce.Unfenced, announce.Reasons = &order, !v.checksFencing(engine), c.change.Reasons
	action := appendAction("order "+string(order.Kind), e.Engine, announce)
	action.Reasons = c.change.Reasons
	return action
}

func (c *Controller) endDrain(s *State, e EngineState, decisionText string) Action {
	c.change = nil
	return appendAction(decisionText, e.Engine, c.newRecord(s, KindDrainEnd, e.Engine))
}

// startChange begins to drain an engine for the first change that a planner proposes
// and that View.allows permits.
func (c *Controller) startChange(s *State, v View) Action {
	c.change = nil
	if v.Configuration == nil || v.Now.Before(c.notBefore) {
		return Action{}
	}
	v.Engines = slices.Clone(v.Engines)
	v.refusals = map[string][]Refusal{}
	for i, e := range v.Engines {
		state := s.Engine(e.VM.ID)
		v.Engines[i].BlockReason = blockReason(state)
		v.refusals[e.VM.ID] = state.Refusals
	}
	for _, p := range c.planners {
		change := p.Plan(v.Input)
		if change == nil || !v.allows(s, *change) {
			continue
		}
		c.change, c.drainStarted = change, v.Now
		drain := c.newRecord(s, KindDrain, change.Engine)
		drain.Reasons = change.Reasons
		action := appendAction("drain for "+string(change.Order.Kind), change.Engine, drain)
		action.Reasons = change.Reasons
		return action
	}
	return Action{}
}

// blockReason returns why no change may be proposed for an engine that serves, or "".
func blockReason(e EngineState) string {
	if len(e.Copies) == 0 {
		return ""
	}
	return "copies of its last order may still arrive"
}

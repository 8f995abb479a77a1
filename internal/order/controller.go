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
	// drainPatience bounds a drain that a daemon does not acknowledge or that a
	// long request holds up; the engine then serves again.
	drainPatience = 2 * time.Minute
	// drainBackoff is the time after such a drain before the next change.
	drainBackoff = time.Minute
	// settlePatience is how long an order may be pending before other engines'
	// changes go on.
	settlePatience = 2 * time.Minute
	// copyPatience is the time after which an unanswered copy is repeated. An engine
	// shows in its status at once that it executes an order.
	copyPatience = 10 * time.Second
)

// ActionKind tells what the holder does next.
type ActionKind int

// Kinds of action.
const (
	// ActNothing waits.
	ActNothing ActionKind = iota
	// ActAppend appends Records in one request.
	ActAppend
	// ActRaiseFencing sends an order that raises the engine's fencing number.
	ActRaiseFencing
	// ActSend sends Order.
	ActSend
)

// Action is one step of the holder.
type Action struct {
	Kind    ActionKind
	Engine  string
	Records []Record
	Order   port.Order
	// CopyNumber is the number of the copy to be sent, 0 when the engine checks fencing.
	CopyNumber int64
	// Decision and Reasons go to the ring of role decisions.
	Decision string
	Reasons  []decision.Input
}

// Controller decides what the holder does next. It keeps only what a new holder
// may forget. It is not safe for concurrent use.
type Controller struct {
	opts     lease.Options
	planners []Planner
	newID    func() string
	// change is the one that this holder drains an engine for.
	change  *Change
	started time.Time
	// notBefore delays the next change after a drain that was given up.
	notBefore time.Time
	// raised holds the fencing number that each engine has confirmed.
	raised map[string]int64
	// attempts holds what was tried for the pending order of an engine.
	attempts map[string]*attempt
	// copies holds the copies that were sent, by number, and what became of them.
	copies map[int64]string
}

// NewController returns a Controller; newID returns ids that are never repeated.
func NewController(opts lease.Options, planners []Planner, newID func() string) *Controller {
	return &Controller{
		opts: opts, planners: planners, newID: newID,
		raised: map[string]int64{}, attempts: map[string]*attempt{}, copies: map[int64]string{},
	}
}

// FencingConfirmed notes that an engine has confirmed a fencing number.
func (c *Controller) FencingConfirmed(engine string, fencing int64) { c.raised[engine] = fencing }

// RecordSend notes what became of an order that this holder was told to send:
// CopyAccepted, CopyRefused, CopyNotSent, or "" when it may still take effect.
func (c *Controller) RecordSend(action Action, result, detail string) {
	if action.CopyNumber > 0 {
		c.copies[action.CopyNumber] = result
	}
	if a := c.attempts[action.Engine]; a != nil && result == CopyRefused {
		a.refused++
		a.detail = detail
	}
}

// Relinquish returns the records by which a daemon that has lost the lease tells what
// became of its copies. It sends none of them later. It must not be called while
// an order is being sent.
func (c *Controller) Relinquish(s *State) []Record {
	c.change = nil
	var out []Record
	for _, e := range s.Engines() {
		for _, open := range e.Copies {
			if open.Sender != c.opts.Holder {
				continue
			}
			if _, sent := c.copies[open.Number]; !sent {
				c.copies[open.Number] = CopyNotSent
			}
			if result := c.copies[open.Number]; result != "" {
				out = append(out, c.copyEnd(s, e, open, result))
			}
		}
	}
	return out
}

// Next returns the holder's next step. Pending orders come first, then drains,
// then a new change, so that at most one engine changes at a time, except that an
// order without progress for settlePatience does not hold up other engines.
func (c *Controller) Next(s *State, v View) Action {
	engines := s.Engines()
	c.forget(engines)
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
		if action := c.settle(s, e, v); action.Kind != ActNothing || action.Decision != "" {
			return action
		}
		waiting = waiting || v.Now.Sub(c.attempt(e, v.Now).first) < settlePatience
	}
	if waiting {
		return Action{}
	}
	for _, e := range engines {
		if e.Drain > 0 && e.Pending == nil {
			return c.drained(s, e, v)
		}
	}
	return c.begin(s, v)
}

func (c *Controller) record(s *State, kind lease.Kind, engine string) Record {
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

func appendAction(verdict, engine string, records ...Record) Action {
	return Action{Kind: ActAppend, Engine: engine, Decision: verdict, Records: records}
}

// forget drops what is known of copies that have ended.
func (c *Controller) forget(engines []EngineState) {
	open := map[int64]bool{}
	for _, e := range engines {
		for _, copied := range e.Copies {
			open[copied.Number] = true
		}
	}
	maps.DeleteFunc(c.copies, func(number int64, _ string) bool { return !open[number] })
}

// drained announces the order that an engine is drained for. A drain of an earlier
// holder is ended instead: its order was not announced.
func (c *Controller) drained(s *State, e EngineState, v View) Action {
	if c.change == nil || c.change.Engine != e.Engine {
		return c.endDrain(s, e, "drain of earlier holder ended")
	}
	if v.Now.Sub(c.started) >= drainPatience {
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
	announce := c.record(s, KindOrder, e.Engine)
	order := c.change.Order
	order.ID = c.newID()
	announce.Order, announce.Unfenced, announce.Reasons = &order, !v.checksFencing(engine), c.change.Reasons
	action := appendAction("order "+string(order.Kind), e.Engine, announce)
	action.Reasons = c.change.Reasons
	return action
}

func (c *Controller) endDrain(s *State, e EngineState, verdict string) Action {
	c.change = nil
	return appendAction(verdict, e.Engine, c.record(s, KindDrainEnd, e.Engine))
}

// begin drains an engine for the first change that a planner proposes and that
// the limits allow.
func (c *Controller) begin(s *State, v View) Action {
	c.change = nil
	if v.Configuration == nil || v.Now.Before(c.notBefore) {
		return Action{}
	}
	v.Engines = slices.Clone(v.Engines)
	v.refusals = map[string][]Refusal{}
	for i, e := range v.Engines {
		state := s.Engine(e.VM.ID)
		v.Engines[i].BlockReason = held(state)
		v.refusals[e.VM.ID] = state.Refusals
	}
	for _, p := range c.planners {
		change := p.Plan(v.Input)
		if change == nil || !v.allows(s, *change) {
			continue
		}
		c.change, c.started = change, v.Now
		drain := c.record(s, KindDrain, change.Engine)
		drain.Reasons = change.Reasons
		action := appendAction("drain for "+string(change.Order.Kind), change.Engine, drain)
		action.Reasons = change.Reasons
		return action
	}
	return Action{}
}

// held tells why an engine that serves takes no change.
func held(e EngineState) string {
	if len(e.Copies) == 0 {
		return ""
	}
	return "copies of its last order may still arrive"
}

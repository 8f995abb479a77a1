package order

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
)

// attempt is what this holder has tried for one order.
type attempt struct {
	order string
	// first is when the holder saw the order pending, last when it sent a copy.
	first, last time.Time
	// refused counts the refusals, detail is what the engine said at the last.
	refused int
	detail  string
	// shown is set once the operator was told that the order is unresolved.
	shown bool
}

func (c *Controller) copyEnd(s *State, e EngineState, open Copy, result string) Record {
	r := c.record(s, KindSendEnd, e.Engine)
	r.CopyNumber, r.Outcome = open.Number, result
	return r
}

// endedCopies returns a record for each copy that is proved to have no effect any
// more. The passing of time proves nothing: the sender, the connection or the
// engine may be paused.
func (c *Controller) endedCopies(s *State, e EngineState, v View) []Record {
	engine, ok := v.engine(e.Engine)
	var out []Record
	for _, open := range e.Copies {
		result := ""
		if open.Sender == c.opts.Holder {
			result = c.copies[open.Number]
		}
		switch {
		case v.EngineGone(e.Engine):
			result = OutcomeGone
		case ok && engine.Reachable && engine.Status.Incarnation != open.Incarnation:
			result = CopyEngineRestarted
		}
		if result != "" {
			out = append(out, c.copyEnd(s, e, open, result))
		}
	}
	return out
}

// attempt returns what this holder has tried for an engine's pending order.
func (c *Controller) attempt(e EngineState, now time.Time) *attempt {
	a := c.attempts[e.Engine]
	if a == nil || a.order != e.Pending.Order.ID {
		a = &attempt{order: e.Pending.Order.ID, first: now}
		if len(e.Copies) > 0 {
			// The copies of an earlier holder get the time that an own one would get.
			a.last = now
		}
		c.attempts[e.Engine] = a
	}
	return a
}

// settle takes a pending order to its outcome. The order may be one of an earlier
// holder and may still arrive from there, so no different one is issued.
func (c *Controller) settle(s *State, e EngineState, v View) Action {
	if v.EngineGone(e.Engine) {
		return c.finish(s, e, OutcomeGone, "")
	}
	if fencing := s.Lease.Lease().Fencing; !e.Pending.Unfenced && c.raised[e.Engine] < fencing {
		return Action{Kind: ActRaiseFencing, Engine: e.Engine, Order: port.Order{
			ID: c.newID(), Kind: port.OrderRaiseFencing, Fencing: fencing,
		}}
	}
	engine, ok := v.engine(e.Engine)
	if !ok || !engine.Reachable || engine.Status.Phase != port.PhaseServing {
		return Action{}
	}
	if done(engine.Status, e.Pending.Order) {
		return c.finish(s, e, OutcomeDone, engine.Status.Incarnation)
	}
	a := c.attempt(e, v.Now)
	if failed := engine.Status.LastOrder == e.Pending.Order.ID; failed || a.refused >= refusedLimit {
		return c.withdraw(s, e, engine, v, failed)
	}
	if !v.idle(engine) || (a.refused > 0 && v.Now.Sub(a.last) < refusedRetry<<(a.refused-1)) {
		return Action{}
	}
	if e.Pending.Unfenced {
		return c.settleUnfenced(s, e, engine, v)
	}
	a.last = v.Now
	order := e.Pending.Order
	order.Fencing = c.fencing(s, e)
	return Action{Kind: ActSend, Engine: e.Engine, Order: order, Decision: "send " + string(order.Kind)}
}

// fencing returns the number that a pending order is sent with.
func (c *Controller) fencing(s *State, e EngineState) int64 {
	return max(e.Pending.Token, s.Lease.Lease().Fencing)
}

// withdraw ends an order that the engine has refused several times, or failed to
// carry out, once no copy of it can take effect any more: an engine that checks
// fencing has confirmed a higher number, and the others' copies are accounted for.
// The engine's status was asked for after that.
func (c *Controller) withdraw(s *State, e EngineState, engine Engine, v View, failed bool) Action {
	if barrier := c.fencing(s, e) + 1; !e.Pending.Unfenced && c.raised[e.Engine] < barrier {
		return Action{Kind: ActRaiseFencing, Engine: e.Engine, Order: port.Order{
			ID: c.newID(), Kind: port.OrderRaiseFencing, Fencing: barrier,
		}}
	}
	a := c.attempt(e, v.Now)
	if !failed && len(e.Copies) > 0 {
		return a.unresolved(e)
	}
	detail, incarnation := a.detail, ""
	if failed {
		// Repetitions of the order that the engine executed last have no effect.
		detail, incarnation = "engine executed the order and reports its old state", engine.Status.Incarnation
	}
	order, refused := e.Pending.Order, a.refused
	action := c.finish(s, e, OutcomeWithdrawn, incarnation)
	result := &action.Records[0]
	result.PoolDigest = basis(v.Configuration, engine.VM.Pool)
	after := e.afterOutcome(*result, v.Now)
	last := after[len(after)-1]
	action.Reasons = append(action.Reasons,
		decision.In("refused-attempts", refused),
		decision.In("cause", detail),
		decision.In("kind", order.Kind),
		decision.In("version", order.Version),
		decision.In("role", order.Role),
		decision.In("withdrawals", last.Count),
		decision.In("not-before", last.At.Add(last.delay())),
	)
	result.Reasons = action.Reasons
	return action
}

// settleUnfenced sends a copy of an order after it was recorded. A further copy
// follows only when the earlier ones are proved ended, or late: an engine ignores a
// repetition of the order that it executed last, and no different order follows
// until all copies are accounted for.
func (c *Controller) settleUnfenced(s *State, e EngineState, engine Engine, v View) Action {
	a := c.attempt(e, v.Now)
	for _, open := range e.Copies {
		if _, sent := c.copies[open.Number]; sent || open.Sender != c.opts.Holder {
			continue
		}
		c.copies[open.Number] = ""
		a.last = v.Now
		order := e.Pending.Order
		order.Fencing, order.Incarnation = e.Pending.Token, open.Incarnation
		return Action{
			Kind: ActSend, Engine: e.Engine, Order: order, CopyNumber: open.Number,
			Decision: "send " + string(order.Kind),
		}
	}
	late := v.Now.Sub(a.last) >= copyPatience
	switch {
	case len(e.Copies) == 0, late && len(e.Copies) < maxCopies:
		announce := c.record(s, KindSend, e.Engine)
		announce.OrderID, announce.Incarnation = e.Pending.Order.ID, engine.Status.Incarnation
		return appendAction("", e.Engine, announce)
	case late:
		return a.unresolved(e)
	}
	return Action{}
}

// unresolved tells the operator once that only a restart of the engine helps.
func (a *attempt) unresolved(e EngineState) Action {
	if a.shown {
		return Action{}
	}
	a.shown = true
	return Action{Engine: e.Engine, Decision: "order unresolved until the engine restarts", Reasons: copyReasons(e)}
}

func copyReasons(e EngineState) []decision.Input {
	return []decision.Input{
		decision.In("order-id", e.Copies[0].OrderID),
		decision.In("copies-that-may-arrive", len(e.Copies)),
		decision.In("engine-incarnation", e.Copies[0].Incarnation),
	}
}

// done tells whether an engine has carried out an order. The role or model alone
// proves nothing, because a repetition of the order may still arrive.
func done(s port.EngineStatus, o port.Order) bool {
	if s.LastOrder != o.ID {
		return false
	}
	if o.Kind == port.OrderSetRole {
		return s.Role == o.Role
	}
	return s.Model == o.Model && s.Version == o.Version && s.Adapter == o.Adapter
}

// finish records an outcome, seen at an incarnation of the engine, and returns the
// engine to service. Copies that may still arrive repeat the order that the engine
// executed last, which it ignores.
func (c *Controller) finish(s *State, e EngineState, outcome, incarnation string) Action {
	result := c.record(s, KindOutcome, e.Engine)
	result.OrderID, result.Outcome, result.Incarnation = e.Pending.Order.ID, outcome, incarnation
	c.change = nil
	delete(c.attempts, e.Engine)
	action := appendAction(outcome, e.Engine, result, c.record(s, KindDrainEnd, e.Engine))
	if e.Copies = e.copiesAfter(result); len(e.Copies) > 0 {
		action.Decision = outcome + ", no further change until the engine restarts"
		action.Reasons = copyReasons(e)
	}
	return action
}

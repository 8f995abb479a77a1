package order

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
)

// attempt holds this holder's attempts at one pending order.
type attempt struct {
	orderID string
	// firstSeen is when the holder first found the order pending, lastSent when it last
	// sent the order.
	firstSeen, lastSent time.Time
	// refused counts the refusals, detail is the engine's message of the last one.
	refused int
	detail  string
	// reported is set once the order has been reported to the operator as unresolved.
	reported bool
}

func (c *Controller) copyEndRecord(s *State, e EngineState, open Copy, result string) Record {
	r := c.newRecord(s, KindSendEnd, e.Engine)
	r.CopyNumber, r.Outcome = open.Number, result
	return r
}

// endedCopies returns a record for each copy that is proved to have no further effect.
// A timeout is no proof: the sender, the connection or the engine may be paused.
func (c *Controller) endedCopies(s *State, e EngineState, v View) []Record {
	engine, ok := v.engine(e.Engine)
	var out []Record
	for _, open := range e.Copies {
		result := ""
		if open.Sender == c.opts.Holder {
			result = c.copyResults[open.Number]
		}
		switch {
		case v.EngineLeft(e.Engine):
			result = OutcomeGone
		case ok && engine.Reachable && engine.Status.Incarnation != open.Incarnation:
			result = CopyEngineRestarted
		}
		if result != "" {
			out = append(out, c.copyEndRecord(s, e, open, result))
		}
	}
	return out
}

// attempt returns this holder's attempts at an engine's pending order.
func (c *Controller) attempt(e EngineState, now time.Time) *attempt {
	a := c.attempts[e.Engine]
	if a == nil || a.orderID != e.Pending.Order.ID {
		a = &attempt{orderID: e.Pending.Order.ID, firstSeen: now}
		if len(e.Copies) > 0 {
			// The open copies of an earlier holder get the full copyRetryInterval too.
			a.lastSent = now
		}
		c.attempts[e.Engine] = a
	}
	return a
}

// settlePending returns the next action that brings a pending order to its outcome. An
// earlier holder may have announced the order, and its copies may still reach the
// engine, so no different order is issued before.
func (c *Controller) settlePending(s *State, e EngineState, v View) Action {
	if v.EngineLeft(e.Engine) {
		return c.recordOutcome(s, e, OutcomeGone, "")
	}
	if fencing := s.Lease.Lease().Fencing; !e.Pending.Unfenced && c.confirmedFencing[e.Engine] < fencing {
		return Action{Kind: ActRaiseFencing, Engine: e.Engine, Order: port.Order{
			ID: c.newID(), Kind: port.OrderRaiseFencing, Fencing: fencing,
		}}
	}
	engine, ok := v.engine(e.Engine)
	if !ok || !engine.Reachable || engine.Status.Phase != port.PhaseServing {
		return Action{}
	}
	if executed(engine.Status, e.Pending.Order) {
		return c.recordOutcome(s, e, OutcomeDone, engine.Status.Incarnation)
	}
	a := c.attempt(e, v.Now)
	if failed := engine.Status.LastOrder == e.Pending.Order.ID; failed || a.refused >= maxRefusedAttempts {
		return c.withdraw(s, e, engine, v, failed)
	}
	if !v.idle(engine) || (a.refused > 0 && v.Now.Sub(a.lastSent) < refusedRetryDelay<<(a.refused-1)) {
		return Action{}
	}
	if e.Pending.Unfenced {
		return c.settleUnfenced(s, e, engine, v)
	}
	a.lastSent = v.Now
	order := e.Pending.Order
	order.Fencing = c.fencingToken(s, e)
	return Action{Kind: ActSend, Engine: e.Engine, Order: order, Decision: "send " + string(order.Kind)}
}

// fencingToken returns the fencing token with which a pending order is sent.
func (c *Controller) fencingToken(s *State, e EngineState) int64 {
	return max(e.Pending.Token, s.Lease.Lease().Fencing)
}

// withdraw ends an order that the engine has refused several times, or failed to
// execute, once no copy of it can still take effect: an engine that checks fencing
// has confirmed a higher fencing token, and for any other engine all copies have ended. The
// engine's status in the view was requested after that.
func (c *Controller) withdraw(s *State, e EngineState, engine Engine, v View, failed bool) Action {
	if barrier := c.fencingToken(s, e) + 1; !e.Pending.Unfenced && c.confirmedFencing[e.Engine] < barrier {
		return Action{Kind: ActRaiseFencing, Engine: e.Engine, Order: port.Order{
			ID: c.newID(), Kind: port.OrderRaiseFencing, Fencing: barrier,
		}}
	}
	a := c.attempt(e, v.Now)
	if !failed && len(e.Copies) > 0 {
		return a.reportUnresolved(e)
	}
	detail, incarnation := a.detail, ""
	if failed {
		// The engine ignores repetitions of the order that it executed last, so open
		// copies have no effect.
		detail, incarnation = "engine executed the order and reports its old state", engine.Status.Incarnation
	}
	order, refused := e.Pending.Order, a.refused
	action := c.recordOutcome(s, e, OutcomeWithdrawn, incarnation)
	result := &action.Records[0]
	result.PoolDigest = poolDigest(v.Configuration, engine.VM.Pool)
	after := e.refusalsAfter(*result, v.Now)
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

// settleUnfenced announces a copy of an order on the log and then sends it. A further
// copy is sent only if all earlier ones have ended, or if the last one is unanswered
// for copyRetryInterval and fewer than maxCopies are open. Repetitions are safe: an
// engine ignores a repetition of the order that it executed last, and no different order
// is issued until all copies have ended.
func (c *Controller) settleUnfenced(s *State, e EngineState, engine Engine, v View) Action {
	a := c.attempt(e, v.Now)
	for _, open := range e.Copies {
		if _, sent := c.copyResults[open.Number]; sent || open.Sender != c.opts.Holder {
			continue
		}
		c.copyResults[open.Number] = ""
		a.lastSent = v.Now
		order := e.Pending.Order
		order.Fencing, order.Incarnation = e.Pending.Token, open.Incarnation
		return Action{
			Kind: ActSend, Engine: e.Engine, Order: order, CopyNumber: open.Number,
			Decision: "send " + string(order.Kind),
		}
	}
	late := v.Now.Sub(a.lastSent) >= copyRetryInterval
	switch {
	case len(e.Copies) == 0, late && len(e.Copies) < maxCopies:
		announce := c.newRecord(s, KindSend, e.Engine)
		announce.OrderID, announce.Incarnation = e.Pending.Order.ID, engine.Status.Incarnation
		return appendAction("", e.Engine, announce)
	case late:
		return a.reportUnresolved(e)
	}
	return Action{}
}

// reportUnresolved reports to the operator, once per order, that only a restart of the
// engine resolves it.
func (a *attempt) reportUnresolved(e EngineState) Action {
	if a.reported {
		return Action{}
	}
	a.reported = true
	return Action{Engine: e.Engine, Decision: "order unresolved until the engine restarts", Reasons: copyReasons(e)}
}

// copyReasons describes an engine's open copies for the record of a decision.
func copyReasons(e EngineState) []decision.Input {
	return []decision.Input{
		decision.In("order-id", e.Copies[0].OrderID),
		decision.In("copies-that-may-arrive", len(e.Copies)),
		decision.In("engine-incarnation", e.Copies[0].Incarnation),
	}
}

// executed reports whether an engine has executed an order. The role or model alone
// is no proof, because a repetition of the order may still arrive.
func executed(s port.EngineStatus, o port.Order) bool {
	if s.LastOrder != o.ID {
		return false
	}
	if o.Kind == port.OrderSetRole {
		return s.Role == o.Role
	}
	return s.Model == o.Model && s.Version == o.Version && s.Adapter == o.Adapter
}

// recordOutcome records the outcome of a pending order, observed at an incarnation of
// the engine, and ends the drain. Copies that may still arrive repeat the order that
// the engine executed last, and the engine ignores them.
func (c *Controller) recordOutcome(s *State, e EngineState, outcome, incarnation string) Action {
	result := c.newRecord(s, KindOutcome, e.Engine)
	result.OrderID, result.Outcome, result.Incarnation = e.Pending.Order.ID, outcome, incarnation
	c.change = nil
	delete(c.attempts, e.Engine)
	action := appendAction(outcome, e.Engine, result, c.newRecord(s, KindDrainEnd, e.Engine))
	if e.Copies = e.copiesAfter(result); len(e.Copies) > 0 {
		action.Decision = outcome + ", no further change until the engine restarts"
		action.Reasons = copyReasons(e)
	}
	return action
}

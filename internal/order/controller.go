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

// View is what the holder sees when it decides.
type View struct {
	Input
	// Acknowledged tells whether every daemon that could send to an engine has
	// acknowledged its open drain, or is proved gone.
	Acknowledged func(engine string) bool
	// EngineGone tells whether an engine's VM has left for good.
	EngineGone func(engine string) bool
	// Weights is the state of the weight store, nil when it is unknown.
	Weights *port.WeightStatus
}

// ActionKind tells what the holder does next.
type ActionKind int

// Kinds of action.
const (
	// ActNothing waits.
	ActNothing ActionKind = iota
	// ActAppend appends Records in one request.
	ActAppend
	// ActRaise sends an order that raises the engine's fencing number.
	ActRaise
	// ActSend sends Order.
	ActSend
)

// Action is one step of the holder.
type Action struct {
	Kind    ActionKind
	Engine  string
	Records []Record
	Order   port.Order
	// Copy is the number of the copy to be sent, 0 when the engine checks fencing.
	Copy int64
	// Verdict and Reasons go to the ring of role decisions.
	Verdict string
	Reasons []decision.Input
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

// NewController returns a Controller; newID returns ids that are never repeated.
func NewController(opts lease.Options, planners []Planner, newID func() string) *Controller {
	return &Controller{
		opts: opts, planners: planners, newID: newID,
		raised: map[string]int64{}, attempts: map[string]*attempt{}, copies: map[int64]string{},
	}
}

// Raised notes that an engine has confirmed a fencing number.
func (c *Controller) Raised(engine string, fencing int64) { c.raised[engine] = fencing }

// Sent notes what became of an order that this holder was told to send:
// CopyAccepted, CopyRefused, CopyNotSent, or "" when it may still take effect.
func (c *Controller) Sent(action Action, result, detail string) {
	if action.Copy > 0 {
		c.copies[action.Copy] = result
	}
	if a := c.attempts[action.Engine]; a != nil && result == CopyRefused {
		a.refused++
		a.detail = detail
	}
}

// Yield returns the records by which a daemon that has lost the lease tells what
// became of its copies. It sends none of them later. It must not be called while
// an order is being sent.
func (c *Controller) Yield(s *State) []Record {
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
		if action := c.settle(s, e, v); action.Kind != ActNothing || action.Verdict != "" {
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
	return Action{Kind: ActAppend, Engine: engine, Verdict: verdict, Records: records}
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

func (c *Controller) copyEnd(s *State, e EngineState, open Copy, result string) Record {
	r := c.record(s, KindSendEnd, e.Engine)
	r.Copy, r.Outcome = open.Number, result
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
		case ok && engine.Known && engine.Status.Incarnation != open.Incarnation:
			result = CopyCutOff
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
		return Action{Kind: ActRaise, Engine: e.Engine, Order: port.Order{
			ID: c.newID(), Kind: port.OrderRaiseFencing, Fencing: fencing,
		}}
	}
	engine, ok := v.engine(e.Engine)
	if !ok || !engine.Known || engine.Status.Phase != port.PhaseServing {
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
	return Action{Kind: ActSend, Engine: e.Engine, Order: order, Verdict: "send " + string(order.Kind)}
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
		return Action{Kind: ActRaise, Engine: e.Engine, Order: port.Order{
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
	result.Basis = basis(v.Configuration, engine.VM.Pool)
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
			Kind: ActSend, Engine: e.Engine, Order: order, Copy: open.Number,
			Verdict: "send " + string(order.Kind),
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
	return Action{Engine: e.Engine, Verdict: "order unresolved until the engine restarts", Reasons: copyReasons(e)}
}

func copyReasons(e EngineState) []decision.Input {
	return []decision.Input{
		decision.In("order-id", e.Copies[0].Order),
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
		action.Verdict = outcome + ", no further change until the engine restarts"
		action.Reasons = copyReasons(e)
	}
	return action
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
		v.Engines[i].Held = held(state)
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

func (v View) engine(id string) (Engine, bool) {
	for _, e := range v.Engines {
		if e.VM.ID == id {
			return e, true
		}
	}
	return Engine{}, false
}

// idle tells whether an order would interrupt nothing: no daemon sends to the
// engine any more, and it has no work left.
func (v View) idle(e Engine) bool {
	return e.Known && v.Acknowledged(e.VM.ID) && e.Status.Running == 0 && e.Status.Queued == 0
}

func (v View) checksFencing(e Engine) bool {
	pool := v.Configuration.Pool(e.VM.Pool)
	return pool != nil && pool.ChecksFencing
}

// allows tells whether a change keeps min_serving engines in service and stays
// within the weight store's rate.
func (v View) allows(s *State, change Change) bool {
	engine, ok := v.engine(change.Engine)
	if !ok || !v.MayChange(engine, change.Order) {
		return false
	}
	pool := v.Configuration.Pool(engine.VM.Pool)
	serving := 0
	for _, e := range v.Engines {
		if e.VM.Pool == engine.VM.Pool && e.Serving() && !v.Configuration.Withdrawn(e.VM) {
			serving++
		}
	}
	if pool == nil || serving-1 < pool.MinServing {
		return false
	}
	return change.Order.Kind != port.OrderLoadModel || v.mayLoad(s)
}

func (v View) mayLoad(s *State) bool {
	if v.Weights == nil || v.Weights.LoadsPerMinute <= 0 || v.Weights.ActiveLoads > 0 {
		return false
	}
	interval := time.Duration(float64(time.Minute) / v.Weights.LoadsPerMinute)
	return v.Now.Sub(s.LastLoad()) >= interval
}

package order

import (
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
)

// View is what the holder sees when it decides.
type View struct {
	Input
	// Acknowledged tells whether every daemon that could send to an engine has
	// acknowledged its open drain, or is proved gone.
	Acknowledged func(engine string) bool
	// Gone tells whether an incarnation on a VM is proved gone.
	Gone func(daemon, incarnation string) bool
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
}

// NewController returns a Controller; newID returns ids that are never repeated.
func NewController(opts lease.Options, planners []Planner, newID func() string) *Controller {
	return &Controller{opts: opts, planners: planners, newID: newID, raised: map[string]int64{}}
}

// Raised notes that an engine has confirmed a fencing number.
func (c *Controller) Raised(engine string, fencing int64) { c.raised[engine] = fencing }

// Yield returns the records by which a daemon that has lost the lease gives up its
// bindings. It must not be called while an order is being sent.
func (c *Controller) Yield(s *State) []Record {
	c.change = nil
	var out []Record
	for _, e := range s.Engines() {
		if e.Bound == c.opts.Holder {
			out = append(out, c.record(s, KindUnbind, e.Engine))
		}
	}
	return out
}

// Next returns the holder's next step. Pending orders come first, then drains,
// then a new change, so that at most one engine changes at a time.
func (c *Controller) Next(s *State, v View) Action {
	engines := s.Engines()
	for _, e := range engines {
		if e.Pending != nil {
			return c.settle(s, e, v)
		}
	}
	for _, e := range engines {
		if e.Drain > 0 {
			return c.drained(s, e, v)
		}
	}
	for _, e := range engines {
		if e.Bound == c.opts.Holder || v.Gone(e.BoundDaemon, e.Bound) {
			return appendAction("binding ended", e.Engine, c.record(s, KindUnbind, e.Engine))
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

// settle takes a pending order to its outcome. The order may be one of an earlier
// holder and may still arrive from there, so no different one is issued.
func (c *Controller) settle(s *State, e EngineState, v View) Action {
	if v.EngineGone(e.Engine) {
		return c.finish(s, e, OutcomeGone)
	}
	if e.Pending.Unfenced {
		if action, ready := c.bind(s, e, v); !ready {
			return action
		}
	} else if fencing := s.Lease.Lease().Fencing; c.raised[e.Engine] < fencing {
		return Action{Kind: ActRaise, Engine: e.Engine, Order: port.Order{
			ID: c.newID(), Kind: port.OrderRaiseFencing, Fencing: fencing,
		}}
	}
	engine, ok := v.engine(e.Engine)
	if !ok || !engine.Known || engine.Status.Phase != port.PhaseServing {
		return Action{}
	}
	if done(engine.Status, e.Pending.Order) {
		return c.finish(s, e, OutcomeDone)
	}
	if !v.idle(engine) {
		return Action{}
	}
	order := e.Pending.Order
	order.Fencing = max(e.Pending.Token, s.Lease.Lease().Fencing)
	return Action{Kind: ActSend, Engine: e.Engine, Order: order, Verdict: "send " + string(order.Kind)}
}

// bind makes this incarnation the only one that sends to an engine that ignores
// fencing. The one bound before may have been paused between its check and its
// send, so only its own release or proof that it is gone ends its binding.
func (c *Controller) bind(s *State, e EngineState, v View) (Action, bool) {
	switch {
	case e.Bound == c.opts.Holder:
		return Action{}, true
	case e.Bound == "":
		return appendAction("bind", e.Engine, c.record(s, KindBind, e.Engine)), false
	case v.Gone(e.BoundDaemon, e.Bound):
		return appendAction("bound daemon is gone", e.Engine, c.record(s, KindUnbind, e.Engine)), false
	}
	return Action{}, false
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

// finish records an outcome and returns the engine to service.
func (c *Controller) finish(s *State, e EngineState, outcome string) Action {
	result := c.record(s, KindOutcome, e.Engine)
	result.OrderID, result.Outcome = e.Pending.Order.ID, outcome
	records := []Record{result}
	if e.Bound == c.opts.Holder {
		records = append(records, c.record(s, KindUnbind, e.Engine))
	}
	records = append(records, c.record(s, KindDrainEnd, e.Engine))
	c.change = nil
	return appendAction(outcome, e.Engine, records...)
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
	unfenced := !v.checksFencing(engine)
	if unfenced {
		if action, ready := c.bind(s, e, v); !ready {
			return action
		}
	}
	announce := c.record(s, KindOrder, e.Engine)
	order := c.change.Order
	order.ID = c.newID()
	announce.Order, announce.Unfenced, announce.Reasons = &order, unfenced, c.change.Reasons
	action := appendAction("order "+string(order.Kind), e.Engine, announce)
	action.Reasons = c.change.Reasons
	return action
}

func (c *Controller) endDrain(s *State, e EngineState, verdict string) Action {
	c.change = nil
	records := []Record{c.record(s, KindDrainEnd, e.Engine)}
	if e.Bound == c.opts.Holder {
		records = append(records, c.record(s, KindUnbind, e.Engine))
	}
	return appendAction(verdict, e.Engine, records...)
}

// begin drains an engine for the first change that a planner proposes and that
// the limits allow.
func (c *Controller) begin(s *State, v View) Action {
	c.change = nil
	if v.Configuration == nil || v.Now.Before(c.notBefore) {
		return Action{}
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
	if !ok || !engine.Serving() {
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

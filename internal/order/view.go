package order

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// View is the input of Controller.Next besides State.
type View struct {
	Input
	// DrainAcknowledged reports whether every daemon that could send requests to an
	// engine has acknowledged its open drain or is proved to have stopped.
	DrainAcknowledged func(engine string) bool
	// EngineLeft reports whether an engine's VM has left permanently.
	EngineLeft func(engine string) bool
	// WeightStore is the status of the weight store, nil if it is unknown.
	WeightStore *port.WeightStatus
}

func (v View) engine(id string) (Engine, bool) {
	for _, e := range v.Engines {
		if e.VM.ID == id {
			return e, true
		}
	}
	return Engine{}, false
}

// idle reports whether an order would interrupt no request: every daemon has stopped
// sending requests to the engine, and none is running or queued there.
func (v View) idle(e Engine) bool {
	return e.Reachable && v.DrainAcknowledged(e.VM.ID) && e.Status.Running == 0 && e.Status.Queued == 0
}

func (v View) checksFencing(e Engine) bool {
	pool := v.Configuration.Pool(e.VM.Pool)
	return pool != nil && pool.ChecksFencing
}

// allows reports whether a change leaves at least min_serving engines of the pool in
// service and, if it loads a model, stays within the weight store's rate.
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

// mayLoad reports whether the weight store has no active load and its rate allows
// another one.
func (v View) mayLoad(s *State) bool {
	if v.WeightStore == nil || v.WeightStore.LoadsPerMinute <= 0 || v.WeightStore.ActiveLoads > 0 {
		return false
	}
	interval := time.Duration(float64(time.Minute) / v.WeightStore.LoadsPerMinute)
	return v.Now.Sub(s.LastLoad()) >= interval
}

package order

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// View is what the holder sees when it decides.
type View struct {
	Input
	// DrainAcknowledged tells whether every daemon that could send to an engine has
	// acknowledged its open drain, or is proved gone.
	DrainAcknowledged func(engine string) bool
	// EngineGone tells whether an engine's VM has left for good.
	EngineGone func(engine string) bool
	// WeightStore is the state of the weight store, nil when it is unknown.
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

// idle tells whether an order would interrupt nothing: no daemon sends to the
// engine any more, and it has no work left.
func (v View) idle(e Engine) bool {
	return e.Reachable && v.DrainAcknowledged(e.VM.ID) && e.Status.Running == 0 && e.Status.Queued == 0
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
	if v.WeightStore == nil || v.WeightStore.LoadsPerMinute <= 0 || v.WeightStore.ActiveLoads > 0 {
		return false
	}
	interval := time.Duration(float64(time.Minute) / v.WeightStore.LoadsPerMinute)
	return v.Now.Sub(s.LastLoad()) >= interval
}

package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	respond, err := e.Execute(o)
	switch {
	case errors.Is(err, port.ErrNotRun):
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if !respond {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, e.Status())
}

// Execute executes an order. It returns port.ErrStaleFencing if the engine checks
// fencing tokens and has received a higher one, and port.ErrNotRun if a fault makes it
// refuse the order. The result is false if the response must be dropped. An order with
// the id of the last executed order has no further effect.
func (e *Engine) Execute(o port.Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing {
		if o.Fencing < e.status.Fencing {
			return true, port.ErrStaleFencing
		}
		e.status.Fencing = o.Fencing
	}
	if o.Kind != port.OrderRaiseFencing && o.ID != e.status.LastOrder {
		if e.refuseOrder(o) {
			return true, port.ErrNotRun
		}
		e.beginChange(o)
	}
	if e.faults.LoseOrderResponses > 0 {
		e.faults.LoseOrderResponses--
		return false, nil
	}
	return true, nil
}

// refuseOrder reports whether a fault makes the engine refuse an order, and counts the
// refusal. Engine.mu is held.
func (e *Engine) refuseOrder(o port.Order) bool {
	if e.faults.RefuseOrders > 0 {
		e.faults.RefuseOrders--
		return true
	}
	return e.versionMissing(o) && !e.faults.FailLate
}

// versionMissing reports whether an order loads EngineFaults.MissingVersion. Engine.mu
// is held.
func (e *Engine) versionMissing(o port.Order) bool {
	return o.Kind == port.OrderLoadModel && o.Version != "" && o.Version == e.faults.MissingVersion
}

// beginChange records an order and starts its change, which ends after
// EngineOptions.ChangeTime. Engine.mu is held.
func (e *Engine) beginChange(o port.Order) {
	e.orders = append(e.orders, o)
	if e.status.Phase == port.PhaseChanging || o.Fencing < e.highestFencing {
		e.conflicts++
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	e.status.LastOrder = o.ID
	e.status.Phase = port.PhaseChanging
	e.interrupted += e.status.Running
	if e.faults.CrashOnOrder {
		e.faults.CrashOnOrder = false
		e.status.LastOrder = ""
		e.crashLocked()
		return
	}
	generation := e.generation
	time.AfterFunc(e.opts.ChangeTime, func() { e.endChange(o, generation) })
}

// endChange ends the change of an order, unless the engine has crashed since it began.
func (e *Engine) endChange(o port.Order, generation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	switch {
	case e.versionMissing(o):
	case o.Kind == port.OrderSetRole:
		e.status.Role = o.Role
	case o.Kind == port.OrderLoadModel:
		e.status.Model, e.status.Version, e.status.Adapter = o.Model, o.Version, o.Adapter
	}
	e.status.Phase = port.PhaseServing
}

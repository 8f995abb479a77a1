package order

import (
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// Engine is what a planner knows of one engine of the data centre.
type Engine struct {
	VM     port.VM
	Status port.EngineStatus
	// Reachable is set when the engine answered a moment ago.
	Reachable bool
	// Changing is set while a drain or an order is open.
	Changing bool
	// BlockReason tells why no change may be proposed although the engine serves, "" when
	// one may.
	BlockReason string
}

// Serving tells whether the engine takes new work.
func (e Engine) Serving() bool {
	return e.Reachable && !e.Changing && !e.Leaving() && e.Status.Phase == port.PhaseServing
}

// Leaving tells whether the engine is about to stop.
func (e Engine) Leaving() bool { return e.VM.State == port.VMLeaving || e.Status.Leaving }

// Input is what a planner decides from.
type Input struct {
	Now           time.Time
	Configuration *profile.Snapshot
	// Engines are those of the data centre, sorted by VM id.
	Engines []Engine

	// refusals holds the withdrawn changes by engine.
	refusals map[string][]Refusal
}

// MayChange tells whether a change of an engine may be proposed: the engine serves,
// and no order for the same change was withdrawn a short while ago.
func (in Input) MayChange(e Engine, change port.Order) bool {
	if !e.Serving() || e.BlockReason != "" {
		return false
	}
	digest := basis(in.Configuration, e.VM.Pool)
	return !slices.ContainsFunc(in.refusals[e.VM.ID], func(r Refusal) bool {
		return r.blocks(change, digest, in.Now)
	})
}

// Change is an order that a planner proposes. The order's ID and Fencing are
// filled in later.
type Change struct {
	// Engine is the VM id.
	Engine  string
	Order   port.Order
	Reasons []decision.Input
}

// Planner proposes at most one change, or nil. It is asked again until the engines
// are as it wants them.
type Planner interface {
	Plan(in Input) *Change
}

// VersionPlanner rolls engines to the model versions that the configuration names.
type VersionPlanner struct{}

// Plan implements Planner.
func (VersionPlanner) Plan(in Input) *Change {
	for _, e := range in.Engines {
		pool := in.Configuration.Pool(e.VM.Pool)
		if pool == nil {
			continue
		}
		want := pool.Version(e.Status.Model)
		if want == "" || want == e.Status.Version {
			continue
		}
		load := port.Order{
			Kind:    port.OrderLoadModel,
			Model:   e.Status.Model,
			Version: want,
			Adapter: e.Status.Adapter,
		}
		if !in.MayChange(e, load) {
			continue
		}
		return &Change{
			Engine: e.VM.ID,
			Order:  load,
			Reasons: []decision.Input{
				decision.In("revision", in.Configuration.Revision),
				decision.In("loaded-version", e.Status.Version),
				decision.In("wanted-version", want),
			},
		}
	}
	return nil
}

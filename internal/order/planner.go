package order

import (
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// Engine is a planner's input about one engine of the data centre.
type Engine struct {
	VM     port.VM
	Status port.EngineStatus
	// Reachable is set if the engine's newest status request succeeded.
	Reachable bool
	// Changing is set while a drain or an order is open.
	Changing bool
	// BlockReason is why no change may be proposed although the engine serves, "" if
	// one may be proposed.
	BlockReason string
}

// Serving reports whether the engine accepts new requests.
func (e Engine) Serving() bool {
	return e.Reachable && !e.Changing && !e.Leaving() && e.Status.Phase == port.PhaseServing
}

// Leaving reports whether the engine is about to stop.
func (e Engine) Leaving() bool { return e.VM.State == port.VMLeaving || e.Status.Leaving }

// Input is the input of a planner.
type Input struct {
	Now           time.Time
	Configuration *profile.Snapshot
	// Engines are the engines of the data centre, sorted by VM id.
	Engines []Engine

	// refusals holds the withdrawn changes of each engine, by VM id.
	refusals map[string][]Refusal
}

// MayChange reports whether a change of an engine may be proposed: the engine serves,
// nothing else blocks it, and the delay after a withdrawn order for the same change
// has passed.
func (in Input) MayChange(e Engine, change port.Order) bool {
	if !e.Serving() || e.BlockReason != "" {
		return false
	}
	digest := poolDigest(in.Configuration, e.VM.Pool)
	return !slices.ContainsFunc(in.refusals[e.VM.ID], func(r Refusal) bool {
		return r.blocks(change, digest, in.Now)
	})
}

// Change is an order that a planner proposes. The Controller fills in the order's ID
// and Fencing.
type Change struct {
	// Engine is the VM id.
	Engine  string
	Order   port.Order
	Reasons []decision.Input
}

// Planner proposes changes of engines. Plan returns one change, or nil if the engines
// are in the planner's desired state; it is called again after each change.
type Planner interface {
	Plan(in Input) *Change
}

// VersionPlanner proposes loads of the model versions that the configuration requires,
// one engine at a time.
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

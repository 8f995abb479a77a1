// Package engineview merges what several daemons observe of engines, so that each
// engine needs only a few watchers. Observations are ordered by their age, which
// needs no common clock.
package engineview

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Observation is what some daemon saw of one engine.
type Observation struct {
	Status port.EngineStatus
	// At is when it was seen, on the local clock.
	At time.Time
}

// slow returns the part of the status that changes rarely.
func (o Observation) slow() port.EngineStatus {
	s := o.Status
	s.Running, s.Queued, s.QueuedPrefillTokens, s.RunningTokens, s.KVUsed = 0, 0, 0, 0, 0
	s.Time = time.Time{}
	return s
}

// Change passes on a new state of one engine. On the wire it is a wireChange.
type Change struct {
	VM string
	// Status is the part of the engine's status that changes rarely.
	Status port.EngineStatus
	// AgeMS is the age of the observation in milliseconds when it was sent.
	AgeMS int64
}

// feedback is how many sends a change counts for when another daemon sends it too
// (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
const feedback = 8

// record is what the view holds of one engine.
type record struct {
	vm         string
	dataCentre string
	// engine is set for an engine on the VM list; a daemon has a record too.
	engine bool
	key    uint32
	// state is the newest observation, load the newest observation of the load.
	state Observation
	// sum identifies the slow part of state; 0 means that nothing is known.
	sum   byte
	load  time.Time
	sends int
}

// View holds the newest observations of all engines. It is not safe for
// concurrent use.
type View struct {
	records map[string]*record
	byKey   map[uint32]*record
	// maxSends is how often a change is passed on.
	maxSends int
	// quietUntil is when first observations become news.
	quietUntil time.Time
}

// New returns an empty view that passes each change on maxSends times. The first
// state of an engine that it learns before quietUntil is not passed on: a fleet that
// starts all at once would pass on every engine. Daemons ask for what they miss.
func New(maxSends int, quietUntil time.Time) *View {
	return &View{
		records:    map[string]*record{},
		byKey:      map[uint32]*record{},
		maxSends:   maxSends,
		quietUntil: quietUntil,
	}
}

// Retain forgets all engines but the given ones, and takes in their data centres.
func (v *View) Retain(vms []port.VM) {
	keep := make(map[string]bool, len(vms))
	for _, vm := range vms {
		keep[vm.ID] = true
		r := v.record(vm.ID)
		r.dataCentre = vm.DataCentre
		r.engine = vm.Kind == port.KindEngine
	}
	for vm, r := range v.records {
		if !keep[vm] {
			delete(v.records, vm)
			delete(v.byKey, r.key)
		}
	}
}

func (v *View) record(vm string) *record {
	r, ok := v.records[vm]
	if !ok {
		r = &record{vm: vm, key: uint32(xxhash.Sum64String(vm)), sends: v.maxSends}
		v.records[vm] = r
		v.byKey[r.key] = r
	}
	return r
}

// Observe takes in an observation and reports whether it was news.
func (v *View) Observe(vm string, o Observation) bool {
	r := v.record(vm)
	if !o.At.After(r.state.At) {
		return false
	}
	first := r.state.At.IsZero()
	if first && o.At.Before(v.quietUntil) {
		r.sends = v.maxSends
	} else if first || o.slow() != r.state.slow() {
		r.sends = 0
	}
	if r.load.After(o.At) {
		o.Status = withLoad(o.Status, r.state.Status)
	} else {
		r.load = o.At
	}
	r.state = o
	r.sum = checksum(o)
	return true
}

// checksum returns a value other than 0 that identifies the slow part of an
// observation.
func checksum(o Observation) byte {
	// A status holds only plain values, so that it can always be encoded.
	data, _ := json.Marshal(o.slow())
	return byte(xxhash.Sum64(data)%math.MaxUint8) + 1
}

// Get returns the newest observation of an engine.
func (v *View) Get(vm string) (Observation, bool) {
	r, ok := v.records[vm]
	if !ok || r.state.At.IsZero() {
		return Observation{}, false
	}
	o := r.state
	if r.load.After(o.At) {
		o.At = r.load
	}
	return o, true
}

// Changes returns up to limit changes to pass on, the least often sent first.
func (v *View) Changes(limit int, now time.Time) []Change {
	var pending []*record
	for _, r := range v.records {
		if r.sends < v.maxSends {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.vm, b.vm))
	})
	pending = pending[:min(limit, len(pending))]
	out := make([]Change, 0, len(pending))
	for _, r := range pending {
		r.sends++
		out = append(out, r.change(now))
	}
	return out
}

func (r *record) change(now time.Time) Change {
	return Change{
		VM:     r.vm,
		Status: r.state.slow(),
		AgeMS:  now.Sub(r.state.At).Milliseconds(),
	}
}

// ChangesByKey returns the state of the engines with the given keys.
func (v *View) ChangesByKey(keys []uint32, now time.Time) []Change {
	var out []Change
	for _, key := range keys {
		if r, ok := v.byKey[key]; ok && !r.state.At.IsZero() {
			out = append(out, r.change(now))
		}
	}
	return out
}

// MissingKeys returns the keys of engines without a known state by data centre.
func (v *View) MissingKeys() map[string][]uint32 {
	out := map[string][]uint32{}
	for _, r := range v.records {
		if r.engine && r.state.At.IsZero() {
			out[r.dataCentre] = append(out[r.dataCentre], r.key)
		}
	}
	for _, keys := range out {
		slices.Sort(keys)
	}
	return out
}

// All returns the state of every engine, for a daemon that has just started.
func (v *View) All(now time.Time) []Change {
	out := make([]Change, 0, len(v.records))
	for _, r := range v.records {
		if !r.state.At.IsZero() {
			out = append(out, r.change(now))
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// ApplyFetched takes in the state of every engine from a peer that knows it, so that
// nothing of it needs to be passed on.
func (v *View) ApplyFetched(changes []Change, now time.Time) {
	v.Apply(changes, now)
	for _, c := range changes {
		if r, ok := v.records[c.VM]; ok {
			r.sends = v.maxSends
		}
	}
}

// Apply takes in changes from a peer.
func (v *View) Apply(changes []Change, now time.Time) {
	for _, c := range changes {
		v.applyChange(c, now)
	}
}

func (v *View) applyChange(c Change, now time.Time) {
	r, ok := v.records[c.VM]
	if !ok {
		return
	}
	o := Observation{At: now.Add(-time.Duration(c.AgeMS) * time.Millisecond)}
	o.Status = withLoad(c.Status, r.state.Status)
	if !r.state.At.IsZero() && o.slow() == r.state.slow() {
		r.sends = min(r.sends+feedback, v.maxSends)
	}
	load := r.load
	v.Observe(c.VM, o)
	// A change carries no load, so the age of the known load stays.
	r.load = load
}

// withLoad returns status with the load figures of another one.
func withLoad(status, load port.EngineStatus) port.EngineStatus {
	status.Running = load.Running
	status.Queued = load.Queued
	status.QueuedPrefillTokens = load.QueuedPrefillTokens
	status.RunningTokens = load.RunningTokens
	status.KVUsed = load.KVUsed
	return status
}

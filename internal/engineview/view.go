// Package engineview merges the observations of engines by several daemons, so that
// only a few daemons have to watch each engine. Observations are ordered by their age,
// which needs no synchronised clocks.
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

// Observation is the status of one engine as observed by some daemon.
type Observation struct {
	Status port.EngineStatus
	// At is when the status was observed, on the local clock.
	At time.Time
}

// stableStatus returns the part of the status that changes rarely.
func (o Observation) stableStatus() port.EngineStatus {
	s := o.Status
	s.Running, s.Queued, s.QueuedPrefillTokens, s.RunningTokens, s.KVUsed = 0, 0, 0, 0, 0
	s.Time = time.Time{}
	return s
}

// Change carries a new state of one engine to a peer. On the wire it is a wireChange.
type Change struct {
	VM string
	// Status is the part of the engine's status that changes rarely.
	Status port.EngineStatus
	// AgeMS is the age of the observation when it was sent, in milliseconds.
	AgeMS int64
}

// feedbackSends is added to the number of sends of a change when a peer sends the same
// state, because then other daemons have it already (Demers et al., "Epidemic algorithms
// for replicated database maintenance", 1987).
const feedbackSends = 8

// record is the state of one VM in a View.
type record struct {
	vm         string
	dataCentre string
	// engine is set for an engine on the VM list. Other VMs, such as daemons, have
	// records too.
	engine bool
	// key is a hash of vm that identifies the record in packed loads.
	key uint32
	// state is the newest observation; its load figures are as of loadAt.
	state Observation
	// checksum identifies the stable status of state; 0 means that no state is known.
	checksum byte
	loadAt   time.Time
	// sends is how often the newest change was sent.
	sends int
}

// View holds the newest observations of all engines. It is not safe for
// concurrent use.
type View struct {
	records map[string]*record
	byKey   map[uint32]*record
	// maxSends is how often a change is sent.
	maxSends int
	// startupEnd is the time from which the first state of an engine is sent to peers.
	startupEnd time.Time
}

// New returns an empty view that sends each change maxSends times. The first state of
// an engine is not sent if it was observed before startupEnd, because daemons that all
// start at once would send every engine. Daemons request the states that they miss.
func New(maxSends int, startupEnd time.Time) *View {
	return &View{
		records:    map[string]*record{},
		byKey:      map[uint32]*record{},
		maxSends:   maxSends,
		startupEnd: startupEnd,
	}
}

// Retain removes all VMs but the given ones and records their data centres and kinds.
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

// record returns the record of a VM and creates it if there is none.
func (v *View) record(vm string) *record {
	r, ok := v.records[vm]
	if !ok {
		r = &record{vm: vm, key: uint32(xxhash.Sum64String(vm)), sends: v.maxSends}
		v.records[vm] = r
		v.byKey[r.key] = r
	}
	return r
}

// Observe merges an observation and reports whether it is newer than the known one.
func (v *View) Observe(vm string, o Observation) bool {
	r := v.record(vm)
	if !o.At.After(r.state.At) {
		return false
	}
	first := r.state.At.IsZero()
	if first && o.At.Before(v.startupEnd) {
		r.sends = v.maxSends
	} else if first || o.stableStatus() != r.state.stableStatus() {
		r.sends = 0
	}
	if r.loadAt.After(o.At) {
		o.Status = withLoad(o.Status, r.state.Status)
	} else {
		r.loadAt = o.At
	}
	r.state = o
	r.checksum = checksum(o)
	return true
}

// checksum returns a value other than 0 that identifies the stable status of an
// observation.
func checksum(o Observation) byte {
	// A status has only fields of basic types and times, so encoding cannot fail.
	data, _ := json.Marshal(o.stableStatus())
	return byte(xxhash.Sum64(data)%math.MaxUint8) + 1
}

// Get returns the newest observation of an engine. Its time is that of the load figures
// if they are newer than the rest of the status.
func (v *View) Get(vm string) (Observation, bool) {
	r, ok := v.records[vm]
	if !ok || r.state.At.IsZero() {
		return Observation{}, false
	}
	o := r.state
	if r.loadAt.After(o.At) {
		o.At = r.loadAt
	}
	return o, true
}

// Changes returns up to limit changes to send to a peer, the least often sent first,
// and counts them as sent.
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
		Status: r.state.stableStatus(),
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

// MissingKeys returns the keys of engines without a known state, by data centre.
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

// ApplyFetched merges states that this daemon requested from a peer. They are not
// forwarded, because the peer already has them.
func (v *View) ApplyFetched(changes []Change, now time.Time) {
	v.Apply(changes, now)
	for _, c := range changes {
		if r, ok := v.records[c.VM]; ok {
			r.sends = v.maxSends
		}
	}
}

// Apply merges changes from a peer. Changes of VMs without a record are ignored.
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
	if !r.state.At.IsZero() && o.stableStatus() == r.state.stableStatus() {
		r.sends = min(r.sends+feedbackSends, v.maxSends)
	}
	load := r.loadAt
	v.Observe(c.VM, o)
	// A change carries no load, so the time of the known load stays.
	r.loadAt = load
}

// withLoad returns status with its load figures replaced by those of load.
func withLoad(status, load port.EngineStatus) port.EngineStatus {
	status.Running = load.Running
	status.Queued = load.Queued
	status.QueuedPrefillTokens = load.QueuedPrefillTokens
	status.RunningTokens = load.RunningTokens
	status.KVUsed = load.KVUsed
	return status
}

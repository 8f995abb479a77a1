// Package routing chooses the upstream for a request from an immutable snapshot
// of the fleet.
package routing

import (
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Upstream is one engine or service and what this daemon knows of it.
type Upstream struct {
	VM      port.VM
	Engine  port.Engine
	Service port.Service

	inFlight atomic.Int64
	closed   atomic.Bool
	status   atomic.Pointer[Report]
}

// Report is an engine's status and when this daemon received it.
type Report struct {
	Status   port.EngineStatus
	Received time.Time
	// Failed is set when the engine did not answer.
	Failed bool
}

// SetReport stores the newest report.
func (u *Upstream) SetReport(r *Report) { u.status.Store(r) }

// Report returns the newest report, or nil.
func (u *Upstream) Report() *Report { return u.status.Load() }

// Begin counts a request as in flight; the returned function ends it.
func (u *Upstream) Begin() func() {
	u.inFlight.Add(1)
	return func() { u.inFlight.Add(-1) }
}

// SetClosed tells whether the upstream is closed to new requests, because it is
// drained or withdrawn.
func (u *Upstream) SetClosed(closed bool) { u.closed.Store(closed) }

// TryBegin counts a request as in flight unless the upstream is closed. A caller
// that closes an upstream and then sees no request in flight knows that none
// follows, because the request is counted before the check.
func (u *Upstream) TryBegin() (end func(), ok bool) {
	end = u.Begin()
	if u.closed.Load() {
		end()
		return nil, false
	}
	return end, true
}

// InFlight returns the number of requests that this daemon has in flight.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// Table is an immutable view of the fleet by pool.
type Table struct {
	pools map[string][]*Upstream
}

// NewTable returns a table of the given upstreams.
func NewTable(upstreams []*Upstream) *Table {
	t := &Table{pools: map[string][]*Upstream{}}
	for _, u := range upstreams {
		t.pools[u.VM.Pool] = append(t.pools[u.VM.Pool], u)
	}
	return t
}

// Pool returns the upstreams of a pool.
func (t *Table) Pool(name string) []*Upstream { return t.pools[name] }

// Request describes what an upstream is wanted for.
type Request struct {
	Pool       string
	Model      string
	DataCentre string
	// Excluded holds ids of VMs that failed this request already.
	Excluded map[string]bool
}

// Pick returns the upstream with the least load, in the request's data centre if
// there is one, or nil.
func (t *Table) Pick(r Request) *Upstream {
	var best *Upstream
	for _, u := range t.pools[r.Pool] {
		if u.usable(r) && (best == nil || u.better(best, r.DataCentre)) {
			best = u
		}
	}
	return best
}

func (u *Upstream) usable(r Request) bool {
	if u.closed.Load() || u.VM.State == port.VMLeaving || r.Excluded[u.VM.ID] {
		return false
	}
	if u.VM.Kind != port.KindEngine {
		return true
	}
	report := u.Report()
	if report == nil || report.Failed {
		return false
	}
	s := report.Status
	return s.Phase == port.PhaseServing && !s.Leaving && s.Model == r.Model
}

func (u *Upstream) better(other *Upstream, dataCentre string) bool {
	local, otherLocal := u.VM.DataCentre == dataCentre, other.VM.DataCentre == dataCentre
	if local != otherLocal {
		return local
	}
	return u.load() < other.load()
}

func (u *Upstream) load() int64 {
	if r := u.Report(); r != nil {
		return max(u.InFlight(), int64(r.Status.Running))
	}
	return u.InFlight()
}

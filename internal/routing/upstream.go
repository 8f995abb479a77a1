package routing

import (
	"math"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// defaultCapacity, in tokens per second, is assumed for an engine that reports none.
const defaultCapacity = 1000

// peerLoadHalfLife is the half-life with which the load of other daemons in a report decays,
// because part of it has completed since the report.
const peerLoadHalfLife = 2 * time.Second

// Upstream is the state of one engine or plain service as this daemon observes it. Its methods
// are safe for concurrent use.
type Upstream struct {
	VM      port.VM
	Engine  port.Engine
	Service port.Service

	inFlight atomic.Int64
	// tokens counts prompt tokens and predicted output tokens in flight.
	tokens atomic.Int64
	// limit is the bound on tokens set by SetLimit; 0 means no limit.
	limit  atomic.Int64
	sent   sentLog
	status atomic.Pointer[Report]
	closed atomic.Bool
}

// Report is the status of an engine and the time at which this daemon received it.
type Report struct {
	Status   port.EngineStatus
	Received time.Time
	// Lag is the age of the status at the time of receipt.
	Lag time.Duration
	// Failed is set if the engine did not respond.
	Failed bool

	// inFlight is this daemon's number of in-flight requests at the upstream at the time of
	// receipt.
	inFlight int64
}

// SetReport stores a copy of the newest report.
func (u *Upstream) SetReport(r *Report) {
	if r == nil {
		u.status.Store(nil)
		return
	}
	stored := *r
	stored.inFlight = u.InFlight()
	u.status.Store(&stored)
}

// Report returns the newest report, or nil.
func (u *Upstream) Report() *Report { return u.status.Load() }

// SetClosed sets whether the upstream is closed to new requests because it is draining or
// withdrawn.
func (u *Upstream) SetClosed(closed bool) { u.closed.Store(closed) }

// Closed reports whether the upstream is closed to new requests. A caller that calls Begin
// before Closed cannot race with one that closes the upstream and then waits until InFlight
// is 0: either the former sees that the upstream is closed, or the latter sees the request in
// flight.
func (u *Upstream) Closed() bool { return u.closed.Load() }

// SetLimit sets the number of tokens that this daemon may have in flight at the upstream
// before other upstreams are preferred; 0 means no limit.
func (u *Upstream) SetLimit(tokens int64) { u.limit.Store(tokens) }

// Begin counts a request as in flight. The returned function ends the request.
func (u *Upstream) Begin() func() { return u.BeginTokens(time.Time{}, 0, 0) }

// BeginTokens counts a request and its tokens as in flight, sent at now. The returned function
// ends the request; its calls after the first have no effect.
func (u *Upstream) BeginTokens(now time.Time, promptTokens, outputTokens int) func() {
	total := int64(promptTokens + outputTokens)
	u.inFlight.Add(1)
	u.tokens.Add(total)
	if promptTokens > 0 {
		u.sent.add(now, int64(promptTokens))
	}
	var ended atomic.Bool
	return func() {
		if ended.Swap(true) {
			return
		}
		u.inFlight.Add(-1)
		u.tokens.Add(-total)
	}
}

// InFlight returns the number of requests that this daemon has in flight.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// TokensInFlight returns the number of prompt and predicted output tokens in flight.
func (u *Upstream) TokensInFlight() int64 { return u.tokens.Load() }

// usable reports whether the upstream may receive the request: it is not excluded, is serving
// and, if it is an engine, serves the requested model and runs the software version that began
// the response.
func (u *Upstream) usable(r *Request) bool {
	if len(r.Excluded) > 0 && r.Excluded[u.VM.ID] {
		return false
	}
	if !u.Serving() {
		return false
	}
	if u.VM.Kind != port.KindEngine {
		return true
	}
	status := u.Report().Status
	return status.Model == r.Model && (!r.Resumes || status.Software == r.Software)
}

// Serving reports whether the upstream accepts new requests.
func (u *Upstream) Serving() bool {
	if u.VM.State == port.VMLeaving || u.closed.Load() {
		return false
	}
	if u.VM.Kind != port.KindEngine {
		return true
	}
	report := u.Report()
	if report == nil || report.Failed {
		return false
	}
	return report.Status.Phase == port.PhaseServing && !report.Status.Leaving
}

// MayResume reports whether the upstream, now or after a failure or a drain, may continue a
// response of a model that engines of a software version began. An engine that has not reported
// yet may.
func (u *Upstream) MayResume(model, software string) bool {
	if u.VM.Kind != port.KindEngine || u.VM.State == port.VMLeaving {
		return false
	}
	report := u.Report()
	if report == nil {
		return true
	}
	return report.Status.Model == model && report.Status.Software == software && !report.Status.Leaving
}

// load is the predicted load of an upstream.
type load struct {
	// queuedTokens counts queued prompt tokens, running counts requests.
	queuedTokens float64
	running      float64
	// capacity is in tokens per second.
	capacity float64
}

// predictLoad corrects the report for its age and for the requests sent since.
func (u *Upstream) predictLoad(now time.Time) load {
	local := float64(u.InFlight())
	r := u.Report()
	if r == nil {
		return load{running: local, capacity: defaultCapacity}
	}
	l := load{capacity: defaultCapacity}
	if r.Status.Capacity > 0 {
		l.capacity = float64(r.Status.Capacity)
	}
	measuredAt := r.Received.Add(-r.Lag)
	age := max(0, now.Sub(measuredAt))
	peers := max(0, float64(r.Status.Running+r.Status.Queued)-float64(r.inFlight))
	decay := math.Exp2(-float64(age) / float64(peerLoadHalfLife))
	l.running = local + peers*decay
	l.queuedTokens = u.sent.backlog(now, measuredAt, float64(r.Status.QueuedPrefillTokens), l.capacity)
	return l
}

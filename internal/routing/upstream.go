package routing

import (
	"math"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// defaultCapacity, in tokens per second, is assumed of an engine that reports none.
const defaultCapacity = 1000

// otherLoadHalfLife is the age of a report after which only half of the load that
// other daemons caused is believed.
const otherLoadHalfLife = 2 * time.Second

// Upstream is one engine or service and what this daemon knows of it.
type Upstream struct {
	VM      port.VM
	Engine  port.Engine
	Service port.Service

	inFlight atomic.Int64
	// tokens counts prompt and predicted output tokens in flight.
	tokens atomic.Int64
	limit  atomic.Int64
	sent   sentLog
	status atomic.Pointer[Report]
	closed atomic.Bool
}

// Report is an engine's status and when this daemon received it.
type Report struct {
	Status   port.EngineStatus
	Received time.Time
	// Lag is how old the status was when it was received.
	Lag time.Duration
	// Failed is set when the engine did not answer.
	Failed bool

	// inFlight is the daemon's own count when the report arrived.
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

// SetClosed tells whether the upstream is closed to new requests, because it is
// drained or withdrawn.
func (u *Upstream) SetClosed(closed bool) { u.closed.Store(closed) }

// Closed tells whether the upstream is closed to new requests. A request that is
// counted with Begin before it asks cannot be missed by a caller that closes the
// upstream and then sees no request in flight.
func (u *Upstream) Closed() bool { return u.closed.Load() }

// SetLimit sets the work, in tokens, that this daemon may have in flight at the
// upstream before others are preferred; 0 means no limit.
func (u *Upstream) SetLimit(tokens int64) { u.limit.Store(tokens) }

// Begin counts a request as in flight; the returned function ends it.
func (u *Upstream) Begin() func() { return u.BeginTokens(time.Time{}, 0, 0) }

// BeginTokens counts a request with its tokens as sent at now; the returned
// function ends it.
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

// TokensInFlight returns the work in flight, in tokens of prompt and predicted output.
func (u *Upstream) TokensInFlight() int64 { return u.tokens.Load() }

// usable tells whether the upstream may get new work of the request.
func (u *Upstream) usable(r *Request) bool {
	if len(r.Excluded) > 0 && r.Excluded[u.VM.ID] {
		return false
	}
	if !u.Serving() {
		return false
	}
	return u.VM.Kind != port.KindEngine || u.Report().Status.Model == r.Model
}

// Serving tells whether the upstream takes new work.
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

// load is what an upstream is predicted to have to do.
type load struct {
	// prefill counts prompt tokens that wait; running counts requests.
	prefill float64
	running float64
	// capacity is in tokens per second.
	capacity float64
}

// predictLoad corrects the report by its age and by what was sent since.
func (u *Upstream) predictLoad(now time.Time) load {
	own := float64(u.InFlight())
	r := u.Report()
	if r == nil {
		return load{running: own, capacity: defaultCapacity}
	}
	l := load{capacity: defaultCapacity}
	if r.Status.Capacity > 0 {
		l.capacity = float64(r.Status.Capacity)
	}
	taken := r.Received.Add(-r.Lag)
	age := max(0, now.Sub(taken))
	others := max(0, float64(r.Status.Running+r.Status.Queued)-float64(r.inFlight))
	belief := math.Exp2(-float64(age) / float64(otherLoadHalfLife))
	l.running = own + others*belief
	l.prefill = u.sent.backlog(now, taken, float64(r.Status.QueuedPrefillTokens), l.capacity)
	return l
}

package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/spread"
)

// Fleet holds the state of all runners as one daemon observes it. It is safe for
// concurrent use.
type Fleet struct {
	dataCentre string
	daemon     string

	mu      sync.Mutex
	cells   cells
	members map[string]*member
	// lapsed holds the members of runners that are no longer in the list, the latest one last.
	lapsed []*member
	// services maps a service to its runners.
	services map[string][]*member
	limits   map[string]*port.EngineLimits
	// maxConnections holds the number of connections that a runner accepts from all daemons, by service.
	maxConnections map[string]int
	// models maps a service to the models fitted to its engines.
	models map[string]models
	// cellPeers is the number of daemons that choose among the engines of the local cell beside this one, 0 if the fleet
	// is not divided or spreads is not set. arrivals holds the work that this daemon sends, by service and kind of send.
	cellPeers int
	spreads   bool
	arrivals  map[string]*arrivals
	// daemons is the number of daemons, this one included.
	daemons int
	// roomQueues holds the streams that wait for room; a version for which none waits has no entry.
	roomQueues map[versionKey]*roomQueue
	// options and spreadBuffer are buffers of spread.
	options      []option
	spreadBuffer []spread.Candidate
	// random returns a number in [0, 1).
	random func() float64
	// meanLoad is the mean load of the engines of the local cell, by service and role.
	meanLoad     map[poolKey]Load
	lastSequence int64
	// leaving holds the start times of the runners that announced that they leave, by id.
	leaving map[string]int64
	// limitShare is the part of the limits of runners that this daemon and those that it hears may
	// use. limitedRunners is at least 1 while a limit is in force, so that responses need not take
	// the lock otherwise.
	limitShare     float64
	limitedRunners atomic.Int32
	// paths holds the reachability of data centres by name.
	paths map[string]*pathState
}

// NewFleet returns an empty fleet for the given daemon and its data centre.
func NewFleet(dataCentre, daemon string) *Fleet {
	return &Fleet{dataCentre: dataCentre, daemon: daemon, members: map[string]*member{}, services: map[string][]*member{}, models: map[string]models{}, leaving: map[string]int64{}, limitShare: 1, paths: map[string]*pathState{}, arrivals: map[string]*arrivals{}, random: rand.Float64, daemons: 1, roomQueues: map[versionKey]*roomQueue{}}
}

// SetServices replaces the engine limits of all services.
func (f *Fleet) SetServices(services map[string]port.ForwardService) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits, f.maxConnections = map[string]*port.EngineLimits{}, map[string]int{}
	for name, s := range services {
		f.limits[name], f.maxConnections[name] = s.Engine, s.MaxConnections
	}
	for _, m := range f.members {
		f.setLimits(m)
	}
}

// setLimits sets the limits of a member to those of its service. The caller holds f.mu.
func (f *Fleet) setLimits(m *member) {
	m.limits = f.limits[m.runner.Service]
	if m.limits != nil {
		m.cache.capacity = int64(float64(m.limits.KVTokens) * cacheCapacityShare)
	}
}

// SetRunners replaces the list of runners. Runners that keep their id, address and
// service keep their state, also if they were not in the list for a while.
func (f *Fleet) SetRunners(runners []port.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make(map[string]*member, len(runners))
	services := map[string][]*member{}
	for _, r := range runners {
		m, ok := f.members[r.ID]
		if !ok {
			m, ok = f.takeLapsed(r)
		}
		if ok && m.runner.Address == r.Address && m.runner.Service == r.Service {
			m.update(r)
		} else {
			m = newMember(f.daemon, r, f.limits[r.Service], f.modelsOf(r.Service))
		}
		m.leaving = m.leaving || f.announcedLeaving(r.ID, r.StartedMS)
		members[r.ID] = m
		services[r.Service] = append(services[r.Service], m)
	}
	f.keepLapsed(members)
	f.members, f.services = members, services
	f.assignCells()
}

// modelsOf returns the models of a service and creates them if necessary. The caller
// holds f.mu.
func (f *Fleet) modelsOf(service string) models {
	serviceModels, ok := f.models[service]
	if !ok {
		serviceModels = newModels()
		f.models[service] = serviceModels
	}
	return serviceModels
}

// InFlightRequest is one request that is in flight at a runner. The fields that change
// after it began are guarded by Fleet.mu.
type InFlightRequest struct {
	fleet   *Fleet
	member  *member
	runner  port.Runner
	urgency int
	// uncached is the number of prompt tokens to prefill, context the length of the whole
	// prompt in tokens.
	uncached int
	context  int
	parts    []port.PromptPart
	// fetchFrom is the address of the engine to fetch cached parts from, or empty.
	fetchFrom   string
	prefillTime time.Duration
	kvTokens    int
	beganAt     time.Time
	// sequence numbers the requests of the fleet in the order in which they began.
	sequence int64
	// queueWasEmpty is set if no prompt was queued or in prefill at the runner when the
	// request began.
	queueWasEmpty bool
	// placedInDoubt is set if the process of the runner was in doubt when the request began.
	placedInDoubt bool
	prefilled     bool
	ended         bool
	// onTime is set while a stream at a decode engine has met its deadline for the first
	// event and its limit for gaps.
	onTime             bool
	firstEventDeadline time.Time
	allowedGap         time.Duration
	// firstEvent and lastEvent are the times of the first and of the last event.
	firstEvent, lastEvent time.Time
	// silent is set if silence of the request's stream was recorded as a failure of the runner.
	silent bool
	// failureCounted is set if a failure of the request counts against the runner.
	failureCounted bool
}

// begin registers a request at a member. The caller holds f.mu.
func (f *Fleet) begin(m *member, now time.Time, q Query, uncached int) *InFlightRequest {
	f.lastSequence++
	r := &InFlightRequest{fleet: f, member: m, runner: m.runner, urgency: q.Urgency, beganAt: now, sequence: f.lastSequence, prefilled: true, placedInDoubt: m.inDoubt()}
	if p := q.Prompt; p != nil {
		r.onTime = m.runner.Role != port.RolePrefill && q.Urgency != UrgencyLate && q.AllowedGap > 0
		r.firstEventDeadline, r.allowedGap = now.Add(q.RemainingTarget), q.AllowedGap
		r.uncached, r.context, r.parts = uncached, p.InputTokens, p.Parts
		r.prefillTime = m.prefillTime(uncached, p.InputTokens)
		r.kvTokens = p.InputTokens + p.OutputTokens
		r.prefilled = uncached == 0
	}
	l := m.load(now)
	r.queueWasEmpty = l.wait(UrgencyCount-1) == 0
	m.inFlight[r] = struct{}{}
	f.drawLimit(now, m)
	if m.current == nil {
		m.selectNextPrefill(now)
	}
	m.dirty = true
	return r
}

// Runner returns the runner that the request was placed at, as it was at that time.
func (r *InFlightRequest) Runner() port.Runner { return r.runner }

// UncachedTokens returns the number of prompt tokens that the runner is expected to
// prefill.
func (r *InFlightRequest) UncachedTokens() int { return r.uncached }

// FetchFrom returns the address of the engine from which cached parts are fetched before
// the prompt is prefilled, or an empty string.
func (r *InFlightRequest) FetchFrom() string { return r.fetchFrom }

// MarkPrefilled records that the runner has prefilled the prompt. Calls after the first
// have no effect.
func (r *InFlightRequest) MarkPrefilled(now time.Time) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.markPrefilledLocked(now)
}

func (r *InFlightRequest) markPrefilledLocked(now time.Time) {
	if r.prefilled {
		return
	}
	r.prefilled = true
	m := r.member
	m.recordPrefill(now, r)
	if m.current == r {
		m.selectNextPrefill(now)
	}
	m.dirty = true
	missing := m.cache.missing(sharedParts(r.parts))
	m.newParts = append(m.newParts, missing...)
	if r.fleet.newInDataCentre(m.runner.Service, missing) {
		// A cached part is usable only if all parts before it are available too.
		m.partsNewInDataCentre = append(m.partsNewInDataCentre, sharedParts(r.parts)...)
	}
	m.cache.add(r.parts)
	r.updateModels(now)
}

// sharedParts returns the parts that other requests may share. The last part is specific
// to one request or session.
func sharedParts(parts []port.PromptPart) []port.PromptPart { return parts[:max(0, len(parts)-1)] }

// newInDataCentre reports whether at least one of the parts is cached by no engine of this
// data centre, as far as this daemon knows. The caller holds f.mu.
func (f *Fleet) newInDataCentre(service string, parts []port.PromptPart) bool {
	return slices.ContainsFunc(parts, func(p port.PromptPart) bool { return !f.cachedInDataCentre(service, p.ID) })
}

func (f *Fleet) cachedInDataCentre(service, part string) bool {
	for _, m := range f.services[service] {
		if m.runner.DataCentre == f.dataCentre && m.cache.contains(part) {
			return true
		}
	}
	return false
}

// EngineProgressedWithin reports whether the runner is known to have completed a prefill of any
// daemon within the given time before now.
func (r *InFlightRequest) EngineProgressedWithin(now time.Time, age time.Duration) bool {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(r.member.lastProgress) <= age
}

// RecordEvent records that events of a stream arrived. The first one also marks the
// prompt as prefilled.
func (r *InFlightRequest) RecordEvent(now time.Time) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.markPrefilledLocked(now)
	m := r.member
	m.confirmByEvent(now, r)
	m.lastEvent = now
	if r.lastEvent.IsZero() {
		r.onTime = r.onTime && !now.After(r.firstEventDeadline)
		r.firstEvent, r.lastEvent = now, now
		return
	}
	gap := now.Sub(r.lastEvent)
	r.lastEvent = now
	if gap > r.allowedGap {
		r.onTime = false
	}
	m.models.gaps.observe(gap, m.prefillDuring(now, gap))
}

// prefillDuring estimates how much of the gap that ends now the engine spent on prefill.
func (m *member) prefillDuring(now time.Time, gap time.Duration) prefillActivity {
	l := m.load(now)
	switch {
	case l.wait(UrgencyCount-1) > 0 && now.Sub(m.lastProgress) >= gap:
		return prefillThroughout
	case l.backlog() > 0:
		return prefillPartly
	}
	return prefillNone
}

// updateModels fits the engine's speed and the prefill model to a finished prefill. It
// ignores prefills that had to wait or that are shorter than minSampleTokens.
func (r *InFlightRequest) updateModels(now time.Time) {
	if !r.queueWasEmpty || r.uncached < minSampleTokens {
		return
	}
	m := r.member
	elapsed := now.Sub(r.beganAt) - firstEventDelay
	if elapsed <= 0 {
		return
	}
	model := m.prefillModel()
	ratio := float64(model.time(r.uncached, r.context)) / float64(elapsed)
	m.speed += speedWeight * (min(maxSpeed, max(minSpeed, ratio)) - m.speed)
	model.observe(r.uncached, r.context, elapsed)
}

// Outcome is the way in which a request ended at a runner.
type Outcome int

// Outcomes of a request.
const (
	// Completed requests received the runner's whole response.
	Completed Outcome = iota
	// Abandoned requests ended for a reason that is unrelated to the runner.
	Abandoned
	// Failed requests received no valid response.
	Failed
	// NoContact requests received no response, perhaps because this daemon does not reach the runner. See
	// CountFailure.
	NoContact
	// Refused requests were not run.
	Refused
	// Erred requests received a complete response that reports a server error.
	Erred
	// Misdirected requests reached a different runner instance.
	Misdirected
	// Unsent requests were not sent to the runner.
	Unsent
)

// End removes the request from its runner and updates the failures of the runner according
// to the outcome. Calls after the first have no effect.
func (r *InFlightRequest) End(now time.Time, outcome Outcome) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	m := r.member
	delete(m.inFlight, r)
	m.dirty = true
	if m.current == r {
		m.selectNextPrefill(now)
	}
	switch outcome {
	case Completed:
		m.recordSuccess(now)
	case Failed:
		r.avoidLocked(now)
		r.countFailureLocked(now)
	case NoContact:
		r.avoidLocked(now)
	case Refused, Erred:
		m.recordError(now)
	case Misdirected:
		m.leaving = true
	case Unsent:
		f.returnToLimit(now, m)
	}
}

// Size returns the number of runners.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// Addresses returns the addresses of all runners.
func (f *Fleet) Addresses() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]bool, len(f.members))
	for _, m := range f.members {
		out[m.runner.Address] = true
	}
	return out
}

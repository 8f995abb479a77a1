package placement

import (
	"slices"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Fleet is the model of all runners. It is safe for concurrent use.
type Fleet struct {
	dataCentre string
	daemon     string

	mu      sync.Mutex
	cells   cells
	members map[string]*member
	// services maps a service to its runners.
	services map[string][]*member
	limits   map[string]*port.EngineLimits
	// learnt maps a service to what was learnt of its engines.
	learnt map[string]models
	// typical is the mean load of the engines of this cell.
	typical map[pool]Load
	begun   int64
	// paths holds what is known of the ways to data centres.
	paths map[string]*path
}

// NewFleet returns an empty fleet, seen from a daemon in a data centre.
func NewFleet(dataCentre, daemon string) *Fleet {
	return &Fleet{dataCentre: dataCentre, daemon: daemon, members: map[string]*member{}, services: map[string][]*member{}, learnt: map[string]models{}, paths: map[string]*path{}}
}

// SetServices takes in the limits of engines by service.
func (f *Fleet) SetServices(services map[string]port.ForwardService) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits = map[string]*port.EngineLimits{}
	for name, s := range services {
		f.limits[name] = s.Engine
	}
	for _, m := range f.members {
		m.limits = f.limits[m.runner.Service]
		if m.limits != nil {
			m.cache.capacity = int64(float64(m.limits.KVTokens) * cacheShare)
		}
	}
}

// SetRunners replaces the list of runners. What is known of those that stay is kept.
func (f *Fleet) SetRunners(runners []port.Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := make(map[string]*member, len(runners))
	services := map[string][]*member{}
	for _, r := range runners {
		m, ok := f.members[r.ID]
		if ok && m.runner.Address == r.Address && m.runner.Service == r.Service {
			m.update(r)
		} else {
			m = newMember(f.daemon, r, f.limits[r.Service], f.modelsOf(r.Service))
		}
		members[r.ID] = m
		services[r.Service] = append(services[r.Service], m)
	}
	f.members, f.services = members, services
	f.assignCells()
}

// modelsOf returns what was learnt of a service's engines; the lock is held.
func (f *Fleet) modelsOf(service string) models {
	learnt, ok := f.learnt[service]
	if !ok {
		learnt = newModels()
		f.learnt[service] = learnt
	}
	return learnt
}

// InFlightRequest is one request in flight at a runner.
type InFlightRequest struct {
	fleet   *Fleet
	member  *member
	runner  port.Runner
	urgency int
	unread  int
	context int
	parts   []port.PromptPart
	// fetchFrom is the address of the engine to fetch cached parts from, or empty.
	fetchFrom string
	reading   time.Duration
	kvTokens  int
	began     time.Time
	// order numbers the works of the fleet.
	order int64
	// alone is set when nothing waited at the runner as the work began.
	alone bool
	read  bool
	ended bool
	// onTime is set while a stream at a decode engine has kept its limits.
	onTime       bool
	firstBy      time.Time
	allowedPause time.Duration
	// lastEvent is when the last event came.
	lastEvent time.Time
}

// begin counts a request at a member; the lock is held.
func (f *Fleet) begin(m *member, now time.Time, q Query, unread int) *InFlightRequest {
	f.begun++
	w := &InFlightRequest{fleet: f, member: m, runner: m.runner, urgency: q.Urgency, began: now, order: f.begun, read: true}
	if p := q.Prompt; p != nil {
		w.onTime = m.runner.Role != port.RolePrefill && q.Urgency != UrgencyLate && q.AllowedGap > 0
		w.firstBy, w.allowedPause = now.Add(q.RemainingTarget), q.AllowedGap
		w.unread, w.context, w.parts = unread, p.InputTokens, p.Parts
		w.reading = m.readingTime(unread, p.InputTokens)
		w.kvTokens = p.InputTokens + p.OutputTokens
		w.read = unread == 0
	}
	l := m.load(now)
	w.alone = l.wait(UrgencyCount-1) == 0
	m.work[w] = struct{}{}
	if m.current == nil {
		m.readNext(now)
	}
	m.dirty = true
	return w
}

// Runner returns the runner that the work is at, as it was when the work began.
func (w *InFlightRequest) Runner() port.Runner { return w.runner }

// UncachedTokens returns the prompt tokens that the runner is expected to read.
func (w *InFlightRequest) UncachedTokens() int { return w.unread }

// FetchFrom returns the address of the engine from which cached parts are fetched before
// the prompt is read, or an empty string.
func (w *InFlightRequest) FetchFrom() string { return w.fetchFrom }

// MarkPrefilled notes that the runner has read the prompt.
func (w *InFlightRequest) MarkPrefilled(now time.Time) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.markRead(now)
}

func (w *InFlightRequest) markRead(now time.Time) {
	if w.read {
		return
	}
	w.read = true
	m := w.member
	m.noteRead(now, w)
	if m.current == w {
		m.readNext(now)
	}
	m.dirty = true
	fresh := m.cache.unknown(sharedParts(w.parts))
	m.readParts = append(m.readParts, fresh...)
	if w.fleet.newHere(m.runner.Service, fresh) {
		// A part is of use only together with those before it.
		m.firstParts = append(m.firstParts, sharedParts(w.parts)...)
	}
	m.cache.add(w.parts)
	w.measure(now)
}

// sharedParts returns the parts that other requests may share. The last part belongs to
// one request or session.
func sharedParts(parts []port.PromptPart) []port.PromptPart { return parts[:max(0, len(parts)-1)] }

// newHere tells whether no engine of this data centre is known to have read one of the parts.
func (f *Fleet) newHere(service string, parts []port.PromptPart) bool {
	return slices.ContainsFunc(parts, func(p port.PromptPart) bool { return !f.knownHere(service, p.ID) })
}

func (f *Fleet) knownHere(service, part string) bool {
	for _, m := range f.services[service] {
		if m.runner.DataCentre == f.dataCentre && m.cache.keeps(part) {
			return true
		}
	}
	return false
}

// RecordEvent notes that events of a stream arrived.
func (w *InFlightRequest) RecordEvent(now time.Time) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.markRead(now)
	if w.lastEvent.IsZero() {
		w.onTime = w.onTime && !now.After(w.firstBy)
		w.lastEvent = now
		return
	}
	pause := now.Sub(w.lastEvent)
	w.lastEvent = now
	if pause > w.allowedPause {
		w.onTime = false
	}
	m := w.member
	m.models.pauses.learn(pause, m.readDuring(now, pause))
}

// readDuring tells how much of the time before now the engine is taken to have read.
func (m *member) readDuring(now time.Time, pause time.Duration) readingDuring {
	l := m.load(now)
	switch {
	case l.wait(UrgencyCount-1) > 0 && now.Sub(m.progressed) >= pause:
		return readAll
	case l.backlog() > 0:
		return readSome
	}
	return readNothing
}

// measure corrects the models by a reading that nothing delayed.
func (w *InFlightRequest) measure(now time.Time) {
	if !w.alone || w.unread < minSample {
		return
	}
	m := w.member
	took := now.Sub(w.began) - firstEvent
	if took <= 0 {
		return
	}
	model := m.reading()
	ratio := float64(model.time(w.unread, w.context)) / float64(took)
	m.speed += speedWeight * (min(maxSpeed, max(minSpeed, ratio)) - m.speed)
	model.learn(w.unread, w.context, took)
}

// Outcome tells how a request ended at a runner.
type Outcome int

// Outcomes of a request.
const (
	// Completed requests got the runner's whole answer.
	Completed Outcome = iota
	// Abandoned requests ended for a reason that says nothing about the runner.
	Abandoned
	// Failed requests got no valid answer.
	Failed
	// Refused requests were not run.
	Refused
	// Misdirected requests reached another runner.
	Misdirected
)

// End takes the request off its runner. Calls after the first have no effect.
func (w *InFlightRequest) End(now time.Time, outcome Outcome) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	m := w.member
	delete(m.work, w)
	m.dirty = true
	if m.current == w {
		m.readNext(now)
	}
	switch outcome {
	case Completed:
		m.succeeded()
	case Failed:
		m.failed(now)
		f.pathFailed(m.runner.DataCentre, now)
	case Refused:
		m.failed(now)
	case Misdirected:
		m.leaving = true
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

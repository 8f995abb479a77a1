package reach

import (
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// requiredFailures is the number of runners to which no connection may open, while none opens to any
	// other one, before their service counts as unreached; all of them if the service has fewer. At least
	// one of each role must be among them, because requests can crash all engines of one.
	requiredFailures = 3
	// requiredOpens is the number of connections that must open without a failure before an unreached
	// service counts as reached again.
	requiredOpens = 2
	// doubtProbes is the number of runners that are probed at once while a service is in doubt,
	// doubtInterval the shortest time between two such rounds.
	doubtProbes   = 2
	doubtInterval = 100 * time.Millisecond
	// returnInterval is the time between two probes of an unreached service.
	returnInterval = 500 * time.Millisecond
	// recentAge is the age up to which a contact proves that the service is reached.
	recentAge = 2 * time.Second
)

// State says whether a daemon reaches the runners of a service.
type State int

// States of a service.
const (
	// Reached services have no failed contact since the last successful one.
	Reached State = iota
	// InDoubt means that a contact failed and none has succeeded since.
	InDoubt
	// Unreached services have no runner to which a connection opens.
	Unreached
)

// Tracker holds what a daemon knows of its reach. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
}

// service is the reach of the runners of one service.
type service struct {
	state State
	// runners are the runners that may be probed, next is the index of the next one.
	runners []port.Runner
	next    int
	// opened is when a connection to a runner last opened, responded when a response last arrived.
	opened, responded time.Time
	// failed holds the ids of the runners to which no connection opened since opened.
	failed map[string]bool
	// opens counts the connections that opened without a failure while the service is unreached.
	opens int
	// probedAt is the time of the last probes, verify requests one of a service that is not in doubt.
	probedAt time.Time
	verify   bool
}

// NewTracker returns a tracker without services.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// SetRunners replaces the runners. Those that are draining do not count. It returns the services whose
// state has changed.
func (t *Tracker) SetRunners(runners []port.Runner) []string {
	for _, s := range t.services {
		s.runners = s.runners[:0]
	}
	for _, r := range runners {
		if !r.Draining {
			s := t.service(r.Service)
			s.runners = append(s.runners, r)
		}
	}
	var changed []string
	for name, s := range t.services {
		before := s.state
		for id := range s.failed {
			if !slices.ContainsFunc(s.runners, func(r port.Runner) bool { return r.ID == id }) {
				delete(s.failed, id)
			}
		}
		if len(s.runners) == 0 {
			delete(t.services, name)
		} else {
			s.decide()
		}
		if before == Unreached && (len(s.runners) == 0 || s.state != Unreached) || before != Unreached && s.state == Unreached {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{failed: map[string]bool{}}
		t.services[name] = s
	}
	return s
}

// Record records a contact with a runner that began at began. It reports whether a failure is the
// runner's alone, because another contact with the service has succeeded since.
func (t *Tracker) Record(now time.Time, r port.Runner, c port.Contact, began time.Time) (runnerAlone bool) {
	s, ok := t.services[r.Service]
	if !ok {
		return true
	}
	switch c {
	case port.ContactOpened:
		s.recordOpened(now)
	case port.ContactResponded:
		s.responded = now
	case port.ContactFailed:
		if s.opened.After(began) {
			return true
		}
		s.opens = 0
		s.failed[r.ID] = true
		s.decide()
		return false
	case port.ContactSilent:
		if s.opened.After(began) || s.responded.After(began) {
			return true
		}
		s.doubt()
		return false
	}
	return true
}

// recordOpened records that a connection to a runner was opened.
func (s *service) recordOpened(now time.Time) {
	s.opened, s.verify = now, false
	if s.state == Unreached {
		if s.opens++; s.opens < min(requiredOpens, len(s.runners)) {
			return
		}
	}
	s.state, s.opens = Reached, 0
	clear(s.failed)
}

// decide sets the state after a failure or a change of the runners.
func (s *service) decide() {
	switch {
	case s.state == Unreached || len(s.failed) == 0:
	case len(s.failed) >= min(requiredFailures, len(s.runners)) && !slices.ContainsFunc(s.runners, s.isOfReachedRole):
		s.state, s.opens = Unreached, 0
	default:
		s.doubt()
	}
}

// doubt puts a reached service in doubt. Probes are due at once.
func (s *service) doubt() {
	if s.state == Reached {
		s.state, s.probedAt = InDoubt, time.Time{}
	}
}

// isOfReachedRole reports whether no runner of the role of r has failed.
func (s *service) isOfReachedRole(r port.Runner) bool {
	return !slices.ContainsFunc(s.runners, func(o port.Runner) bool { return o.Role == r.Role && s.failed[o.ID] })
}

// State returns the state of a service.
func (t *Tracker) State(name string) State {
	if s, ok := t.services[name]; ok {
		return s.state
	}
	return Reached
}

// Unreached returns the unreached services, sorted.
func (t *Tracker) Unreached() []string {
	var out []string
	for name, s := range t.services {
		if s.state == Unreached {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// InDoubt returns the services that are unreached or in doubt, sorted.
func (t *Tracker) InDoubt() []string {
	var out []string
	for name, s := range t.services {
		if s.state != Reached {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Failed returns the ids of the runners to which no connection has opened since the service was last
// reached, sorted.
func (t *Tracker) Failed(name string) []string {
	var out []string
	if s, ok := t.services[name]; ok {
		for id := range s.failed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RecentlyReached reports whether a recent contact proves that the service is reached. If there is none, it
// requests a probe.
func (t *Tracker) RecentlyReached(now time.Time, name string) bool {
	s, ok := t.services[name]
	if !ok || s.state != Reached {
		return false
	}
	latest := s.opened
	if s.responded.After(latest) {
		latest = s.responded
	}
	if latest.IsZero() || now.Sub(latest) > recentAge {
		s.verify = true
		return false
	}
	return true
}

// Uncertain reports whether a service has to be probed until its state is known.
func (t *Tracker) Uncertain() bool {
	for _, s := range t.services {
		if s.state != Reached || s.verify {
			return true
		}
	}
	return false
}

// Probes returns the runners to which a connection should be opened now. The result of each one has to
// be recorded.
func (t *Tracker) Probes(now time.Time) []port.Runner {
	var out []port.Runner
	for _, s := range t.services {
		out = append(out, s.probes(now)...)
	}
	return out
}

func (s *service) probes(now time.Time) []port.Runner {
	interval, count := returnInterval, 1
	switch {
	case s.state == InDoubt:
		interval, count = doubtInterval, doubtProbes
	case s.state == Unreached && s.opens > 0:
		interval = 0
	case s.state == Reached && !s.verify:
		return nil
	}
	if now.Sub(s.probedAt) < interval {
		return nil
	}
	s.probedAt, s.verify = now, false
	var preferred, others []port.Runner
	for i := range s.runners {
		switch r := s.runners[(s.next+i)%len(s.runners)]; {
		case s.state != InDoubt || s.isOfReachedRole(r):
			preferred = append(preferred, r)
		case !s.failed[r.ID]:
			others = append(others, r)
		}
	}
	s.next += count
	out := append(preferred, others...)
	return out[:min(count, len(out))]
}

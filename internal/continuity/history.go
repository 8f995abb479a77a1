package continuity

import (
	"maps"
	"slices"
	"time"
)

// History holds the software versions that each service has had, as far as one daemon knows.
type History struct {
	// since is when this daemon began to observe; the zero value means that there were no streams before.
	since    time.Time
	services map[string]*serviceHistory
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	present map[string]bool
	// gone holds when each version that has no runner any more was last present.
	gone map[string]time.Time
	// since is the time from which on the history is complete; the zero value means always.
	since time.Time
}

// NewHistory returns a history that begins at since. A zero time means that there were no streams
// before, as at the first start of the system.
func NewHistory(since time.Time) *History {
	return &History{since: since, services: map[string]*serviceHistory{}}
}

// Observe records the versions that have runners, by service. It returns the services whose versions
// have changed.
func (h *History) Observe(now time.Time, versions map[string][]string) []string {
	var changed []string
	for service, present := range versions {
		if h.service(service).observe(now, present) {
			changed = append(changed, service)
		}
	}
	for service, s := range h.services {
		if _, ok := versions[service]; !ok && s.observe(now, nil) {
			changed = append(changed, service)
		}
	}
	return changed
}

func (h *History) service(name string) *serviceHistory {
	s, ok := h.services[name]
	if !ok {
		s = &serviceHistory{present: map[string]bool{}, gone: map[string]time.Time{}, since: h.since}
		h.services[name] = s
	}
	return s
}

// goneMemory is how long a version that has no runner any more is remembered. It is longer than any
// lifetime of streams.
const goneMemory = time.Hour

func (s *serviceHistory) observe(now time.Time, present []string) (changed bool) {
	maps.DeleteFunc(s.gone, func(_ string, at time.Time) bool { return now.Sub(at) >= goneMemory })
	for version := range s.present {
		if !slices.Contains(present, version) {
			delete(s.present, version)
			s.gone[version] = now
			changed = true
		}
	}
	for _, version := range present {
		if !s.present[version] {
			s.present[version] = true
			delete(s.gone, version)
			changed = true
		}
	}
	return changed
}

// Recent returns the versions that a service has or has had within lifetime, sorted, and whether these
// are certainly all.
func (h *History) Recent(now time.Time, service string, lifetime time.Duration) (versions []string, complete bool) {
	s, ok := h.services[service]
	if !ok {
		return nil, h.since.IsZero()
	}
	versions = slices.Collect(maps.Keys(s.present))
	for version, at := range s.gone {
		if now.Sub(at) < lifetime {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, s.since.IsZero() || now.Sub(s.since) >= lifetime
}

// Record is what outlasts all daemons of the versions of a service.
type Record struct {
	// Present holds the versions that have runners, Gone when each other one was last present, in Unix
	// milliseconds.
	Present []string         `json:"present,omitempty"`
	Gone    map[string]int64 `json:"gone,omitempty"`
	// SinceMS is the time from which on these are all versions, in Unix milliseconds; 0 for always.
	SinceMS int64 `json:"since_ms,omitempty"`
}

// Record returns the record of a service.
func (h *History) Record(service string) Record {
	s := h.service(service)
	r := Record{Present: slices.Sorted(maps.Keys(s.present))}
	if !s.since.IsZero() {
		r.SinceMS = s.since.UnixMilli()
	}
	for version, at := range s.gone {
		if r.Gone == nil {
			r.Gone = map[string]int64{}
		}
		r.Gone[version] = at.UnixMilli()
	}
	return r
}

// Services returns the services of the history, sorted.
func (h *History) Services() []string { return slices.Sorted(maps.Keys(h.services)) }

// Restore adds the record that an earlier process wrote of a service. Versions that had runners then and
// have none now may have been present until now. clockError bounds the difference between the clock of
// that process and this one.
func (h *History) Restore(now time.Time, service string, r Record, clockError time.Duration) {
	s := h.service(service)
	for _, version := range r.Present {
		if !s.present[version] {
			s.gone[version] = now
		}
	}
	for version, ms := range r.Gone {
		at := time.UnixMilli(ms).Add(clockError)
		if at.After(now) {
			at = now
		}
		if !s.present[version] && at.After(s.gone[version]) {
			s.gone[version] = at
		}
	}
	since := time.Time{}
	if r.SinceMS != 0 {
		since = time.UnixMilli(r.SinceMS).Add(clockError)
	}
	if since.Before(s.since) {
		s.since = since
	}
}

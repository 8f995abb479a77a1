package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// decodeMissing reports whether no decode engine of the software version that began a stream is usable. The
// caller holds f.mu.
func (f *Fleet) decodeMissing(now time.Time, q Query) bool {
	return q.Version != "" && q.Prompt != nil && !f.decodeUsable(now, q)
}

func (f *Fleet) decodeUsable(now time.Time, q Query) bool {
	for _, m := range f.services[q.Service] {
		if m.runner.Role != port.RolePrefill && !q.excludes(m) && f.usable(now, m) {
			return true
		}
	}
	return false
}

// DecodeUsable reports whether a runner that can run the request is usable, apart from those that are only
// a fallback.
func (f *Fleet) DecodeUsable(now time.Time, q Query) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decodeUsable(now, q)
}

// VersionPresent reports whether a service has a runner of a software version that can run requests and
// does not leave, whatever its state.
func (f *Fleet) VersionPresent(service, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.services[service] {
		if m.runner.Version == version && m.runner.Role != port.RolePrefill && !m.runner.Draining && !m.leaving {
			return true
		}
	}
	return false
}

// StartOf returns the start of the process of a registered runner, in Unix milliseconds.
func (f *Fleet) StartOf(id string) (startedMS int64, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return 0, false
	}
	return m.runner.StartedMS, true
}

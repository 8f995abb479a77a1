package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// RecordLimit records what a response says of the request limit of its runner, and reports whether
// that changes the limit.
func (f *Fleet) RecordLimit(_ time.Time, id string, startedMS int64, _ time.Time, limit port.RequestLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.memberOf(id)
	if !ok || m.runner.StartedMS != startedMS || !limit.Named && !limit.None {
		return false
	}
	changed := m.limitNamed != limit.Named || limit.Named && m.limit != limit.Rate
	m.limitNamed, m.limit = limit.Named, limit.Rate
	return changed
}

// LimitedRunner is the state of a runner that names a request limit.
type LimitedRunner struct {
	Service string `json:"service"`
	// Rate is the limit in requests per second of all daemons together.
	Rate float64 `json:"requests_per_second"`
	// Sent is the number of requests that this daemon has sent to the runner since it started.
	Sent int64 `json:"sent"`
}

// LimitedRunners returns the runners that name a request limit, by id.
func (f *Fleet) LimitedRunners(_ time.Time) map[string]LimitedRunner {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]LimitedRunner{}
	for id, m := range f.members {
		if m.limitNamed {
			out[id] = LimitedRunner{Service: m.runner.Service, Rate: m.limit, Sent: m.sent}
		}
	}
	return out
}

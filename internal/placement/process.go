package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// The entry of a runner describes one process: its start names it, and its software version is known from nowhere else. The process that
// serves at the address may be a later one, also under the same id, until its own entry is read. This daemon therefore trusts the
// version of an entry until it has evidence that the process may have ended, and after that only with evidence from a later time
// that it runs, or with an entry of another start. Time alone restores nothing.

const (
	// bufferedEventTime is how long events that a process sent before its end may be read after a sign of its end.
	bufferedEventTime = 100 * time.Millisecond
	// contactAge is the time since the last event within which a process counts as having run at a sign of its end. With
	// MaxConfirmTime it is shorter than any restart of a runner takes.
	contactAge = 400 * time.Millisecond
	// MaxConfirmTime is how long after a sign of its end a new connection shows that a process that ran shortly before still runs.
	MaxConfirmTime = 250 * time.Millisecond
)

// Process is a process of a runner of which it is not certain whether it still runs.
type Process struct {
	ID string
	// StartedMS is its start, in Unix milliseconds.
	StartedMS int64
	// Since is the time of the last sign of its end, or of evidence that it runs.
	Since time.Time
}

// doubtProcess records the end of a connection to the runner, or of a response on it, as a sign that its process has ended. The
// caller holds f.mu.
func (r *InFlightRequest) doubtProcess(now time.Time) {
	if r.member.runner.StartedMS == r.runner.StartedMS {
		r.member.doubtSince = now
	}
}

// inDoubt reports whether the process of the runner may be another one than that of its entry.
func (m *member) inDoubt() bool { return !m.doubtSince.IsZero() }

// ranUntilDoubt reports whether the process ran shortly before the last sign of its end.
func (m *member) ranUntilDoubt() bool {
	return m.inDoubt() && m.doubtSince.Sub(m.lastEvent) <= contactAge
}

// confirmByEvent ends the doubt if an event of the request shows that the process runs: its connection delivered events before the
// sign of the end, and does so well after it.
func (m *member) confirmByEvent(now time.Time, r *InFlightRequest) {
	if m.inDoubt() && !r.firstEvent.IsZero() && !r.firstEvent.After(m.doubtSince) && now.Sub(m.doubtSince) >= bufferedEventTime {
		m.doubtSince = time.Time{}
	}
}

// DoubtProcess records a sign that a process of a runner has ended.
func (f *Fleet) DoubtProcess(now time.Time, id string, startedMS int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.memberOf(id); ok && m.runner.StartedMS == startedMS {
		m.doubtSince = now
	}
}

// ConfirmProcess records evidence that a process still ran after the last sign of its end. It reports whether that ends a doubt: it does
// not after a later sign.
func (f *Fleet) ConfirmProcess(p Process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.memberOf(p.ID)
	if !ok || m.runner.StartedMS != p.StartedMS || !m.inDoubt() || m.doubtSince.After(p.Since) {
		return false
	}
	m.doubtSince = time.Time{}
	return true
}

// InDoubt reports whether the process of a runner may be another one than that of its entry.
func (f *Fleet) InDoubt(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.memberOf(id)
	return ok && m.inDoubt()
}

// DoubtedProcesses returns the processes in doubt of the registered runners that run requests, in no order.
func (f *Fleet) DoubtedProcesses() []Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Process
	for id, m := range f.members {
		if m.inDoubt() && m.runner.Role != port.RolePrefill {
			out = append(out, Process{ID: id, StartedMS: m.runner.StartedMS, Since: m.doubtSince})
		}
	}
	return out
}

// RanUntilDoubt returns the process of a runner if it is in doubt and ran shortly before the sign of its end: a connection that opens
// within MaxConfirmTime then shows that it runs.
func (f *Fleet) RanUntilDoubt(id string) (Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok || !m.ranUntilDoubt() {
		return Process{}, false
	}
	return Process{ID: id, StartedMS: m.runner.StartedMS, Since: m.doubtSince}, true
}

// Version returns the software version of the process that generates the response, or false if it is not certain. It must be called
// when the first event has arrived.
func (r *InFlightRequest) Version() (string, bool) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	m := r.member
	switch {
	case m.inDoubt():
		return "", false
	case m.runner.StartedMS == r.runner.StartedMS:
		return r.runner.Version, true
	case r.placedInDoubt:
		// The process of the earlier entry had ended, and that of the present one has registered since.
		return m.runner.Version, true
	}
	return "", false
}

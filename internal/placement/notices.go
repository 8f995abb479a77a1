package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxLeaving bounds the runners that are remembered as leaving.
const maxLeaving = 4096

// Notices that runners give about themselves in responses. They hold for one start of a runner: a
// runner that starts again, also under the same id, is a new one. The registry does not revoke them,
// because its entries may be older.

// MarkLeaving records that a runner announced that it leaves: it receives no further requests. It
// reports whether this was unknown. The notice is reported to peers.
func (f *Fleet) MarkLeaving(id string, startedMS int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.markLeaving(id, startedMS)
}

// markLeaving implements MarkLeaving. The caller holds f.mu.
func (f *Fleet) markLeaving(id string, startedMS int64) bool {
	if start, ok := f.leaving[id]; ok && start >= startedMS {
		return false
	}
	if len(f.leaving) >= maxLeaving {
		clear(f.leaving)
	}
	f.leaving[id] = startedMS
	if m, ok := f.members[id]; ok && m.runner.StartedMS == startedMS {
		m.leaving = true
		m.leavingUnreported = true
		m.dirty = true
	}
	return true
}

// announcedLeaving reports whether this start of a runner announced that it leaves. The caller holds
// f.mu.
func (f *Fleet) announcedLeaving(id string, startedMS int64) bool {
	start, ok := f.leaving[id]
	return ok && start == startedMS
}

// Leaves reports whether a runner drains, has announced that it leaves, or is no longer registered.
func (f *Fleet) Leaves(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return !ok || m.runner.Draining || m.leaving
}

// MarkQuiet records that a runner asked for no requests of this daemon for a period. Daemons with the
// same period resume at different times, up to maxQuietSpread after it. A period that ends before the
// recorded one has no effect. The period also holds for a runner whose registry entry has lapsed.
// MarkQuiet reports whether the runner was in use before.
func (f *Fleet) MarkQuiet(now time.Time, id string, startedMS int64, period time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.memberOf(id)
	if !ok || m.runner.StartedMS != startedMS {
		return false
	}
	spread := time.Duration(m.affinity * float64(min(maxQuietSpread, period/2)))
	began := !now.Before(m.quietUntil)
	if until := now.Add(period + spread); until.After(m.quietUntil) {
		m.quietUntil = until
	}
	return began
}

// Quiet reports whether a runner wants no requests of this daemon.
func (f *Fleet) Quiet(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.memberOf(id)
	return ok && now.Before(m.quietUntil)
}

// maxQuietSpread bounds the time over which daemons return to a runner that asked for no requests.
const maxQuietSpread = time.Second

// AcceptsIn returns the time until the first runner of a service that can run requests accepts one again,
// if all that are not leaving asked for none or have reached their request limit. Otherwise it returns 0.
func (f *Fleet) AcceptsIn(now time.Time, service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var shortest time.Duration
	for _, m := range f.services[service] {
		if m.runner.Draining || m.leaving || m.runner.Role == port.RolePrefill {
			continue
		}
		wait := f.limitWait(now, m)
		if wait < 0 {
			continue
		}
		left := max(wait, m.quietUntil.Sub(now))
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

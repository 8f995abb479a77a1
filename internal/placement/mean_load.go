package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// poolKey identifies the engines of one service and role.
type poolKey struct {
	service string
	role    port.Role
}

// updateMeanLoads computes the mean load of the engines of the local cell, by service and
// role. It stands in for the load of the engines of other cells, which is not reported to
// this daemon: otherwise these engines would appear idle, and all daemons would send them
// the requests that exceed the capacity of their own cells. The caller holds f.mu.
func (f *Fleet) updateMeanLoads(now time.Time) {
	if f.cells.count == 0 {
		return
	}
	sums, counts := map[poolKey]Load{}, map[poolKey]int{}
	for service, members := range f.services {
		for _, m := range members {
			if m.inOtherCell || m.limits == nil {
				continue
			}
			p, l := poolKey{service, m.runner.Role}, m.load(now)
			sum := sums[p]
			sum.CurrentPrefill += l.CurrentPrefill
			sum.add(l.withoutCurrent())
			sums[p] = sum
			counts[p]++
		}
	}
	f.meanLoad = make(map[poolKey]Load, len(sums))
	for p, sum := range sums {
		f.meanLoad[p] = sum.divide(counts[p])
	}
}

// withoutCurrent returns the load without the prefill in progress.
func (l Load) withoutCurrent() Load {
	l.CurrentPrefill = 0
	return l
}

// divide returns the load divided by n, for the mean of n loads.
func (l Load) divide(n int) Load {
	l.CurrentPrefill /= time.Duration(n)
	for i := range l.QueuedPrefill {
		l.QueuedPrefill[i] /= time.Duration(n)
	}
	l.Running /= n
	l.KVTokens /= n
	l.OnTimeStreams /= n
	l.RecentPrefill /= time.Duration(n)
	return l
}

// estimatedLoad returns the load of a member. For engines of other cells it adds the mean
// load of the local cell, but counts only the longer one of the two current prefills. The
// caller holds f.mu.
func (f *Fleet) estimatedLoad(m *member, now time.Time) Load {
	l := m.load(now)
	if m.inOtherCell {
		mean := f.meanLoad[poolKey{m.runner.Service, m.runner.Role}]
		l.CurrentPrefill = max(l.CurrentPrefill, mean.CurrentPrefill)
		l.add(mean.withoutCurrent())
	}
	return l
}

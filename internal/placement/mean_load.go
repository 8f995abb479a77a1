package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// poolKey names the engines of one service and role.
type poolKey struct {
	service string
	role    port.Role
}

// updateMeanLoads takes the mean load of this cell's engines as that of the engines of other
// cells, whose loads this daemon is not told: without it they seem idle, and all daemons
// send to them what their own engines can not take. The lock is held.
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

// withoutCurrent returns the load without the prompt that is being read.
func (l Load) withoutCurrent() Load {
	l.CurrentPrefill = 0
	return l
}

// divide returns the mean of n loads.
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

// estimatedLoad returns what is known, or assumed, of the load of a member.
func (f *Fleet) estimatedLoad(m *member, now time.Time) Load {
	l := m.load(now)
	if m.inOtherCell {
		mean := f.meanLoad[poolKey{m.runner.Service, m.runner.Role}]
		l.CurrentPrefill = max(l.CurrentPrefill, mean.CurrentPrefill)
		l.add(mean.withoutCurrent())
	}
	return l
}

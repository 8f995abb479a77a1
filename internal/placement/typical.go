package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// pool names the engines of one service and role.
type pool struct {
	service string
	role    port.Role
}

// learnTypical takes the mean load of this cell's engines as that of the engines of other
// cells, whose loads this daemon is not told: without it they seem idle, and all daemons
// send to them what their own engines can not take. The lock is held.
func (f *Fleet) learnTypical(now time.Time) {
	if f.cells.count == 0 {
		return
	}
	sums, counts := map[pool]Load{}, map[pool]int{}
	for service, members := range f.services {
		for _, m := range members {
			if m.outside || m.limits == nil {
				continue
			}
			p, l := pool{service, m.runner.Role}, m.load(now)
			sum := sums[p]
			sum.CurrentPrefill += l.CurrentPrefill
			sum.add(l.waiting())
			sums[p] = sum
			counts[p]++
		}
	}
	f.typical = make(map[pool]Load, len(sums))
	for p, sum := range sums {
		f.typical[p] = sum.divide(counts[p])
	}
}

// waiting returns the load without the prompt that is being read.
func (l Load) waiting() Load {
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

// loadOf returns what is known, or assumed, of the load of a member.
func (f *Fleet) loadOf(m *member, now time.Time) Load {
	l := m.load(now)
	if m.outside {
		typical := f.typical[pool{m.runner.Service, m.runner.Role}]
		l.CurrentPrefill = max(l.CurrentPrefill, typical.CurrentPrefill)
		l.add(typical.waiting())
	}
	return l
}

package placement

import (
	"slices"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxLapsed bounds the members that are kept for runners that are no longer in the list.
const maxLapsed = 256

// A registry entry lapses while its runner is cut off from the registry, and comes back. What the
// runner has said of itself, its failures, pending orders, cached parts and requests in flight do not
// end with the entry, so that its member is kept until the runner returns or starts again.

// keepLapsed keeps the members that are not among the given ones. If there are too many, it drops
// those that lapsed first: their runners are the least likely to return. The caller holds f.mu.
func (f *Fleet) keepLapsed(members map[string]*member) {
	for id, m := range f.members {
		if _, ok := members[id]; !ok {
			f.lapsed = append(f.lapsed, m)
		}
	}
	if extra := len(f.lapsed) - maxLapsed; extra > 0 {
		f.lapsed = slices.Delete(f.lapsed, 0, extra)
	}
}

// takeLapsed removes and returns the kept member of a runner that is in the list again. The result is
// false if there is none, or if it belongs to an earlier start or another address of the runner. The
// caller holds f.mu.
func (f *Fleet) takeLapsed(r port.Runner) (*member, bool) {
	i := slices.IndexFunc(f.lapsed, func(m *member) bool { return m.runner.ID == r.ID })
	if i < 0 {
		return nil, false
	}
	m := f.lapsed[i]
	f.lapsed = slices.Delete(f.lapsed, i, i+1)
	if m.runner.StartedMS != r.StartedMS || m.runner.Address != r.Address || m.runner.Service != r.Service {
		return nil, false
	}
	f.setLimits(m)
	m.dirty = true
	return m, true
}

// memberOf returns the member of a runner, in the list or lapsed. The caller holds f.mu.
func (f *Fleet) memberOf(id string) (*member, bool) {
	if m, ok := f.members[id]; ok {
		return m, true
	}
	i := slices.IndexFunc(f.lapsed, func(m *member) bool { return m.runner.ID == id })
	if i < 0 {
		return nil, false
	}
	return f.lapsed[i], true
}

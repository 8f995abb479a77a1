package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxDescribed bounds the engines that DescribeRoom lists.
const maxDescribed = 8

// DescribeRoom says for each engine that could run a request how much of it is occupied, by this daemon and by the reports of
// which peers, for the log. It lists maxDescribed engines at most.
func (f *Fleet) DescribeRoom(now time.Time, q Query) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var engines []string
	left := 0
	for _, m := range f.services[q.Service] {
		if m.runner.Role == port.RolePrefill || q.excludes(m) {
			continue
		}
		if len(engines) == maxDescribed {
			left++
			continue
		}
		engines = append(engines, f.describeRoom(now, m))
	}
	slices.Sort(engines)
	if left > 0 {
		engines = append(engines, fmt.Sprintf("and %d more", left))
	}
	return strings.Join(engines, "; ")
}

// describeRoom implements DescribeRoom for one engine. The caller holds f.mu.
func (f *Fleet) describeRoom(now time.Time, m *member) string {
	l := f.estimatedLoad(m, now)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d of %d slots", m.runner.ID, l.Running, m.runner.Slots)
	if m.limits != nil {
		fmt.Fprintf(&b, ", %d of %d tokens", l.KVTokens, m.limits.KVTokens)
	}
	fmt.Fprintf(&b, " (%d here", len(m.inFlight))
	var peers []string
	for name, p := range m.peers {
		if p.load.Running > 0 {
			peers = append(peers, fmt.Sprintf(", %d at %s %s ago", p.load.Running, name, now.Sub(p.receivedAt).Round(time.Millisecond)))
		}
	}
	slices.Sort(peers)
	b.WriteString(strings.Join(peers, "") + ")")
	if !f.usable(now, m) {
		b.WriteString(" not usable")
	}
	return b.String()
}

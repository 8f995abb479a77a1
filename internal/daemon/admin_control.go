package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/admin"
)

func (d *Daemon) adminControl(context.Context, json.RawMessage) (any, error) {
	out := admin.Control{Daemon: d.settings.Name, Suspects: d.suspects.list(), Members: d.gossip.list()}
	for dataCentre, c := range d.orders.allControls() {
		lease, changes := c.describe(dataCentre)
		out.Leases = append(out.Leases, lease)
		out.Changes = append(out.Changes, changes...)
	}
	slices.SortFunc(out.Leases, func(a, b admin.Lease) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	slices.SortFunc(out.Changes, func(a, b admin.Change) int { return strings.Compare(a.Engine, b.Engine) })
	return out, nil
}

// describe returns what a control stream says.
func (c *controlFollower) describe(dataCentre string) (admin.Lease, []admin.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.state.Lease.Lease()
	lease := admin.Lease{
		DataCentre:  dataCentre,
		Holder:      l.Daemon,
		Incarnation: l.Holder,
		Fencing:     l.Fencing,
		Released:    l.Released,
		Synced:      c.synced.Load(),
	}
	var changes []admin.Change
	for _, e := range c.state.Engines() {
		change := admin.Change{DataCentre: dataCentre, Engine: e.Engine, Draining: e.Drain > 0, OpenCopies: len(e.Copies)}
		if e.Pending != nil {
			order := e.Pending.Order
			change.Order = &order
		}
		changes = append(changes, change)
	}
	return lease, changes
}

// list returns the suspect and quarantined digests.
func (s *suspects) list() []admin.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []admin.Suspect
	for _, l := range s.table.List(time.Now()) {
		out = append(out, admin.Suspect{
			Digest:      string(l.Digest),
			Status:      l.Status.String(),
			Engines:     l.Engines,
			RemainingMS: l.Remaining.Milliseconds(),
		})
	}
	return out
}

// list returns the other daemons, sorted by name.
func (g *gossip) list() []admin.Member {
	var out []admin.Member
	for _, m := range g.Members() {
		out = append(out, admin.Member{
			Name:        m.Name,
			PeerAddress: m.Address,
			DataCentre:  m.DataCentre,
			Status:      m.Status.String(),
		})
	}
	slices.SortFunc(out, func(a, b admin.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

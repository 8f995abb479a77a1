package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cellSize is the largest number of daemons that share the loads of all engines. Larger
	// fleets are divided into cells of about this size within each data centre, so that the
	// load reports that a daemon sends and receives do not grow with the fleet.
	cellSize = 8
	// otherCellPenalty keeps requests in the local cell, whose loads are known, as long as
	// its engines are not overloaded.
	otherCellPenalty = 150 * time.Millisecond
)

// Daemon identifies one daemon of the fleet.
type Daemon struct {
	Name       string
	DataCentre string
}

// cells describes the division of a data centre into cells and the index of the local one.
// The zero value means that the fleet is not divided.
type cells struct {
	count int
	index int
}

// cellsOf returns the division of the data centre of self.
func cellsOf(self Daemon, daemons []Daemon) cells {
	if len(daemons) <= cellSize {
		return cells{}
	}
	names := namesIn(daemons, self.DataCentre)
	count := (len(names) + cellSize - 1) / cellSize
	return cells{count: max(1, count), index: max(0, slices.Index(names, self.Name)) % max(1, count)}
}

// namesIn returns the sorted names of the daemons of a data centre.
func namesIn(daemons []Daemon, dataCentre string) []string {
	var names []string
	for _, d := range daemons {
		if d.DataCentre == dataCentre {
			names = append(names, d.Name)
		}
	}
	slices.Sort(names)
	return names
}

// CellPeers returns the daemons that share the loads of the same engines with self.
func CellPeers(self Daemon, daemons []Daemon) []string {
	division := cellsOf(self, daemons)
	var out []string
	if division.count == 0 {
		for _, d := range daemons {
			if d.Name != self.Name {
				out = append(out, d.Name)
			}
		}
		return out
	}
	for i, name := range namesIn(daemons, self.DataCentre) {
		if name != self.Name && i%division.count == division.index {
			out = append(out, name)
		}
	}
	return out
}

// SetDaemons sets the daemons of the fleet, this one included, and reassigns the cells.
func (f *Fleet) SetDaemons(daemons []Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := Daemon{Name: f.daemon, DataCentre: f.dataCentre}
	updated := cellsOf(self, daemons)
	f.daemons = max(1, len(daemons))
	if f.cellPeers = 0; f.spreads && updated.count > 0 {
		f.cellPeers = len(CellPeers(self, daemons))
	}
	if updated == f.cells {
		return
	}
	f.cells = updated
	f.assignCells()
}

// assignCells distributes the runners of each service and role in this data centre evenly
// over its cells. In a divided fleet, the runners of other data centres count as outside the
// local cell. Daemons with the same lists compute the same result. The caller holds f.mu.
func (f *Fleet) assignCells() {
	for _, members := range f.services {
		sorted := slices.Clone(members)
		slices.SortFunc(sorted, func(a, b *member) int {
			return cmp.Or(cmp.Compare(a.runner.Role, b.runner.Role), cmp.Compare(a.hash, b.hash))
		})
		next := 0
		for _, m := range sorted {
			m.inOtherCell = f.cells.count > 0
			if f.cells.count > 0 && m.runner.DataCentre == f.dataCentre {
				m.inOtherCell = next%f.cells.count != f.cells.index
				next++
			}
		}
	}
}

// hashOf returns a sort key for runners that is independent of the order of their names.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// cellSize is the number of daemons up to which all share the loads of all engines.
	// Larger fleets form cells of about this size inside each data centre, so that what
	// a daemon tells and hears does not grow with the fleet.
	cellSize = 8
	// outsidePenalty keeps requests inside the cell, whose loads are known, as long as
	// its engines are not overloaded.
	outsidePenalty = 150 * time.Millisecond
)

// Daemon is one daemon of the fleet.
type Daemon struct {
	Name       string
	DataCentre string
}

// cells divides a data centre. The zero value is one cell of everything.
type cells struct {
	count int
	own   int
}

// cellsOf returns the division that a daemon sees.
func cellsOf(self Daemon, daemons []Daemon) cells {
	if len(daemons) <= cellSize {
		return cells{}
	}
	names := namesIn(daemons, self.DataCentre)
	count := (len(names) + cellSize - 1) / cellSize
	return cells{count: max(1, count), own: max(0, slices.Index(names, self.Name)) % max(1, count)}
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

// CellPeers returns the daemons that share the loads of the same engines as self.
func CellPeers(self Daemon, daemons []Daemon) []string {
	own := cellsOf(self, daemons)
	var out []string
	if own.count == 0 {
		for _, d := range daemons {
			if d.Name != self.Name {
				out = append(out, d.Name)
			}
		}
		return out
	}
	for i, name := range namesIn(daemons, self.DataCentre) {
		if name != self.Name && i%own.count == own.own {
			out = append(out, name)
		}
	}
	return out
}

// SetDaemons tells the fleet which daemons there are.
func (f *Fleet) SetDaemons(daemons []Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	division := cellsOf(Daemon{Name: f.daemon, DataCentre: f.dataCentre}, daemons)
	if division == f.cells {
		return
	}
	f.cells = division
	f.assignCells()
}

// assignCells spreads the engines of each role in this data centre evenly over its
// cells. Daemons with the same lists get the same result. The lock is held.
func (f *Fleet) assignCells() {
	for _, members := range f.services {
		sorted := slices.Clone(members)
		slices.SortFunc(sorted, func(a, b *member) int {
			return cmp.Or(cmp.Compare(a.runner.Role, b.runner.Role), cmp.Compare(a.hash, b.hash))
		})
		next := 0
		for _, m := range sorted {
			m.outside = f.cells.count > 0
			if f.cells.count > 0 && m.runner.DataCentre == f.dataCentre {
				m.outside = next%f.cells.count != f.cells.own
				next++
			}
		}
	}
}

// hashOf orders runners independently of their names.
func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

// Package handover decides which daemon gets a request whose runners this daemon does not reach. It needs
// no network and no clock.
package handover

import (
	"math"
	"slices"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/rendezvous"
)

const (
	// statusAge is the age up to which a status counts. It allows for two questions
	// without an answer.
	statusAge = time.Second
	// remoteCost is the cost of a daemon of another data centre, in requests in progress.
	remoteCost = 4
	// jitter is the largest random cost in requests in progress. It separates the choices of daemons that
	// have the same information.
	jitter = 2
	// askedLocally and askedRemotely are the numbers of daemons of this data centre and of each other one
	// that are asked at a time.
	askedLocally  = 4
	askedRemotely = 2
)

// Status is what a daemon says of itself as a receiver of requests.
type Status struct {
	// Address is the host:port at which it takes requests; empty if it takes none.
	Address string `json:"address,omitempty"`
	// Reached holds the services whose runners it has just reached.
	Reached []string `json:"reached,omitempty"`
	// Load is the number of requests in progress there.
	Load int `json:"load,omitempty"`
	// Config is the version of its configuration.
	Config int64 `json:"config,omitempty"`
}

// Daemon is a daemon that may be asked.
type Daemon struct {
	Name       string
	DataCentre string
}

// Need is what a request needs of its receiver.
type Need struct {
	Service string
	// Config is the version of the configuration below which the receiver would handle the request in an
	// outdated way.
	Config int64
	// Excluded holds the names of the daemons that did not take the request.
	Excluded map[string]bool
}

// Receiver is a daemon that takes a request.
type Receiver struct {
	Name    string
	Address string
}

// Directory holds what other daemons have said of themselves. It is safe for concurrent use.
type Directory struct {
	self Daemon

	mu       sync.Mutex
	statuses map[string]*entry
	// round counts the questions, so that daemons that cannot help make room for others.
	round int
}

type entry struct {
	Daemon
	status    Status
	updatedAt time.Time
	// added is the number of requests handed to the daemon since.
	added int
}

// NewDirectory returns an empty directory of the daemon self.
func NewDirectory(self Daemon) *Directory {
	return &Directory{self: self, statuses: map[string]*entry{}}
}

// Update records what a daemon says of itself.
func (d *Directory) Update(now time.Time, from Daemon, w Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statuses[from.Name] = &entry{Daemon: from, status: w, updatedAt: now}
}

// Forget drops what a daemon has said, because it did not respond.
func (d *Directory) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.statuses, name)
}

// Decline records that a daemon did not take a request for a service. It counts as not reaching the
// service until it reports again.
func (d *Directory) Decline(name, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.statuses[name]; ok {
		e.status.Reached = slices.DeleteFunc(slices.Clone(e.status.Reached), func(s string) bool { return s == service })
	}
}

// Choose returns the receiver of a request: the least loaded daemon that reaches the service, preferably
// in this data centre. It returns false if there is none. random returns numbers in [0, 1).
func (d *Directory) Choose(now time.Time, n Need, random func() float64) (Receiver, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *entry
	lowest := math.Inf(1)
	for _, e := range d.statuses {
		if n.Excluded[e.Name] || e.status.Config < n.Config || !e.helps(now) || !slices.Contains(e.status.Reached, n.Service) {
			continue
		}
		cost := float64(e.status.Load+e.added) + jitter*random()
		if e.DataCentre != d.self.DataCentre {
			cost += remoteCost
		}
		if cost < lowest {
			best, lowest = e, cost
		}
	}
	if best == nil {
		return Receiver{}, false
	}
	best.added++
	return Receiver{Name: best.Name, Address: best.status.Address}, true
}

// helps reports whether the daemon takes requests of some service.
func (e *entry) helps(now time.Time) bool {
	return e.status.Address != "" && len(e.status.Reached) > 0 && now.Sub(e.updatedAt) <= statusAge
}

// Ask returns the names of the daemons to ask now, of all those that respond: some of each data centre,
// others in each daemon's view, and first those that help already.
func (d *Directory) Ask(now time.Time, daemons []Daemon) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	byDataCentre := map[string][]string{}
	for _, p := range daemons {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p.Name)
	}
	var out []string
	for dataCentre, names := range byDataCentre {
		count := askedRemotely
		if dataCentre == d.self.DataCentre {
			count = askedLocally
		}
		out = append(out, d.ask(now, names, count)...)
	}
	d.round++
	return out
}

func (d *Directory) ask(now time.Time, names []string, count int) []string {
	order := rendezvous.Top(d.self.Name, names, len(names))
	var out []string
	for _, name := range order {
		if e, ok := d.statuses[name]; ok && e.helps(now) && len(out) < count {
			out = append(out, name)
		}
	}
	for i := range order {
		name := order[(d.round*count+i)%len(order)]
		if len(out) < count && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

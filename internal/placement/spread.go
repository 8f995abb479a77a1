package placement

import (
	"math"
	"time"

	"bergamotsill.example/bergamotsill/internal/spread"
)

const (
	// reportAge is how long a placement is in no report of the daemon that made it: reports are batched for 30 ms, and
	// take a few ms on the way.
	reportAge = 35 * time.Millisecond
	// arrivalsTime is the time constant of the mean of the work that a daemon sends.
	arrivalsTime = 2 * time.Second
	// decodeArrivals is the suffix of the key for requests that continue from a KV cache; see Fleet.arrivals.
	decodeArrivals = "/decode"
)

// SpreadLoad sets whether requests are spread over runners that cost nearly as much. It must be called before the daemons
// are known.
func (f *Fleet) SpreadLoad(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spreads = on
}

// arrivals is a moving mean of the work that this daemon sends to the runners of a service.
type arrivals struct {
	// rate is the work in seconds per second as of at.
	rate float64
	at   time.Time
}

// add counts the work of one request.
func (a *arrivals) add(now time.Time, work time.Duration) {
	a.rate = a.current(now) + work.Seconds()/arrivalsTime.Seconds()
	a.at = now
}

// current returns the work in seconds per second.
func (a *arrivals) current(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/arrivalsTime.Seconds())
}

// arrivalsOf returns the arrivals of a key and creates them if necessary. The caller holds f.mu.
func (f *Fleet) arrivalsOf(key string) *arrivals {
	a, ok := f.arrivals[key]
	if !ok {
		a = &arrivals{}
		f.arrivals[key] = a
	}
	return a
}

// work returns by how much a request raises the cost of its runner for the next one.
func (o *option) work() time.Duration {
	if o.uncached == 0 {
		return assumedServiceTime / time.Duration(max(1, o.member.runner.Slots))
	}
	return o.prefill
}

// sharesDeciders reports whether the same daemons choose among the runners of two options.
func (o *option) sharesDeciders(other *option) bool {
	return o.member.inOtherCell == other.member.inOtherCell && o.member.runner.DataCentre == other.member.runner.DataCentre
}

// spread replaces the cheapest option by one of those that cost nearly as much, so that the daemons of the cell, which know
// the same reports, do not all choose the same runner. What the others send before the next report is expected to be as
// much as this daemon sends. An option is replaced only by one in the same data centre and of the same kind of cell: other
// cells have their own daemons that fill them, and requests and KV caches cross data centres at a price. It also interrupts
// streams, or also does not. The caller holds f.mu.
func (f *Fleet) spread(now time.Time, key string, best option, options []option) option {
	arriving := time.Duration(f.arrivalsOf(key).current(now) * float64(f.cellPeers) * float64(reportAge))
	if arriving <= 0 || len(options) < 2 {
		return best
	}
	candidates := f.spreadBuffer[:0]
	for i := range options {
		if o := &options[i]; o.sharesDeciders(&best) && o.interrupts == best.interrupts && o.cost < best.cost+arriving {
			candidates = append(candidates, spread.Candidate{Index: i, Cost: o.cost})
		}
	}
	f.spreadBuffer = candidates
	if len(candidates) < 2 {
		return best
	}
	return options[candidates[spread.Choose(candidates, arriving, f.random)].Index]
}

package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/seedtest"
)

const bootTime = 4 * time.Second

var limits = Limits{Min: 1, Max: 56, BootTime: bootTime, Reclaimable: true}

// fleet is a platform that carries out orders after the time of a start.
type fleet struct {
	now     time.Time
	present map[bool]int
	// starting holds the runners that are being started, by when they serve.
	starting map[bool][]time.Time
	// dry is set while there are no reclaimable runners.
	dry    bool
	orders int
}

func newFleet(regular int) *fleet {
	return &fleet{now: time.Unix(1000, 0), present: map[bool]int{false: regular}, starting: map[bool][]time.Time{}}
}

// run lets a planner plan twice a second.
func (f *fleet) run(p *Planner, d time.Duration, demand float64, check func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for kind, times := range f.starting {
			for len(times) > 0 && !times[0].After(f.now) {
				times = times[1:]
				f.present[kind]++
			}
			f.starting[kind] = times
		}
		for _, o := range p.Plan(f.now, Observation{Regular: f.present[false], Reclaimable: f.present[true], Demand: demand}) {
			f.order(p, o)
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) order(p *Planner, o Order) {
	f.orders++
	none := o.Reclaimable && f.dry && o.Count > f.present[true]
	p.Ordered(f.now, o, none)
	if none {
		return
	}
	for f.present[o.Reclaimable]+len(f.starting[o.Reclaimable]) < o.Count {
		f.starting[o.Reclaimable] = append(f.starting[o.Reclaimable], f.now.Add(bootTime))
	}
	if extra := f.present[o.Reclaimable] + len(f.starting[o.Reclaimable]) - o.Count; extra > 0 {
		cancelled := min(extra, len(f.starting[o.Reclaimable]))
		f.starting[o.Reclaimable] = f.starting[o.Reclaimable][cancelled:]
		f.present[o.Reclaimable] -= extra - cancelled
	}
}

func (f *fleet) total() int { return f.present[false] + f.present[true] }

// Guards against a service that is short of runners while reclaimable ones replace the others, and against replacing
// none.
func TestReclaimableRunnersReplaceOthersOnceTheyServe(t *testing.T) {
	f, p := newFleet(28), NewPlanner(limits, State{})
	f.run(p, 30*time.Second, 5, func() {
		if f.total() < 28 {
			t.Fatalf("only %v of 28 runners serve", f.present)
		}
	})
	if f.present[false] != 3 || f.present[true] != 25 {
		t.Errorf("%v serve, want 3 regular and 25 reclaimable ones", f.present)
	}
	if f.orders > 3 {
		t.Errorf("%d orders for one change", f.orders)
	}
}

// Guards against a zone that loses its reclaimable runners and stays without replacements, also if there are none of that
// kind.
func TestReclaimedRunnersAreReplaced(t *testing.T) {
	for _, dry := range []bool{false, true} {
		f, p := newFleet(28), NewPlanner(limits, State{})
		f.run(p, 30*time.Second, 5, nil)
		f.present[true], f.dry = 0, dry
		f.run(p, bootTime+time.Second, 5, nil)
		if f.total() < 28 {
			t.Errorf("dry %t: after the time of a start %v serve, want 28", dry, f.present)
		}
		f.dry = false
		f.run(p, time.Minute, 5, nil)
		if f.present[false] != 3 || f.present[true] != 25 {
			t.Errorf("dry %t: in the end %v serve, want 3 regular and 25 reclaimable ones", dry, f.present)
		}
	}
}

// Guards against a service that is short of runners in all data centres together while those of one are reclaimed.
func TestOtherDataCentresBearAReclaim(t *testing.T) {
	const dataCentres, started = 4, 28
	l := limits
	l.DataCentres = dataCentres
	total := 0
	for range dataCentres - 1 {
		f, p := newFleet(started), NewPlanner(l, State{})
		f.run(p, 30*time.Second, 5, nil)
		total += f.total()
	}
	if total < dataCentres*started-started/10-1 {
		t.Errorf("%d runners serve in the other data centres, want about %d", total, dataCentres*started)
	}
}

// Guards against orders outside of the limits, against orders that never end and against fewer runners than the demand
// needs, whatever is lost and whenever another planner takes over.
func TestOrdersStayWithinTheLimits(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 1))
		l := Limits{Min: 1 + r.IntN(3), Max: 20 + r.IntN(40), BootTime: bootTime, Reclaimable: r.IntN(4) > 0, DataCentres: r.IntN(5)}
		f, p := newFleet(l.Min+r.IntN(l.Max-l.Min)), NewPlanner(l, State{})
		f.run(p, 10*time.Second, -1, nil)
		for range 20 {
			demand := r.Float64() * float64(l.Max) * targetUtilisation
			f.dry = r.IntN(3) == 0
			if r.IntN(3) == 0 {
				f.present[true] = 0
			}
			if r.IntN(4) == 0 {
				p = NewPlanner(l, p.State())
			}
			f.run(p, time.Duration(r.IntN(20))*time.Second, demand, func() {
				if s := p.State(); s.Regular+s.Reclaimable > l.Max {
					t.Fatalf("ordered %+v with a maximum of %d", s, l.Max)
				}
			})
		}
		f.dry = false
		f.run(p, 20*time.Minute, 1, nil)
		before := f.orders
		f.run(p, time.Minute, 1, nil)
		if f.orders != before || f.total() < p.State().Wanted {
			t.Errorf("%d further orders; %v serve of %+v", f.orders-before, f.present, p.State())
		}
	})
}

// Guards against a planner that takes the runners that registered first for all of them.
func TestNothingIsOrderedWhileRunnersRegister(t *testing.T) {
	f, p := newFleet(0), NewPlanner(limits, State{})
	for range 28 {
		f.present[false]++
		f.run(p, time.Second, -1, nil)
	}
	if f.orders != 0 {
		t.Errorf("%d orders while runners register", f.orders)
	}
}

package lease

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"bergamotsill.example/bergamotsill/internal/seedtest"
)

const (
	daemons      = 3
	testDuration = 10 * time.Second
	testDrift    = time.Second
)

// entry is a record that was sent; it is on the log or delayed.
type entry struct {
	id     string
	record Record
}

// simulation simulates one log and several daemons. The daemons read late and are
// paused, and the rates of their clocks differ by up to 8%.
type simulation struct {
	now     time.Duration
	log     []entry
	delayed []entry
	read    [daemons]int
	machine [daemons]*Machine
	sent    int
}

func (w *simulation) clock(i int) time.Duration {
	return time.Duration(i)*time.Hour + w.now*time.Duration(96+4*i)/100
}

// nextEntry returns the claim or renewal that a daemon sends now, if any.
func (w *simulation) nextEntry(i int) (entry, bool) {
	m, now := w.machine[i], w.clock(i)
	w.sent++
	id := strconv.Itoa(w.sent)
	switch {
	case m.Claimable(now):
		return entry{id, m.Claim(id, now)}, true
	case m.RenewalDue(now):
		return entry{id, m.Renew(id, now)}, true
	}
	return entry{}, false
}

func (w *simulation) readTo(i, end int) {
	for ; w.read[i] < min(end, len(w.log)); w.read[i]++ {
		e := w.log[w.read[i]]
		w.machine[i].Apply(e.id, int64(w.read[i]), e.record, w.clock(i))
	}
}

// check compares the lease of each daemon with an oracle, a plain loop over the records
// that the daemon has read, in which fencing tokens increase. It also checks that at
// most one daemon relies on the lease.
func (w *simulation) check() error {
	held := 0
	for i, m := range w.machine {
		if m.Held(w.clock(i)) {
			held++
		}
		last, fencing, holder, free := 0, 0, "", true
		for offset, e := range w.log[:w.read[i]] {
			r := e.record
			current := !free && r.Holder == holder && int(r.Fencing) == fencing
			switch {
			case r.Kind == KindClaim && int(r.Supersedes) == last:
				last, fencing, holder, free = offset+1, offset+1, r.Holder, false
			case r.Kind != KindClaim && current:
				last, free = offset+1, r.Kind == KindRelease
			}
		}
		got := m.Lease()
		if got.Holder != holder || int(got.Fencing) != fencing || int(got.LastRecord) != last || got.Free() != free {
			return fmt.Errorf("daemon %d has lease %+v, want holder %q fencing %d", i, got, holder, fencing)
		}
	}
	if held > 1 {
		return fmt.Errorf("%d daemons rely on the lease at %s", held, w.now)
	}
	return nil
}

type step struct {
	name string
	act  func(*simulation)
}

func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*simulation)
	s.act(w)
	return w.check()
}
func (step) NextState(s commands.State) commands.State { return s }
func (step) PreCondition(commands.State) bool          { return true }
func (step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if err, ok := result.(error); ok && err != nil {
		return gopter.NewPropResult(false, err.Error())
	}
	return gopter.NewPropResult(true, "")
}
func (s step) String() string { return s.name }

type choice struct{ Daemon, N int }

func genStep(i, n int) gopter.Gen {
	appendNext := func(late bool) func(*simulation) {
		return func(w *simulation) {
			e, ok := w.nextEntry(i)
			switch {
			case ok && late:
				w.delayed = append(w.delayed, e)
			case ok:
				w.log = append(w.log, e)
			}
		}
	}
	advance := step{fmt.Sprintf("advance(%ds)", n), func(w *simulation) { w.now += time.Duration(n) * time.Second }}
	readAll := step{fmt.Sprintf("read(%d)", i), func(w *simulation) { w.readTo(i, len(w.log)) }}
	return gen.OneConstOf(
		advance, advance, readAll, readAll,
		step{fmt.Sprintf("read(%d, %d)", i, n), func(w *simulation) { w.readTo(i, w.read[i]+n) }},
		step{fmt.Sprintf("append(%d)", i), appendNext(false)},
		step{fmt.Sprintf("append(%d)", i), appendNext(false)},
		step{fmt.Sprintf("late(%d)", i), appendNext(true)},
		step{"arrive", func(w *simulation) {
			if len(w.delayed) > 0 {
				w.log = append(w.log, w.delayed[0])
				w.delayed = w.delayed[1:]
			}
		}},
		step{fmt.Sprintf("release(%d)", i), func(w *simulation) {
			if n == 1 && w.machine[i].isHolder() {
				w.log = append(w.log, entry{"", w.machine[i].Release()})
			}
		}},
	)
}

type leaseCommands struct{}

func (leaseCommands) NewSystemUnderTest(commands.State) commands.SystemUnderTest {
	w := &simulation{}
	for i := range w.machine {
		name := fmt.Sprintf("daemon-%d", i)
		w.machine[i] = NewMachine(Options{Holder: name, Daemon: name, Duration: testDuration, Drift: testDrift})
	}
	return w
}
func (leaseCommands) DestroySystemUnderTest(commands.SystemUnderTest) {}
func (leaseCommands) GenInitialState() gopter.Gen                     { return gen.Const(0) }
func (leaseCommands) InitialPreCondition(commands.State) bool         { return true }
func (leaseCommands) GenCommand(commands.State) gopter.Gen {
	return gen.Struct(reflect.TypeFor[choice](), map[string]gopter.Gen{
		"Daemon": gen.IntRange(0, daemons-1), "N": gen.IntRange(1, 7),
	}).FlatMap(func(v any) gopter.Gen { return genStep(v.(choice).Daemon, v.(choice).N) }, reflect.TypeFor[step]())
}

// Guards against two daemons that rely on the lease at the same time, against readers
// that disagree about the holder, and against a fencing token that does not increase,
// when records are delayed, daemons are paused and clocks drift.
func TestLeaseHasOneHolder(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		parameters := gopter.DefaultTestParametersWithSeed(int64(seed))
		parameters.MinSize, parameters.MaxSize = 50, 150
		properties := gopter.NewProperties(parameters)
		properties.Property(fmt.Sprintf("seed %d", seed), commands.Prop(leaseCommands{}))
		properties.TestingRun(t)
	}
}

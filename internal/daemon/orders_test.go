package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"bergamotsill.example/bergamotsill/internal/ctl"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/seedtest"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// orderGate holds back the orders of one daemon, as a pause between the check of the
// lease and the send would.
type orderGate struct {
	// muted lets appends of the daemon fail, so that its lease expires.
	muted  atomic.Bool
	mu     sync.Mutex
	closed chan struct{}
	held   int
	// late is the delay of the next lateCopies orders, which seem to time out.
	late       time.Duration
	lateCopies int
	// slow delays requests on their way to engines.
	slow atomic.Bool
}

// delay makes the next copies of orders late.
func (g *orderGate) delay(copies int, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateCopies, g.late = copies, late
}

func (g *orderGate) takeLate() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lateCopies == 0 {
		return 0, false
	}
	g.lateCopies--
	return g.late, true
}

func (g *orderGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *orderGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *orderGate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// pass waits while the gate is closed.
func (g *orderGate) pass(ctx context.Context) error {
	g.mu.Lock()
	closed := g.closed
	if closed == nil {
		g.mu.Unlock()
		return nil
	}
	g.held++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.held--
		g.mu.Unlock()
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gatedLog refuses the appends of a muted daemon.
type gatedLog struct {
	port.Log
	gate *orderGate
}

func (l gatedLog) Append(ctx context.Context, stream string, entries []port.Entry) ([]int64, error) {
	if l.gate.muted.Load() {
		return nil, port.ErrLogUnavailable
	}
	return l.Log.Append(ctx, stream, entries)
}

// gatedEngine sends orders through a gate.
type gatedEngine struct {
	port.Engine
	address string
	gate    *orderGate
	run     *orderRun
}

// Order counts an order as called when it has passed the gate.
func (e gatedEngine) Order(ctx context.Context, o port.Order) error {
	if o.Kind != port.OrderRaiseFencing {
		if err := e.gate.pass(ctx); err != nil {
			return err
		}
	}
	if e.gate.slow.Load() && o.Kind != port.OrderRaiseFencing {
		e.run.checkInFlight(e.address)
	}
	call := time.Now()
	err := e.order(ctx, o)
	e.run.history.add(fencedWrite{e.address, o.Fencing}, call, err)
	return err
}

// order sends an order, or delivers it late unless the engine restarts meanwhile,
// which would close the connection.
func (e gatedEngine) order(ctx context.Context, o port.Order) error {
	if o.Kind == port.OrderRaiseFencing {
		return e.Engine.Order(ctx, o)
	}
	late, ok := e.gate.takeLate()
	if !ok {
		return e.Engine.Order(ctx, o)
	}
	engine := e.run.engineAt(e.address)
	incarnation := engine.Status().Incarnation
	if o.Incarnation != "" && o.Incarnation != incarnation {
		return port.ErrNotSent
	}
	e.run.work.Go(func() {
		time.Sleep(late)
		if engine.Status().Incarnation == incarnation {
			_, _ = engine.Execute(o)
		}
	})
	return context.DeadlineExceeded
}

// fencedWrite is an order as the input of fencedModel.
type fencedWrite struct {
	engine  string
	fencing int64
}

// Results of an order.
const (
	writeAccepted = iota
	writeRefused
	writeUnknown
)

// orderHistory holds the orders that all daemons sent, for porcupine.
type orderHistory struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *orderHistory) add(w fencedWrite, call time.Time, err error) {
	op := porcupine.Operation{Input: w, Call: call.UnixNano(), Output: writeAccepted, Return: time.Now().UnixNano()}
	switch {
	case errors.Is(err, port.ErrStaleFencing):
		op.Output = writeRefused
	case err != nil:
		// The order may still take effect.
		op.Output, op.Return = writeUnknown, call.Add(time.Hour).UnixNano()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.operations)
	h.operations = append(h.operations, op)
}

// fencedModel is one engine that accepts orders whose fencing number is not below
// the highest one accepted.
var fencedModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		engines := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(fencedWrite).engine
			engines[name] = append(engines[name], op)
		}
		return slices.Collect(maps.Values(engines))
	},
	Step: func(state, input, output any) []any {
		highest, fencing := state.(int64), input.(fencedWrite).fencing
		stale := fencing < highest
		switch {
		case output == writeAccepted && !stale:
			return []any{fencing}
		case output == writeRefused && stale:
			return []any{highest}
		case output == writeUnknown && !stale:
			return []any{highest, fencing}
		case output == writeUnknown:
			return []any{highest}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// orderRun is a cluster whose engines are rolled from version to version.
type orderRun struct {
	*cluster
	fenced  bool
	gates   map[string]*orderGate
	daemon  []port.VM
	version int
	// minServing is the setting of the engines' pool.
	minServing int
	// reader follows the control stream; announced holds accepted orders by id.
	reader    *order.State
	announced map[string]announcement
	lastLoad  time.Time
	revision  int64
	history   orderHistory
	// unresolved holds when an engine was first seen with open copies.
	unresolved map[string]time.Time
	stop       chan struct{}
	work       sync.WaitGroup
}

// announcement is where an order is on the control stream.
type announcement struct {
	engine string
	offset int64
}

// loadInterval follows from the weight store's rate of 6 loads a minute.
const loadInterval = 10 * time.Second

const controlDataCentre = "anand"

func newOrderRun(c *cluster, fenced bool) *orderRun {
	r := &orderRun{
		cluster: c, fenced: fenced, gates: map[string]*orderGate{}, announced: map[string]announcement{},
		minServing: 2, reader: order.NewState(lease.Options{}), unresolved: map[string]time.Time{}, stop: make(chan struct{}),
	}
	c.connect = func(s settings.Settings, deps *Dependencies) {
		g := &orderGate{}
		r.gates[s.Name] = g
		dial := deps.Engines
		deps.Log = gatedLog{deps.Log, g}
		deps.Engines = func(address string) port.Engine { return gatedEngine{dial(address), address, g, r} }
	}
	for i := range 3 {
		c.addEngine(fmt.Sprintf("engine-%d", i), controlDataCentre, standin.EngineOptions{
			ChecksFencing: fenced, ChangeTime: 2 * time.Second, TokenTime: 50 * time.Millisecond,
		})
	}
	for i := range 4 {
		name := fmt.Sprintf("daemon-%d", i)
		c.addDaemon(name, []string{controlDataCentre, controlDataCentre, controlDataCentre, "kheda"}[i])
		r.daemon = append(r.daemon, c.vms[len(c.vms)-1])
	}
	r.configure(nil)
	c.awaitReady()
	// The VM list shows the engines after its lag of 1 s, and is read each second.
	time.Sleep(5 * time.Second)
	return r
}

func (r *orderRun) engineAt(address string) *standin.Engine {
	for _, vm := range r.vms {
		if vm.Address == address {
			return r.engines[vm.ID]
		}
	}
	return nil
}

// roll publishes the next model version.
func (r *orderRun) roll() {
	r.version++
	r.configure(r.newest())
}

// newest returns the versions that were published last.
func (r *orderRun) newest() []profile.ModelVersion {
	return []profile.ModelVersion{{Model: testModel, Version: fmt.Sprintf("v%d", r.version)}}
}

func (r *orderRun) document(versions []profile.ModelVersion) *profile.Document {
	doc := document()
	doc.Pools[0].ChecksFencing = r.fenced
	doc.Pools[0].MinServing = r.minServing
	doc.Pools[0].Versions = versions
	return doc
}

func (r *orderRun) configure(versions []profile.ModelVersion) {
	r.publish(fmt.Sprintf("roll-%d", r.version), r.revision, r.document(versions))
	r.revision = r.platform.Log.NextOffset(profile.Stream)
}

// traffic sends requests of different lengths until the run ends.
func (r *orderRun) traffic() {
	for i := range 4 {
		r.work.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-r.stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				r.complete(fmt.Sprintf("daemon-%d", (i+n)%4), fmt.Sprintf("history %d-%d tokens=%d", i, n, 10+(37*n)%60))
			}
		})
	}
}

// holder returns the daemon that relies on the lease, or "".
func (r *orderRun) holder() string {
	found := ""
	for _, vm := range r.daemon {
		d := r.daemons[vm.ID]
		if c := d.orders.localControl(); c != nil && d.orders.holdsLease(c) {
			if found != "" {
				r.t.Errorf("%s and %s hold the lease at once", found, vm.ID)
			}
			found = vm.ID
		}
	}
	return found
}

// readLog applies the control stream and notes accepted orders.
func (r *orderRun) readLog() {
	down := r.platform.Log.Faults()
	r.platform.Log.SetFaults(standin.LogFaults{})
	defer r.platform.Log.SetFaults(down)
	page, err := r.platform.Log.Read(context.Background(), order.Stream(controlDataCentre), r.reader.Next(), 0, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, rec := range page.Records {
		var in order.Record
		accepted := r.reader.Apply(rec, 0)
		if json.Unmarshal(rec.Data, &in) == nil && in.Kind == order.KindOrder && accepted {
			r.announced[in.Order.ID] = announcement{in.Engine, rec.Offset}
			if rec.Time.Sub(r.lastLoad) < loadInterval {
				r.t.Errorf("loads at %s and %s exceed the weight store's rate", r.lastLoad, rec.Time)
			}
			r.lastLoad = rec.Time
		}
	}
}

// check states the oracle for engines.
func (r *orderRun) check() {
	r.readLog()
	for name, e := range r.engines {
		if n := e.Conflicts(); n != 0 {
			r.t.Errorf("%s executed %d conflicting orders: %+v", name, n, e.Orders())
		}
		if n := e.Interrupted(); n != 0 {
			r.t.Errorf("orders interrupted %d requests at %s", n, name)
		}
		last := int64(-1)
		for _, o := range e.Orders() {
			at, ok := r.announced[o.ID]
			if !ok || at.engine != name || at.offset < last {
				r.t.Errorf("%s executed order %s after the one at offset %d, announced: %+v", name, o.ID, last, at)
			}
			last = at.offset
		}
	}
}

// rolled tells whether all engines run the newest version.
func (r *orderRun) rolled() bool {
	for _, e := range r.engines {
		if s := e.Status(); s.Phase != port.PhaseServing || s.Version != fmt.Sprintf("v%d", r.version) {
			return false
		}
	}
	return true
}

// oneAtATime checks that min_serving holds: 2 of 3 engines stay in service.
func (r *orderRun) oneAtATime() {
	changing := 0
	for _, e := range r.engines {
		if e.Status().Phase == port.PhaseChanging {
			changing++
		}
	}
	if changing > 1 {
		r.t.Errorf("%d engines change at once, min_serving allows one", changing)
	}
}

// republish publishes the newest version again, as its operator does when the record
// before it was appended late, so that its own base was not current.
func (r *orderRun) republish() {
	data, err := json.Marshal(r.document(r.newest()))
	if err != nil {
		r.t.Fatal(err)
	}
	verdict, err := ctl.Publisher{Log: r.platform.Log, Base: -1}.Publish(context.Background(), "newest.json", data)
	if err != nil || !verdict.Accepted {
		r.t.Fatalf("the newest version is not published: %+v, %v", verdict, err)
	}
}

func (r *orderRun) finish() {
	r.republish()
	r.await("all engines run the newest version", 15*time.Minute, func() bool {
		r.oneAtATime()
		r.holder()
		r.restartUnresolved()
		return r.rolled()
	})
	close(r.stop)
	r.work.Wait()
	r.check()
}

// restartUnresolved does what the operator is told to: it restarts an engine that
// is held back by copies that nobody can account for, as after the death of their
// sender.
func (r *orderRun) restartUnresolved() {
	r.readLog()
	for _, e := range r.reader.Engines() {
		since := r.unresolved[e.Engine]
		switch {
		case len(e.Copies) == 0:
			delete(r.unresolved, e.Engine)
		case since.IsZero():
			r.unresolved[e.Engine] = time.Now()
		case time.Since(since) > 4*time.Minute:
			r.engines[e.Engine].Crash()
			r.unresolved[e.Engine] = time.Now()
		}
	}
}

func forFencing(t *testing.T, f func(r *orderRun)) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			seedtest.Run(t, func(t *testing.T, seed uint64) {
				var r *orderRun
				inCluster(t, seed, func(c *cluster) {
					r = newOrderRun(c, fenced)
					f(r)
				})
				if fenced && porcupine.CheckOperationsTimeout(fencedModel.ToModel(), r.history.operations, time.Minute) != porcupine.Ok {
					t.Errorf("history of %d orders is not that of engines that check fencing", len(r.history.operations))
				}
			})
		})
	}
}

// pause takes a daemon's lease away. It cuts it off from everything but the
// engines, to which it is about to send; or it only makes its appends fail, so
// that it still acknowledges drains.
func (r *orderRun) pause(id string, paused, whole bool) {
	r.gates[id].muted.Store(paused)
	if !whole {
		return
	}
	change := r.net.Unblock
	if paused {
		change = r.net.Block
	}
	change(id, platformHost)
	for _, vm := range r.daemon {
		if vm.ID != id {
			change(id, vm.ID)
		}
	}
}

// Guards against an order that a holder sends after a pause, when another daemon
// has taken over and wants something else: it must be refused, or the other
// daemon must have waited for it.
func TestTakeoverFromPausedHolder(t *testing.T) {
	forFencing(t, func(r *orderRun) {
		r.traffic()
		r.takeOver(false)
		r.takeOver(true)
		r.finish()
	})
}

// takeOver pauses the holder before it sends an order, lets another daemon take
// over with a different wish, and ends the pause.
func (r *orderRun) takeOver(whole bool) {
	r.roll()
	r.await("a daemon holds the lease", time.Minute, func() bool { return r.holder() != "" })
	old := r.holder()
	r.gates[old].close()
	r.await("an order is about to be sent", 3*time.Minute, func() bool { return r.gates[old].waiting() > 0 })
	r.pause(old, true, whole)
	r.await("another daemon holds the lease", time.Minute, func() bool { return r.holder() != "" && r.holder() != old })
	r.roll()
	time.Sleep(time.Duration(30+r.rng.IntN(60)) * time.Second)
	r.gates[old].open()
	time.Sleep(5 * time.Second)
	r.pause(old, false, whole)
}

// Guards against a change that a daemon without the log does not know of, and
// against one that stops serving while it waits for that daemon.
func TestChangeWaitsForEveryDaemon(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderRun(c, true)
		r.traffic()
		cutOff := r.daemon[r.rng.IntN(len(r.daemon))].ID
		r.net.Block(cutOff, platformHost)
		r.roll()
		r.stillServing("a daemon is cut off", cutOff)
		r.net.Unblock(cutOff, platformHost)
		r.finish()
	})
}

// stillServing checks for some minutes that no engine gets an order and that all
// requests to a daemon are answered.
func (r *orderRun) stillServing(why, daemon string) {
	for i := range 20 {
		if got := r.complete(daemon, fmt.Sprintf("check %d tokens=60", i)); got.status != 200 {
			r.t.Errorf("while %s a request was answered %d: %s", why, got.status, got.body)
		}
	}
	for name, e := range r.engines {
		if orders := e.Orders(); len(orders) > 0 {
			r.t.Errorf("while %s %s got %+v", why, name, orders)
		}
	}
}

// Guards against a change that leaves fewer engines than min_serving in service.
func TestChangeKeepsMinServing(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		r := newOrderRun(c, true)
		r.minServing = 3
		r.roll()
		r.stillServing("min_serving forbids a change", "daemon-0")
		r.minServing = 2
		r.roll()
		r.finish()
	})
}

// replace kills a daemon and starts another incarnation on its VM.
func (r *orderRun) replace(vm port.VM) {
	_ = r.daemons[vm.ID].Kill()
	r.startDaemon(vm)
}

// strike applies one random fault.
func (r *orderRun) strike() {
	vm := r.daemon[r.rng.IntN(len(r.daemon))]
	engine := r.engines[fmt.Sprintf("engine-%d", r.rng.IntN(3))]
	holder := r.holder()
	switch r.rng.IntN(15) {
	case 0:
		r.replace(vm)
	case 1:
		if holder != "" {
			r.replace(r.vm(holder))
		}
	case 2:
		r.platform.Log.SetFaults(standin.LogFaults{Down: true})
	case 3:
		r.platform.Log.SetFaults(standin.LogFaults{LoseAnswers: 3})
	case 4:
		r.platform.Log.SetFaults(standin.LogFaults{LateAppends: 3, LateMS: 20000})
	case 5:
		engine.SetFaults(standin.EngineFaults{CrashOnOrder: true, DownMS: 3000})
	case 6:
		engine.SetFaults(standin.EngineFaults{LoseOrderAnswers: 2})
	case 14:
		engine.SetFaults(standin.EngineFaults{RefuseOrders: 1 + r.rng.IntN(5)})
	case 7:
		if engine.Status().Phase == port.PhaseChanging {
			engine.Crash()
		}
	case 8:
		r.expireControl()
	case 9:
		r.stopGracefully(vm)
	case 10:
		if holder != "" {
			r.gates[holder].close()
			r.pause(holder, true, r.rng.IntN(2) == 0)
		}
	case 11:
		if holder != "" && r.gates[holder].waiting() > 0 {
			// Killed between the record and the send.
			r.replace(r.vm(holder))
		}
	case 12:
		r.roll()
	case 13:
		if holder != "" {
			r.gates[holder].delay(1+r.rng.IntN(3), time.Duration(3+r.rng.IntN(240))*time.Second)
		}
	}
}

func (r *orderRun) vm(id string) port.VM {
	for _, vm := range r.daemon {
		if vm.ID == id {
			return vm
		}
	}
	return port.VM{}
}

func (r *orderRun) stopGracefully(vm port.VM) {
	r.gates[vm.ID].open()
	if err := r.daemons[vm.ID].Stop(context.Background()); err != nil {
		r.t.Errorf("%s stopped with %v", vm.ID, err)
	}
	r.startDaemon(vm)
}

// expireControl drops records of the control stream that a running daemon has
// read.
func (r *orderRun) expireControl() {
	r.readLog()
	keep := 0
	next := r.platform.Log.NextOffset(order.Stream(controlDataCentre))
	for _, vm := range r.daemon {
		c := r.daemons[vm.ID].orders.control(controlDataCentre)
		if c == nil {
			return
		}
		c.mu.Lock()
		if !c.state.Recovering() {
			keep = max(keep, int(next-c.state.Next()))
		}
		c.mu.Unlock()
	}
	r.platform.Log.Trim(order.Stream(controlDataCentre), keep)
}

func (r *orderRun) heal() {
	r.platform.Log.SetFaults(standin.LogFaults{})
	for _, vm := range r.daemon {
		r.pause(vm.ID, false, true)
		r.gates[vm.ID].open()
	}
}

// Guards against a copy of an order that timed out and reaches an engine that
// ignores fencing after a different order, and against an engine that is kept out
// of service for it although a repetition has no second effect.
func TestLateCopyMeetsNoOtherOrder(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderRun(c, false)
		r.traffic()
		r.await("a daemon holds the lease", time.Minute, func() bool { return r.holder() != "" })
		r.gates[r.holder()].delay(1, time.Duration(120+r.rng.IntN(300))*time.Second)
		r.roll()
		r.await("all engines run the version", 5*time.Minute, r.rolled)
		late := r.openCopies()
		if late == "" {
			r.t.Fatal("the late copy is accounted for before it arrives")
		}
		r.roll()
		time.Sleep(time.Minute)
		if s := r.engines[late].Status(); s.Version != "v1" || s.Phase != port.PhaseServing {
			r.t.Errorf("%s has version %s and is %s before its late copy arrived", late, s.Version, s.Phase)
		}
		if r.reader.Engine(late).Changing() {
			r.t.Errorf("%s is out of service for a harmless late copy", late)
		}
		others := 0
		for name, e := range r.engines {
			if name != late && e.Status().Version == "v2" {
				others++
			}
		}
		if others != 2 {
			r.t.Errorf("%d other engines were changed, want 2", others)
		}
		if !r.shows(late, "until the engine restarts") {
			r.t.Errorf("role decisions do not tell why %s is held back", late)
		}
		r.finish()
	})
}

// openCopies returns an engine with a copy that may still arrive, or "".
func (r *orderRun) openCopies() string {
	r.readLog()
	for _, e := range r.reader.Engines() {
		if len(e.Copies) > 0 {
			return e.Engine
		}
	}
	return ""
}

// shows tells whether a daemon's role decisions about an engine contain a text.
func (r *orderRun) shows(engine, text string) bool {
	for _, d := range r.daemons {
		for _, record := range d.roleDecisions.Find(engine) {
			if strings.Contains(record.Outcome, text) {
				return true
			}
		}
	}
	return false
}

// Guards against conflicting orders, orders without authority and interrupted
// requests when several failures meet: a holder killed between record, send and
// outcome, paused or stopped; copies of orders that arrive minutes after they timed
// out; engines that refuse orders or crash halfway; lost and late appends;
// outages of the log; expiry of the stream; daemons replaced meanwhile.
func TestOrdersUnderFaults(t *testing.T) {
	forFencing(t, func(r *orderRun) {
		r.traffic()
		r.roll()
		time.Sleep(40 * time.Second)
		for range 30 {
			if r.rng.IntN(2) == 0 {
				r.strike()
			}
			if r.rng.IntN(4) == 0 {
				r.heal()
			}
			for range 4 + r.rng.IntN(40) {
				time.Sleep(250 * time.Millisecond)
				r.oneAtATime()
				r.holder()
			}
		}
		r.heal()
		r.roll()
		r.finish()
	})
}

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

// orderGate injects faults into the orders, requests and appends of one daemon. While it
// is closed, orders wait, as if the daemon paused between the check of its lease and the
// send. mu guards the fields between it and delayRequests.
type orderGate struct {
	// appendsFail makes appends of the daemon fail, so that its lease expires.
	appendsFail   atomic.Bool
	mu            sync.Mutex
	closed        chan struct{}
	waitingOrders int
	// The next lateCopies orders time out for the sender and reach the engine after
	// lateDelay.
	lateDelay  time.Duration
	lateCopies int
	// delayRequests delays requests on their way to engines.
	delayRequests atomic.Bool
}

// delayCopies makes the next orders time out for the sender and reach the engine after the
// delay late. copies is the number of these orders.
func (g *orderGate) delayCopies(copies int, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateCopies, g.lateDelay = copies, late
}

// takeCopyDelay returns the delay of the next order, or false if the order is not to be
// delayed, and counts the order.
func (g *orderGate) takeCopyDelay() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lateCopies == 0 {
		return 0, false
	}
	g.lateCopies--
	return g.lateDelay, true
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

// waiting returns the number of orders that wait at the closed gate.
func (g *orderGate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waitingOrders
}

// awaitOpen waits while the gate is closed.
func (g *orderGate) awaitOpen(ctx context.Context) error {
	g.mu.Lock()
	closed := g.closed
	if closed == nil {
		g.mu.Unlock()
		return nil
	}
	g.waitingOrders++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.waitingOrders--
		g.mu.Unlock()
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// gatedLog fails the appends of a daemon whose gate has appendsFail set.
type gatedLog struct {
	port.Log
	gate *orderGate
}

func (l gatedLog) Append(ctx context.Context, stream string, entries []port.Entry) ([]int64, error) {
	if l.gate.appendsFail.Load() {
		return nil, port.ErrLogUnavailable
	}
	return l.Log.Append(ctx, stream, entries)
}

// gatedEngine sends the orders and requests of one daemon to an engine through the gate of
// the daemon.
type gatedEngine struct {
	port.Engine
	address string
	gate    *orderGate
	cluster *orderCluster
}

// Order sends an order through the gate and adds it to the history, with the time when it
// passed the gate as the time of its call. Orders that only raise the fencing token do
// not wait at the gate.
func (e gatedEngine) Order(ctx context.Context, o port.Order) error {
	if o.Kind != port.OrderRaiseFencing {
		if err := e.gate.awaitOpen(ctx); err != nil {
			return err
		}
	}
	if e.gate.delayRequests.Load() && o.Kind != port.OrderRaiseFencing {
		e.cluster.checkInFlight(e.address)
	}
	call := time.Now()
	err := e.sendOrder(ctx, o)
	e.cluster.history.add(fencedOrder{e.address, o.Fencing}, call, err)
	return err
}

// sendOrder sends an order. If the order is to be late, sendOrder times out and the order
// reaches the engine after the delay, unless the engine has restarted by then: a restart
// would have closed the connection.
func (e gatedEngine) sendOrder(ctx context.Context, o port.Order) error {
	if o.Kind == port.OrderRaiseFencing {
		return e.Engine.Order(ctx, o)
	}
	delay, ok := e.gate.takeCopyDelay()
	if !ok {
		return e.Engine.Order(ctx, o)
	}
	engine := e.cluster.engineAt(e.address)
	incarnation := engine.Status().Incarnation
	if o.Incarnation != "" && o.Incarnation != incarnation {
		return port.ErrNotSent
	}
	e.cluster.background.Go(func() {
		time.Sleep(delay)
		if engine.Status().Incarnation == incarnation {
			_, _ = engine.Execute(o)
		}
	})
	return context.DeadlineExceeded
}

// fencedOrder is an order as the input of fencedModel. engine is the engine's address.
type fencedOrder struct {
	engine  string
	fencing int64
}

// Results of an order.
const (
	orderAccepted = iota
	orderRefused
	orderUnknown
)

// orderHistory holds the orders that all daemons sent, for porcupine.
type orderHistory struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *orderHistory) add(o fencedOrder, call time.Time, err error) {
	op := porcupine.Operation{Input: o, Call: call.UnixNano(), Output: orderAccepted, Return: time.Now().UnixNano()}
	switch {
	case errors.Is(err, port.ErrStaleFencing):
		op.Output = orderRefused
	case err != nil:
		// The order may still take effect.
		op.Output, op.Return = orderUnknown, call.Add(time.Hour).UnixNano()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.operations)
	h.operations = append(h.operations, op)
}

// fencedModel is an engine that accepts an order unless its fencing token is below the
// highest one accepted. The state is that token.
var fencedModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		engines := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(fencedOrder).engine
			engines[name] = append(engines[name], op)
		}
		return slices.Collect(maps.Values(engines))
	},
	Step: func(state, input, output any) []any {
		highest, fencing := state.(int64), input.(fencedOrder).fencing
		stale := fencing < highest
		switch {
		case output == orderAccepted && !stale:
			return []any{fencing}
		case output == orderRefused && stale:
			return []any{highest}
		case output == orderUnknown && !stale:
			return []any{highest, fencing}
		case output == orderUnknown:
			return []any{highest}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// orderCluster is a cluster whose engines are updated from version to version.
type orderCluster struct {
	*cluster
	fenced    bool
	gates     map[string]*orderGate
	daemonVMs []port.VM
	version   int
	// minServing is the min_serving setting of the engines' pool.
	minServing int
	// controlState follows the control stream; announced holds accepted orders by id.
	controlState *order.State
	announced    map[string]announcement
	lastLoadTime time.Time
	revision     int64
	history      orderHistory
	// openCopiesSince holds, by engine, when the engine was first found with open
	// copies.
	openCopiesSince map[string]time.Time
	stop            chan struct{}
	background      sync.WaitGroup
}

// announcement is the position of an order on the control stream.
type announcement struct {
	engine string
	offset int64
}

// loadInterval is the shortest interval between two orders that load weights. It follows
// from the weight store's rate of 6 loads a minute.
const loadInterval = 10 * time.Second

// controlDataCentre is the data centre of the engines and of the daemons that control
// them.
const controlDataCentre = "anand"

// newOrderCluster starts three engines and three daemons in controlDataCentre and a fourth
// daemon in another data centre, each daemon with a gate. fenced says whether the engines
// check fencing.
func newOrderCluster(c *cluster, fenced bool) *orderCluster {
	r := &orderCluster{
		cluster: c, fenced: fenced, gates: map[string]*orderGate{}, announced: map[string]announcement{},
		minServing: 2, controlState: order.NewState(lease.Options{}), openCopiesSince: map[string]time.Time{}, stop: make(chan struct{}),
	}
	c.adjustDependencies = func(s settings.Settings, deps *Dependencies) {
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
		r.daemonVMs = append(r.daemonVMs, c.vms[len(c.vms)-1])
	}
	r.publishVersions(nil)
	c.awaitReady()
	// The VM list shows the engines after its lag of 1 s, and daemons read it each
	// second.
	time.Sleep(5 * time.Second)
	return r
}

func (r *orderCluster) engineAt(address string) *standin.Engine {
	for _, vm := range r.vms {
		if vm.Address == address {
			return r.engines[vm.ID]
		}
	}
	return nil
}

// publishNextVersion publishes the next model version.
func (r *orderCluster) publishNextVersion() {
	r.version++
	r.publishVersions(r.newestVersions())
}

// newestVersions returns the versions that were published last.
func (r *orderCluster) newestVersions() []profile.ModelVersion {
	return []profile.ModelVersion{{Model: testModel, Version: fmt.Sprintf("v%d", r.version)}}
}

func (r *orderCluster) document(versions []profile.ModelVersion) *profile.Document {
	doc := document()
	doc.Pools[0].ChecksFencing = r.fenced
	doc.Pools[0].MinServing = r.minServing
	doc.Pools[0].Versions = versions
	return doc
}

func (r *orderCluster) publishVersions(versions []profile.ModelVersion) {
	r.publish(fmt.Sprintf("roll-%d", r.version), r.revision, r.document(versions))
	r.revision = r.platform.Log.NextOffset(profile.Stream)
}

// startTraffic sends requests of different lengths until stop is closed.
func (r *orderCluster) startTraffic() {
	for i := range 4 {
		r.background.Go(func() {
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

// leaseHolder returns the daemon that holds the lease, or "". It fails the test if two
// daemons hold it.
func (r *orderCluster) leaseHolder() string {
	holder := ""
	for _, vm := range r.daemonVMs {
		d := r.daemons[vm.ID]
		if c := d.orders.localControl(); c != nil && d.orders.holdsLease(c) {
			if holder != "" {
				r.t.Errorf("%s and %s hold the lease at the same time", holder, vm.ID)
			}
			holder = vm.ID
		}
	}
	return holder
}

// readControlStream applies the records that are new on the control stream, adds accepted
// orders to announced and checks that their rate does not exceed the weight store's. It
// reads without the faults of the log.
func (r *orderCluster) readControlStream() {
	faults := r.platform.Log.Faults()
	r.platform.Log.SetFaults(standin.LogFaults{})
	defer r.platform.Log.SetFaults(faults)
	page, err := r.platform.Log.Read(context.Background(), order.Stream(controlDataCentre), r.controlState.Next(), 0, 0)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, rec := range page.Records {
		var in order.Record
		accepted := r.controlState.Apply(rec, 0)
		if json.Unmarshal(rec.Data, &in) == nil && in.Kind == order.KindOrder && accepted {
			r.announced[in.Order.ID] = announcement{in.Engine, rec.Offset}
			if rec.Time.Sub(r.lastLoadTime) < loadInterval {
				r.t.Errorf("loads at %s and %s exceed the weight store's rate, want loadInterval or more between them", r.lastLoadTime, rec.Time)
			}
			r.lastLoadTime = rec.Time
		}
	}
}

// checkOrders checks that engines executed only announced orders, in the order of the
// control stream, without conflicts and without interrupting requests.
func (r *orderCluster) checkOrders() {
	r.readControlStream()
	for name, e := range r.engines {
		if n := e.Conflicts(); n != 0 {
			r.t.Errorf("%s executed %d conflicting orders, want none: %+v", name, n, e.Orders())
		}
		if n := e.Interrupted(); n != 0 {
			r.t.Errorf("orders interrupted %d requests at %s, want none", n, name)
		}
		last := int64(-1)
		for _, o := range e.Orders() {
			at, ok := r.announced[o.ID]
			if !ok || at.engine != name || at.offset < last {
				r.t.Errorf("%s executed order %s after the one at offset %d, want one announced for it at that offset or later; announced: %+v", name, o.ID, last, at)
			}
			last = at.offset
		}
	}
}

// allRunNewestVersion reports whether all engines run the newest version.
func (r *orderCluster) allRunNewestVersion() bool {
	for _, e := range r.engines {
		if s := e.Status(); s.Phase != port.PhaseServing || s.Version != fmt.Sprintf("v%d", r.version) {
			return false
		}
	}
	return true
}

// checkOneChanging checks that min_serving holds: 2 of 3 engines stay in service.
func (r *orderCluster) checkOneChanging() {
	changing := 0
	for _, e := range r.engines {
		if e.Status().Phase == port.PhaseChanging {
			changing++
		}
	}
	if changing > 1 {
		r.t.Errorf("%d engines are changing at the same time, min_serving allows one", changing)
	}
}

// republishNewest publishes the newest version again, as an operator does when the
// previous record was appended late and its base was no longer current.
func (r *orderCluster) republishNewest() {
	data, err := json.Marshal(r.document(r.newestVersions()))
	if err != nil {
		r.t.Fatal(err)
	}
	decision, err := ctl.Publisher{Log: r.platform.Log, Base: -1}.Publish(context.Background(), "newest.json", data)
	if err != nil || !decision.Accepted {
		r.t.Fatalf("the newest version is not published: %+v, %v", decision, err)
	}
}

// finishRollout waits until all engines run the newest version, ends the traffic, and
// checks all orders.
func (r *orderCluster) finishRollout() {
	r.republishNewest()
	r.await("all engines run the newest version", 15*time.Minute, func() bool {
		r.checkOneChanging()
		r.leaseHolder()
		r.restartWithOpenCopies()
		return r.allRunNewestVersion()
	})
	close(r.stop)
	r.background.Wait()
	r.checkOrders()
}

// restartWithOpenCopies does what the role decisions ask of the operator: it restarts
// an engine whose changes have been blocked for 4 minutes by copies with an unknown
// outcome, for example after the death of their sender.
func (r *orderCluster) restartWithOpenCopies() {
	r.readControlStream()
	for _, e := range r.controlState.Engines() {
		since := r.openCopiesSince[e.Engine]
		switch {
		case len(e.Copies) == 0:
			delete(r.openCopiesSince, e.Engine)
		case since.IsZero():
			r.openCopiesSince[e.Engine] = time.Now()
		case time.Since(since) > 4*time.Minute:
			r.engines[e.Engine].Crash()
			r.openCopiesSince[e.Engine] = time.Now()
		}
	}
}

// forFencingModes runs f for each seed with engines that check fencing and with engines
// that do not. It checks the history of the former against fencedModel.
func forFencingModes(t *testing.T, f func(r *orderCluster)) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			seedtest.Run(t, func(t *testing.T, seed uint64) {
				var r *orderCluster
				inCluster(t, seed, func(c *cluster) {
					r = newOrderCluster(c, fenced)
					f(r)
				})
				if fenced && porcupine.CheckOperationsTimeout(fencedModel.ToModel(), r.history.operations, time.Minute) != porcupine.Ok {
					t.Errorf("history of %d orders is not possible for engines that check fencing, or was not checked within a minute", len(r.history.operations))
				}
			})
		})
	}
}

// setPaused starts or ends a pause of a daemon, in which its appends fail and it loses its
// lease. With isolate, the daemon is also cut off from everything but the engines, to
// which it is about to send. Without, it still acknowledges drains.
func (r *orderCluster) setPaused(id string, paused, isolate bool) {
	r.gates[id].appendsFail.Store(paused)
	if !isolate {
		return
	}
	setLink := r.net.Unblock
	if paused {
		setLink = r.net.Block
	}
	setLink(id, platformHost)
	for _, vm := range r.daemonVMs {
		if vm.ID != id {
			setLink(id, vm.ID)
		}
	}
}

// Guards against an order that a holder sends after a pause, when another daemon has
// acquired the lease and issues a different order: the late order must be refused, or
// the other daemon must have waited for it.
func TestTakeoverFromPausedHolder(t *testing.T) {
	forFencingModes(t, func(r *orderCluster) {
		r.startTraffic()
		r.forceTakeover(false)
		r.forceTakeover(true)
		r.finishRollout()
	})
}

// forceTakeover pauses the holder before it sends an order, waits until another daemon
// has acquired the lease, publishes a different version, and ends the pause.
func (r *orderCluster) forceTakeover(isolate bool) {
	r.publishNextVersion()
	r.await("a daemon holds the lease", time.Minute, func() bool { return r.leaseHolder() != "" })
	oldHolder := r.leaseHolder()
	r.gates[oldHolder].close()
	r.await("an order is about to be sent", 3*time.Minute, func() bool { return r.gates[oldHolder].waiting() > 0 })
	r.setPaused(oldHolder, true, isolate)
	r.await("another daemon holds the lease", time.Minute, func() bool { return r.leaseHolder() != "" && r.leaseHolder() != oldHolder })
	r.publishNextVersion()
	time.Sleep(time.Duration(30+r.rng.IntN(60)) * time.Second)
	r.gates[oldHolder].open()
	time.Sleep(5 * time.Second)
	r.setPaused(oldHolder, false, isolate)
}

// Guards against a change that proceeds although a daemon without the log has not
// received its drain, and against a change that stops the service while it waits for
// that daemon.
func TestChangeWaitsForEveryDaemon(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderCluster(c, true)
		r.startTraffic()
		cutOff := r.daemonVMs[r.rng.IntN(len(r.daemonVMs))].ID
		r.net.Block(cutOff, platformHost)
		r.publishNextVersion()
		r.checkNoChange("a daemon is cut off", cutOff)
		r.net.Unblock(cutOff, platformHost)
		r.finishRollout()
	})
}

// checkNoChange checks for some minutes that no engine receives an order and that all
// requests to a daemon are answered.
func (r *orderCluster) checkNoChange(when, daemon string) {
	for i := range 20 {
		if got := r.complete(daemon, fmt.Sprintf("check %d tokens=60", i)); got.status != 200 {
			r.t.Errorf("while %s: a request was answered with status %d: %s", when, got.status, got.body)
		}
	}
	for name, e := range r.engines {
		if orders := e.Orders(); len(orders) > 0 {
			r.t.Errorf("while %s: %s received orders %+v", when, name, orders)
		}
	}
}

// Guards against a change that leaves fewer engines than min_serving in service.
func TestChangeKeepsMinServing(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		r := newOrderCluster(c, true)
		r.minServing = 3
		r.publishNextVersion()
		r.checkNoChange("min_serving forbids a change", "daemon-0")
		r.minServing = 2
		r.publishNextVersion()
		r.finishRollout()
	})
}

// replace kills a daemon and starts another incarnation on its VM.
func (r *orderCluster) replace(vm port.VM) {
	_ = r.daemons[vm.ID].Kill()
	r.startDaemon(vm)
}

// injectOrderFault injects one random fault, or publishes the next version.
func (r *orderCluster) injectOrderFault() {
	vm := r.daemonVMs[r.rng.IntN(len(r.daemonVMs))]
	engine := r.engines[fmt.Sprintf("engine-%d", r.rng.IntN(3))]
	holder := r.leaseHolder()
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
		r.platform.Log.SetFaults(standin.LogFaults{LoseResponses: 3})
	case 4:
		r.platform.Log.SetFaults(standin.LogFaults{LateAppends: 3, LateMS: 20000})
	case 5:
		engine.SetFaults(standin.EngineFaults{CrashOnOrder: true, DownMS: 3000})
	case 6:
		engine.SetFaults(standin.EngineFaults{LoseOrderResponses: 2})
	case 14:
		engine.SetFaults(standin.EngineFaults{RefuseOrders: 1 + r.rng.IntN(5)})
	case 7:
		if engine.Status().Phase == port.PhaseChanging {
			engine.Crash()
		}
	case 8:
		r.trimControlStream()
	case 9:
		r.stopGracefully(vm)
	case 10:
		if holder != "" {
			r.gates[holder].close()
			r.setPaused(holder, true, r.rng.IntN(2) == 0)
		}
	case 11:
		if holder != "" && r.gates[holder].waiting() > 0 {
			// The holder is killed between the record and the send.
			r.replace(r.vm(holder))
		}
	case 12:
		r.publishNextVersion()
	case 13:
		if holder != "" {
			r.gates[holder].delayCopies(1+r.rng.IntN(3), time.Duration(3+r.rng.IntN(240))*time.Second)
		}
	}
}

func (r *orderCluster) vm(id string) port.VM {
	for _, vm := range r.daemonVMs {
		if vm.ID == id {
			return vm
		}
	}
	return port.VM{}
}

func (r *orderCluster) stopGracefully(vm port.VM) {
	r.gates[vm.ID].open()
	if err := r.daemons[vm.ID].Stop(context.Background()); err != nil {
		r.t.Errorf("%s stopped with %v", vm.ID, err)
	}
	r.startDaemon(vm)
}

// trimControlStream drops the records of the control stream that every daemon has read.
// Daemons that are recovering from dropped records do not count.
func (r *orderCluster) trimControlStream() {
	r.readControlStream()
	keep := 0
	next := r.platform.Log.NextOffset(order.Stream(controlDataCentre))
	for _, vm := range r.daemonVMs {
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

// heal removes the faults of the log and ends all pauses.
func (r *orderCluster) heal() {
	r.platform.Log.SetFaults(standin.LogFaults{})
	for _, vm := range r.daemonVMs {
		r.setPaused(vm.ID, false, true)
		r.gates[vm.ID].open()
	}
}

// Guards against a late copy of an order, one that timed out for its sender, which reaches
// an engine that ignores fencing after the engine received a different order. Also guards
// against an engine that is kept out of service until such a copy arrives, although
// repeating an order has no effect.
func TestLateCopyBlocksDifferentOrder(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderCluster(c, false)
		r.startTraffic()
		r.await("a daemon holds the lease", time.Minute, func() bool { return r.leaseHolder() != "" })
		r.gates[r.leaseHolder()].delayCopies(1, time.Duration(120+r.rng.IntN(300))*time.Second)
		r.publishNextVersion()
		r.await("all engines run the version", 5*time.Minute, r.allRunNewestVersion)
		lateEngine := r.engineWithOpenCopy()
		if lateEngine == "" {
			r.t.Fatal("the late copy has an outcome before it arrives")
		}
		r.publishNextVersion()
		time.Sleep(time.Minute)
		if s := r.engines[lateEngine].Status(); s.Version != "v1" || s.Phase != port.PhaseServing {
			r.t.Errorf("%s has version %s and is %s before its late copy arrived", lateEngine, s.Version, s.Phase)
		}
		if r.controlState.Engine(lateEngine).Changing() {
			r.t.Errorf("%s is out of service for a harmless late copy", lateEngine)
		}
		updated := 0
		for name, e := range r.engines {
			if name != lateEngine && e.Status().Version == "v2" {
				updated++
			}
		}
		if updated != 2 {
			r.t.Errorf("%d engines other than the one with the late copy run the new version, want 2", updated)
		}
		if !r.hasRoleDecision(lateEngine, "until the engine restarts") {
			r.t.Errorf("role decisions do not report why the change of %s is delayed", lateEngine)
		}
		r.finishRollout()
	})
}

// engineWithOpenCopy returns an engine with a copy that may still arrive, or "".
func (r *orderCluster) engineWithOpenCopy() string {
	r.readControlStream()
	for _, e := range r.controlState.Engines() {
		if len(e.Copies) > 0 {
			return e.Engine
		}
	}
	return ""
}

// hasRoleDecision reports whether a daemon's role decisions about an engine contain a
// text.
func (r *orderCluster) hasRoleDecision(engine, text string) bool {
	for _, d := range r.daemons {
		for _, record := range d.roleDecisions.Find(engine) {
			if strings.Contains(record.Outcome, text) {
				return true
			}
		}
	}
	return false
}

// Guards against conflicting orders, orders without a lease and interrupted requests
// when several failures coincide: a holder is killed between record, send and outcome,
// paused or stopped; copies of orders arrive minutes after they timed out; engines
// refuse orders or crash halfway; appends are lost or late; the log is unavailable; the
// stream expires; daemons are replaced in the meantime.
func TestOrdersUnderFaults(t *testing.T) {
	forFencingModes(t, func(r *orderCluster) {
		r.startTraffic()
		r.publishNextVersion()
		time.Sleep(40 * time.Second)
		for range 30 {
			if r.rng.IntN(2) == 0 {
				r.injectOrderFault()
			}
			if r.rng.IntN(4) == 0 {
				r.heal()
			}
			for range 4 + r.rng.IntN(40) {
				time.Sleep(250 * time.Millisecond)
				r.checkOneChanging()
				r.leaseHolder()
			}
		}
		r.heal()
		r.publishNextVersion()
		r.finishRollout()
	})
}

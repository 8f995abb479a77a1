package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/replay"
)

// Methods of the peer interface.
const (
	// methodDrainAck acknowledges a drain.
	methodDrainAck = "drain.ack"
	// methodDrains passes a control stream's checkpoint to a starting daemon.
	methodDrains = "drain.open"
)

const (
	leaseInterval   = 250 * time.Millisecond
	controlInterval = 250 * time.Millisecond
	streamsInterval = 250 * time.Millisecond
	// maxClaimDelay spreads the claims of daemons that the hash did not choose.
	maxClaimDelay = 5 * time.Second
	// listFreshness is the age up to which the VM list proves that a VM is gone.
	listFreshness = 5 * time.Second
	// handOverTimeout bounds the hand-over of the lease at a graceful stop; without
	// the log the lease expires.
	handOverTimeout = 3 * time.Second
	ackTimeout      = time.Second
	// drainPeerDelay is the time after which a starting daemon takes the open
	// drains from peers. The log comes first, because a peer may be behind.
	drainPeerDelay = 6 * time.Second
)

// ackRequest is the argument of methodDrainAck. Without an engine it asks only for
// the incarnation.
type ackRequest struct {
	DataCentre string `json:"data_centre"`
	Engine     string `json:"engine,omitempty"`
	Drain      int64  `json:"drain,omitempty"`
}

// ackResponse is the answer to methodDrainAck.
type ackResponse struct {
	Incarnation string `json:"incarnation"`
	// Drained is set when the daemon knows the drain, sends nothing more to the
	// engine and has no request in flight there.
	Drained bool `json:"drained"`
}

// control follows the control stream of one data centre.
type control struct {
	follower
	state   *order.State
	started time.Time
	// synced is set once open drains are known.
	synced atomic.Bool
}

// orders follows the control streams of all data centres, so that drains are
// respected, and issues engine orders while this daemon holds the lease of its
// own data centre.
type orders struct {
	daemon     *Daemon
	opts       lease.Options
	controller *order.Controller
	// stopping ends claims, renewals and new orders.
	stopping atomic.Bool
	// ready is set once the drains of all data centres were known.
	ready atomic.Bool

	mu       sync.Mutex
	controls map[string]*control

	// acting serialises the steps of the holder with the hand-over.
	acting sync.Mutex
	// acknowledged holds, by engine and drain, the daemons that acknowledged.
	acknowledged map[ackRequest]map[string]bool
	// listed is when a VM was last on the VM list, listedSince when the list was
	// read first and listedAt when it was read last.
	listed                map[string]time.Time
	lastList              time.Time
	listedSince, listedAt time.Time
	// daemonIDs holds every daemon that was ever listed.
	daemonIDs    map[string]bool
	incarnations map[string]string

	// claimAt is when this daemon claims a free lease; used by runLease only.
	claimAt time.Duration
	rng     *rand.Rand
}

func newOrders(d *Daemon) *orders {
	opts := lease.Options{
		Holder:   d.incarnation,
		Daemon:   d.settings.Name,
		Duration: d.settings.Timing.Lease.Std(),
		Drift:    d.settings.Timing.ClockDrift.Std(),
	}
	return &orders{
		daemon:       d,
		opts:         opts,
		controller:   order.NewController(opts, []order.Planner{order.VersionPlanner{}}, newID),
		controls:     map[string]*control{},
		acknowledged: map[ackRequest]map[string]bool{},
		listed:       map[string]time.Time{},
		daemonIDs:    map[string]bool{},
		incarnations: map[string]string{},
		rng:          rand.New(rand.NewPCG(d.deps.Seed, 3)),
	}
}

func (o *orders) newControl(dataCentre string) *control {
	state := order.NewState(o.opts)
	c := &control{state: state, started: time.Now()}
	writers := func() []string { return names(o.daemonsOf(dataCentre)) }
	c.follower = follower{
		daemon:  o.daemon,
		stream:  order.Stream(dataCentre),
		limits:  order.Limits,
		wait:    remoteReadWait,
		machine: state,
		rng:     rand.New(rand.NewPCG(o.daemon.deps.Seed, 4)),
		apply: func(rec port.Record) {
			state.Apply(rec, o.daemon.deps.Clock.Now())
		},
		caughtUp: func() {
			c.synced.Store(true)
			o.daemon.fleet.refreshClosed()
		},
		checkpoint: func() any {
			return order.Record{Record: lease.Record{Kind: order.KindCheckpoint}, Checkpoint: state.Checkpoint()}
		},
		writers: writers,
	}
	if dataCentre == o.daemon.settings.DataCentre {
		c.wait = readWait
	}
	return c
}

func (o *orders) daemonsOf(dataCentre string) []port.VM {
	return slices.DeleteFunc(o.daemon.fleet.daemons(), func(vm port.VM) bool { return vm.DataCentre != dataCentre })
}

// control returns the follower of a data centre's stream, or nil.
func (o *orders) control(dataCentre string) *control {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controls[dataCentre]
}

func (o *orders) own() *control { return o.control(o.daemon.settings.DataCentre) }

// known tells whether this daemon has learned the open drains everywhere once.
func (o *orders) known() bool { return o.ready.Load() }

// drained tells whether an engine must get no new work: it is being drained, or
// this daemon does not know yet whether it is.
func (o *orders) drained(vm port.VM) bool {
	c := o.control(vm.DataCentre)
	if c == nil || !c.synced.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Engine(vm.ID).Drain > 0
}

// run starts a follower for each data centre that appears on the VM list.
func (o *orders) run() error {
	every(o.daemon.context(), streamsInterval, func(ctx context.Context) {
		// Empty until the VM list was read.
		for _, vm := range o.daemon.fleet.latest().VMs {
			if vm.Kind == port.KindEngine {
				o.follow(vm.DataCentre)
			}
		}
		o.learnDrains(ctx)
	})
	return nil
}

func (o *orders) follow(dataCentre string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.controls[dataCentre]; ok {
		return
	}
	c := o.newControl(dataCentre)
	o.controls[dataCentre] = c
	o.daemon.tomb.Go(c.run)
	if dataCentre == o.daemon.settings.DataCentre {
		o.daemon.tomb.Go(c.runCheckpoints)
	}
}

// learnDrains takes the open drains from peers where the log does not tell them.
func (o *orders) learnDrains(ctx context.Context) {
	all := true
	for dataCentre, c := range o.unsynced() {
		if time.Since(c.started) >= drainPeerDelay {
			o.askDrains(ctx, dataCentre, c)
		}
		all = all && c.synced.Load()
	}
	if all {
		o.ready.Store(true)
	}
}

func (o *orders) unsynced() map[string]*control {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]*control{}
	for dataCentre, c := range o.controls {
		if !c.synced.Load() {
			out[dataCentre] = c
		}
	}
	return out
}

func (o *orders) askDrains(ctx context.Context, dataCentre string, c *control) {
	answered := false
	for _, address := range o.daemon.peerAddresses() {
		limited, cancel := context.WithTimeout(ctx, ackTimeout)
		var answer *order.Checkpoint
		err := o.daemon.deps.Peers(address).Call(limited, methodDrains, ackRequest{DataCentre: dataCentre}, &answer)
		cancel()
		if err != nil || answer == nil {
			continue
		}
		c.mu.Lock()
		c.state.Restore(answer, o.daemon.deps.Clock.Now())
		c.mu.Unlock()
		answered = true
	}
	if answered {
		c.caughtUp()
	}
}

// serveDrains answers methodDrains, with null when this daemon does not know.
func (o *orders) serveDrains(_ context.Context, params json.RawMessage) (any, error) {
	var in ackRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	c := o.control(in.DataCentre)
	if c == nil || !c.synced.Load() {
		return nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Checkpoint(), nil
}

// serveAck answers methodDrainAck. The engine is closed before requests in flight
// are counted, so none can follow.
func (o *orders) serveAck(_ context.Context, params json.RawMessage) (any, error) {
	var in ackRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	return o.ack(in), nil
}

func (o *orders) ack(in ackRequest) ackResponse {
	out := ackResponse{Incarnation: o.daemon.incarnation}
	c := o.control(in.DataCentre)
	if in.Engine == "" || c == nil {
		return out
	}
	c.mu.Lock()
	known := c.state.Engine(in.Engine).Drain == in.Drain
	c.mu.Unlock()
	if !known {
		return out
	}
	o.daemon.fleet.refreshClosed()
	out.Drained = o.daemon.fleet.inFlight(in.Engine) == 0
	return out
}

// runLease claims and renews the lease of this data centre.
func (o *orders) runLease() error {
	every(o.daemon.context(), leaseInterval, o.keepLease)
	return nil
}

func (o *orders) keepLease(ctx context.Context) {
	c := o.own()
	if c == nil || o.stopping.Load() || !c.reading() {
		return
	}
	now := o.daemon.deps.Clock.Now()
	id := newID()
	c.mu.Lock()
	var record lease.Record
	switch {
	case c.state.Lease.RenewalDue(now):
		record = c.state.Lease.Renew(id, now)
	case c.state.Lease.Claimable(now) && o.mayClaim(c, now):
		record = c.state.Lease.Claim(id, now)
	}
	c.mu.Unlock()
	if record.Kind == "" {
		return
	}
	o.append(ctx, c, []string{id}, []order.Record{{Record: record}})
}

// mayClaim lets the daemon that the hash chooses claim at once and the others
// after a random delay; the control's lock is held.
func (o *orders) mayClaim(c *control, now time.Duration) bool {
	if o.claimAt == 0 || now > o.claimAt+maxClaimDelay {
		o.claimAt = now
		key := fmt.Sprintf("%s/%d", c.stream, c.state.Lease.Lease().Last)
		if replay.Writer(key, names(o.daemonsOf(o.daemon.settings.DataCentre))) != o.daemon.settings.Name {
			o.claimAt += time.Duration(o.rng.Int64N(int64(maxClaimDelay)))
		}
	}
	if now < o.claimAt {
		return false
	}
	o.claimAt = 0
	return true
}

// append appends records and waits a moment until they were read back. Whether
// they were accepted shows in the state; a lost answer needs no other handling,
// because the next step is decided from the state again.
func (o *orders) append(ctx context.Context, c *control, ids []string, records []order.Record) {
	entries := make([]port.Entry, len(records))
	for i, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			o.daemon.log.Error("control record cannot be encoded", zap.Error(err))
			return
		}
		entries[i] = port.Entry{ID: ids[i], Data: data}
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	offsets, err := o.daemon.deps.Log.Append(ctx, c.stream, entries)
	if err != nil {
		o.daemon.metrics.LogErrors.Add(1)
		return
	}
	last := offsets[len(offsets)-1]
	for ctx.Err() == nil {
		c.mu.Lock()
		next := c.state.Next()
		c.mu.Unlock()
		if next > last {
			return
		}
		sleep(ctx, 10*time.Millisecond)
	}
}

// runController takes the holder's steps one after another.
func (o *orders) runController() error {
	every(o.daemon.context(), controlInterval, func(ctx context.Context) {
		o.acting.Lock()
		defer o.acting.Unlock()
		if !o.stopping.Load() {
			o.act(ctx)
		}
	})
	return nil
}

func (o *orders) held(c *control) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Lease.Held(o.daemon.deps.Clock.Now())
}

func (o *orders) act(ctx context.Context) {
	o.noteList()
	c := o.own()
	if c == nil || !c.synced.Load() {
		return
	}
	if !o.held(c) {
		o.yield(ctx, c)
		return
	}
	view := o.view(ctx, c)
	c.mu.Lock()
	if !c.state.Lease.Held(o.daemon.deps.Clock.Now()) || c.state.Recovering() {
		c.mu.Unlock()
		return
	}
	action := o.controller.Next(c.state, view)
	fencing := c.state.Lease.Lease().Fencing
	c.mu.Unlock()
	o.record(action, fencing)
	switch action.Kind {
	case order.ActAppend:
		o.appendRecords(ctx, c, action.Records)
	case order.ActRaise:
		if o.send(ctx, c, action) == nil {
			o.controller.Raised(action.Engine, fencing)
		}
	case order.ActSend:
		// Whether the order was carried out shows in the engine's status.
		_ = o.send(ctx, c, action)
	}
}

// yield gives up bindings after another daemon was seen to hold the lease.
func (o *orders) yield(ctx context.Context, c *control) {
	c.mu.Lock()
	var records []order.Record
	if l := c.state.Lease.Lease(); l.Holder != o.opts.Holder || l.Released {
		records = o.controller.Yield(c.state)
	}
	c.mu.Unlock()
	if len(records) > 0 {
		o.appendRecords(ctx, c, records)
	}
}

func (o *orders) appendRecords(ctx context.Context, c *control, records []order.Record) {
	ids := make([]string, len(records))
	for i := range ids {
		ids[i] = newID()
	}
	o.append(ctx, c, ids, records)
}

// send sends an order if the lease is still held. The daemon may be paused after
// the check; fencing or the engine's binding makes that harmless.
func (o *orders) send(ctx context.Context, c *control, action order.Action) error {
	u := o.daemon.fleet.upstreamByID(action.Engine)
	if u == nil || !o.held(c) {
		return errors.New("engine or lease is gone")
	}
	err := u.Engine.Order(ctx, action.Order)
	o.daemon.log.Info("order sent",
		zap.String("engine", action.Engine),
		zap.String("order-id", action.Order.ID),
		zap.String("kind", string(action.Order.Kind)),
		zap.Int64("fencing", action.Order.Fencing),
		zap.Error(err),
	)
	return err
}

// record adds a step to the ring of role decisions.
func (o *orders) record(a order.Action, fencing int64) {
	if a.Verdict == "" {
		return
	}
	inputs := append([]decision.Input{decision.In("fencing", fencing)}, a.Reasons...)
	if a.Order.ID != "" {
		inputs = append(inputs, decision.In("order-id", a.Order.ID))
	}
	o.daemon.roles.Add(decision.Record{
		Time: time.Now(), Subject: a.Engine, Stage: "order", Verdict: a.Verdict, Inputs: inputs,
	})
}

// noteList notes which VMs are listed.
func (o *orders) noteList() {
	snapshot := o.daemon.fleet.latest()
	if !snapshot.Time.After(o.lastList) {
		return
	}
	now := time.Now()
	if o.lastList.IsZero() {
		o.listedSince = now
	}
	o.lastList, o.listedAt = snapshot.Time, now
	for _, vm := range snapshot.VMs {
		o.listed[vm.ID] = now
	}
	for _, vm := range o.daemon.fleet.daemons() {
		o.daemonIDs[vm.ID] = true
	}
}

// left tells whether a VM has been off a current VM list for the settle time.
func (o *orders) left(id string) bool {
	settle := o.daemon.settings.Timing.UnfencedSettle.Std()
	seen := o.listed[id]
	if seen.IsZero() {
		seen = o.listedSince
	}
	return !o.lastList.IsZero() && time.Since(o.listedAt) < listFreshness && time.Since(seen) >= settle
}

// gone tells whether an incarnation on a VM has ended: its VM has left, or another
// incarnation answers at the VM's address.
func (o *orders) gone(vm, incarnation string) bool {
	current := o.incarnations[vm]
	return o.left(vm) || (current != "" && current != incarnation)
}

// view collects what the holder decides from.
func (o *orders) view(ctx context.Context, c *control) order.View {
	c.mu.Lock()
	states := c.state.Engines()
	c.mu.Unlock()
	acknowledged := map[string]bool{}
	for _, e := range states {
		if e.Drain > 0 {
			acknowledged[e.Engine] = o.collectAcks(ctx, e)
		}
		if e.Bound != "" && e.Bound != o.opts.Holder {
			o.askIncarnation(ctx, e.BoundDaemon)
		}
	}
	view := order.View{
		Input:        order.Input{Now: time.Now(), Configuration: o.daemon.config.Snapshot()},
		Acknowledged: func(engine string) bool { return acknowledged[engine] },
		Gone:         o.gone,
		EngineGone:   o.left,
	}
	if status, err := o.daemon.deps.Weights.Status(ctx); err == nil {
		view.Weights = &status
	}
	// The status is asked for after the acknowledgements, so that it shows every
	// request that was sent before them.
	view.Engines = o.engines(ctx, states)
	return view
}

// engines returns the engines of this data centre. Those that change are asked for
// their status now; the others' last report is recent enough to propose a change.
func (o *orders) engines(ctx context.Context, states []order.EngineState) []order.Engine {
	var out []order.Engine
	for _, u := range o.daemon.fleet.engines() {
		if u.VM.DataCentre != o.daemon.settings.DataCentre {
			continue
		}
		e := order.Engine{VM: u.VM}
		i := slices.IndexFunc(states, func(s order.EngineState) bool { return s.Engine == u.VM.ID })
		if i >= 0 {
			e.Changing = true
			status, err := u.Engine.Status(ctx)
			e.Status, e.Known = status, err == nil
		} else if r := u.Report(); r != nil {
			e.Status, e.Known = r.Status, !r.Failed
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b order.Engine) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	return out
}

// collectAcks asks every daemon that has not acknowledged a drain, and tells
// whether all have or are proved gone. Daemons that left the VM list a short
// while ago may still send, so they count.
func (o *orders) collectAcks(ctx context.Context, e order.EngineState) bool {
	request := ackRequest{DataCentre: o.daemon.settings.DataCentre, Engine: e.Engine, Drain: e.Drain}
	got, ok := o.acknowledged[request]
	if !ok {
		// Only one engine changes at a time.
		clear(o.acknowledged)
		got = map[string]bool{}
		o.acknowledged[request] = got
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	daemons := o.daemon.fleet.daemons()
	for _, vm := range daemons {
		group.Go(func() {
			mu.Lock()
			known := got[vm.ID]
			mu.Unlock()
			if !known && o.askAck(ctx, vm, request).Drained {
				mu.Lock()
				got[vm.ID] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for _, vm := range daemons {
		if !got[vm.ID] {
			return false
		}
	}
	return !o.lastList.IsZero() && !o.recentlyLeft(got)
}

// recentlyLeft tells whether a daemon without acknowledgement left the VM list
// less than the settle time ago.
func (o *orders) recentlyLeft(acknowledged map[string]bool) bool {
	for id := range o.daemonIDs {
		if !acknowledged[id] && !o.left(id) {
			return true
		}
	}
	// This daemon does not know who left before it read the list first.
	return time.Since(o.listedSince) < o.daemon.settings.Timing.UnfencedSettle.Std()
}

func (o *orders) askAck(ctx context.Context, vm port.VM, request ackRequest) ackResponse {
	if vm.ID == o.daemon.settings.Name {
		return o.ack(request)
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var out ackResponse
	if err := o.daemon.deps.Peers(vm.PeerAddress).Call(ctx, methodDrainAck, request, &out); err != nil {
		return ackResponse{}
	}
	return out
}

// askIncarnation asks which incarnation runs on a VM.
func (o *orders) askIncarnation(ctx context.Context, id string) {
	for _, vm := range o.daemon.fleet.daemons() {
		if vm.ID != id {
			continue
		}
		if answer := o.askAck(ctx, vm, ackRequest{}); answer.Incarnation != "" {
			o.incarnations[id] = answer.Incarnation
		}
	}
}

// handOver releases the bindings and the lease at a graceful stop, so that another
// daemon goes on at once. An order that is being sent is waited for.
func (o *orders) handOver(ctx context.Context) {
	o.stopping.Store(true)
	c := o.own()
	if c == nil {
		return
	}
	o.acting.Lock()
	defer o.acting.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	c.mu.Lock()
	records := o.controller.Yield(c.state)
	if c.state.Lease.Held(o.daemon.deps.Clock.Now()) {
		records = append(records, order.Record{Record: c.state.Lease.Release()})
	}
	c.mu.Unlock()
	if len(records) > 0 {
		o.appendRecords(ctx, c, records)
	}
}

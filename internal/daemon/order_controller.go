package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
)

// runController runs the steps of the lease holder one after another.
func (o *orders) runController() error {
	runEvery(o.daemon.context(), controlInterval, func(ctx context.Context) {
		o.stepToken <- struct{}{}
		defer func() { <-o.stepToken }()
		if !o.stopping.Load() {
			o.step(ctx)
		}
	})
	return nil
}

// holdsLease reports whether this daemon holds the lease of c.
func (o *orders) holdsLease(c *controlFollower) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Lease.Held(o.daemon.deps.Clock.Now())
}

// step takes the next action of the lease holder, if there is one. A daemon without
// the lease resets its planning state and records the outcomes of its earlier order
// copies. The caller holds stepToken.
func (o *orders) step(ctx context.Context) {
	o.updateListed()
	c := o.localControl()
	if c == nil || !c.synced.Load() {
		return
	}
	if !o.holdsLease(c) {
		o.rolePlanner.reset()
		clear(o.lastTokenReports)
		o.relinquish(ctx, c)
		return
	}
	o.collectTokenReports(ctx)
	view := o.view(ctx, c)
	c.mu.Lock()
	if !c.state.Lease.Held(o.daemon.deps.Clock.Now()) || c.state.Recovering() {
		c.mu.Unlock()
		return
	}
	action := o.controller.Next(c.state, view)
	o.countCopies(c.state)
	fencing := c.state.Lease.Lease().Fencing
	c.mu.Unlock()
	o.recordDecision(action, fencing)
	switch action.Kind {
	case order.ActAppend:
		o.appendRecords(ctx, c, action.Records)
	case order.ActRaiseFencing:
		if o.send(ctx, c, action) == nil {
			o.controller.FencingConfirmed(action.Engine, action.Order.Fencing)
		}
	case order.ActSend:
		// The engine's status shows whether the order was carried out.
		err := o.send(ctx, c, action)
		o.controller.RecordSend(action, copyOutcome(action, err), fmt.Sprint(err))
	}
}

// countCopies updates the metric of open order copies. The caller holds the lock of
// the control follower.
func (o *orders) countCopies(s *order.State) {
	open := 0
	for _, e := range s.Engines() {
		open += len(e.Copies)
	}
	o.daemon.metrics.OrderCopiesOpen.Set(int64(open))
}

// copyOutcome returns the outcome of a sent order, or "" if the order may still
// take effect.
func copyOutcome(action order.Action, err error) string {
	switch {
	case errors.Is(err, port.ErrStaleFencing) && action.CopyNumber == 0:
		// The engine rejected the holder's fencing token, not the order.
		return ""
	case err == nil:
		return order.CopyAccepted
	case errors.Is(err, port.ErrNotSent):
		return order.CopyNotSent
	case errors.Is(err, port.ErrNotRun), errors.Is(err, port.ErrStaleFencing):
		return order.CopyRefused
	}
	return ""
}

// relinquish records the outcome of this daemon's order copies once the lease is
// released or held by another daemon.
func (o *orders) relinquish(ctx context.Context, c *controlFollower) {
	c.mu.Lock()
	var records []order.Record
	if l := c.state.Lease.Lease(); l.Holder != o.opts.Holder || l.Released {
		records = o.controller.Relinquish(c.state)
	}
	c.mu.Unlock()
	if len(records) > 0 {
		o.appendRecords(ctx, c, records)
	}
}

func (o *orders) appendRecords(ctx context.Context, c *controlFollower, records []order.Record) {
	ids := make([]string, len(records))
	for i := range ids {
		ids[i] = o.daemon.newID()
	}
	o.appendAndWait(ctx, c, ids, records)
}

// send sends an order if the lease is still held. The daemon may be paused after
// the check. A late order is harmless: an engine that checks fencing tokens rejects
// it, and an engine that ignores them receives no other change while the recorded
// copy is open.
func (o *orders) send(ctx context.Context, c *controlFollower, action order.Action) error {
	u := o.daemon.fleet.upstreamByID(action.Engine)
	if u == nil || !o.holdsLease(c) {
		return fmt.Errorf("%w: engine is not listed or lease is not held", port.ErrNotSent)
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

// recordDecision adds an action to the ring of role decisions.
func (o *orders) recordDecision(a order.Action, fencing int64) {
	if a.Decision == "" {
		return
	}
	if strings.HasPrefix(a.Decision, order.OutcomeWithdrawn) {
		o.daemon.metrics.OrdersWithdrawn.Add(1)
		o.daemon.log.Warn("order withdrawn", zap.String("engine", a.Engine), zap.Any("reasons", a.Reasons))
	}
	inputs := append([]decision.Input{decision.In("fencing", fencing)}, a.Reasons...)
	if a.Order.ID != "" {
		inputs = append(inputs, decision.In("order-id", a.Order.ID))
	}
	o.daemon.roleDecisions.Add(decision.Record{
		Time: time.Now(), Subject: a.Engine, Stage: "order", Outcome: a.Decision, Inputs: inputs,
	})
}

// updateListed records which VMs are on the VM list.
func (o *orders) updateListed() {
	snapshot := o.daemon.fleet.latestVMList()
	if !snapshot.Time.After(o.lastListTime) {
		return
	}
	now := time.Now()
	if o.lastListTime.IsZero() {
		o.firstListRead = now
	}
	o.lastListTime, o.lastListRead = snapshot.Time, now
	for _, vm := range snapshot.VMs {
		o.lastListed[vm.ID] = now
	}
	for _, vm := range o.daemon.fleet.daemons() {
		o.knownDaemons[vm.ID] = true
	}
}

// hasLeft reports whether a VM has been absent from a current VM list for the
// settle time.
func (o *orders) hasLeft(id string) bool {
	settle := o.daemon.settings.Timing.UnfencedSettle.Std()
	lastSeen := o.lastListed[id]
	if lastSeen.IsZero() {
		lastSeen = o.firstListRead
	}
	return !o.lastListTime.IsZero() && time.Since(o.lastListRead) < maxListAge && time.Since(lastSeen) >= settle
}

// view collects the input of the controller's next decision.
func (o *orders) view(ctx context.Context, c *controlFollower) order.View {
	c.mu.Lock()
	states := c.state.Engines()
	c.mu.Unlock()
	o.removeEndedAcks(states)
	acknowledged := map[string]bool{}
	for _, e := range states {
		if e.Drain > 0 {
			acknowledged[e.Engine] = o.collectAcks(ctx, e)
		}
	}
	view := order.View{
		Input:             order.Input{Now: time.Now(), Configuration: o.daemon.config.Snapshot()},
		DrainAcknowledged: func(engine string) bool { return acknowledged[engine] },
		EngineLeft:        o.hasLeft,
	}
	if status, err := o.daemon.deps.Weights.Status(ctx); err == nil {
		view.WeightStore = &status
	}
	// The status is requested after the acknowledgements, so that it includes every
	// request that was sent before them.
	view.Engines = o.engines(ctx, states)
	return view
}

// engines returns the engines of this data centre. Engines with an open change are
// asked for their status now. For all others, the last report is recent enough to
// propose a change.
func (o *orders) engines(ctx context.Context, states []order.EngineState) []order.Engine {
	var out []order.Engine
	for _, u := range o.daemon.fleet.engines() {
		if u.VM.DataCentre != o.daemon.settings.DataCentre {
			continue
		}
		e := order.Engine{VM: u.VM}
		i := slices.IndexFunc(states, func(s order.EngineState) bool { return s.Engine == u.VM.ID && s.Open() })
		if i >= 0 {
			e.Changing = states[i].Changing()
			status, err := u.Engine.Status(ctx)
			e.Status, e.Reachable = status, err == nil
		} else if r := u.Report(); r != nil {
			e.Status, e.Reachable = r.Status, !r.Failed
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b order.Engine) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	return out
}

// removeEndedAcks removes the acknowledgements of drains that have ended.
func (o *orders) removeEndedAcks(states []order.EngineState) {
	maps.DeleteFunc(o.acknowledged, func(r ackRequest, _ map[string]bool) bool {
		return !slices.ContainsFunc(states, func(e order.EngineState) bool {
			return e.Engine == r.Engine && e.Drain == r.Drain
		})
	})
}

// collectAcks asks every listed daemon that has not acknowledged a drain, and
// reports whether all daemons have acknowledged it or are known to have left. A daemon
// that left the VM list less than the settle time ago may still send requests, so
// its acknowledgement is required too.
func (o *orders) collectAcks(ctx context.Context, e order.EngineState) bool {
	request := ackRequest{DataCentre: o.daemon.settings.DataCentre, Engine: e.Engine, Drain: e.Drain}
	received, ok := o.acknowledged[request]
	if !ok {
		received = map[string]bool{}
		o.acknowledged[request] = received
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	daemons := o.daemon.fleet.daemons()
	for _, vm := range daemons {
		group.Go(func() {
			mu.Lock()
			alreadyReceived := received[vm.ID]
			mu.Unlock()
			if !alreadyReceived && o.queryAck(ctx, vm, request).Drained {
				mu.Lock()
				received[vm.ID] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	for _, vm := range daemons {
		if !received[vm.ID] {
			return false
		}
	}
	return !o.lastListTime.IsZero() && !o.recentlyLeft(received)
}

// recentlyLeft reports whether a daemon that has not acknowledged left the VM list
// less than the settle time ago.
func (o *orders) recentlyLeft(acknowledged map[string]bool) bool {
	for id := range o.knownDaemons {
		if !acknowledged[id] && !o.hasLeft(id) {
			return true
		}
	}
	// Daemons that left before the first list was read are not in knownDaemons. They
	// count as recently left until the settle time has passed since that list.
	return time.Since(o.firstListRead) < o.daemon.settings.Timing.UnfencedSettle.Std()
}

// queryAck returns the acknowledgement of a drain by one daemon. A failed call
// counts as not drained.
func (o *orders) queryAck(ctx context.Context, vm port.VM, request ackRequest) ackResponse {
	if vm.ID == o.daemon.settings.Name {
		return o.acknowledge(request)
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var out ackResponse
	if err := o.daemon.deps.Peers(vm.PeerAddress).Call(ctx, methodDrainAck, request, &out); err != nil {
		return ackResponse{}
	}
	return out
}

package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/order"
)

// loadDrains requests the open drains from peers for the data centres whose control
// stream has not been read to its end within drainPeerDelay. It sets drainsLoaded
// once all data centres are synced.
func (o *orders) loadDrains(ctx context.Context) {
	allSynced := true
	for dataCentre, c := range o.unsynced() {
		if time.Since(c.started) >= drainPeerDelay {
			o.queryDrains(ctx, dataCentre, c)
		}
		allSynced = allSynced && c.synced.Load()
	}
	if allSynced {
		o.drainsLoaded.Store(true)
	}
}

// unsynced returns the followers whose open drains are not known yet.
func (o *orders) unsynced() map[string]*controlFollower {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]*controlFollower{}
	for dataCentre, c := range o.controls {
		if !c.synced.Load() {
			out[dataCentre] = c
		}
	}
	return out
}

// queryDrains restores the open drains of a data centre from the checkpoints of all
// peers that respond with one.
func (o *orders) queryDrains(ctx context.Context, dataCentre string, c *controlFollower) {
	restored := false
	for _, address := range o.daemon.peerAddresses() {
		callCtx, cancel := context.WithTimeout(ctx, ackTimeout)
		var checkpoint *order.Checkpoint
		err := o.daemon.deps.Peers(address).Call(callCtx, methodDrains, ackRequest{DataCentre: dataCentre}, &checkpoint)
		cancel()
		if err != nil || checkpoint == nil {
			continue
		}
		c.mu.Lock()
		c.state.Restore(checkpoint, o.daemon.deps.Clock.Now())
		c.mu.Unlock()
		restored = true
	}
	if restored {
		c.caughtUp()
	}
}

// handleDrains handles methodDrains. The response is null if this daemon does not
// know the open drains.
func (o *orders) handleDrains(_ context.Context, params json.RawMessage) (any, error) {
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

// handleAck handles methodDrainAck.
func (o *orders) handleAck(_ context.Context, params json.RawMessage) (any, error) {
	var in ackRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	return o.acknowledge(in), nil
}

// acknowledge reports whether this daemon has applied a drain and has no request in
// flight to the engine. The engine is closed before the requests in flight are
// counted, so that no further request can follow. If the drain is not known yet,
// acknowledge triggers a read of the control stream.
func (o *orders) acknowledge(in ackRequest) ackResponse {
	var out ackResponse
	c := o.control(in.DataCentre)
	if c == nil {
		return out
	}
	c.mu.Lock()
	known := c.state.Engine(in.Engine).Drain == in.Drain
	c.mu.Unlock()
	if !known {
		c.wake()
		return out
	}
	o.daemon.fleet.refreshClosedUpstreams()
	out.Drained = o.daemon.fleet.inFlight(in.Engine) == 0
	return out
}

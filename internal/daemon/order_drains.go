package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/order"
)

// loadDrains takes the open drains from peers where the log does not tell them.
func (o *orders) loadDrains(ctx context.Context) {
	all := true
	for dataCentre, c := range o.unsynced() {
		if time.Since(c.started) >= drainPeerDelay {
			o.queryDrains(ctx, dataCentre, c)
		}
		all = all && c.synced.Load()
	}
	if all {
		o.drainsLoaded.Store(true)
	}
}

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

func (o *orders) queryDrains(ctx context.Context, dataCentre string, c *controlFollower) {
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
	return o.acknowledge(in), nil
}

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

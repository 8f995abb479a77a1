package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Generate delays a request on its way to the engine if gate.delayRequests is set. The
// delay of up to 3.9 s depends on the prompt.
func (e gatedEngine) Generate(ctx context.Context, req port.GenerateRequest) (port.ChunkStream, error) {
	if e.gate.delayRequests.Load() {
		tenths := xxhash.Sum64String(req.Prompt) % 40
		select {
		case <-time.After(time.Duration(tenths) * 100 * time.Millisecond):
		case <-ctx.Done():
			return nil, port.ErrNotSent
		}
	}
	return e.Engine.Generate(ctx, req)
}

// checkInFlight checks that no daemon has a request in flight at an engine that is
// about to receive an order.
func (r *orderCluster) checkInFlight(address string) {
	for _, vm := range r.vms {
		if vm.Address != address {
			continue
		}
		for name, d := range r.daemons {
			if n := d.fleet.inFlight(vm.ID); n > 0 {
				r.t.Errorf("order for %s while %s has %d requests in flight to it, want none", vm.ID, name, n)
			}
		}
	}
}

// Guards against an order that overtakes a request which a daemon has sent and which
// the engine's status does not include yet.
func TestDrainWaitsForRequestsInTransit(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderCluster(c, true)
		for _, g := range r.gates {
			g.delayRequests.Store(true)
		}
		for i := range 8 {
			r.background.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-r.stop:
						return
					default:
					}
					r.complete(fmt.Sprintf("daemon-%d", i%4), fmt.Sprintf("slot %d tokens=%d", i, 1+(n*n+3*i)%10))
				}
			})
		}
		r.publishNextVersion()
		r.finishRollout()
	})
}

// Guards against a daemon that starts without a connection to the log during a drain
// and sends requests to the drained engine.
func TestStartingDaemonLoadsOpenDrains(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderCluster(c, true)
		r.await("a daemon holds the lease", time.Minute, func() bool { return r.leaseHolder() != "" })
		holder := r.leaseHolder()
		r.gates[holder].close()
		r.publishNextVersion()
		r.await("an order is about to be sent", 3*time.Minute, func() bool { return r.gates[holder].waiting() > 0 })
		r.readControlStream()
		drained := r.controlState.Engines()[0].Engine
		starting := r.daemonVMs[0]
		if starting.ID == holder {
			starting = r.daemonVMs[1]
		}
		r.net.Block(starting.ID, platformHost)
		_ = r.daemons[starting.ID].Kill()
		before := r.engines[drained].TotalStarts()
		d := r.startDaemon(starting)
		served := 0
		for i := range 80 {
			if got := r.complete(starting.ID, fmt.Sprintf("check %d tokens=5", i)); got.status == 200 {
				served++
			}
			time.Sleep(250 * time.Millisecond)
		}
		if n := r.engines[drained].TotalStarts() - before; n != 0 {
			r.t.Errorf("%d requests were sent to %s during its drain, want none", n, drained)
		}
		if !d.Ready() || served == 0 {
			r.t.Error("the daemon did not start to serve without the log")
		}
		r.net.Unblock(starting.ID, platformHost)
		r.gates[holder].open()
		r.finishRollout()
	})
}

// Guards against a planned stop after which the next holder waits for the lease to
// expire.
func TestPlannedStopReleasesLease(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderCluster(c, true)
		r.await("a daemon holds the lease", time.Minute, func() bool { return r.leaseHolder() != "" })
		oldHolder := r.leaseHolder()
		incarnation := r.daemons[oldHolder].incarnation
		if err := r.daemons[oldHolder].Stop(context.Background()); err != nil {
			r.t.Fatal(err)
		}
		delete(r.daemons, oldHolder)
		r.daemonVMs = slices.DeleteFunc(r.daemonVMs, func(vm port.VM) bool { return vm.ID == oldHolder })
		time.Sleep(time.Minute)
		page, err := r.platform.Log.Read(context.Background(), order.Stream(controlDataCentre), 0, 0, 0)
		if err != nil {
			r.t.Fatal(err)
		}
		var last, claimed time.Time
		for _, rec := range page.Records {
			var in order.Record
			if err := json.Unmarshal(rec.Data, &in); err != nil {
				r.t.Fatal(err)
			}
			switch {
			case in.Holder == incarnation:
				last = rec.Time
			case in.Kind == lease.KindClaim && !last.IsZero() && claimed.IsZero():
				claimed = rec.Time
			}
		}
		// The claims of the remaining daemons are spread over maxClaimDelay.
		if wait := claimed.Sub(last); claimed.IsZero() || wait > maxClaimDelay+2*leaseInterval {
			r.t.Errorf("the lease was claimed at %s, %s after the last record of the stopped holder, want at most maxClaimDelay and two lease intervals", claimed, wait)
		}
	})
}

package daemon

import (
	"testing"
	"time"
)

// Guards against a drain that reaches the daemons of other data centres only at their
// next regular read of the engine's control stream.
func TestRemoteDaemonReceivesDrainAtOnce(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newOrderCluster(c, true)
		time.Sleep(time.Duration(c.rng.Int64N(int64(remoteReadInterval))))
		r.publishNextVersion()
		r.await("an engine is drained", time.Minute, func() bool { return r.hasOpenDrain("daemon-0") })
		r.await("the other data centre has applied the drain", time.Second, func() bool { return r.hasOpenDrain("daemon-3") })
		r.finishRollout()
	})
}

// hasOpenDrain reports whether a daemon has applied the drain of any engine.
func (r *orderCluster) hasOpenDrain(daemon string) bool {
	control := r.daemons[daemon].orders.control(controlDataCentre)
	control.mu.Lock()
	defer control.mu.Unlock()
	for name := range r.engines {
		if control.state.Engine(name).Drain > 0 {
			return true
		}
	}
	return false
}

// Package daemon wires the decision packages to the outside and runs them. Each
// component has a file of its own and runs under the daemon's tomb.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/distance"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// Dependencies are the outside systems of a daemon.
type Dependencies struct {
	// CallerNetwork accepts connections of callers, Network those of peers.
	CallerNetwork network.Network
	PeerNetwork   network.Network
	Log           port.Log
	VMs           port.VMList
	Weights       port.WeightStore
	Engines       port.EngineDialer
	Services      port.ServiceDialer
	Peers         port.PeerDialer
	// Clock measures leases.
	Clock  port.Clock
	Logger *zap.Logger
	// Seed seeds every random choice of the daemon.
	Seed uint64
	// Random is the source of incarnations and of the ids of requests, claims and
	// orders. Two daemons must not read the same sequence. Nil selects the operating
	// system's source; tests pass a seeded one.
	Random io.Reader
	// Version is the program's version.
	Version string
}

// Daemon is one running bergamotd.
type Daemon struct {
	settings settings.Settings
	deps     Dependencies
	log      *zap.Logger
	metrics  *Metrics
	// incarnation identifies this run of the daemon.
	incarnation string
	started     time.Time
	ids         *idGenerator

	tomb          tomb.Tomb
	config        *configFollower
	fleet         *fleet
	admission     *admitter
	memory        *byteBudget
	gossip        *gossip
	distances     *distance.Tracker
	orders        *orders
	claims        *claims
	burn          *burn.Tracker
	decisions     *decision.Ring
	roleDecisions *decision.Ring
	suspects      *suspects
	retryLimiter  *retryLimiter
	// generationSeq numbers the requests to engines.
	generationSeq atomic.Int64

	stopping       atomic.Bool
	activeRequests *requestGate

	callerServer   *http.Server
	peerServer     *peer.Server
	callerListener net.Listener
	peerListener   net.Listener
}

// New returns a daemon that is not running yet.
func New(s settings.Settings, deps Dependencies) *Daemon {
	d := &Daemon{
		settings:       s,
		deps:           deps,
		ids:            newIDGenerator(deps.Random),
		started:        time.Now(),
		metrics:        newMetrics(),
		burn:           burn.NewTracker(),
		decisions:      decision.NewRing(s.Limits.DecisionRecords),
		roleDecisions:  decision.NewRing(s.Limits.DecisionRecords),
		distances:      distance.NewTracker(),
		activeRequests: newRequestGate(),
	}
	d.incarnation = s.Name + "-" + d.newID()
	d.log = deps.Logger.With(
		zap.String("daemon", s.Name),
		zap.String("data-centre", s.DataCentre),
	)
	d.config = newConfigFollower(d)
	d.fleet = newFleet(d)
	d.admission = newAdmitter(d)
	d.memory = &byteBudget{limit: s.Limits.InFlightBytes, used: &d.metrics.InFlightBytes}
	d.gossip = newGossip(d)
	d.orders = newOrders(d)
	d.claims = newClaims(d)
	d.suspects = newSuspects(d)
	d.retryLimiter = newRetryLimiter(deps.Seed)
	return d
}

// newID returns 8 random bytes in hexadecimal.
func (d *Daemon) newID() string { return d.ids.next() }

// Start opens the listeners and starts all components.
func (d *Daemon) Start() error {
	var err error
	if d.callerListener, err = d.deps.CallerNetwork.Listen(d.settings.Listen.Caller); err != nil {
		return trace.Wrap(err, "listen.caller")
	}
	if d.peerListener, err = d.deps.PeerNetwork.Listen(d.settings.Listen.Peer); err != nil {
		d.callerListener.Close()
		return trace.Wrap(err, "listen.peer")
	}
	d.callerServer = &http.Server{
		Handler: d.callerHandler(),
		// Failed handshakes and the like are JSON lines too.
		ErrorLog:  zap.NewStdLog(d.log),
		ConnState: clearWriteDeadline,
	}
	d.peerServer = peer.NewServer(d.peerHandlers())
	d.tomb.Go(d.serveCallers)
	d.tomb.Go(d.servePeers)
	d.tomb.Go(d.config.run)
	d.tomb.Go(d.config.runPeers)
	d.tomb.Go(d.config.runCheckpoints)
	d.tomb.Go(d.orders.run)
	d.tomb.Go(d.orders.runLease)
	d.tomb.Go(d.orders.runController)
	d.tomb.Go(d.fleet.runVMList)
	d.tomb.Go(d.fleet.runEnginePolls)
	d.tomb.Go(d.runBurn)
	d.tomb.Go(d.admission.run)
	d.tomb.Go(d.gossip.run)
	d.tomb.Go(d.gossip.runFetchMissing)
	d.claims.start()
	d.tomb.Go(d.suspects.run)
	d.log.Info("daemon started",
		zap.String("incarnation", d.incarnation),
		zap.String("caller-address", d.settings.Listen.Caller),
		zap.String("peer-address", d.settings.Listen.Peer),
	)
	return nil
}

func (d *Daemon) serveCallers() error {
	err := d.callerServer.Serve(d.callerListener)
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

func (d *Daemon) servePeers() error {
	return d.peerServer.Serve(d.peerListener)
}

// Ready tells whether the daemon accepts new work.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.config.Snapshot() != nil && d.fleet.hasVMList() && d.orders.drainsKnown()
}

// Wait blocks until the daemon has ended and returns why it failed, or nil.
func (d *Daemon) Wait() error { return d.tomb.Wait() }

// Dead returns a channel that is closed when the daemon has ended.
func (d *Daemon) Dead() <-chan struct{} { return d.tomb.Dead() }

// Stop ends the daemon without interrupting a request: it reports itself as not ready,
// waits for the balancer to notice, refuses new work, and lets running requests
// finish. It has no time limit; cancelling ctx ends running requests.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.log.Info("daemon stopping", zap.Int("active-requests", d.activeRequests.Active()))
	d.orders.releaseLease(ctx)
	clock.Sleep(ctx, d.settings.Timing.BalancerDelay.Std())
	d.activeRequests.Close()
	d.activeRequests.Wait(ctx)
	// A handler returns before its last bytes are sent; Shutdown waits for those.
	if err := d.callerServer.Shutdown(ctx); err != nil {
		d.log.Warn("caller connections closed before they were idle", zap.Error(err))
	}
	d.log.Info("all requests finished")
	d.claims.stop(ctx)
	d.gossip.leave(ctx)
	return d.kill()
}

// Kill ends the daemon at once and interrupts running requests, as a crash would.
func (d *Daemon) Kill() error { return d.kill() }

func (d *Daemon) kill() error {
	d.tomb.Kill(nil)
	// Close errors do not matter for connections that are given up.
	_ = d.callerServer.Close()
	_ = d.peerListener.Close()
	d.peerServer.Close()
	return d.tomb.Wait()
}

// context returns a context that ends with the daemon.
func (d *Daemon) context() context.Context { return d.tomb.Context(context.Background()) }

// runEvery calls f at each interval until ctx ends, the first time at once.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

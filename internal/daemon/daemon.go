// Package daemon connects the decision packages to the network and the platform and runs
// them. The components are in separate files and run under the daemon's tomb.
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

	"bergamotsill.example/bergamotsill/internal/adapter/clientconn"
	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/distance"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// Dependencies are the external systems and resources that a daemon uses.
type Dependencies struct {
	// CallerNetwork listens for connections of callers.
	CallerNetwork network.Network
	// PeerNetwork listens for connections of peers.
	PeerNetwork network.Network
	// Log is the client of the log service.
	Log      port.Log
	VMs      port.VMList
	Weights  port.WeightStore
	Engines  port.EngineDialer
	Services port.ServiceDialer
	Peers    port.PeerDialer
	// Clock measures the validity of leases.
	Clock  port.Clock
	Logger *zap.Logger
	// Seed seeds every random choice of the daemon except the ids from Random.
	Seed uint64
	// Random is the source of random bytes for incarnations and for the ids of requests,
	// claims and orders. Two daemons must not use the same byte sequence, because their
	// ids would collide. If it is nil, the operating system's source is used; tests pass
	// a seeded source.
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
	// incarnation identifies this run of the daemon. It changes with each restart.
	incarnation string
	started     time.Time
	ids         *idGenerator

	tomb      tomb.Tomb
	config    *configFollower
	fleet     *fleet
	admission *admitter
	// memory limits the bytes of request bodies.
	memory *byteBudget
	gossip *gossip
	// distances tracks the round-trip times to other data centres.
	distances *distance.Tracker
	orders    *orders
	claims    *claims
	burn      *burn.Tracker
	// decisions holds the latest records that explain requests, roleDecisions those that
	// explain changes of engine roles.
	decisions     *decision.Ring
	roleDecisions *decision.Ring
	suspects      *suspects
	receivers     *receivers
	retryLimiter  *retryLimiter
	// generationSeq numbers the text generation requests in their ids at engines.
	generationSeq atomic.Int64

	// stopping is set when Stop begins.
	stopping       atomic.Bool
	activeRequests *requestGate

	callerConns    *clientconn.Conns
	callerServer   *http.Server
	peerServer     *peer.Server
	callerListener net.Listener
	peerListener   net.Listener
}

// New returns a daemon that has not been started.
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
	d.memory = newByteBudget(s.Limits, &d.metrics.InFlightBytes)
	d.callerConns = clientconn.New(d.memory.Budget, d.refuseHead)
	d.callerConns.SetLimit(s.Limits.CallerConnections)
	d.callerConns.SetMaxHeadBytes(s.Limits.HeadBytes)
	d.gossip = newGossip(d)
	d.orders = newOrders(d)
	d.claims = newClaims(d)
	d.suspects = newSuspects(d)
	d.retryLimiter = newRetryLimiter(deps.Seed)
	d.receivers = newReceivers(d)
	return d
}

// newID returns a new id: 8 random bytes in hexadecimal.
func (d *Daemon) newID() string { return d.ids.next() }

// Start opens the listeners and starts all components. If a listener cannot be opened, it
// starts nothing and returns an error.
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
		// Errors of the HTTP server, such as failed handshakes, are logged as JSON too.
		ErrorLog:          zap.NewStdLog(d.log),
		ConnState:         clearWriteDeadline,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	d.callerConns.Attach(d.callerServer)
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
	err := d.callerServer.Serve(d.callerConns.Listen(d.callerListener))
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

func (d *Daemon) servePeers() error {
	return d.peerServer.Serve(d.peerListener)
}

// Ready reports whether the daemon accepts new requests.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.config.Snapshot() != nil && d.fleet.hasVMList() && d.orders.drainsKnown()
}

// Wait blocks until the daemon has stopped and returns the error that stopped it, or nil.
func (d *Daemon) Wait() error { return d.tomb.Wait() }

// Dead returns a channel that is closed when the daemon has stopped.
func (d *Daemon) Dead() <-chan struct{} { return d.tomb.Dead() }

// Stop shuts the daemon down gracefully: the daemon becomes not ready, waits for the
// balancer delay so that the load balancer detects this, refuses new requests, and
// completes running requests. It has no time limit. If ctx is cancelled, running requests
// are interrupted.
func (d *Daemon) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	d.log.Info("daemon stopping", zap.Int("active-requests", d.activeRequests.Active()))
	d.orders.releaseLease(ctx)
	clock.Sleep(ctx, d.settings.Timing.BalancerDelay.Std())
	d.activeRequests.Close()
	d.activeRequests.Wait(ctx)
	// A handler returns before its last bytes are sent. Shutdown waits for these bytes.
	if err := d.callerServer.Shutdown(ctx); err != nil {
		d.log.Warn("graceful shutdown of caller connections failed", zap.Error(err))
	}
	d.log.Info("all requests finished")
	d.claims.stop(ctx)
	d.gossip.leave(ctx)
	return d.kill()
}

// Kill stops the daemon immediately and interrupts running requests, as a crash would.
func (d *Daemon) Kill() error { return d.kill() }

// kill closes all connections, ends the components and waits for them.
func (d *Daemon) kill() error {
	d.tomb.Kill(nil)
	// Errors are ignored because the connections are not used again.
	_ = d.callerServer.Close()
	_ = d.peerListener.Close()
	d.peerServer.Close()
	return d.tomb.Wait()
}

// context returns a context that is cancelled when the daemon stops.
func (d *Daemon) context() context.Context { return d.tomb.Context(context.Background()) }

// runEvery calls f immediately and then at each interval until ctx ends.
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

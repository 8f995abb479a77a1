package gateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"bergamotsill.example/bergamotsill/internal/adapter/clientconn"
	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/retry"
)

const (
	// headerTimeout bounds the time to read a request header. The operators' own limit, which
	// clients comply with, is shorter.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the idle time of a connection. It is longer than any idle time
	// that operators guarantee to clients.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the limit of the servers for operators and the load balancer.
	maxHeaderBytes = 64 << 10
)

// Dependencies are the external systems of a gateway.
type Dependencies struct {
	Network  network.Network
	Store    port.KeyedLog
	Registry port.RegistryCodec
	Requests port.RequestCodec
	Runners  port.Runners
	Peers    port.PeerDialer
	// PeerTraffic counts what is exchanged with the daemons that Peers connects to; nil if nobody counts it.
	PeerTraffic *peer.Traffic
	// ClientTraffic holds the counts of bytes of the clients of the external systems, by system; nil if nobody counts them.
	ClientTraffic map[string]func() exchange.Bytes
	// Handovers is nil if requests are not handed to other daemons.
	Handovers port.Handovers
	// Duties is used only if the settings select duties.
	Duties port.Duties
	// Memory is the budget that clients of the external systems share with the gateway; nil for one of its own.
	Memory *memory.Budget
	Clock  port.Clock
	Logger *zap.Logger
}

// Gateway is one daemon that forwards requests to runners without interpreting them.
type Gateway struct {
	settings  atomic.Pointer[Settings]
	deps      Dependencies
	log       *zap.Logger
	metrics   *metrics
	runners   port.Runners
	fleet     *placement.Fleet
	config    *configFollower
	discovery *discovery
	peers     *peers
	crashes   *crashGuard
	trials    *trials
	records   *crashRecords
	origins   *streamOrigins
	// originRecords stores what a start after the end of all daemons has to know of streams.
	originRecords *originRecords
	storeEra      *storeEra
	planner       *rolePlanner
	reach         *runnerReach
	processes     *processes
	receivers     *receivers
	// connectionLimits holds the number of connections that may be open to a runner, by address.
	connectionLimits atomic.Pointer[map[string]int]
	// daemons is the number of daemons, this one included.
	daemons atomic.Int64
	// usage is nil if usage is not reported.
	usage *usageCounts

	stopping atomic.Bool
	// outOfRotation is set once the balancer has had the time to see that the daemon stops.
	outOfRotation atomic.Bool
	serviceEnd    *serviceEnd
	gate          serviceGate
	clientConns   *clientconn.Conns
	handoverConns *clientconn.Conns
	tomb          tomb.Tomb
	// memory is the budget of all that is held for clients and runners.
	memory *memory.Budget

	retries *retryLimits

	clientServer *http.Server
	// handoverServer serves the requests that other daemons hand over.
	handoverServer *http.Server
	probeServer    *http.Server
	metricsServer  *http.Server
	peerServer     *peer.Server
	// peerListener is closed separately, because closing peerServer closes only its
	// connections.
	peerListener net.Listener
}

// New returns a gateway; Start starts it.
func New(s Settings, deps Dependencies) *Gateway {
	g := &Gateway{
		deps: deps, metrics: newMetrics(), runners: deps.Runners,
		fleet:      placement.NewFleet(s.DataCentre, s.Name),
		retries:    newRetryLimits(s.Retries, time.Now(), s.FirstStart),
		serviceEnd: newServiceEnd(), memory: deps.Memory,
	}
	g.fleet.SpreadLoad(s.SpreadLoad)
	g.settings.Store(&s)
	g.log = deps.Logger.With(zap.String("daemon", s.Name), zap.String("data-centre", s.DataCentre))
	if g.memory == nil {
		g.memory = memory.NewBudget(s.MemoryBytes)
	}
	g.clientConns, g.handoverConns = clientconn.New(g.memory, g.refuseHead), clientconn.New(g.memory, g.refuseHandoverHead)
	g.clientConns.SetLimit(s.maxClientConns())
	g.storeEra = &storeEra{log: g.log}
	if source, ok := deps.Store.(port.EraSource); ok {
		source.WatchEra(g.storeEra.observe)
	}
	g.crashes = newCrashGuard(g.log)
	g.origins = newStreamOrigins(g.log, time.Now(), s.FirstStart)
	g.config = &configFollower{log: g.log, store: deps.Store, codec: deps.Registry, apply: func(c *port.RouteConfig) {
		g.fleet.SetServices(c.Services)
		g.limitConnections()
		g.origins.setRoutes(time.Now(), c.Routes)
		g.limitHeads(c.Limits)
	}}
	g.discovery = newDiscovery(g.log, deps.Store, deps.Registry, s.DrainNotice/discoveryDivisor, g.setRunners)
	g.peers = &peers{
		log: g.log, started: time.Now().UnixMilli(), departed: map[string]peerProcess{}, name: s.Name, address: s.Listen.Peers, dataCentre: s.DataCentre, store: deps.Store, dial: deps.Peers,
		fleet: g.fleet, config: g.config, crashes: g.crashes, retries: g.retries, storeEra: g.storeEra, origins: g.origins,
		listIsCurrent:    func() bool { return g.discovery.current(time.Now(), maxListAge) },
		refreshList:      g.discovery.refresh,
		onDaemonsChanged: g.setDaemons, onRegistryRead: g.retries.share.RegistryRead,
		links: map[string]*peerLink{}, configFetches: map[string]time.Time{},
		runRecovered: g.runRecovered, traffic: deps.PeerTraffic,
	}
	r := &registryRelay{
		peers: g.peers, discovery: g.discovery, config: g.config, callInFlight: map[string]bool{}, unsentChanges: map[string][]relayRecord{},
		maxAge: time.Duration(relayFreshShare * float64(s.DrainNotice)),
	}
	g.peers.relay = r
	g.trials = newTrials(g.peers, g.crashes)
	g.peers.trials = g.trials
	g.records = newCrashRecords(g.log, deps.Store, g.crashes, func(t crashes.Trait) bool { return g.peers.trialOwner(t) == nil }, s.FirstStart)
	g.records.era = g.storeEra.current
	g.originRecords = newOriginRecords(g.log, deps.Store, g.origins, func(service string) bool { return g.peers.trialOwner(crashes.Trait(service)) == nil }, s.FirstStart)
	g.originRecords.era, g.originRecords.name, g.originRecords.daemons = g.storeEra.current, s.Name, g.peers.daemonCount
	g.peers.readOrigins = g.originRecords.reads.await
	g.discovery.relayFresh, g.discovery.forward = r.fresh, r.forward
	g.config.relayFresh, g.config.onInstalled = r.fresh, r.forwardConfig
	if source, ok := deps.Runners.(port.NoticeSource); ok {
		source.Watch(g.applyNotice)
	}
	if limiter, ok := deps.Runners.(port.ConnectionLimiter); ok {
		limiter.LimitConnections(g.connectionLimit)
	}
	g.reach = newRunnerReach(g.log, deps.Runners)
	g.processes = newProcesses(g.log, g.fleet, g.discovery, deps.Runners, g.background)
	g.processes.refused = g.recordRefused
	g.receivers = newReceivers(g.peers, g.reach, g.receiverStatus)
	g.reach.ask, g.reach.onReturn = g.receivers.ask, g.fleet.EndAvoidance
	g.peers.receivers, g.peers.reach = g.receivers, g.reach
	if source, ok := deps.Runners.(port.ContactSource); ok {
		source.WatchContacts(g.reach.record)
	}
	g.planner = &rolePlanner{
		log: g.log, fleet: g.fleet, runners: g.runners, isPlanner: r.isFirstReaching, demands: map[string]*poolDemand{},
		lease: newOrderLease(deps.Store, deps.Clock, s.DataCentre, s.Name+"@"+s.Listen.Peers, s.OrderLease),
	}
	g.planner.lease.firstStart = s.FirstStart
	if s.Duties.OrderRunners {
		g.planner.capacity = newCapacityPlanner(s, deps, g.log, g.planner.lease, g.config.scaling)
	}
	if s.Duties.ReportUsage {
		g.usage = newUsageCounts(s, deps, g.peers, r.isFirstReaching)
		g.peers.usage = g.usage
	}
	return g
}

// Reload applies changed settings. Addresses and names keep their values from the start.
func (g *Gateway) Reload(s Settings) {
	g.settings.Store(&s)
	g.memory.SetMemory(s.MemoryBytes)
	g.clientConns.SetLimit(s.maxClientConns())
	g.retries.set(s.Retries)
	g.log.Info("settings reloaded", zap.Float64("retry-ratio", s.Retries.Ratio), zap.Int("retry-slack", s.Retries.Slack),
		zap.Duration("stop-grace", s.StopGrace), zap.Int64("memory-bytes", s.MemoryBytes))
}

// setRunners applies a new list of runners.
func (g *Gateway) setRunners(list []port.Runner) {
	g.fleet.SetRunners(list)
	g.reach.setRunners(list)
	g.origins.setRunners(time.Now(), list)
	g.crashes.confirmFromRunners(list, time.Now())
	g.limitConnections()
	addresses := g.fleet.Addresses()
	g.runners.Retain(func(address string) bool { return addresses[address] })
}

// retryWindow returns the current retry limit of a service.
func (g *Gateway) retryWindow(service string) *retry.Window {
	return g.retries.window(service, time.Now())
}

// setDaemons divides the engines and the retry limit among the given daemons, this one included.
func (g *Gateway) setDaemons(daemons []placement.Daemon) {
	g.fleet.SetDaemons(daemons)
	g.retries.share.SetDaemons(time.Now(), len(daemons))
	g.daemons.Store(int64(len(daemons)))
	g.limitConnections()
}

// limitConnections divides the connections that runners accept among the daemons.
func (g *Gateway) limitConnections() {
	limits := g.fleet.ConnectionLimits(int(g.daemons.Load()))
	g.connectionLimits.Store(&limits)
}

// connectionLimit returns how many connections to the runner at an address may be open, 0 for any number.
func (g *Gateway) connectionLimit(address string) int {
	if limits := g.connectionLimits.Load(); limits != nil {
		return (*limits)[address]
	}
	return 0
}

// random returns a random number in [0, 1).
func (g *Gateway) random() float64 { return rand.Float64() }

// background runs f in a goroutine. The context of f is done when the gateway ends, not when the
// request ends that started it.
func (g *Gateway) background(task string, f func(context.Context)) {
	g.tomb.Go(func() error {
		g.runRecovered(task, func() { f(g.tomb.Context(context.Background())) })
		return nil
	})
}

// Start opens the listeners and starts all components. If a listener cannot be opened, it starts
// nothing and returns the error.
func (g *Gateway) Start() error {
	g.clientServer = g.newServer(http.HandlerFunc(g.serveClient))
	g.clientConns.Attach(g.clientServer)
	g.handoverServer = g.newServer(http.HandlerFunc(g.serveHandover))
	g.handoverConns.Attach(g.handoverServer)
	g.probeServer = g.newServer(g.probeHandler())
	g.metricsServer = g.newServer(g.metricsHandler())
	g.peerServer = peer.NewCountingServer(g.recoverHandlers(g.peers.handlers()), g.deps.PeerTraffic)
	if err := g.listen(); err != nil {
		return err
	}
	for task, run := range map[string]func(context.Context){
		"configuration": g.config.run, "discovery": g.discovery.run, "load sharing": g.peers.run, "membership": g.peers.runMembership,
		"role planning": g.planner.run, "crash records": g.records.run, "origin records": g.originRecords.run,
		"origin reads":     g.originRecords.runReads,
		"reach of runners": g.reach.run, "processes of runners": g.processes.run,
	} {
		g.background(task, func(ctx context.Context) { g.supervise(ctx, task, run) })
	}
	if g.usage != nil {
		g.background("usage reports", func(ctx context.Context) { g.supervise(ctx, "usage reports", g.usage.run) })
	}
	l := g.settings.Load().Listen
	g.log.Info("daemon started", zap.String("caller-address", l.Clients), zap.String("peer-address", l.Peers),
		zap.Bool("first-start", g.settings.Load().FirstStart))
	return nil
}

// listen opens all listeners and serves on them. If one cannot be opened, it closes the others.
func (g *Gateway) listen() error {
	addresses := g.settings.Load().Listen
	serve := []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"ready", addresses.Ready, g.probeServer.Serve},
		{"peers", addresses.Peers, g.peerServer.Serve},
		{"metrics", addresses.Metrics, g.metricsServer.Serve},
		{"handovers", addresses.Handovers, func(l net.Listener) error { return g.handoverServer.Serve(g.handoverConns.Listen(l)) }},
		{"clients", addresses.Clients, func(l net.Listener) error { return g.clientServer.Serve(g.clientConns.Listen(l)) }},
	}
	listeners := make([]net.Listener, len(serve))
	for i, s := range serve {
		if s.address == "" {
			g.log.Warn("daemon does not listen, because its settings have no address", zap.String("for", s.name))
			continue
		}
		l, err := g.deps.Network.Listen(s.address)
		if err != nil {
			for _, open := range listeners[:i] {
				if open != nil {
					open.Close()
				}
			}
			return trace.Wrap(err, "listen on %s for %s", s.address, s.name)
		}
		listeners[i] = l
		if s.name == "peers" {
			g.peerListener = l
		}
	}
	for i, s := range serve {
		if listeners[i] == nil {
			continue
		}
		g.tomb.Go(func() error {
			if err := s.serve(listeners[i]); err != nil && err != http.ErrServerClosed && g.tomb.Alive() && !g.stopping.Load() {
				return trace.Wrap(err, "serve %s", s.name)
			}
			return nil
		})
	}
	return nil
}

func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(g.log),
	}
}

func (g *Gateway) probeHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(g.deps.Requests.ReadyPath()), func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/debug/vars"), func(w http.ResponseWriter, _ *http.Request) {
		vars := g.metrics.vars()
		vars.Set("retry_limits", expvar.Func(g.retries.usage))
		vars.Set("limited_runners", expvar.Func(func() any { return g.fleet.LimitedRunners(time.Now()) }))
		vars.Set("memory", expvar.Func(func() any { return g.memory.Status() }))
		vars.Set("client_connections", expvar.Func(func() any { return g.clientConns.Status() }))
		vars.Set("config_version", expvar.Func(func() any { return g.config.version() }))
		vars.Set("config_lag", expvar.Func(func() any { return g.config.lag.status() }))
		vars.Set("traffic", expvar.Func(g.traffic))
		vars.Set("runners", expvar.Func(func() any { return g.fleet.Size() }))
		vars.Set("daemons", expvar.Func(func() any { return g.peers.daemonCount() }))
		vars.Set("known_stream_origins", expvar.Func(func() any { return g.origins.size() }))
		vars.Set("store_era", expvar.Func(func() any { return g.storeEra.current() }))
		vars.Set("unreached_services", expvar.Func(func() any { return g.reach.unreachedSince() }))
		if g.planner.capacity != nil {
			vars.Set("capacity", expvar.Func(g.planner.capacity.vars))
		}
		if g.usage != nil {
			vars.Set("usage", expvar.Func(g.usage.vars))
		}
		vars.Set("doubted_processes", expvar.Func(func() any { return len(g.fleet.DoubtedProcesses()) }))
		vars.Set("blocked_traits", expvar.Func(func() any { return g.crashes.blocks() }))
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A failed write means that the client disconnected.
		_, _ = w.Write([]byte(vars.String()))
	})
	return mux
}

// traffic returns the bytes exchanged with other daemons and external systems, and the calls to other daemons.
func (g *Gateway) traffic() any {
	out := map[string]any{}
	if g.deps.PeerTraffic != nil {
		out["daemons"] = g.deps.PeerTraffic.Status()
	}
	for system, count := range g.deps.ClientTraffic {
		out[system] = count()
	}
	return out
}

// Ready reports whether the daemon should receive new connections: it is not stopping and has a
// configuration, which is not much older than that of another daemon, and at least one runner.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.config.table.Load() != nil && g.config.lag.since(time.Now()) < maxConfigLag && g.discovery.loaded.Load() && g.fleet.Size() > 0
}

// Dead returns a channel that is closed when the daemon has ended.
func (g *Gateway) Dead() <-chan struct{} { return g.tomb.Dead() }

// Wait blocks until the daemon has ended and returns the error that ended it, or nil.
func (g *Gateway) Wait() error { return g.tomb.Wait() }

// Kill ends the daemon immediately and interrupts running requests, as a crash would.
func (g *Gateway) Kill() error {
	g.stopping.Store(true)
	g.tomb.Kill(nil)
	// Close errors are irrelevant for abandoned connections.
	_ = g.clientServer.Close()
	_ = g.handoverServer.Close()
	_ = g.probeServer.Close()
	_ = g.metricsServer.Close()
	_ = g.peerListener.Close()
	g.peerServer.Close()
	return g.tomb.Wait()
}

package daemon

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/adapter/platform"
	"bergamotsill.example/bergamotsill/internal/adapter/service"
	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// idleReuseTimeout is how long a connection to an engine may be idle and still be reused.
// Status polls are more frequent, so one connection stays open.
const idleReuseTimeout = time.Second

// Main runs a daemon until SIGTERM or SIGINT, stops it gracefully and returns. It also
// returns if the daemon fails.
func Main(ctx context.Context, settingsPath, version string) error {
	s, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	logger, err := jsonlog.New(s.LogLevel)
	if err != nil {
		return err
	}
	// Syncing standard error fails on some terminals, although the entries are written.
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	keys, err := loadKeys(s.TLS, logger)
	if err != nil {
		return err
	}
	d := New(s, newDependencies(s, newLinks(s.TLS, network.TCP{}, keys), logger, version))
	if err := d.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return d.Stop(context.WithoutCancel(ctx))
	case <-d.Dead():
		return d.Wait()
	}
}

// Connect returns the dependencies for the addresses in the settings. All connections use
// nw without TLS.
func Connect(s settings.Settings, nw network.Network, logger *zap.Logger, version string) Dependencies {
	return newDependencies(s, network.NewLinks(nw, nil, network.LinkOptions{}), logger, version)
}

// newDependencies returns the dependencies for the addresses in the settings. Connections
// use the networks in l.
func newDependencies(s settings.Settings, l network.Links, logger *zap.Logger, version string) Dependencies {
	engines := engine.NewDialer(engine.Options{
		Network:         l.Upstreams,
		ProgressTimeout: s.Timing.Progress.Std(),
		IdleConnTimeout: idleReuseTimeout,
	})
	return Dependencies{
		CallerNetwork: l.Callers,
		PeerNetwork:   l.Peers,
		Log:           platform.NewLog(s.Platform.Log, l.Platform),
		VMs:           platform.NewVMList(s.Platform.VMList, l.Platform),
		Weights:       platform.NewWeightStore(s.Platform.WeightStore, l.Platform),
		Engines:       engines.Dial,
		Services:      service.NewDialer(l.Upstreams),
		Peers:         peer.NewDialer(l.Peers).Dial,
		Clock:         clock.Boot{},
		Logger:        logger,
		Seed:          uint64(time.Now().UnixNano()),
		Version:       version,
	}
}

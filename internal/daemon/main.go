package daemon

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/adapter/platform"
	"bergamotsill.example/bergamotsill/internal/adapter/service"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// Main runs a daemon until SIGTERM or SIGINT. It returns after a graceful stop.
func Main(ctx context.Context, settingsPath, version string) error {
	s, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	logger, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	// Syncing standard error fails on some terminals; the entries are written.
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := New(s, Connect(s, network.TCP{}, logger, version))
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

// Connect returns the dependencies that the settings name, reached over nw.
func Connect(s settings.Settings, nw network.Network, logger *zap.Logger, version string) Dependencies {
	engines := engine.NewDialer(engine.Options{
		Network:   nw,
		Progress:  s.Timing.Progress.Std(),
		IdleTrust: s.Timing.Progress.Std(),
	})
	return Dependencies{
		Network:  nw,
		Log:      platform.NewLog(s.Platform.Log, nw),
		VMs:      platform.NewVMList(s.Platform.VMList, nw),
		Weights:  platform.NewWeightStore(s.Platform.WeightStore, nw),
		Engines:  engines.Dial,
		Services: service.NewDialer(nw),
		Peers:    peer.NewDialer(nw).Dial,
		Clock:    clock.Boot{},
		Logger:   logger,
		Seed:     uint64(time.Now().UnixNano()),
		Version:  version,
	}
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if err := cfg.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, trace.Wrap(err)
	}
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := cfg.Build()
	return logger, trace.Wrap(err)
}

package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

const (
	// readLimit is the number of records asked for in one read of the log.
	readLimit = 500
	// readWait is how long a read of the log waits for a new record.
	readWait = time.Second
	// logRetryDelay is the pause after a failed operation on the log.
	logRetryDelay = 250 * time.Millisecond
)

// configFollower applies the configuration stream and publishes snapshots.
type configFollower struct {
	daemon   *Daemon
	state    *profile.State
	snapshot atomic.Pointer[profile.Snapshot]
}

func newConfigFollower(d *Daemon) *configFollower {
	return &configFollower{daemon: d, state: profile.NewState()}
}

// Snapshot returns the configuration in force, or nil.
func (c *configFollower) Snapshot() *profile.Snapshot { return c.snapshot.Load() }

func (c *configFollower) run() error {
	ctx := c.daemon.context()
	for ctx.Err() == nil {
		c.follow(ctx)
	}
	return nil
}

// follow reads one page of the stream and applies it.
func (c *configFollower) follow(ctx context.Context) {
	page, err := c.daemon.deps.Log.Read(ctx, profile.Stream, c.state.Next(), readLimit, readWait)
	if err != nil {
		c.readFailed(ctx, err)
		return
	}
	for _, rec := range page.Records {
		c.apply(rec)
	}
}

func (c *configFollower) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.daemon.metrics.LogErrors.Add(1)
	if errors.Is(err, port.ErrLogTruncated) {
		c.daemon.log.Error("configuration stream is truncated", zap.Error(err))
	} else {
		c.daemon.log.Debug("configuration stream is unavailable", zap.Error(err))
	}
	sleep(ctx, logRetryDelay)
}

func (c *configFollower) apply(rec port.Record) {
	verdict := c.state.Apply(rec)
	if !verdict.Accepted {
		c.daemon.log.Warn("configuration rejected",
			zap.String("record-id", rec.ID),
			zap.Int64("offset", rec.Offset),
			zap.String("reason", verdict.Reason),
			zap.Any("findings", verdict.Findings),
		)
		return
	}
	c.snapshot.Store(c.state.Current())
	c.daemon.retries.retain(c.state.Current())
	c.daemon.metrics.Revision.Set(verdict.Revision)
	c.daemon.log.Info("configuration in force",
		zap.Int64("revision", verdict.Revision),
		zap.String("record-id", rec.ID),
	)
}

package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// configWait is how long one read waits for a new version. A connection that has
	// gone silent costs this time, so it must be below the time to apply a version
	// plus the time that a lost connection is excused.
	configWait = 2500 * time.Millisecond
	// storePause is the first pause after a failed call to the store; it doubles up to
	// storePauseMost.
	storePause     = 100 * time.Millisecond
	storePauseMost = 400 * time.Millisecond
)

// configFollower keeps the newest version of the configuration. Versions never go back.
type configFollower struct {
	log   *zap.Logger
	store port.KeyedLog
	codec port.RegistryCodec
	// apply is called with each version that comes into force.
	apply func(*port.RouteConfig)
	// relayed tells whether another daemon passes new versions on; nil means that none
	// does.
	relayed func() bool
	// installed is called after a version came into force; it may be nil.
	installed func()
	table     atomic.Pointer[routeTable]

	mu sync.Mutex
	// raw is the record of the version in force, for peers.
	raw []byte
}

func (c *configFollower) version() int64 {
	if t := c.table.Load(); t != nil {
		return t.config.Version
	}
	return 0
}

// newest returns the version in force as it was published.
func (c *configFollower) newest() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
}

// install takes a published version into force unless it is older.
func (c *configFollower) install(value []byte, source string) {
	config, err := c.codec.RouteConfig(value)
	if err != nil {
		c.log.Error("published configuration can not be read; the last one stays in force",
			zap.Int64("config-version", c.version()), zap.String("source", source), zap.Error(err))
		return
	}
	if c.replace(value, config, source) && c.installed != nil {
		c.installed()
	}
}

// replace takes a version into force if it is newer and tells whether it was.
func (c *configFollower) replace(value []byte, config *port.RouteConfig, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if config.Version <= c.version() {
		return false
	}
	previous := c.version()
	c.raw = value
	c.apply(config)
	c.table.Store(newRouteTable(config))
	c.log.Info("configuration in force", zap.Int64("config-version", config.Version),
		zap.Int64("previous-version", previous), zap.String("source", source), zap.Int("routes", len(config.Routes)))
	return true
}

// installRecords takes in what a read returned.
func (c *configFollower) installRecords(records []port.KeyedRecord) {
	for _, r := range records {
		if r.Key == port.KeyRouteConfig && r.Value != nil {
			c.install(r.Value, "store")
		}
	}
}

// run follows the operators' topic until ctx ends.
func (c *configFollower) run(ctx context.Context) {
	f := follower{store: c.store, topic: port.TopicOperators, wait: configWait}
	backoff := newStoreBackoff(c.log, "configuration")
	for ctx.Err() == nil {
		if c.table.Load() != nil && c.relayed != nil && c.relayed() {
			clock.Sleep(ctx, relayCheck)
			continue
		}
		records, _, err := f.next(ctx)
		if err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		c.installRecords(records)
	}
}

// follower reads a keyed topic: all newest records first, then each that follows.
type follower struct {
	store port.KeyedLog
	topic string
	wait  time.Duration
	// from is the next offset; it counts once started is set.
	from    int64
	started bool
}

// next returns the next records. Whole is set when they are the newest of all keys.
func (f *follower) next(ctx context.Context) (records []port.KeyedRecord, whole bool, err error) {
	if f.started {
		records, next, err := f.store.Follow(ctx, f.topic, f.from, f.wait)
		if err == nil {
			f.from = next
			return records, false, nil
		}
		if !errors.Is(err, port.ErrLogTruncated) {
			return nil, false, err
		}
	}
	records, next, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return nil, false, err
	}
	f.from, f.started = next, true
	return records, true, nil
}

// storeBackoff paces calls to the store after failures and logs its loss and return.
type storeBackoff struct {
	log     *zap.Logger
	purpose string
	pause   time.Duration
	lost    time.Time
}

func newStoreBackoff(log *zap.Logger, purpose string) *storeBackoff {
	return &storeBackoff{log: log, purpose: purpose}
}

func (b *storeBackoff) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if b.lost.IsZero() {
		b.lost = time.Now()
		b.log.Warn("metadata store is unavailable", zap.String("purpose", b.purpose), zap.Error(err))
	}
	b.pause = min(storePauseMost, max(storePause, 2*b.pause))
	clock.Sleep(ctx, b.pause)
}

func (b *storeBackoff) succeeded() {
	if !b.lost.IsZero() {
		b.log.Info("metadata store is available again", zap.String("purpose", b.purpose), zap.Duration("unavailable", time.Since(b.lost)))
	}
	b.lost = time.Time{}
	b.pause = 0
}

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
	// configReadTimeout is how long one read of the store waits for a new version. An
	// unresponsive connection delays a version by this time, so it must be shorter than the
	// time in which a version must be applied plus the extra time allowed after a lost
	// connection.
	configReadTimeout = 2500 * time.Millisecond
	// minStoreBackoff is the delay after the first failed call to the store; it doubles up to
	// maxStoreBackoff.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
)

// configFollower keeps the newest version of the configuration. The version never decreases.
type configFollower struct {
	log   *zap.Logger
	store port.KeyedLog
	codec port.RegistryCodec
	// apply is called with each version that comes into force.
	apply func(*port.RouteConfig)
	// relayFresh reports whether another daemon currently forwards new versions, so that this one
	// need not read the store; nil means that none does.
	relayFresh func() bool
	// onInstalled is called after a version came into force; it may be nil.
	onInstalled func()
	// lag follows newer versions that this daemon was told of.
	lag configLag
	// table holds the version in force, nil before the first one.
	table atomic.Pointer[routeTable]

	// mu serialises the installation of versions.
	mu sync.Mutex
	// rawRecord is the published record of the version in force, for peers, compressed the same once a peer has asked for
	// it. Guarded by mu.
	rawRecord, compressed []byte
}

// version returns the version in force, or 0 before the first one.
func (c *configFollower) version() int64 {
	if t := c.table.Load(); t != nil {
		return t.config.Version
	}
	return 0
}

// scaling returns what may be ordered of a service's runners, or nil.
func (c *configFollower) scaling(service string) *port.Scaling {
	if t := c.table.Load(); t != nil {
		return t.config.Services[service].Scaling
	}
	return nil
}

// publishedRecord returns the record of the version in force as it was published.
func (c *configFollower) publishedRecord() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rawRecord
}

// compressedRecord returns that record compressed.
func (c *configFollower) compressedRecord() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed == nil && c.rawRecord != nil {
		c.compressed = compressConfig(c.rawRecord)
	}
	return c.compressed
}

// install puts a published version into force if it is newer than the current one.
func (c *configFollower) install(value []byte, source string) {
	config, err := c.codec.RouteConfig(value)
	if err != nil {
		c.log.Error("published configuration cannot be decoded; the previous version stays in force",
			zap.Int64("config-version", c.version()), zap.String("source", source), zap.Error(err))
		c.lag.cannotRead()
		return
	}
	if c.installIfNewer(value, config, source) && c.onInstalled != nil {
		c.onInstalled()
	}
}

// installIfNewer puts a version into force if it is newer, and reports whether it did.
func (c *configFollower) installIfNewer(value []byte, config *port.RouteConfig, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if config.Version <= c.version() {
		return false
	}
	previous := c.version()
	c.rawRecord, c.compressed = value, nil
	c.apply(config)
	table := newRouteTable(config)
	c.table.Store(table)
	behind, failed := c.lag.installed(config.Version)
	c.log.Info("configuration in force", zap.Int64("config-version", config.Version),
		zap.Int64("previous-version", previous), zap.String("source", source), zap.Int("routes", len(config.Routes)),
		zap.Int("organisations", len(config.Organisations)), zap.Duration("behind", behind), zap.Int("failed-reads", failed))
	if len(table.findings) > 0 {
		c.log.Error("organisations of the configuration are in conflict", zap.Int64("config-version", config.Version), zap.Strings("findings", table.findings))
	}
	return true
}

// installRecords installs the configuration records of one read.
func (c *configFollower) installRecords(records []port.KeyedRecord) {
	for _, r := range records {
		if r.Key == port.KeyRouteConfig && r.Value != nil {
			c.install(r.Value, "store")
		}
	}
}

// run follows the operators' topic until ctx is done.
func (c *configFollower) run(ctx context.Context) {
	f := topicFollower{store: c.store, topic: port.TopicOperators, wait: configReadTimeout}
	backoff := newStoreBackoff(c.log, "configuration")
	for ctx.Err() == nil {
		if c.table.Load() != nil && c.relayFresh != nil && c.relayFresh() {
			clock.Sleep(ctx, relayCheckInterval)
			continue
		}
		read, err := f.next(ctx)
		if err != nil {
			c.lag.readFailed(err)
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		c.installRecords(read.records)
	}
}

// topicFollower reads a keyed topic: first the newest record of each key, then the records that
// follow.
type topicFollower struct {
	store port.KeyedLog
	topic string
	// wait is how long a read waits for new records; 0 means that it returns immediately.
	wait time.Duration
	// position is that of the next read; it is valid once started is set.
	position port.Position
	started  bool
}

// topicRead is the result of one read of a topic.
type topicRead struct {
	records []port.KeyedRecord
	// whole is set if the records are the newest ones of all keys: on the first read, after the log was
	// truncated beyond the position of the read, and after it came back from an older copy. restored is
	// set in the last case: records that were appended after the copy are missing until they are
	// written again.
	whole, restored bool
}

// next returns the next records.
func (f *topicFollower) next(ctx context.Context) (topicRead, error) {
	if f.started {
		records, next, err := f.store.Follow(ctx, f.topic, f.position, f.wait)
		if err == nil {
			f.position = next
			return topicRead{records: records}, nil
		}
		if !errors.Is(err, port.ErrLogTruncated) && !errors.Is(err, port.ErrLogRestored) {
			return topicRead{}, err
		}
	}
	records, next, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return topicRead{}, err
	}
	read := topicRead{records: records, whole: true, restored: f.started && next.Era != f.position.Era}
	f.position, f.started = next, true
	return read, nil
}

// storeBackoff delays calls to the store after failures and logs when the store becomes
// unavailable and available again.
type storeBackoff struct {
	log              *zap.Logger
	purpose          string
	delay            time.Duration
	unavailableSince time.Time
}

func newStoreBackoff(log *zap.Logger, purpose string) *storeBackoff {
	return &storeBackoff{log: log, purpose: purpose}
}

// failed logs the first of a series of failures and sleeps for the current delay. It does nothing
// if ctx is done.
func (b *storeBackoff) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if b.unavailableSince.IsZero() {
		b.unavailableSince = time.Now()
		b.log.Warn("metadata store is unavailable", zap.String("purpose", b.purpose), zap.Error(err))
	}
	b.delay = min(maxStoreBackoff, max(minStoreBackoff, 2*b.delay))
	clock.Sleep(ctx, b.delay)
}

func (b *storeBackoff) succeeded() {
	if !b.unavailableSince.IsZero() {
		b.log.Info("metadata store is available again", zap.String("purpose", b.purpose), zap.Duration("unavailable", time.Since(b.unavailableSince)))
	}
	b.unavailableSince = time.Time{}
	b.delay = 0
}

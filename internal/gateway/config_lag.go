package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// lagLogAfter is how long a daemon knows of a newer configuration without having it before it logs that.
const lagLogAfter = time.Second

// configLag follows how long this daemon has known of a version of the configuration that is newer than the
// one in force here. It is safe for concurrent use; the zero value knows of none.
type configLag struct {
	mu sync.Mutex
	// newest is the newest version that this daemon was told of, since is when it was told first of a version that it
	// still lacks; zero if it lacks none.
	newest int64
	since  time.Time
	// failed counts the reads of the store and of peers that failed since then; lastError is that of the last one.
	failed    int
	lastError string
	logged    bool
}

// configLagStatus is what an operator sees of a configLag.
type configLagStatus struct {
	Newest      int64   `json:"newest"`
	BehindS     float64 `json:"behind_s"`
	FailedReads int     `json:"failed_reads"`
	LastError   string  `json:"last_error,omitempty"`
}

// heard records that another daemon has a version while inForce is in force here, and reports whether that is newer.
func (l *configLag) heard(log *zap.Logger, from string, version, inForce int64) bool {
	if version <= inForce {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, version)
	if l.since.IsZero() {
		l.since = now
	}
	if behind := now.Sub(l.since); behind >= lagLogAfter && !l.logged {
		l.logged = true
		log.Warn("configuration is older than that of another daemon", zap.Int64("config-version", inForce),
			zap.Int64("newest-version", l.newest), zap.String("peer", from), zap.Duration("behind", behind),
			zap.Int("failed-reads", l.failed), zap.String("last-error", l.lastError))
	}
	return true
}

// readFailed records a read that should have brought the configuration.
func (l *configLag) readFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() {
		l.failed++
		l.lastError = err.Error()
	}
}

// installed records the version that came into force, and returns how long this daemon had known of a newer one and
// how many reads failed in that time.
func (l *configLag) installed(version int64) (behind time.Duration, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0, 0
	}
	behind, failed = time.Since(l.since), l.failed
	if version >= l.newest {
		l.since, l.failed, l.lastError, l.logged = time.Time{}, 0, "", false
	}
	return behind, failed
}

func (l *configLag) status() configLagStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := configLagStatus{Newest: l.newest, FailedReads: l.failed, LastError: l.lastError}
	if !l.since.IsZero() {
		s.BehindS = time.Since(l.since).Seconds()
	}
	return s
}

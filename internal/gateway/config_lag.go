package gateway

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// lagLogAfter is how long a daemon knows of a newer configuration without having it before it logs that.
	lagLogAfter = time.Second
	// maxConfigLag is the same time before it takes no requests any more: what it would answer may have been withdrawn.
	// Usually a version arrives within a few tens of milliseconds, and operators allow for a few seconds.
	maxConfigLag = 1500 * time.Millisecond
	// maxLagSilence is how long after it was last told of a missing version a daemon serves by its own again: those that
	// have the version may be gone, or cut off from this one.
	maxLagSilence = 3 * time.Second
)

// configLag follows how long this daemon has known of a version of the configuration that is newer than the
// one in force here. It is safe for concurrent use; the zero value knows of none.
type configLag struct {
	mu sync.Mutex
	// missing holds the versions that this daemon was told of and lacks, with the time at which it was told first of one at
	// least as new, by rising version. newest is the newest version that it was told of.
	missing []heardVersion
	newest  int64
	// heardAt is when this daemon was last told of a missing version.
	heardAt time.Time
	// unreadable is the newest version of which is known that this daemon cannot read it.
	unreadable int64
	// failed counts the reads of the store and of peers that failed while a version was missing; lastError is that of the
	// last one.
	failed    int
	lastError string
	logged    bool
}

type heardVersion struct {
	version int64
	at      time.Time
}

// maxMissing bounds the missing versions that are kept apart. Beyond it the newer ones count from the time of the last one kept.
const maxMissing = 64

// configLagStatus is what an operator sees of a configLag.
type configLagStatus struct {
	Newest      int64   `json:"newest"`
	BehindS     float64 `json:"behind_s"`
	FailedReads int     `json:"failed_reads"`
	LastError   string  `json:"last_error,omitempty"`
}

// heard records that another daemon has a version while inForce is in force here, and reports whether that is newer and
// may be readable.
func (l *configLag) heard(log *zap.Logger, from string, version, inForce int64) bool {
	if version <= inForce {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.unreadable {
		return false
	}
	if last := len(l.missing) - 1; last < 0 || version > l.missing[last].version {
		if last+1 < maxMissing {
			l.missing = append(l.missing, heardVersion{version: version, at: now})
		} else {
			l.missing[last].version = version
		}
	}
	l.newest, l.heardAt = max(l.newest, version), now
	if behind := l.behind(now); behind >= lagLogAfter && !l.logged {
		l.logged = true
		log.Warn("configuration is older than that of another daemon", zap.Int64("config-version", inForce),
			zap.Int64("newest-version", l.newest), zap.String("peer", from), zap.Duration("behind", behind),
			zap.Int("failed-reads", l.failed), zap.String("last-error", l.lastError))
	}
	return true
}

// behind returns how long a version has been missing, 0 if none is, or if nobody who has it has been heard for long. l.mu must be
// held.
func (l *configLag) behind(now time.Time) time.Duration {
	if len(l.missing) == 0 || now.Sub(l.heardAt) > maxLagSilence {
		return 0
	}
	// Not 0, also within the resolution of the clock.
	return max(1, now.Sub(l.missing[0].at))
}

// since returns how long this daemon has known of a version that it lacks, 0 if it knows of none.
func (l *configLag) since(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behind(now)
}

// readFailed records a read that should have brought the configuration.
func (l *configLag) readFailed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.missing) > 0 {
		l.failed++
		l.lastError = err.Error()
	}
}

// cannotRead records that a newer version cannot be decoded here, as it may be written for later programs. It is not missed
// any more: this daemon goes on with what it has.
func (l *configLag) cannotRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreadable = l.newest
	l.clear()
}

// installed records the version that came into force, and returns how long this daemon had known of a newer one and
// how many reads failed in that time.
func (l *configLag) installed(version int64) (behind time.Duration, failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	behind, failed = l.behind(time.Now()), l.failed
	l.missing = slices.DeleteFunc(l.missing, func(h heardVersion) bool { return h.version <= version })
	if len(l.missing) == 0 {
		l.clear()
	}
	return behind, failed
}

// clear ends the lag. l.mu must be held.
func (l *configLag) clear() {
	l.missing, l.failed, l.lastError, l.logged = nil, 0, "", false
}

func (l *configLag) status() configLagStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return configLagStatus{Newest: l.newest, BehindS: l.behind(time.Now()).Seconds(), FailedReads: l.failed, LastError: l.lastError}
}

package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
	"bergamotsill.example/bergamotsill/internal/replay"
)

const (
	// readLimit is the number of records asked for in one read of the log.
	readLimit = 500
	// readWait is how long a read of the log waits for a new record.
	readWait = time.Second
	// remoteReadInterval is the time between two reads of another data centre's
	// control stream. They do not wait for records: each renewal of a lease would
	// end the reads of every daemon. A request to acknowledge a drain that is not
	// known yet causes a read at once.
	remoteReadInterval = 10 * time.Second
	// logRetryDelay is the pause after a failed operation on the log.
	logRetryDelay = 250 * time.Millisecond
	// minReadTimeout bounds the time that a read may take beyond its wait. It is
	// well below the 4 s in which a configuration must be in force, because an
	// open connection to the log may have gone silent while new ones work.
	minReadTimeout = time.Second
	// maxReadTimeout lets reads of a slow log succeed after some failures.
	maxReadTimeout = 8 * time.Second
	// readMargin is the time for the answer to a read beyond its wait. The log
	// counts as unreachable when the last read is older than both.
	readMargin = 500 * time.Millisecond

	checkpointInterval = time.Second
	// minCheckpointDelay and maxCheckpointDelay bound the time after which other
	// daemons write a checkpoint that the chosen one did not write.
	minCheckpointDelay = 3 * time.Second
	maxCheckpointDelay = 12 * time.Second
)

// stateMachine is what a follower needs of a state stateMachine that applies a stream.
type stateMachine interface {
	Next() int64
	ReadOffset() int64
	Truncate(first int64)
	Recovering() bool
	Base() int64
	Due(now time.Time, first int64, limits replay.Limits) bool
}

// follower applies one stream of the log to a state machine and keeps the stream
// readable from its newest checkpoint on.
type follower struct {
	daemon *Daemon
	stream string
	limits replay.Limits
	// wait is how long a read waits for a new record.
	wait time.Duration
	// interval is the time between two reads; zero reads without a pause. Wake ends
	// a pause.
	interval time.Duration
	wakeUp   chan struct{}
	// pageFull is set when the last read returned as many records as it may; used by
	// run only.
	pageFull bool
	// apply decides about one record; the follower's lock is held.
	apply func(port.Record)
	// caughtUp is called without the lock after each read that reached the end.
	caughtUp func()
	// checkpoint returns the machine's checkpoint; the lock is held.
	checkpoint func() any
	// writers returns the names of the daemons that share in writing checkpoints.
	writers func() []string

	mu      sync.Mutex
	machine stateMachine
	rng     *rand.Rand
	// firstOffset is the oldest retained offset; read is when the last read ended.
	firstOffset int64
	lastRead    time.Time
	readTimeout time.Duration
	// checkpointAt is when this daemon writes a checkpoint that is due; zero for none.
	checkpointAt time.Time
}

func (f *follower) run() error {
	ctx := f.daemon.context()
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err != nil && (f.interval == 0 || !f.hasRead()) {
			clock.Sleep(ctx, logRetryDelay)
			continue
		}
		f.pageFull = f.pageFull && err == nil
		f.waitForNextRead(ctx)
	}
	return nil
}

// hasRead tells whether the stream was read once.
func (f *follower) hasRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastRead.IsZero()
}

// waitForNextRead waits for the next read.
func (f *follower) waitForNextRead(ctx context.Context) {
	if f.interval == 0 || f.pageFull {
		return
	}
	timer := time.NewTimer(f.interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wakeUp:
	}
}

// wake makes a follower that pauses read at once.
func (f *follower) wake() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// readOnce reads one page of the stream and applies it.
func (f *follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from := f.machine.ReadOffset()
	patience := max(f.readTimeout, minReadTimeout)
	wait := f.wait
	if f.lastRead.IsZero() {
		// The first read only finds out where the stream ends.
		wait = 0
	}
	f.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	started := time.Now()
	page, err := f.daemon.deps.Log.Read(limited, f.stream, from, readLimit, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil && !errors.Is(err, port.ErrLogTruncated) {
		f.readFailed(patience, err)
		return err
	}
	f.pageFull = len(page.Records) == readLimit
	f.readSucceeded(page, time.Since(started)-wait)
	f.mu.Lock()
	atEnd := f.machine.Next() >= page.Next
	f.mu.Unlock()
	if atEnd {
		f.caughtUp()
	}
	return nil
}

func (f *follower) readFailed(patience time.Duration, err error) {
	f.daemon.metrics.LogErrors.Add(1)
	f.daemon.log.Debug("stream is unavailable", zap.String("stream", f.stream), zap.Error(err))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTimeout = min(2*patience, maxReadTimeout)
}

// readSucceeded applies a page; excess is how much longer than asked for the
// read took.
func (f *follower) readSucceeded(page port.Page, excess time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTimeout = min(max(2*excess, minReadTimeout), maxReadTimeout)
	f.lastRead = time.Now()
	f.firstOffset = page.First
	recovering := f.machine.Recovering()
	f.machine.Truncate(page.First)
	if f.machine.Recovering() && !recovering {
		f.daemon.log.Warn("stream is truncated, looking for a checkpoint",
			zap.String("stream", f.stream),
			zap.Int64("first", page.First),
			zap.Int64("next", f.machine.Next()),
		)
	}
	for _, rec := range page.Records {
		f.apply(rec)
	}
}

// recentlyRead tells whether the log was read to a known point a moment ago. The lock
// is held.
func (f *follower) recentlyRead() bool {
	return !f.lastRead.IsZero() && time.Since(f.lastRead) < max(f.wait, f.interval)+readMargin
}

// isCurrent tells whether the machine follows the log without a gap.
func (f *follower) isCurrent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recentlyRead() && !f.machine.Recovering()
}

func (f *follower) runCheckpoints() error {
	runEvery(f.daemon.context(), checkpointInterval, f.checkpointIfDue)
	return nil
}

// checkpointIfDue writes a checkpoint when this daemon is chosen for it, or when
// the chosen one has not written it after a random delay. The delay starts
// only while the log is reachable, so that daemons do not all write at once
// after an outage.
func (f *follower) checkpointIfDue(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	if !f.recentlyRead() || !f.machine.Due(now, f.firstOffset, f.limits) {
		f.checkpointAt = time.Time{}
		f.mu.Unlock()
		return
	}
	if f.checkpointAt.IsZero() {
		f.checkpointAt = now.Add(f.checkpointDelay())
	}
	if now.Before(f.checkpointAt) {
		f.mu.Unlock()
		return
	}
	// A failed append is repeated after the same delay as by other daemons.
	f.checkpointAt = now.Add(f.randomCheckpointDelay())
	covers := f.machine.Next()
	data, err := json.Marshal(f.checkpoint())
	f.mu.Unlock()
	if err != nil {
		f.daemon.log.Error("checkpoint cannot be encoded", zap.String("stream", f.stream), zap.Error(err))
		return
	}
	f.appendCheckpoint(ctx, covers, data)
}

func (f *follower) checkpointDelay() time.Duration {
	key := fmt.Sprintf("%s/%d", f.stream, f.machine.Base())
	if rendezvous.First(key, f.writers()) == f.daemon.settings.Name {
		return 0
	}
	return f.randomCheckpointDelay()
}

func (f *follower) randomCheckpointDelay() time.Duration {
	return minCheckpointDelay + time.Duration(f.rng.Int64N(int64(maxCheckpointDelay-minCheckpointDelay)))
}

// appendCheckpoint needs no retry of its own: a checkpoint whose answer is lost
// is seen on the stream, and one that is missing stays due.
func (f *follower) appendCheckpoint(ctx context.Context, covers int64, data json.RawMessage) {
	id := fmt.Sprintf("checkpoint/%s/%d", f.daemon.incarnation, covers)
	_, err := f.daemon.deps.Log.Append(ctx, f.stream, []port.Entry{{ID: id, Data: data}})
	if err != nil {
		f.daemon.metrics.LogErrors.Add(1)
	}
	f.daemon.log.Info("checkpoint written",
		zap.String("stream", f.stream),
		zap.Int64("covers", covers),
		zap.Error(err),
	)
}

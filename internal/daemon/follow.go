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
	// readLimit is the maximum number of records requested in one read of the log.
	readLimit = 500
	// readWait is how long a read of the log waits for a new record.
	readWait = time.Second
	// remoteReadInterval is the time between two reads of another data centre's
	// control stream. These reads do not wait for records, because each renewal of
	// a lease would complete the waiting reads of every daemon. A request to
	// acknowledge a drain that is not known yet triggers a read at once.
	remoteReadInterval = 10 * time.Second
	// logRetryDelay is the delay before a failed read of the log is retried.
	logRetryDelay = 250 * time.Millisecond
	// minReadTimeout is the minimum time that a read may take in addition to its
	// wait. It is well below the 4 s within which a configuration must be in force,
	// because an open connection to the log may be unresponsive while new ones
	// work.
	minReadTimeout = time.Second
	// maxReadTimeout is the upper bound of the same time. The timeout doubles up to it
	// after failed reads, so that reads of a slow log succeed.
	maxReadTimeout = 8 * time.Second
	// readMargin is the time allowed for the response to a read in addition to its
	// wait. The log is considered unreachable when the last read is older than this
	// margin plus the wait of a read or the interval between reads.
	readMargin = 500 * time.Millisecond

	// checkpointInterval is how often a daemon checks whether a checkpoint is due.
	checkpointInterval = time.Second
	// minCheckpointDelay and maxCheckpointDelay bound the random delay after which
	// other daemons write a checkpoint that the chosen daemon did not write.
	minCheckpointDelay = 3 * time.Second
	maxCheckpointDelay = 12 * time.Second
)

// stateMachine is the part of a replayed state machine that a follower uses.
type stateMachine interface {
	Next() int64
	ReadOffset() int64
	Truncate(firstOffset int64)
	Recovering() bool
	Base() int64
	Due(now time.Time, firstOffset int64, limits replay.Limits) bool
}

// follower applies one stream of the log to a state machine and writes checkpoints,
// so that the stream stays readable from its newest checkpoint on.
type follower struct {
	daemon *Daemon
	stream string
	limits replay.Limits
	// wait is how long a read waits for a new record.
	wait time.Duration
	// interval is the time between two reads; zero means that the next read starts
	// immediately. wake ends the interval early.
	interval time.Duration
	wakeUp   chan struct{}
	// pageFull is set if the last read returned the maximum number of records; used
	// by run only.
	pageFull bool
	// apply applies one record; called with mu held.
	apply func(port.Record)
	// caughtUp is called without the lock after each read that reached the end of
	// the stream.
	caughtUp func()
	// checkpoint returns the record of a checkpoint of the state machine; called with mu
	// held.
	checkpoint func() any
	// writers returns the names of the daemons that share the writing of
	// checkpoints.
	writers func() []string

	// mu guards the fields below.
	mu      sync.Mutex
	machine stateMachine
	rng     *rand.Rand
	// firstOffset is the oldest retained offset. lastRead is when the last
	// successful read ended. readTimeout is the time allowed for the next read in
	// addition to its wait.
	firstOffset int64
	lastRead    time.Time
	readTimeout time.Duration
	// checkpointAt is when this daemon writes a checkpoint that is due; zero if
	// none is scheduled.
	checkpointAt time.Time
}

// run reads the stream until the daemon stops.
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

// hasRead reports whether the stream has been read at least once.
func (f *follower) hasRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastRead.IsZero()
}

// waitForNextRead waits for the interval between two reads or for a call of wake.
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

// wake ends the interval between two reads, so that the stream is read immediately.
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
	timeout := max(f.readTimeout, minReadTimeout)
	wait := f.wait
	if f.lastRead.IsZero() {
		// The first read only determines where the stream ends.
		wait = 0
	}
	f.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	started := time.Now()
	page, err := f.daemon.deps.Log.Read(readCtx, f.stream, from, readLimit, wait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil && !errors.Is(err, port.ErrLogTruncated) {
		f.readFailed(timeout, err)
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

// readFailed doubles the read timeout after a failed read.
func (f *follower) readFailed(timeout time.Duration, err error) {
	f.daemon.metrics.LogErrors.Add(1)
	f.daemon.log.Debug("read of stream failed", zap.String("stream", f.stream), zap.Error(err))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTimeout = min(2*timeout, maxReadTimeout)
}

// readSucceeded applies a page. excess is how much longer the read took than its
// wait; the next read timeout is derived from it.
func (f *follower) readSucceeded(page port.Page, excess time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTimeout = min(max(2*excess, minReadTimeout), maxReadTimeout)
	f.lastRead = time.Now()
	f.firstOffset = page.First
	recovering := f.machine.Recovering()
	f.machine.Truncate(page.First)
	if f.machine.Recovering() && !recovering {
		f.daemon.log.Warn("stream is truncated, searching for a checkpoint",
			zap.String("stream", f.stream),
			zap.Int64("first", page.First),
			zap.Int64("next", f.machine.Next()),
		)
	}
	for _, rec := range page.Records {
		f.apply(rec)
	}
}

// recentlyRead reports whether the last successful read of the log is recent. The
// caller holds f.mu.
func (f *follower) recentlyRead() bool {
	return !f.lastRead.IsZero() && time.Since(f.lastRead) < max(f.wait, f.interval)+readMargin
}

// isCurrent reports whether the state machine follows the log without a gap.
func (f *follower) isCurrent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recentlyRead() && !f.machine.Recovering()
}

// runCheckpoints calls checkpointIfDue at each checkpointInterval until the daemon stops.
func (f *follower) runCheckpoints() error {
	runEvery(f.daemon.context(), checkpointInterval, f.checkpointIfDue)
	return nil
}

// checkpointIfDue writes a checkpoint if one is due and this daemon is chosen to
// write it, or if the chosen daemon has not written it after a random delay. The
// delay starts only while the log is reachable, so that the daemons do not all
// write at once after an outage.
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
	// A failed append is retried after the same random delay that other daemons
	// use.
	f.checkpointAt = now.Add(f.randomCheckpointDelay())
	covers := f.machine.Next()
	data, err := json.Marshal(f.checkpoint())
	f.mu.Unlock()
	if err != nil {
		f.daemon.log.Error("failed to encode checkpoint", zap.String("stream", f.stream), zap.Error(err))
		return
	}
	f.appendCheckpoint(ctx, covers, data)
}

// checkpointDelay returns zero for the daemon that the hash chooses to write the
// checkpoint, and a random delay for the others.
func (f *follower) checkpointDelay() time.Duration {
	key := fmt.Sprintf("%s/%d", f.stream, f.machine.Base())
	if rendezvous.First(key, f.writers()) == f.daemon.settings.Name {
		return 0
	}
	return f.randomCheckpointDelay()
}

// randomCheckpointDelay returns a delay between minCheckpointDelay and
// maxCheckpointDelay.
func (f *follower) randomCheckpointDelay() time.Duration {
	return minCheckpointDelay + time.Duration(f.rng.Int64N(int64(maxCheckpointDelay-minCheckpointDelay)))
}

// appendCheckpoint appends a checkpoint that covers the records below the given offset.
// It does not retry: a checkpoint whose response was lost appears on the stream, and a
// missing one remains due.
func (f *follower) appendCheckpoint(ctx context.Context, covers int64, data json.RawMessage) {
	id := fmt.Sprintf("checkpoint/%s/%d", f.daemon.incarnation, covers)
	_, err := f.daemon.deps.Log.Append(ctx, f.stream, []port.Entry{{ID: id, Data: data}})
	if err != nil {
		f.daemon.metrics.LogErrors.Add(1)
	}
	f.daemon.log.Info("append of checkpoint ended",
		zap.String("stream", f.stream),
		zap.Int64("covers", covers),
		zap.Error(err),
	)
}

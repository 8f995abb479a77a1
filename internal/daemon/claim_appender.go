package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// maxClaimBatch is the maximum number of records in one append.
	maxClaimBatch = 256
	// maxClaimBatchBytes is the total size of recorded answers at which a batch is
	// appended. The answer that reaches it may exceed it by any amount.
	maxClaimBatchBytes = 1 << 20
	// claimQueueLength bounds the submissions queued for one partition.
	claimQueueLength = 1024
	// claimSettleTimeout is how long the appender reads the log to find appended
	// records.
	claimSettleTimeout = 3 * time.Second
	// claimReadInterval is the time between two reads that search for appended
	// records.
	claimReadInterval = 50 * time.Millisecond
	// claimTailInterval is how often an appender reads its partition. It is also the
	// maximum age of the last read at which the appender decides on records without
	// reading again; its state can only be outdated if a second daemon appends to the
	// partition.
	claimTailInterval = time.Second
	// claimResetDelay is how long a reader that has lost records waits for a
	// checkpoint from another daemon.
	claimResetDelay = 10 * time.Second
	// claimIdleTimeout is how long a daemon that is not the appender of a partition
	// keeps its state after the last use.
	claimIdleTimeout = time.Minute
	// checkpointsPerRetention is the number of checkpoints that a partition without
	// new records gets within the log's retention.
	checkpointsPerRetention = 4
)

// Decisions that are not made by the log.
const (
	// decisionUnavailable means that the record was not appended.
	decisionUnavailable claim.Decision = "unavailable"
	// decisionUncertain means that the record may have been appended or may still
	// be appended.
	decisionUncertain claim.Decision = "uncertain"
)

// claimResult is the result of submitting a record.
type claimResult struct {
	Decision claim.Decision `json:"verdict"`
	// Entry is the state of the key at the time of the decision, or nil.
	Entry *claim.Entry `json:"entry,omitempty"`
	// Answer is the recorded answer that Entry refers to.
	Answer *port.ServiceResponse `json:"answer,omitempty"`
}

// decided reports whether the decision was made by the log.
func (r claimResult) decided() bool {
	return r.Decision != decisionUnavailable && r.Decision != decisionUncertain
}

// submission is a record that waits to be appended.
type submission struct {
	record claim.Record
	// done is buffered for the single result.
	done chan claimResult
}

// answerBytes returns the size of the recorded answer in bytes.
func (s *submission) answerBytes() int {
	if s.record.Answer == nil {
		return 0
	}
	return len(s.record.Answer.Body)
}

// appender appends to one partition and applies its records. The fields below queue
// are used only by the goroutine of run.
type appender struct {
	claims *claims
	stream string
	// size is the number of retained keys and withdrawn claims.
	size  expvar.Int
	queue chan *submission

	state *claim.Partition
	// waiting holds the submissions that wait for their record to be read back, by
	// record id.
	waiting map[string][]*submission
	// lastRead is when the stream was last read up to its end; lastUsed is when the
	// last submission arrived.
	lastRead time.Time
	lastUsed time.Time
	// lostSince is when records were found to be lost, or when the last reset was
	// appended. It is zero if the state is complete.
	lostSince time.Time
}

func newAppender(c *claims, stream string) *appender {
	a := &appender{claims: c, stream: stream, queue: make(chan *submission, claimQueueLength)}
	a.resetState()
	return a
}

// resetState discards the state of the partition.
func (a *appender) resetState() {
	a.state = claim.NewPartition(a.claims.options)
	a.waiting = map[string][]*submission{}
	a.lastRead = time.Time{}
	a.lostSince = time.Time{}
}

// submit queues a record for the appender and waits for the decision. If ctx ends
// first, the record may still be appended.
func (a *appender) submit(ctx context.Context, r claim.Record) claimResult {
	s := &submission{record: r, done: make(chan claimResult, 1)}
	select {
	case a.queue <- s:
	default:
		return claimResult{Decision: decisionUnavailable}
	}
	select {
	case result := <-s.done:
		return a.withAnswer(ctx, result)
	case <-ctx.Done():
		return claimResult{Decision: decisionUncertain}
	}
}

// withAnswer adds the recorded answer that a result refers to. Answer stays nil if
// the log no longer retains it. If the log cannot be read, the decision becomes
// unavailable.
func (a *appender) withAnswer(ctx context.Context, result claimResult) claimResult {
	e := result.Entry
	if e == nil || e.Result != claim.Answered || e.AnswerOffset < 0 {
		return result
	}
	page, err := a.claims.daemon.deps.Log.Read(ctx, a.stream, e.AnswerOffset, 1, 0)
	if errors.Is(err, port.ErrLogTruncated) {
		return result
	}
	if err != nil || len(page.Records) == 0 {
		return claimResult{Decision: decisionUnavailable}
	}
	var r claim.Record
	if json.Unmarshal(page.Records[0].Data, &r) == nil && r.Claim == e.Claim {
		result.Answer = r.Answer
	}
	return result
}

// run commits the queued submissions and keeps the partition current until the
// daemon ends.
func (a *appender) run() error {
	ctx := a.claims.daemon.context()
	ticker := time.NewTicker(claimTailInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-a.queue:
			a.lastUsed = time.Now()
			a.commit(ctx, a.collectBatch(s))
		case <-ticker.C:
			a.tail(ctx)
		}
	}
}

// collectBatch returns the first submission together with those already queued, so
// that they share one append.
func (a *appender) collectBatch(first *submission) []*submission {
	batch := []*submission{first}
	size := first.answerBytes()
	for len(batch) < maxClaimBatch && size < maxClaimBatchBytes {
		select {
		case s := <-a.queue:
			batch = append(batch, s)
			size += s.answerBytes()
		default:
			return batch
		}
	}
	return batch
}

// tail keeps the state of the partition current if this daemon is its appender, and
// releases it after claimIdleTimeout otherwise.
func (a *appender) tail(ctx context.Context) {
	if !a.claims.isAppender(a.stream) {
		if time.Since(a.lastUsed) > claimIdleTimeout {
			a.resetState()
			a.size.Set(0)
		}
		return
	}
	if a.refresh(ctx) != nil {
		return
	}
	if a.state.Scanning() {
		a.appendReset(ctx)
		return
	}
	a.lostSince = time.Time{}
	a.checkpointIfDue(ctx)
}

// appendReset appends a reset record, which makes all readers discard their state
// of the stream. It does so once this reader has lost records and no other daemon
// has written a checkpoint for claimResetDelay.
func (a *appender) appendReset(ctx context.Context) {
	if a.lostSince.IsZero() {
		a.lostSince = time.Now()
	}
	if time.Since(a.lostSince) < claimResetDelay {
		return
	}
	r := a.state.ResetRecord(a.claims.daemon.newID())
	data, err := json.Marshal(r)
	if err == nil {
		_, err = a.claims.daemon.deps.Log.Append(ctx, a.stream, []port.Entry{{ID: r.RecordID(), Data: data}})
	}
	a.claims.daemon.log.Error("claim records expired before they were read, resetting the stream", zap.String("stream", a.stream), zap.Error(err))
	a.lostSince = time.Now()
}

// refresh reads and applies the stream up to its end.
func (a *appender) refresh(ctx context.Context) error {
	for {
		page, err := a.claims.daemon.deps.Log.Read(ctx, a.stream, a.state.Next(), readLimit, 0)
		if errors.Is(err, port.ErrLogTruncated) && page.First > a.state.Next() {
			a.claims.daemon.log.Warn("claim stream is truncated", zap.String("stream", a.stream), zap.Int64("first", page.First))
			a.state.MarkTruncated(page.First)
			continue
		}
		if err != nil {
			a.claims.daemon.metrics.LogErrors.Add(1)
			return err
		}
		for _, rec := range page.Records {
			a.apply(rec)
		}
		if a.state.Next() < page.Next {
			continue
		}
		a.size.Set(int64(a.state.Size()))
		a.lastRead = time.Now()
		return nil
	}
}

// apply applies a record and sends the decision to the submissions that wait for it. It
// sends none if the record is at an unexpected offset or the state is not known.
func (a *appender) apply(rec port.Record) {
	ignored := a.state.Scanning() || rec.Offset != a.state.Next()
	decision := a.state.Apply(rec)
	if ignored {
		return
	}
	for _, s := range a.waiting[rec.ID] {
		s.done <- claimResult{Decision: decision, Entry: a.state.Entry(s.record.Key)}
	}
	delete(a.waiting, rec.ID)
}

// commit appends a batch and waits for the decisions. The submissions fail as
// unavailable if the stream cannot be read or its state is not known.
func (a *appender) commit(ctx context.Context, batch []*submission) {
	if time.Since(a.lastRead) >= claimTailInterval && a.refresh(ctx) != nil {
		failAll(batch, decisionUnavailable)
		return
	}
	if a.state.Scanning() {
		a.appendReset(ctx)
		failAll(batch, decisionUnavailable)
		return
	}
	a.checkpointIfDue(ctx)
	undecided := a.resolveKnown(batch)
	if len(undecided) == 0 {
		return
	}
	entries := make([]port.Entry, 0, len(undecided))
	for _, s := range undecided {
		data, err := json.Marshal(s.record)
		if err != nil {
			s.done <- claimResult{Decision: decisionUnavailable}
			continue
		}
		entries = append(entries, port.Entry{ID: s.record.RecordID(), Data: data})
		a.waiting[s.record.RecordID()] = append(a.waiting[s.record.RecordID()], s)
	}
	a.claims.daemon.metrics.ClaimAppends.Add(1)
	_, err := a.claims.daemon.deps.Log.Append(ctx, a.stream, entries)
	if errors.Is(err, port.ErrLogUnavailable) {
		a.claims.daemon.metrics.LogErrors.Add(1)
		a.failWaiting(decisionUnavailable)
		return
	}
	// After any other error, as after success, reading the stream shows whether the
	// records were appended: the response to a successful append may be lost.
	a.awaitAppended(ctx)
}

// resolveKnown completes the submissions that are already decided by the applied
// records, and returns the remaining ones.
func (a *appender) resolveKnown(batch []*submission) []*submission {
	var undecided []*submission
	for _, s := range batch {
		if s.record.Kind == "" {
			s.done <- claimResult{Decision: claim.Recorded}
			continue
		}
		if decision, ok := a.state.Decided(s.record); ok {
			s.done <- claimResult{Decision: decision, Entry: a.state.Entry(s.record.Key)}
			continue
		}
		undecided = append(undecided, s)
	}
	return undecided
}

// awaitAppended reads the stream until all appended records are found. After
// claimSettleTimeout the remaining submissions fail as uncertain.
func (a *appender) awaitAppended(ctx context.Context) {
	deadline := time.Now().Add(claimSettleTimeout)
	for ctx.Err() == nil {
		// A failed read is retried until the deadline.
		_ = a.refresh(ctx)
		if len(a.waiting) == 0 {
			return
		}
		if time.Now().After(deadline) {
			break
		}
		clock.Sleep(ctx, claimReadInterval)
	}
	a.failWaiting(decisionUncertain)
}

// failWaiting completes all waiting submissions with the given decision.
func (a *appender) failWaiting(decision claim.Decision) {
	for _, submissions := range a.waiting {
		failAll(submissions, decision)
	}
	a.waiting = map[string][]*submission{}
}

// failAll completes all submissions with the given decision.
func failAll(batch []*submission, decision claim.Decision) {
	for _, s := range batch {
		s.done <- claimResult{Decision: decision}
	}
}

// checkpointIfDue writes a checkpoint if one is due. It runs before other records
// are appended, so that after a long outage the state is saved before the log's
// retention removes older records. If the checkpoint cannot be written, it is still
// due at the next batch.
func (a *appender) checkpointIfDue(ctx context.Context) {
	limits := a.claims.daemon.settings.Claims
	if !a.state.CheckpointDue(limits.CheckpointRecords, limits.Retention.Std()/checkpointsPerRetention, time.Now()) {
		return
	}
	var entries []port.Entry
	for _, r := range a.state.CheckpointRecords(a.claims.daemon.newID()) {
		data, err := json.Marshal(r)
		if err != nil {
			a.claims.daemon.log.Error("checkpoint not written", zap.String("stream", a.stream), zap.Error(err))
			return
		}
		entries = append(entries, port.Entry{ID: r.RecordID(), Data: data})
	}
	if _, err := a.claims.daemon.deps.Log.Append(ctx, a.stream, entries); err != nil {
		a.claims.daemon.log.Warn("checkpoint not written", zap.String("stream", a.stream), zap.Error(err))
		return
	}
	a.claims.daemon.metrics.ClaimCheckpoints.Add(1)
}

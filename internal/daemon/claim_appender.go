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
	// maxClaimBatch bounds the records of one append.
	maxClaimBatch = 256
	// maxClaimBatchBytes bounds their recorded answers; one may exceed it.
	maxClaimBatchBytes = 1 << 20
	// claimQueueLength bounds the submissions that wait for one partition.
	claimQueueLength = 1024
	// claimSettleTimeout is how long an append is looked for on the log.
	claimSettleTimeout = 3 * time.Second
	// claimReadInterval is the pause between reads while an append is looked for.
	claimReadInterval = 50 * time.Millisecond
	// claimTailInterval is how often an appender reads its partitions, and how old a view
	// may be that answers for the log. Only a second appender makes it stale.
	claimTailInterval = time.Second
	// claimResetDelay is how long a reader that lost records waits for a checkpoint.
	claimResetDelay = 10 * time.Second
	// claimIdleTimeout is how long the state of a partition is kept after its last use by
	// a daemon that does not append for it.
	claimIdleTimeout = time.Minute
	// checkpointsPerRetention is how often a quiet partition is checkpointed within
	// the log's retention.
	checkpointsPerRetention = 4
)

// Verdicts that do not come from the log.
const (
	// decisionUnavailable means that the record was not appended.
	decisionUnavailable claim.Decision = "unavailable"
	// decisionUncertain means that the record may be appended, now or later.
	decisionUncertain claim.Decision = "uncertain"
)

// claimResult is the answer to a submitted record.
type claimResult struct {
	Decision claim.Decision `json:"verdict"`
	// Entry is the state of the key when the verdict was reached, or nil.
	Entry *claim.Entry `json:"entry,omitempty"`
	// Answer is the recorded answer that Entry refers to.
	Answer *port.ServiceResponse `json:"answer,omitempty"`
}

// decided tells whether the verdict comes from the log.
func (r claimResult) decided() bool {
	return r.Decision != decisionUnavailable && r.Decision != decisionUncertain
}

// submission is one record on its way to the log.
type submission struct {
	record claim.Record
	// done has room for the one result.
	done chan claimResult
}

func (s *submission) answerBytes() int {
	if s.record.Answer == nil {
		return 0
	}
	return len(s.record.Answer.Body)
}

// appender appends to one partition and applies its records. Its goroutine owns
// every field below queue.
type appender struct {
	claims *claims
	stream string
	// size is the number of remembered keys and withdrawn claims.
	size  expvar.Int
	queue chan *submission

	state   *claim.Partition
	waiting map[string][]*submission
	// lastRead is when the stream was last lastRead to its end, used when a submission
	// last arrived.
	lastRead time.Time
	lastUsed time.Time
	// lostSince is since when the state is unknown.
	lostSince time.Time
}

func newAppender(c *claims, stream string) *appender {
	a := &appender{claims: c, stream: stream, queue: make(chan *submission, claimQueueLength)}
	a.resetState()
	return a
}

func (a *appender) resetState() {
	a.state = claim.NewPartition(a.claims.options)
	a.waiting = map[string][]*submission{}
	a.lastRead = time.Time{}
	a.lostSince = time.Time{}
}

// submit hands a record to the appender and waits for the verdict. When it gives
// up the record may still be appended.
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

// withAnswer reads the recorded answer that a result refers to. It stays nil when
// the log retains it no longer.
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

// collectBatch takes the submissions that wait beside the first one, so that they share
// one append.
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

// tail keeps the partition current while this daemon appends for it, and releases
// its memory otherwise.
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

// appendReset makes all readers forget the stream when this one lost records and no
// other daemon wrote a checkpoint in time.
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
	a.claims.daemon.log.Error("claims were lost with the log's retention", zap.String("stream", a.stream), zap.Error(err))
	a.lostSince = time.Now()
}

// refresh applies the stream up to its end.
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

// apply applies a record and tells those who wait for it.
func (a *appender) apply(rec port.Record) {
	ignored := a.state.Scanning() || rec.Offset != a.state.Next()
	verdict := a.state.Apply(rec)
	if ignored {
		return
	}
	for _, s := range a.waiting[rec.ID] {
		s.done <- claimResult{Decision: verdict, Entry: a.state.Entry(s.record.Key)}
	}
	delete(a.waiting, rec.ID)
}

// commit appends a batch and waits for the verdicts.
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
	rest := a.resolveKnown(batch)
	if len(rest) == 0 {
		return
	}
	entries := make([]port.Entry, 0, len(rest))
	for _, s := range rest {
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
	// A lost answer is settled by reading on, like a known one.
	a.awaitAppended(ctx)
}

// resolveKnown answers submissions that the applied records decide already, and
// returns the others.
func (a *appender) resolveKnown(batch []*submission) []*submission {
	var rest []*submission
	for _, s := range batch {
		if s.record.Kind == "" {
			s.done <- claimResult{Decision: claim.Recorded}
			continue
		}
		if verdict, ok := a.state.Decided(s.record); ok {
			s.done <- claimResult{Decision: verdict, Entry: a.state.Entry(s.record.Key)}
			continue
		}
		rest = append(rest, s)
	}
	return rest
}

// awaitAppended reads the stream until every awaited record is found.
func (a *appender) awaitAppended(ctx context.Context) {
	deadline := time.Now().Add(claimSettleTimeout)
	for ctx.Err() == nil {
		// A failed read is repeated until the deadline.
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

func (a *appender) failWaiting(verdict claim.Decision) {
	for _, list := range a.waiting {
		failAll(list, verdict)
	}
	a.waiting = map[string][]*submission{}
}

func failAll(batch []*submission, verdict claim.Decision) {
	for _, s := range batch {
		s.done <- claimResult{Decision: verdict}
	}
}

// checkpointIfDue writes a checkpointIfDue when one is due. It comes before other records,
// so that after a long outage the state is safe from the log's retention first. A
// checkpointIfDue that is not written is due again at the next batch.
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

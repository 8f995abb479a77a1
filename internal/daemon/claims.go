package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

const (
	// claimPollInterval is how often a waiting resend queries the state of its key.
	claimPollInterval = 300 * time.Millisecond
	// recordWait bounds how long a response is delayed until its outcome is
	// recorded, so that a resend normally finds the outcome.
	recordWait = time.Second
	// recordMinBackoff and recordMaxBackoff bound the delay between two attempts to
	// record an outcome.
	recordMinBackoff = 250 * time.Millisecond
	recordMaxBackoff = 4 * time.Second
	// recordStopTimeout is how long a planned stop waits until outcomes are
	// recorded. The calls themselves have ended by then.
	recordStopTimeout = 30 * time.Second
)

// claims appends claims, outcomes and withdrawals to the log and reports the state
// of the calls that this daemon runs.
type claims struct {
	daemon  *Daemon
	options claim.Options
	// partitions holds the appender of each claim stream, by stream name.
	partitions map[string]*appender
	// slots holds one element per claimed call until its outcome or withdrawal is
	// recorded. Its capacity is claims.calls of the settings.
	slots chan struct{}
	// unrecorded counts the outcomes and withdrawals that are not recorded yet.
	unrecorded sync.WaitGroup

	// mu guards active and backoffUntil.
	mu sync.Mutex
	// active holds the accepted claims of this daemon whose outcome is not recorded
	// yet.
	active map[claim.Attempt]claimStatus
	// backoffUntil holds, by peer address, until when a failed appender is skipped.
	backoffUntil map[string]time.Time
}

func newClaims(d *Daemon) *claims {
	c := &claims{
		daemon:       d,
		options:      claim.DefaultOptions(),
		partitions:   map[string]*appender{},
		slots:        make(chan struct{}, d.settings.Claims.Calls),
		active:       map[claim.Attempt]claimStatus{},
		backoffUntil: map[string]time.Time{},
	}
	for i := range d.settings.Claims.Partitions {
		stream := claim.StreamName(i)
		a := newAppender(c, stream)
		c.partitions[stream] = a
		d.metrics.ClaimEntries.Set(stream, &a.size)
	}
	return c
}

// start starts the appender of each claim stream.
func (c *claims) start() {
	for _, a := range c.partitions {
		c.daemon.tomb.Go(a.run)
	}
}

// stop transfers the streams to their next appenders and waits until all outcomes
// are recorded, for at most recordStopTimeout.
func (c *claims) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordStopTimeout)
	defer cancel()
	c.transferStreams(ctx)
	done := make(chan struct{})
	go func() {
		c.unrecorded.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		c.daemon.log.Error("stopped before all outcomes of claimed calls were recorded")
	}
}

// stream returns the name of the claim stream of a key.
func (c *claims) stream(key string) string {
	return claim.Stream(key, c.daemon.settings.Claims.Partitions)
}

// status returns the state of a claim of this incarnation. A claim that is not
// active was abandoned and is being withdrawn, or its outcome has been recorded in
// the meantime; it is reported as running.
func (c *claims) status(a claim.Attempt) claimStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.active[a]; ok {
		return s
	}
	return claimStatus{State: ownerRunning}
}

// setStatus records the state of an accepted claim of this daemon.
func (c *claims) setStatus(r claim.Record, s claimStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[attemptOf(r)] = s
}

func attemptOf(r claim.Record) claim.Attempt { return claim.Attempt{Claim: r.Claim, Owner: r.Owner} }

// claimKey is an idempotency key with the request that claims it.
type claimKey struct {
	key string
	// digest identifies the request and the issue time. Without the issue time, a
	// caller that states a new one for an old key would extend the key's window
	// with each resend.
	digest string
	// issued is the issue time in Unix seconds.
	issued int64
	window time.Duration
}

// acceptedClaim is a claim that the log has accepted. Exactly one of finish, fail
// and withdraw ends it.
type acceptedClaim struct {
	claims *claims
	record claim.Record
}

// acquire returns an accepted claim, the recorded answer of an earlier call, or a
// refusal. A call never runs unless its claim is known to be accepted. A claim that
// may still reach the log is withdrawn.
func (c *claims) acquire(ctx context.Context, k claimKey) (*acceptedClaim, *port.ServiceResponse, error) {
	select {
	case c.slots <- struct{}{}:
		c.daemon.metrics.ClaimCalls.Add(1)
	default:
		return nil, nil, refusal.New(refusal.ClaimsFull, "%d claimed calls are not recorded yet", cap(c.slots)).ForAttempt().WithRetryAfter(time.Second)
	}
	record := claim.Record{
		Kind: claim.KindClaim, Key: k.key, Claim: c.daemon.newID(), Digest: k.digest, Issued: k.issued,
		WindowS: int64(k.window.Seconds()),
		Owner:   c.daemon.incarnation, OwnerAddress: c.daemon.settings.Listen.Peer,
	}
	result, uncertain := c.submitUntilSettled(ctx, record)
	if result.Decision == claim.Accepted {
		c.setStatus(record, claimStatus{State: ownerRunning})
		return &acceptedClaim{claims: c, record: record}, nil, nil
	}
	if uncertain {
		c.withdraw(record)
	} else {
		c.releaseSlot()
	}
	answer, err := c.resolve(ctx, k, result)
	return nil, answer, err
}

// submitUntilSettled submits a claim and resubmits it while another call with the
// same key is running, for at most the configured claim wait. It also returns
// whether the record may have been appended by an attempt whose result is unknown.
func (c *claims) submitUntilSettled(ctx context.Context, record claim.Record) (claimResult, bool) {
	deadline := time.Now().Add(c.daemon.settings.Claims.Wait.Std())
	uncertain := false
	for {
		result, attemptUncertain := c.submit(ctx, record)
		uncertain = uncertain || attemptUncertain
		if !c.shouldRetry(ctx, record, result) || time.Now().After(deadline) {
			return result, uncertain
		}
		clock.Sleep(ctx, claimPollInterval)
	}
}

// shouldRetry reports whether the state of the key may change soon, because the
// owner of the existing claim is still running the call.
func (c *claims) shouldRetry(ctx context.Context, record claim.Record, result claimResult) bool {
	e := result.Entry
	if ctx.Err() != nil || result.Decision != claim.Duplicate || e == nil || e.Result != "" || e.Digest != record.Digest {
		return false
	}
	return c.queryOwner(ctx, e).State == ownerRunning
}

// resolve returns the response or the refusal for a call whose claim was not
// accepted.
func (c *claims) resolve(ctx context.Context, k claimKey, result claimResult) (*port.ServiceResponse, error) {
	switch result.Decision {
	case claim.Duplicate:
		return c.resolveDuplicate(ctx, k, result)
	case claim.Expired:
		return nil, refusal.New(refusal.KeyExpired, "the idempotency key is older than the window in which keys are stored").ForAttempt()
	case claim.Future:
		return nil, refusal.New(refusal.KeyInvalid, "the idempotency key is issued too far in the future").ForAttempt()
	case claim.Full:
		return nil, refusal.New(refusal.ClaimsFull, "the table of idempotency keys is full").WithRetryAfter(time.Minute)
	}
	return nil, refusal.New(refusal.ClaimUnavailable, "the claim could not be recorded").ForAttempt().WithRetryAfter(time.Second)
}

// resolveDuplicate returns the response or the refusal for a call whose key is
// already claimed.
func (c *claims) resolveDuplicate(ctx context.Context, k claimKey, result claimResult) (*port.ServiceResponse, error) {
	e := result.Entry
	switch {
	case e == nil || !e.InForce():
		return nil, refusal.New(refusal.ClaimUnavailable, "the state of the key changed").ForAttempt().WithRetryAfter(time.Second)
	case e.Digest != k.digest:
		return nil, refusal.New(refusal.KeyReused, "the idempotency key belongs to a different request").ForAttempt()
	case result.Answer != nil:
		return result.Answer, nil
	case e.Result == claim.Answered:
		return nil, refusal.NewUnknown(refusal.OutcomeUnknown, "the call ran; its answer was not recorded")
	case e.Result == claim.Unknown:
		return nil, unknownOutcome()
	}
	return c.resolveRunning(ctx, e)
}

// unknownOutcome returns the refusal of a call that was sent but not answered.
func unknownOutcome() error {
	return refusal.NewUnknown(refusal.OutcomeUnknown, "the upstream gave no answer; the call is not run again")
}

// resolveRunning returns the response or the refusal for a call whose key is
// claimed by a call without a recorded outcome. The owner is presumed to have
// ended if another incarnation responds at its address, or if it is unreachable and
// either its VM is no longer on the VM list or the claim is older than the settle time
// (timing.unfenced_settle). None of these is proof, because a paused owner may still
// run the call. Therefore the outcome stays unknown and the call is not run again,
// whether or not the owner is presumed to have ended.
func (c *claims) resolveRunning(ctx context.Context, e *claim.Entry) (*port.ServiceResponse, error) {
	status := c.queryOwner(ctx, e)
	presumedEnded := status.State == ownerGone
	if status.State == ownerUnreachable {
		sinceClaim := time.Since(time.Unix(e.Claimed, 0))
		presumedEnded = !c.isListed(e.OwnerAddress) || sinceClaim > c.daemon.settings.Timing.UnfencedSettle.Std()
	}
	switch {
	case status.State == ownerAnswered && status.Answer != nil:
		return status.Answer, nil
	case status.State == ownerAnswered || status.State == ownerFailed:
		return nil, unknownOutcome()
	case presumedEnded:
		return nil, refusal.NewUnknown(refusal.OutcomeUnknown, "the daemon that may have run the call is gone; the call is not run again")
	}
	return nil, refusal.NewUnknown(refusal.InProgress, "a call with this idempotency key is in progress").WithRetryAfter(time.Second)
}

// finish records that the call was answered. It returns when the outcome is
// recorded, or after recordWait while recording continues in the background.
func (c *acceptedClaim) finish(answer port.ServiceResponse) {
	r := c.outcomeRecord(claim.Answered)
	if int64(len(answer.Body)) <= c.claims.daemon.settings.Claims.AnswerBytes {
		r.Answer = &answer
	}
	c.claims.setStatus(c.record, claimStatus{State: ownerAnswered, Answer: r.Answer})
	c.recordAndWait(r)
}

// fail records that the call was sent and that no response arrived.
func (c *acceptedClaim) fail() {
	c.claims.setStatus(c.record, claimStatus{State: ownerFailed})
	c.recordAndWait(c.outcomeRecord(claim.Unknown))
}

// withdraw records that the call was not sent and will not be sent.
func (c *acceptedClaim) withdraw() { c.recordAndWait(c.withdrawalRecord()) }

func (c *acceptedClaim) outcomeRecord(result claim.Result) claim.Record {
	return claim.Record{
		Kind: claim.KindOutcome, Key: c.record.Key, Claim: c.record.Claim, Owner: c.record.Owner,
		Issued: c.record.Issued, Result: result,
	}
}

func (c *acceptedClaim) withdrawalRecord() claim.Record {
	return claim.Record{
		Kind: claim.KindWithdraw, Key: c.record.Key, Claim: c.record.Claim, Owner: c.record.Owner,
		Issued: c.record.Issued,
	}
}

// recordAndWait starts to record r and waits until it is recorded, for at most
// recordWait.
func (c *acceptedClaim) recordAndWait(r claim.Record) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-c.claims.recordAsync(r):
	case <-timer.C:
	}
}

// withdraw withdraws a claim that may still reach the log.
func (c *claims) withdraw(record claim.Record) {
	unaccepted := &acceptedClaim{claims: c, record: record}
	c.recordAsync(unaccepted.withdrawalRecord())
}

// recordAsync appends a record repeatedly until it is found on the log or the
// daemon ends, and closes the returned channel then. The slot of the call is
// released only at that time, which bounds the memory for unrecorded outcomes.
func (c *claims) recordAsync(r claim.Record) <-chan struct{} {
	done := make(chan struct{})
	c.unrecorded.Go(func() {
		defer close(done)
		c.appendUntilDecided(c.daemon.context(), r)
		c.mu.Lock()
		delete(c.active, attemptOf(r))
		c.mu.Unlock()
		c.releaseSlot()
	})
	return done
}

// appendUntilDecided submits a record until the log has decided on it or ctx ends.
// The delay between attempts doubles from recordMinBackoff to recordMaxBackoff.
func (c *claims) appendUntilDecided(ctx context.Context, r claim.Record) {
	pause := recordMinBackoff
	for ctx.Err() == nil {
		result, _ := c.submit(ctx, r)
		if result.decided() {
			return
		}
		c.daemon.log.Debug("claim record not appended", zap.String("claim", r.Claim), zap.String("kind", string(r.Kind)))
		clock.Sleep(ctx, pause)
		pause = min(2*pause, recordMaxBackoff)
	}
}

// releaseSlot frees the slot of a claimed call.
func (c *claims) releaseSlot() {
	<-c.slots
	c.daemon.metrics.ClaimCalls.Add(-1)
}

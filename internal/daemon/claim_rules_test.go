package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// replySummary returns the code, outcome and scope of a refusal, or the status of
// another reply.
func replySummary(r reply) string {
	if r.refusal == nil {
		return strconv.Itoa(r.status)
	}
	return fmt.Sprintf("%s %s %s", r.refusal.Code, r.refusal.Outcome, r.refusal.Scope)
}

// Guards against refusals that state more than the log shows: scope "call" although an
// earlier attempt may have run, and "unknown" although no attempt can run.
func TestClaimRefusalsAreTruthful(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) {
			s.Limits.BodyBytes = 1000
			s.Claims.AnswerBytes = 10
		}
		names := c.claimCluster(1, 2)
		const window = 300
		doc := document()
		doc.Services[0].ClaimWindowS = window
		c.publish("r2", 1, doc)
		time.Sleep(2 * time.Second)
		now := time.Now().Unix()
		key := func(issued int64) http.Header {
			return http.Header{headerIdempotencyKey: {fmt.Sprintf("%d-a", issued)}}
		}
		expect := func(what, want string, header http.Header, body string) {
			t.Helper()
			got := c.do(context.Background(), "daemon-0", http.MethodPost, confirmPath, header, []byte(body))
			if replySummary(got) != want {
				t.Errorf("%s: got %s %s, want %s", what, replySummary(got), got.body, want)
			}
		}
		expect("no key", "idempotency-key-required not-run call", http.Header{}, "x")
		expect("no issue time", "idempotency-key-invalid not-run attempt", http.Header{headerIdempotencyKey: {"a"}}, "x")
		expect("expired", "idempotency-key-expired not-run attempt", key(now-window-130), "x")
		expect("future", "idempotency-key-invalid not-run attempt", key(now+130), "x")
		expect("clock behind, within the window", "200", key(now-window+60), "x")
		expect("clock ahead, within the skew", "200", key(now+100), "x")
		expect("first use", "200", key(now), "x")
		expect("answer not recorded", "outcome-unknown unknown call", key(now), "x")
		expect("other content", "idempotency-key-reused not-run attempt", key(now), "y")
		expect("body too large", "body-too-large not-run attempt", key(now), strings.Repeat("x", 1001))
		// A daemon that reaches the service would serve the call.
		forEachPair(names, []string{"service-0"}, c.net.Block)
		expect("no upstream", "no-upstream not-run call", key(now-1), "x")
		forEachPair(names, []string{"service-0"}, c.net.Unblock)
		expect("resent after its withdrawal", "200", key(now-1), "x")
		c.platform.Log.SetFaults(standin.LogFaults{Down: true})
		expect("log down", "claim-unavailable not-run attempt", key(now-2), "x")
		c.platform.Log.SetFaults(standin.LogFaults{})
		// After this pause the key has expired, and the call must not run again.
		time.Sleep((window + 130) * time.Second)
		expect("expired since its use", "idempotency-key-expired not-run attempt", key(now), "x")
		if n := c.services["service-0"].ExecutionCount(key(now).Get(headerIdempotencyKey)); n != 1 {
			t.Errorf("the call ran %d times, want once", n)
		}
	})
}

// Guards against a number of appends that grows with the number of daemons and calls,
// and against daemons that read partitions for which they are not the appender.
func TestAppenderBatchesClaimsOfPeers(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) { s.Claims.Partitions = 1 }
		names := c.claimCluster(1, 5)
		c.platform.Log.SetFaults(standin.LogFaults{DelayMS: 20})
		before := c.platform.Log.Appends()
		var callers sync.WaitGroup
		const calls = 100
		for i := range calls {
			callers.Go(func() {
				if got := c.confirm(names[i%len(names)], fmt.Sprintf("key-%d", i), "x"); got.status != http.StatusOK {
					t.Errorf("call %d: %s", i, replySummary(got))
				}
			})
		}
		callers.Wait()
		c.platform.Log.SetFaults(standin.LogFaults{})
		time.Sleep(time.Second)
		// Each call has two records, so that without batches it would take two appends.
		if n := c.platform.Log.Appends() - before; n > calls/4 {
			t.Errorf("%d calls took %d appends, want at most one for four calls", calls, n)
		}
		readers := 0
		for _, d := range c.daemons {
			if d.claims.partitions[claim.StreamName(0)].size.Value() > 0 {
				readers++
			}
		}
		if readers != 1 {
			t.Errorf("%d daemons hold the partition, want one", readers)
		}
	})
}

// Guards against a call that runs again after the log has dropped the record of its
// claim, with and without a checkpoint that contains the claim, and against a partition
// that stays unusable after such a loss.
func TestClaimSurvivesRetention(t *testing.T) {
	for _, records := range []int64{4, 1000} {
		t.Run(fmt.Sprintf("checkpoint every %d records", records), func(t *testing.T) {
			inCluster(t, 1, func(c *cluster) {
				c.adjustSettings = func(s *settings.Settings) {
					s.Claims.Partitions = 1
					s.Claims.CheckpointRecords = records
				}
				c.platform.Log.SetRetention(50)
				c.claimCluster(1, 2)
				for i := range 30 {
					c.confirm("daemon-0", fmt.Sprintf("key-%d", i), "x")
				}
				// Both daemons lose their in-memory state.
				c.restart("daemon-0", time.Second)
				c.restart("daemon-1", time.Second)
				c.awaitReady()
				for i := range 30 {
					got := c.confirm("daemon-1", fmt.Sprintf("key-%d", i), "x")
					retained := got.status == http.StatusOK || got.refusal.Code == refusal.OutcomeUnknown
					if retained != (records < 1000) {
						t.Errorf("key-%d got %s, want 200 or outcome-unknown only if a checkpoint has its claim", i, replySummary(got))
					}
				}
				for i := range 30 {
					if n := c.services["service-0"].ExecutionCount(fmt.Sprintf("key-%d", i)); n != 1 {
						t.Errorf("key-%d ran %d times, want once", i, n)
					}
				}
				time.Sleep(time.Minute + 4*c.daemons["daemon-1"].claims.options.Skew)
				if got := c.confirm("daemon-1", "new", "x"); got.status != http.StatusOK {
					t.Errorf("a new key got %s, want 200", replySummary(got))
				}
			})
		})
	}
}

// Guards against a planned stop that loses an outcome which the log could not store
// yet, and against callers that wait for a stopped appender.
func TestStopRecordsOutcomesAndTransfersStreams(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) { s.Claims.Partitions = 1 }
		names := c.claimCluster(1, 3)
		owner := names[slices.IndexFunc(names, func(n string) bool {
			return c.daemons[n].claims.isAppender(claim.StreamName(0))
		})]
		c.services["service-0"].SetFaults(standin.ServiceFaults{DelayMS: 10_000})
		done := make(chan reply)
		go func() { done <- c.confirm(owner, "key", "x") }()
		time.Sleep(time.Second)
		c.services["service-0"].SetFaults(standin.ServiceFaults{})
		stopped := make(chan error)
		go func() { stopped <- c.daemons[owner].Stop(context.Background()) }()
		time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond)
		appends := c.daemons[owner].metrics.ClaimAppends.Value()
		for _, name := range names {
			if name == owner {
				continue
			}
			if got := c.confirm(name, "during the stop "+name, "x"); got.status != http.StatusOK {
				c.t.Errorf("a call during the stop got %s, want 200", replySummary(got))
			}
		}
		if n := c.daemons[owner].metrics.ClaimAppends.Value() - appends; n != 0 {
			c.t.Errorf("the stopping daemon made %d appends for its peers, want none", n)
		}
		c.platform.Log.SetFaults(standin.LogFaults{Down: true})
		firstReply := <-done
		time.Sleep(5 * time.Second)
		c.platform.Log.SetFaults(standin.LogFaults{})
		<-stopped
		for _, name := range names {
			if name == owner {
				continue
			}
			started := time.Now()
			got := c.confirm(name, "key", "x")
			if firstReply.status != http.StatusOK || string(got.body) != string(firstReply.body) {
				c.t.Errorf("resend got %s %s, want %s", replySummary(got), got.body, firstReply.body)
			}
			if waited := time.Since(started); waited > claimPeerTimeout {
				c.t.Errorf("the resend took %s after a planned stop, want at most claimPeerTimeout", waited)
			}
		}
	})
}

// Guards against a resend that runs the call again, or reports it as not run, while the
// owner of the claim (the daemon that wrote it) is paused between the acceptance of the
// claim and the send, is cut off from the other daemon, or was killed during the pause.
func TestResendWhileOwnerIsPausedOrKilled(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		pauses := &pauseInjector{rng: rand.New(rand.NewPCG(c.rng.Uint64(), 1)), share: 1, minPause: 15 * time.Second, pauseRange: 20 * time.Second}
		c.injectCallPauses(pauses)
		c.claimCluster(1, 2)
		service := c.services["service-0"]
		replies := make(chan reply)
		send := func(key string) {
			go func() { replies <- c.confirm("daemon-0", key, "x") }()
			time.Sleep(time.Second)
		}
		send("paused")
		if got := c.confirm("daemon-1", "paused", "x"); replySummary(got) != "in-progress unknown call" {
			c.t.Errorf("resend during the pause got %s, want in-progress", replySummary(got))
		}
		if n := service.ExecutionCount("paused"); n != 0 {
			c.t.Errorf("the call ran %d times before the owner resumed, want 0", n)
		}
		firstReply := <-replies
		if got := c.confirm("daemon-1", "paused", "x"); firstReply.status != http.StatusOK || string(got.body) != string(firstReply.body) {
			c.t.Errorf("resend after the call got %s %s, want %s", replySummary(got), got.body, firstReply.body)
		}
		send("cut off")
		c.net.Block("daemon-0", "daemon-1")
		if got := c.confirm("daemon-1", "cut off", "x"); replySummary(got) != "in-progress unknown call" {
			c.t.Errorf("resend while the owner is cut off got %s, want in-progress", replySummary(got))
		}
		<-replies
		c.net.Unblock("daemon-0", "daemon-1")
		send("killed")
		c.restart("daemon-0", time.Second)
		<-replies
		if got := c.confirm("daemon-1", "killed", "x"); replySummary(got) != "outcome-unknown unknown call" {
			c.t.Errorf("resend after the owner was killed got %s, want outcome-unknown", replySummary(got))
		}
		time.Sleep(time.Minute)
		for key, want := range map[string]int{"paused": 1, "cut off": 1, "killed": 0} {
			if n := service.ExecutionCount(key); n != want {
				c.t.Errorf("%s ran %d times, want %d", key, n, want)
			}
		}
	})
}

// Guards against an unbounded number of claimed calls that run or wait for their
// outcome to be recorded, and against slots that are not released.
func TestClaimedCallsAreBounded(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) { s.Claims.Calls = 3 }
		c.claimCluster(1, 1)
		c.services["service-0"].SetFaults(standin.ServiceFaults{DelayMS: 5000})
		got := map[string]int{}
		var serial atomic.Int64
		for range 2 {
			replies := make(chan reply)
			for range 5 {
				go func() { replies <- c.confirm("daemon-0", fmt.Sprintf("key-%d", serial.Add(1)), "x") }()
			}
			for range 5 {
				got[replySummary(<-replies)]++
			}
		}
		if got["200"] != 6 || got["claims-full not-run attempt"] != 4 {
			t.Errorf("replies are %v, want 6 answers and 4 refusals", got)
		}
		if n := c.daemons["daemon-0"].metrics.ClaimCalls.Value(); n != 0 {
			t.Errorf("%d calls are still counted as running, want none", n)
		}
	})
}

// Guards against a repeatable call that is sent to every upstream of a failing pool, or
// twice to one upstream.
func TestRepeatableCallIsNotMultiplied(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.claimCluster(6, 1)
		for _, s := range c.services {
			s.SetFaults(standin.ServiceFaults{LoseResponses: 100})
		}
		got := c.do(context.Background(), "daemon-0", http.MethodGet, "/caretaker/slots", nil, nil)
		if replySummary(got) != string(refusal.OutcomeUnknown)+" unknown call" {
			t.Errorf("the call got %s, want outcome-unknown for the call", replySummary(got))
		}
		total := 0
		for name, s := range c.services {
			n := len(s.Executions())
			total += n
			if n > 1 {
				t.Errorf("%s ran the call %d times, want at most once", name, n)
			}
		}
		if total != maxServiceAttempts {
			t.Errorf("the call ran %d times, want %d", total, maxServiceAttempts)
		}
	})
}

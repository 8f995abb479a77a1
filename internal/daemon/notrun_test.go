package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// notRunFaults are the faults of engines, and of links between a daemon and an engine,
// under which a refusal must still report the correct outcome.
var notRunFaults = []func(c *cluster, rng *rand.Rand, daemon, engine string){
	func(c *cluster, rng *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{DownMS: rng.Int64N(3000)})
		c.engines[engine].Crash()
	},
	func(c *cluster, rng *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{CrashAt: 1 + rng.IntN(60), DownMS: rng.Int64N(6000)})
	},
	func(c *cluster, _ *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{LoseResponse: true})
	},
	func(c *cluster, _ *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{FailGenerate: true})
	},
	func(c *cluster, _ *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{Silent: true, Leaving: true})
	},
	func(c *cluster, _ *rand.Rand, daemon, engine string) { c.net.Blackhole(daemon, engine) },
	func(c *cluster, _ *rand.Rand, daemon, engine string) { c.net.Block(daemon, engine) },
}

// Guards against a completion that is refused as "not run" although an engine started
// it, for example because one of its attempts reached an engine late. Starts are counted
// by the caller's request id and by the prompt.
func TestNotRunIsTrueForCompletions(t *testing.T) {
	var mu sync.Mutex
	outcomes := map[refusal.Outcome]int{}
	forSeeds(t, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) { s.Limits.QueueRequests = 8 }
		engines, daemons := c.startSettled(4, 4, standin.EngineOptions{PrefillRate: 300})
		shortDocument := document()
		shortDocument.Profiles[0].TotalMS = 2000
		c.publish("brief", 1, shortDocument)
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range 200 {
			prompt := fmt.Sprintf("%d %s tokens=%d", i, strings.Repeat("x", c.rng.IntN(400)), 1+c.rng.IntN(120))
			daemon := daemons[c.rng.IntN(len(daemons))]
			delay := time.Duration(c.rng.IntN(12000)) * time.Millisecond
			group.Go(func() {
				time.Sleep(delay)
				id := fmt.Sprintf("caller-%d", i)
				outcome := c.checkOutcome(daemon, id, prompt, i%2 == 0)
				if outcome == refusal.Unknown {
					c.resend(daemons[(i+1)%len(daemons)], id, prompt)
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
			})
		}
		for i := range 20 {
			time.Sleep(time.Duration(c.rng.IntN(900)) * time.Millisecond)
			engine, daemon := engines[c.rng.IntN(4)], daemons[c.rng.IntN(4)]
			notRunFaults[c.rng.IntN(len(notRunFaults))](c, c.rng, daemon, engine)
			switch i {
			case 10:
				// Virtual time advances while the daemon waits for its requests.
				group.Go(func() { _ = c.daemons[daemons[0]].Stop(context.Background()) })
			case 14:
				_ = c.daemons[daemons[1]].Kill()
			case 6, 13:
				for _, e := range engines {
					c.engines[e].SetFaults(standin.EngineFaults{})
					c.net.Unblock(daemon, e)
				}
			}
		}
		group.Wait()
		// A request that is in transit on a connection may start late.
		time.Sleep(10 * time.Second)
		c.checkRefusedNotStarted()
	})
	t.Logf("outcomes: %v", outcomes)
	if outcomes[refusal.NotRun] == 0 || outcomes[refusal.Unknown] == 0 || outcomes[""] == 0 {
		t.Errorf("the faults do not produce every outcome: %v", outcomes)
	}
}

// refusedCall is a completion that was refused as not run.
type refusedCall struct{ id, prompt, body string }

// checkOutcome sends a completion, records it if it is refused as not run, and returns
// the outcome of its refusal, or "" if it was not refused.
func (c *cluster) checkOutcome(daemon, id, prompt string, streamed bool) refusal.Outcome {
	body, err := json.Marshal(completionRequest{Model: testProfile, Prompt: prompt, Stream: streamed})
	if err != nil {
		c.t.Fatal(err)
	}
	header := http.Header{refusal.HeaderRequestID: {id}}
	got := c.do(context.Background(), daemon, http.MethodPost, "/v1/completions", header, body)
	refused := got.refusal
	for line := range strings.Lines(string(got.body)) {
		var event refusal.Body
		data, ok := strings.CutPrefix(line, "data: ")
		if ok && json.Unmarshal([]byte(data), &event) == nil && event.Error.Code != "" {
			refused = &event.Error
		}
	}
	if refused == nil {
		return ""
	}
	if refused.Outcome == refusal.NotRun {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refusedNotRun = append(c.refusedNotRun, refusedCall{id: id, prompt: prompt, body: string(got.body)})
	}
	return refused.Outcome
}

// resend resends, through another daemon, a completion that may have run. That daemon may
// refuse only this attempt as not run: it cannot state that no earlier attempt ran.
func (c *cluster) resend(daemon, id, prompt string) {
	body, err := json.Marshal(completionRequest{Model: testProfile, Prompt: prompt})
	if err != nil {
		c.t.Fatal(err)
	}
	header := http.Header{refusal.HeaderRequestID: {id}}
	got := c.do(context.Background(), daemon, http.MethodPost, "/v1/completions", header, body)
	if r := got.refusal; r != nil && r.Outcome == refusal.NotRun && r.Scope != refusal.ScopeAttempt {
		c.t.Errorf("a resend of a request that may have run is refused with %s", got.body)
	}
}

// checkRefusedNotStarted checks that no engine started a completion that was refused as
// not run.
func (c *cluster) checkRefusedNotStarted() {
	for _, r := range c.refusedNotRun {
		for name, e := range c.engines {
			if byID, byPrompt := e.StartCounts(r.id, r.prompt); byID+byPrompt > 0 {
				c.t.Errorf("%s started %s %d times by id and %d by prompt; refused with %s", name, r.id, byID, byPrompt, r.body)
			}
		}
	}
}

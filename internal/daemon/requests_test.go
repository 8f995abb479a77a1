package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// stream sends a prompt under the given request id and returns the text of the events.
// complete reports whether the response ends with [DONE], failed whether an error event
// was received.
func (c *cluster) stream(ctx context.Context, daemon, id, prompt string) (r reply, text string, complete, failed bool) {
	body, err := json.Marshal(completionRequest{Model: testProfile, Prompt: prompt, Stream: true})
	if err != nil {
		c.t.Fatal(err)
	}
	header := http.Header{refusal.HeaderRequestID: {id}}
	r = c.do(ctx, daemon, http.MethodPost, "/v1/completions", header, body)
	var b strings.Builder
	for line := range strings.Lines(string(r.body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		var event struct {
			completionResponse
			Error *refusal.BodyError `json:"error"`
		}
		switch {
		case data == "[DONE]":
			complete = true
		case json.Unmarshal([]byte(data), &event) != nil:
			c.t.Errorf("malformed event %q", data)
		case event.Error != nil:
			failed = true
		default:
			b.WriteString(*event.Choices[0].Text)
		}
	}
	return r, b.String(), complete, failed
}

// startSettled starts a cluster of the given size in one data centre and waits until
// its state has spread.
func (c *cluster) startSettled(engines, daemons int, opts standin.EngineOptions) (engineNames, daemonNames []string) {
	for i := range engines {
		engineNames = append(engineNames, fmt.Sprintf("engine-%d", i+1))
		c.addEngine(engineNames[i], "anand", opts)
	}
	for i := range daemons {
		daemonNames = append(daemonNames, fmt.Sprintf("daemon-%d", i+1))
		c.addDaemon(daemonNames[i], "anand")
	}
	c.publish("r1", 0, document())
	c.awaitReady()
	time.Sleep(3 * time.Second)
	return engineNames, daemonNames
}

// runningRequests returns the number of requests that engines are running.
func (c *cluster) runningRequests() int {
	n := 0
	for _, e := range c.engines {
		n += e.Status().Running
	}
	return n
}

// responseFaults are the faults that TestResponsesAreCompleteUnderFaults injects, several
// at a time.
var responseFaults = []func(c *cluster, rng *rand.Rand, daemon, engine string){
	func(c *cluster, rng *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{
			RepeatChunks: rng.IntN(2) == 0,
			Reorder:      rng.IntN(2) == 0,
			StaleChunks:  rng.IntN(2) == 0,
			DropChunk:    rng.IntN(80),
			EarlyEnd:     rng.IntN(80),
		})
	},
	func(c *cluster, _ *rand.Rand, _, engine string) {
		c.engines[engine].SetFaults(standin.EngineFaults{Silent: true})
	},
	func(c *cluster, _ *rand.Rand, daemon, engine string) { c.net.Blackhole(daemon, engine) },
	func(c *cluster, rng *rand.Rand, daemon, engine string) {
		c.net.Block(daemon, engine)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		c.net.Unblock(daemon, engine)
	},
}

// Guards against a response that looks complete and is not, a response of another
// request under the same id, and an engine that continues a request after it has ended.
func TestResponsesAreCompleteUnderFaults(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		opts := standin.EngineOptions{PrefillRate: 500}
		engines, daemons := c.startSettled(4, 2, opts)
		// With a loose target, admission refuses none of the requests that wait for an
		// engine with a fault.
		relaxed := document()
		relaxed.Profiles[0].FirstTokenMS = 60_000
		c.publish("patient", 1, relaxed)
		time.Sleep(time.Second)
		var group sync.WaitGroup
		var mu sync.Mutex
		complete, total := 0, 24
		for i := range total {
			prompt := fmt.Sprintf("history %d %s tokens=%d", i, strings.Repeat("x", c.rng.IntN(900)), 1+c.rng.IntN(200))
			daemon := daemons[c.rng.IntN(len(daemons))]
			delay := time.Duration(c.rng.IntN(6000)) * time.Millisecond
			group.Go(func() {
				time.Sleep(delay)
				if c.checkResponse(daemon, prompt, i%2 == 0) {
					mu.Lock()
					defer mu.Unlock()
					complete++
				}
			})
		}
		// A request that is in flight at two crashes is quarantined, so only one engine
		// crashes.
		c.engines[engines[0]].SetFaults(standin.EngineFaults{CrashAt: 1 + c.rng.IntN(120), DownMS: c.rng.Int64N(3000)})
		for range 6 {
			time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
			fault := responseFaults[c.rng.IntN(len(responseFaults))]
			fault(c, c.rng, daemons[c.rng.IntN(len(daemons))], engines[c.rng.IntN(len(engines))])
		}
		group.Wait()
		if complete != total {
			c.t.Errorf("%d of %d responses are complete", complete, total)
		}
		c.await("engines are idle", 10*time.Second, func() bool { return c.runningRequests() == 0 })
	})
}

// checkResponse sends a request and compares the response with standin.Answer. It reports
// whether the response is complete. All streamed requests use the same request id.
func (c *cluster) checkResponse(daemon, prompt string, streamed bool) bool {
	want := standin.Answer(testModel, prompt, 4000)
	if !streamed {
		got := c.complete(daemon, prompt)
		if got.status == http.StatusOK && got.text() != want {
			c.t.Errorf("response to %.12q is %q, want %q", prompt, got.text(), want)
		}
		if got.status != http.StatusOK {
			c.t.Logf("%.12q answered %d: %s", prompt, got.status, got.body)
		}
		return got.status == http.StatusOK
	}
	got, text, complete, failed := c.stream(context.Background(), daemon, "same-id", prompt)
	if complete && text != want {
		c.t.Errorf("stream for %.12q is %q, want %q", prompt, text, want)
	}
	if !strings.HasPrefix(want, text) {
		c.t.Errorf("stream for %.12q is %q, not a prefix of %q", prompt, text, want)
	}
	if complete == failed && got.status == http.StatusOK {
		c.t.Errorf("stream for %.12q: complete is %t, error event is %t", prompt, complete, failed)
	}
	if !complete {
		c.t.Logf("%.12q answered %d: %s", prompt, got.status, got.body[max(0, len(got.body)-300):])
	}
	return complete
}

// longPrompt requests more tokens than fit into any send buffer.
const longPrompt = "season history tokens=3900"

// Guards against an engine that continues a request although its caller has disconnected
// or is unresponsive, including when the connection to the engine is unresponsive too.
func TestEngineIsFreedWhenCallerIsGone(t *testing.T) {
	cases := map[string]struct {
		blackholeEngine bool
		blackholeCaller bool
		bound           time.Duration
	}{
		"caller disconnects":                             {bound: 100 * time.Millisecond},
		"caller disconnects, engine connection lost":     {blackholeEngine: true, bound: 100 * time.Millisecond},
		"caller is unresponsive":                         {blackholeCaller: true, bound: callerWriteTimeout + time.Second},
		"caller is unresponsive, engine connection lost": {blackholeCaller: true, blackholeEngine: true, bound: 20 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 1, func(c *cluster) {
				c.startSettled(1, 1, standin.EngineOptions{})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				var group sync.WaitGroup
				group.Go(func() { c.stream(ctx, "daemon-1", "", longPrompt) })
				time.Sleep(time.Second)
				if c.runningRequests() != 1 {
					t.Fatal("the engine does not run the request")
				}
				if tc.blackholeEngine {
					c.net.Blackhole("daemon-1", "engine-1")
				}
				if tc.blackholeCaller {
					c.net.Blackhole(callerHost, "daemon-1")
				} else {
					cancel()
				}
				silent := &c.daemons["daemon-1"].metrics.CallersSilent
				c.await("the engine is free", tc.bound, func() bool {
					return c.runningRequests() == 0 && tc.blackholeCaller == (silent.Value() == 1)
				})
				if n := c.daemons["daemon-1"].metrics.SilentConnections.Value(); n > 0 && !tc.blackholeEngine {
					t.Errorf("%d connections to engines are counted as silent, want none", n)
				}
				cancel()
				group.Wait()
			})
		})
	}
}

// Guards against an idle connection to an engine that has become unresponsive and makes
// the engine look dead, or makes a request wait for the progress deadline.
func TestUnresponsiveIdleConnections(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		engines, _ := c.startSettled(2, 1, standin.EngineOptions{})
		for i := range 10 {
			time.Sleep(time.Duration(c.rng.IntN(700)) * time.Millisecond)
			for _, e := range engines {
				c.net.Blackhole("daemon-1", e)
			}
			start := time.Now()
			if !c.checkResponse("daemon-1", fmt.Sprintf("slot %d tokens=3", i), false) {
				c.t.Error("a request failed")
			}
			if duration := time.Since(start); duration > time.Second {
				c.t.Errorf("the response took %s, want at most 1s", duration)
			}
			for _, e := range engines {
				c.net.Blackhole("daemon-1", e)
			}
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				for _, u := range c.daemons["daemon-1"].fleet.engines() {
					if u.Report().Failed {
						c.t.Fatalf("%s looks dead", u.VM.ID)
					}
				}
			}
		}
	})
}

// Guards against a caller that reads slowly and makes its engine look unresponsive, so
// that the request runs twice.
func TestSlowCallerDoesNotRestartItsRequest(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		c.startSettled(1, 1, standin.EngineOptions{})
		body, err := json.Marshal(completionRequest{Model: testProfile, Prompt: "history tokens=900", Stream: true})
		if err != nil {
			t.Fatal(err)
		}
		url := "http://" + c.daemons["daemon-1"].settings.Listen.Caller + "/v1/completions"
		resp, err := c.client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		time.Sleep(8 * time.Second)
		text, err := io.ReadAll(resp.Body)
		if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
			t.Errorf("the response is not complete: %v", err)
		}
		if n := c.engines["engine-1"].TotalStarts(); n != 1 {
			t.Errorf("the engine started %d attempts, want 1", n)
		}
	})
}

// Guards against a response that is resumed, after the engine became unresponsive, on
// an engine that is leaving.
func TestResumesElsewhereWhenEngineIsLeaving(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		engines, _ := c.startSettled(2, 1, standin.EngineOptions{})
		var group sync.WaitGroup
		group.Go(func() { c.checkResponse("daemon-1", "history tokens=300", true) })
		time.Sleep(time.Second)
		for _, name := range engines {
			e := c.engines[name]
			if e.Status().Running == 0 {
				continue
			}
			e.SetFaults(standin.EngineFaults{Silent: true, Leaving: true})
			group.Wait()
			if n := e.TotalStarts(); n != 1 {
				t.Errorf("the leaving engine started %d attempts, want 1", n)
			}
		}
	})
}

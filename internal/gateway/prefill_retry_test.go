package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// brokenPrefill is a port.Runners at which every prefill fails. It records the engines.
type brokenPrefill struct {
	port.Runners
	engines []string
}

func (b *brokenPrefill) Retain(func(string) bool) {}

func (b *brokenPrefill) Prefill(_ context.Context, r port.Runner, _ *port.ForwardRequest, _ port.RunOptions) (port.KVCacheHandle, error) {
	b.engines = append(b.engines, r.ID)
	return port.KVCacheHandle{}, errors.New("connection reset")
}

// newEngineGateway returns a gateway without listeners and with the given number of prefill engines
// and one decode engine.
func newEngineGateway(runners port.Runners, retries RetryLimits, prefillEngines int) *Gateway {
	g := newGatewayWith(runners, retries)
	g.fleet.SetServices(map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{Slots: 64, KVTokens: 500_000}}})
	engines := []port.Runner{{ID: "decode", Service: "s", Address: "decode:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode}}
	for i := range prefillEngines {
		id := fmt.Sprintf("prefill-%d", i+1)
		engines = append(engines, port.Runner{ID: id, Service: "s", Address: id + ":80", DataCentre: "north", Slots: 64, Role: port.RolePrefill})
	}
	g.fleet.SetRunners(engines)
	return g
}

func newLongPromptCall(g *Gateway) *call {
	c := newTestCall(g)
	c.request.Prompt = &port.Prompt{Model: "m", InputTokens: 8_000, OutputTokens: 100}
	c.route = &port.ForwardRoute{Repeat: port.RepeatStream, Target: time.Second, GapTarget: 100 * time.Millisecond, MaxAttempts: 2}
	return c
}

// Guards against long prompts that a decode engine prefills after the first failure at a prefill
// engine, which interrupts the streams there, and against prefills that are retried without end or
// after the retry limit is reached.
func TestFailedPrefillMovesToAnotherPrefillEngine(t *testing.T) {
	cases := []struct {
		name     string
		retries  int
		prefills int
	}{
		{"retries allowed", 100, maxPrefillAttempts},
		{"one retry allowed", 2, 1},
		{"retry limit reached", 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runners := &brokenPrefill{}
			g := newEngineGateway(runners, RetryLimits{Window: 10 * time.Second, Slack: c.retries}, 3)
			call := newLongPromptCall(g)
			inFlight, _, err := call.placeStream(context.Background(), port.KVCacheHandle{})
			if err != nil || inFlight.Runner().ID != "decode" {
				t.Fatalf("the request was not placed at the decode engine: %v", err)
			}
			if len(runners.engines) != c.prefills {
				t.Errorf("prefills at %v, want %d", runners.engines, c.prefills)
			}
			if len(runners.engines) > 1 && runners.engines[0] == runners.engines[1] {
				t.Errorf("two prefills at %s", runners.engines[0])
			}
		})
	}
}

// prefillResults is a port.Runners at which prefills return the given errors in turn.
type prefillResults struct {
	port.Runners
	results []error
}

func (p *prefillResults) Retain(func(string) bool) {}

func (p *prefillResults) Prefill(_ context.Context, r port.Runner, _ *port.ForwardRequest, _ port.RunOptions) (port.KVCacheHandle, error) {
	err := p.results[0]
	p.results = p.results[1:]
	return port.KVCacheHandle{Runner: r, ID: "h"}, err
}

// Guards against a prefill that an engine did not accept and that is not counted as a retry, and
// against the first accepted one counting as one.
func TestFailedPrefillsCountAsRetries(t *testing.T) {
	cases := []struct {
		name    string
		results []error
		counts  int
	}{
		{"accepted", []error{nil}, 0},
		{"refused", []error{port.ErrNotRun}, 1},
		{"stalled", []error{errStalled}, 1},
		{"not sent", []error{port.ErrNotSent}, 0},
		{"refused, then accepted", []error{port.ErrNotRun, nil}, 1},
		{"refused twice", []error{port.ErrNotRun, port.ErrNotRun}, 2},
		{"accepted twice, because the run failed", []error{nil, nil}, 1},
		{"accepted, then refused", []error{nil, port.ErrNotRun}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newEngineGateway(&prefillResults{results: c.results}, RetryLimits{Window: 10 * time.Second, Slack: 100}, 3)
			call := newLongPromptCall(g)
			for range c.results {
				plan, ok := g.fleet.Place(time.Now(), call.placementQuery())
				if !ok || plan.Prefill == nil {
					t.Fatal("no prefill engine was chosen")
				}
				if inFlight, _, err := call.prefill(context.Background(), plan); err == nil {
					inFlight.End(time.Now(), placement.Refused)
				}
			}
			if got := g.retryWindow("s").Usage(time.Now()).Retries; got != c.counts {
				t.Errorf("%d retries are counted, want %d", got, c.counts)
			}
		})
	}
}

// Guards against clients that leave during a prefill and thereby use up the retry limit.
func TestPrefillThatEndsWithItsRequestIsNoRetry(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	g := newEngineGateway(&prefillResults{results: []error{errors.New("connection closed")}}, RetryLimits{Window: 10 * time.Second, Slack: 100}, 3)
	call := newLongPromptCall(g)
	plan, _ := g.fleet.Place(time.Now(), call.placementQuery())
	leave()
	if _, _, err := call.prefill(ctx, plan); err == nil {
		t.Fatal("the prefill succeeded")
	}
	if got := g.retryWindow("s").Usage(time.Now()).Retries; got != 0 {
		t.Errorf("%d retries are counted, want 0", got)
	}
}

// failingPrefills is a port.Runners at which two of three prefills are refused. It counts them.
type failingPrefills struct {
	port.Runners
	sent, failed int
}

func (f *failingPrefills) Retain(func(string) bool) {}

func (f *failingPrefills) Prefill(_ context.Context, r port.Runner, _ *port.ForwardRequest, _ port.RunOptions) (port.KVCacheHandle, error) {
	f.sent++
	if f.sent%3 == 0 {
		return port.KVCacheHandle{Runner: r, ID: "h"}, nil
	}
	f.failed++
	return port.KVCacheHandle{}, port.ErrNotRun
}

// Guards against first prefills that fail at many engines and add arrivals beyond the retry limit.
func TestFailedPrefillsOfManyRequestsKeepTheRetryLimit(t *testing.T) {
	const (
		requests = 500
		interval = 20 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		limits := RetryLimits{Ratio: 0.2, Window: requests * interval, Slack: 20}
		runners := &failingPrefills{}
		g := newEngineGateway(runners, limits, 30)
		for range requests {
			call := newLongPromptCall(g)
			inFlight, _, err := call.placeStream(context.Background(), port.KVCacheHandle{})
			if err != nil || !call.beginSend() {
				t.Fatalf("the first run of a request is refused: %v", err)
			}
			inFlight.End(time.Now(), placement.Completed)
			time.Sleep(interval)
		}
		// Each request runs once, so that each failed prefill is an arrival beyond the first.
		if allowed := int(limits.Ratio*requests) + limits.Slack; runners.failed > allowed {
			t.Errorf("%d arrivals beyond the first of %d requests, want at most %d", runners.failed, requests, allowed)
		}
		if runners.failed == 0 || runners.sent == runners.failed {
			t.Errorf("%d of %d prefills failed, want some of them", runners.failed, runners.sent)
		}
	})
}

// Guards against prefills that are repeated, beyond the retry limit, because no decode engine is
// usable or because the decode engine refused the connection.
func TestPromptIsNotPrefilledAgainWithoutNeed(t *testing.T) {
	results := &prefillResults{results: []error{nil, nil, nil, nil}}
	g := newEngineGateway(results, RetryLimits{Window: 10 * time.Second}, 3)
	call := newLongPromptCall(g)
	call.excluded["decode"] = true
	if _, _, err := call.placeStream(context.Background(), port.KVCacheHandle{}); !errors.Is(err, errNoRunner) {
		t.Errorf("%v, want %v", err, errNoRunner)
	}
	if got := 4 - len(results.results); got != 1 {
		t.Errorf("the prompt was prefilled %d times although no decode engine is usable, want once", got)
	}
	if got := g.retryWindow("s").Usage(time.Now()).Retries; got != 0 {
		t.Errorf("%d retries are counted, want 0", got)
	}
	delete(call.excluded, "decode")
	unused := port.KVCacheHandle{Runner: port.Runner{ID: "prefill-1", DataCentre: "north"}, ID: "h"}
	_, cache, err := call.placeStream(context.Background(), unused)
	if err != nil || cache != unused {
		t.Errorf("continues from %+v, %v, want the KV cache that was not used", cache, err)
	}
}

package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

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

// newEngineGateway returns a gateway without listeners and with three prefill engines and one
// decode engine.
func newEngineGateway(runners port.Runners, retries RetryLimits) *Gateway {
	g := newGatewayWith(runners, retries)
	g.fleet.SetServices(map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{Slots: 64, KVTokens: 500_000}}})
	var engines []port.Runner
	for _, id := range []string{"prefill-1", "prefill-2", "prefill-3", "decode"} {
		role := port.RolePrefill
		if id == "decode" {
			role = port.RoleDecode
		}
		engines = append(engines, port.Runner{ID: id, Service: "s", Address: id + ":80", DataCentre: "north", Slots: 64, Role: role})
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
		{"retry limit reached", 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runners := &brokenPrefill{}
			g := newEngineGateway(runners, RetryLimits{Window: 10 * time.Second, Slack: c.retries})
			call := newLongPromptCall(g)
			inFlight, _, err := call.placeStream(context.Background())
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

package placement_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// idleGap is the time between events of the streams in these tests while nothing is prefilled.
const idleGap = 40 * time.Millisecond

// stream starts a stream at the only engine that is not excluded and records its first
// two events on time.
func stream(t *testing.T, f *placement.Fleet, now time.Time, excluded map[string]bool) *placement.InFlightRequest {
	t.Helper()
	_, req := place(t, f, now, placement.Query{
		Prompt: prompt(0), RemainingTarget: time.Second, AllowedGap: 150 * time.Millisecond, Excluded: excluded, NoPrefill: true,
	})
	req.RecordEvent(now)
	req.RecordEvent(now.Add(idleGap))
	return req
}

// Guards against prefills between the tokens of running streams that make all of them late,
// and against decode engines that do not prefill although it would make no stream late. The
// limit for gaps of the running stream is 150 ms in most cases.
func TestPrefillAvoidsDelayingStreams(t *testing.T) {
	cases := []struct {
		name       string
		tokens     int
		allowedGap time.Duration
		late       bool
		prefill    bool
	}{
		{"long prompt", 6_000, 150 * time.Millisecond, false, true},
		{"short prompt", 300, 150 * time.Millisecond, false, false},
		{"long prompt, long gaps allowed", 6_000, time.Second, false, false},
		{"long prompt, stream already late", 6_000, 150 * time.Millisecond, true, true},
		{"short prompt, stream already late", 300, 150 * time.Millisecond, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(port.RolePrefill, port.RoleDecode)
			_, req := place(t, f, start, placement.Query{Prompt: prompt(0), RemainingTarget: time.Second, AllowedGap: c.allowedGap, NoPrefill: true})
			req.RecordEvent(start)
			now := start.Add(idleGap)
			if c.late {
				now = start.Add(2 * c.allowedGap)
			}
			req.RecordEvent(now)
			// The prefill engine has enough queued work for the decode engine to be faster.
			place(t, f, now, placement.Query{Prompt: prompt(16_000), Excluded: map[string]bool{"engine-1": true}})
			plan, _ := place(t, f, now, placement.Query{Prompt: prompt(c.tokens), AllowedGap: c.allowedGap, RemainingTarget: 2 * time.Second})
			if got := plan.Prefill != nil; got != c.prefill {
				t.Errorf("placed on a prefill engine: %t, want %t", got, c.prefill)
			}
		})
	}
}

// Guards against long prompts that occupy decode engines during overload: the streams of other
// daemons that are placed there meanwhile would be late. Also guards against long prompts that are
// refused or late because the link from the prefill engine is too slow for them. The prefill engine
// has three seconds of prompts queued, the decode engine is idle.
func TestLongPromptsStayOffDecodeEngines(t *testing.T) {
	cases := []struct {
		name       string
		tokens     int
		allowedGap time.Duration
		excluded   map[string]bool
		linkMbps   float64
		prefill    bool
	}{
		{"long prompt", 6_000, 150 * time.Millisecond, nil, limits.LinkMbps, true},
		{"short prompt", 1_000, 150 * time.Millisecond, nil, limits.LinkMbps, false},
		{"long prompt, long gaps allowed", 6_000, 2 * time.Second, nil, limits.LinkMbps, false},
		{"long prompt, no usable prefill engine", 6_000, 150 * time.Millisecond, map[string]bool{"engine-0": true}, limits.LinkMbps, false},
		{"long prompt, link too slow for the objective", 6_000, 150 * time.Millisecond, nil, 1_000, false},
		{"prompt that always misses the objective", 60_000, 150 * time.Millisecond, nil, limits.LinkMbps, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(port.RolePrefill, port.RoleDecode)
			linked := limits
			linked.LinkMbps = c.linkMbps
			f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &linked}})
			for range 10 {
				place(t, f, start, placement.Query{Prompt: prompt(12_000), Excluded: map[string]bool{"engine-1": true}})
			}
			plan, _ := place(t, f, start, placement.Query{
				Prompt: prompt(c.tokens), AllowedGap: c.allowedGap, RemainingTarget: 400 * time.Millisecond,
				Objective: 400 * time.Millisecond, ClientTimeout: 10 * time.Second, Excluded: c.excluded,
			})
			if got := plan.Prefill != nil; got != c.prefill {
				t.Errorf("placed on a prefill engine: %t, want %t", got, c.prefill)
			}
		})
	}
}

// Guards against continuing a stream on a decode engine whose prefill of another prompt
// delays it. The prompt of the stream was prefilled elsewhere, and one of two decode engines
// prefills a long prompt.
func TestDecodeAvoidsEnginesThatPrefill(t *testing.T) {
	f := newFleet(port.RoleDecode, port.RoleDecode, port.RolePrefill)
	_, prefilling := place(t, f, start, placement.Query{Prompt: prompt(8_000), NoPrefill: true})
	source := port.Runner{ID: "engine-2", Service: service, Address: "10.0.0.2:80", DataCentre: "north", Role: port.RolePrefill, Slots: 64}
	req, ok := f.PlaceDecode(start, placement.Query{Service: service, Prompt: prompt(6_000), AllowedGap: 150 * time.Millisecond, RemainingTarget: time.Second}, source)
	if !ok || req.Runner().ID == prefilling.Runner().ID {
		t.Errorf("stream continues on %s, which prefills a prompt of 8,000 tokens", req.Runner().ID)
	}
}

// Guards against late events caused by several short prefills within one gap, each of which
// would be harmless alone.
func TestPrefillsWithinOneGapAddUp(t *testing.T) {
	f := newFleet(port.RoleDecode, port.RolePrefill)
	stream(t, f, start, nil)
	now := start.Add(idleGap)
	atDecode := 0
	for range 8 {
		plan, _ := place(t, f, now, placement.Query{Prompt: prompt(900), AllowedGap: 150 * time.Millisecond, RemainingTarget: 2 * time.Second})
		if plan.Run != nil {
			atDecode++
		}
	}
	if atDecode == 0 || atDecode > 3 {
		t.Errorf("%d of 8 prompts of 900 tokens prefilled next to a stream with a gap limit of 150 ms, want 1 to 3", atDecode)
	}
}

// Guards against every daemon assuming that its own prompt is the one in prefill: a queue of
// prompts of several daemons then appears to shrink several times as fast as it does.
func TestPrefillsOfSeveralDaemonsAreSequential(t *testing.T) {
	f := newFleet(port.RolePrefill)
	for i := range 4 {
		peer := newFleet(port.RolePrefill)
		place(t, peer, start, placement.Query{Prompt: prompt(10_000)})
		f.ApplyPeerLoads(start, fmt.Sprintf("peer-%d", i), peer.LoadUpdates(start, false))
	}
	query := placement.Query{Service: service, Prompt: prompt(1_000), Urgency: placement.UrgencyLate}
	_, wait, _ := f.Predict(start, query)
	later := start.Add(wait / 4)
	_, remaining, _ := f.Predict(later, query)
	if least := wait - wait/4 - time.Millisecond; remaining < least {
		t.Errorf("predicted wait went from %s to %s in %s, want at least %s", wait, remaining, wait/4, least)
	}
}

// Guards against prefill predictions from fixed rates instead of the measured times, for
// short and long contexts.
func TestPrefillModelFitsMeasurements(t *testing.T) {
	const perToken, perPair = 17 * time.Microsecond, 600 * time.Microsecond
	actual := func(tokens int) time.Duration {
		pairs := float64(tokens) * float64(tokens) / 2 / 1e6
		return time.Duration(tokens)*perToken + time.Duration(pairs*float64(perPair))
	}
	f := newFleet(port.RolePrefill, port.RolePrefill)
	now := start
	for i := range 60 {
		tokens := []int{2_000, 8_000, 25_000}[i%3]
		_, req := place(t, f, now, placement.Query{Prompt: prompt(tokens)})
		now = now.Add(actual(tokens) + 15*time.Millisecond)
		req.MarkPrefilled(now)
		req.End(now, placement.Completed)
	}
	for _, tokens := range []int{3_000, 12_000, 30_000} {
		firstEvent, _, _ := f.Predict(now, placement.Query{Service: service, Prompt: prompt(tokens)})
		if want := actual(tokens); firstEvent < want*8/10 || firstEvent > want*12/10+50*time.Millisecond {
			t.Errorf("predicted prefill time of %d tokens is %s, want about %s", tokens, firstEvent, want)
		}
	}
}

// Guards against all daemons choosing the same engine until they receive each other's load
// reports. Daemons with the same state place requests at the same moment.
func TestDaemonsSpreadOverEqualEngines(t *testing.T) {
	var runners []port.Runner
	for i := range 6 {
		runners = append(runners, port.Runner{
			ID: fmt.Sprintf("engine-%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "north", Role: port.RolePrefill, Slots: 64,
		})
	}
	chosen := map[string]int{}
	for i := range 12 {
		f := placement.NewFleet("north", fmt.Sprintf("daemon-%d", i))
		f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &limits}})
		f.SetRunners(runners)
		_, req := place(t, f, start, placement.Query{Prompt: prompt(1_000)})
		chosen[req.Runner().ID]++
	}
	for id, n := range chosen {
		if n > 6 {
			t.Errorf("%d of 12 daemons chose %s at the same moment", n, id)
		}
	}
}

package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const service = "writers"

var limits = port.EngineLimits{Slots: 64, KVTokens: 400_000, KVTokenBytes: 18432, LinkMbps: 700_000}

// start is the time at which tests begin.
var start = time.Unix(1_000_000, 0)

// newFleet returns a fleet of engines with the given roles in one data centre.
func newFleet(roles ...port.Role) *placement.Fleet {
	f := placement.NewFleet("north", "daemon")
	f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &limits}})
	var runners []port.Runner
	for i, role := range roles {
		runners = append(runners, port.Runner{
			ID: fmt.Sprintf("engine-%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "north", Role: role, Slots: 64,
		})
	}
	f.SetRunners(runners)
	return f
}

func prompt(tokens int, parts ...port.PromptPart) *port.Prompt {
	return &port.Prompt{Model: "m", InputTokens: tokens, OutputTokens: 30, Parts: parts}
}

func place(t *testing.T, f *placement.Fleet, now time.Time, q placement.Query) (placement.Plan, *placement.InFlightRequest) {
	t.Helper()
	q.Service = service
	plan, ok := f.Place(now, q)
	if !ok {
		t.Fatal("no engine was chosen")
	}
	if plan.Prefill != nil {
		return plan, plan.Prefill
	}
	return plan, plan.Run
}

// Guards against placing urgent requests behind a long prompt of lower urgency: an engine
// finishes the prefill in progress first.
func TestCurrentPrefillDelaysMoreUrgentRequests(t *testing.T) {
	f := newFleet(port.RolePrefill, port.RolePrefill)
	_, long := place(t, f, start, placement.Query{Prompt: prompt(60_000), Urgency: placement.UrgencyLate})
	for i := range 3 {
		plan, req := place(t, f, start, placement.Query{Prompt: prompt(2_000), Urgency: 0})
		if req.Runner().ID == long.Runner().ID {
			t.Errorf("request %d was sent behind a prompt of 60,000 tokens, predicted first event after %s", i, plan.FirstEvent)
		}
		req.MarkPrefilled(start)
		req.End(start, placement.Completed)
	}
}

// Guards against counting queued prompts of lower urgency in the wait of more urgent ones.
func TestWaitingPromptsOfLowerUrgencyDoNotDelay(t *testing.T) {
	f := newFleet(port.RolePrefill)
	place(t, f, start, placement.Query{Prompt: prompt(1_000), Urgency: 0})
	place(t, f, start, placement.Query{Prompt: prompt(50_000), Urgency: placement.UrgencyLate})
	plan, _ := place(t, f, start, placement.Query{Prompt: prompt(1_000), Urgency: 0})
	if plan.Wait > 50*time.Millisecond {
		t.Errorf("predicted wait is %s, want the prefill of the first prompt of 1,000 tokens only", plan.Wait)
	}
	plan, _ = place(t, f, start, placement.Query{Prompt: prompt(1_000), Urgency: placement.UrgencyLate})
	if plan.Wait < time.Second {
		t.Errorf("predicted wait of a late request is %s, want at least the prefill of the prompt of 50,000 tokens", plan.Wait)
	}
}

// Guards against a predicted load that does not decrease while the engine prefills.
func TestPredictedLoadDecreasesDuringPrefill(t *testing.T) {
	f := newFleet(port.RolePrefill)
	_, req := place(t, f, start, placement.Query{Prompt: prompt(20_000)})
	first, wait, _ := f.Predict(start, placement.Query{Service: service, Prompt: prompt(1_000)})
	later := start.Add(wait / 2)
	half, halfWait, _ := f.Predict(later, placement.Query{Service: service, Prompt: prompt(1_000)})
	if halfWait >= wait || half >= first {
		t.Errorf("predicted wait went from %s to %s in half of the time", wait, halfWait)
	}
	req.MarkPrefilled(later)
	if _, wait, _ := f.Predict(later, placement.Query{Service: service, Prompt: prompt(1_000)}); wait != 0 {
		t.Errorf("predicted wait is %s after the prefill, want 0", wait)
	}
}

// Guards against prefilling shared parts of prompts again on each engine although another
// engine has them cached, and against fetching them from an engine that has just failed.
func TestSharedPartsAreFetchedFromAnEngineThatHasThem(t *testing.T) {
	f := newFleet(port.RoleDecode, port.RoleDecode)
	shared := port.PromptPart{ID: "history", Tokens: 5_000}
	_, first := place(t, f, start, placement.Query{Prompt: prompt(6_000, shared, port.PromptPart{ID: "a", Tokens: 1_000})})
	first.MarkPrefilled(start)
	q := placement.Query{
		Prompt:   prompt(6_000, shared, port.PromptPart{ID: "b", Tokens: 1_000}),
		Excluded: map[string]bool{first.Runner().ID: true},
	}
	_, second := place(t, f, start, q)
	if second.FetchFrom() != first.Runner().Address {
		t.Errorf("parts are fetched from %q, want %q", second.FetchFrom(), first.Runner().Address)
	}
	if second.UncachedTokens() != 1_000 {
		t.Errorf("%d tokens to prefill, want 1,000", second.UncachedTokens())
	}
	first.End(start, placement.Failed)
	_, third := place(t, f, start, placement.Query{Prompt: prompt(6_000, shared), Excluded: map[string]bool{second.Runner().ID: true}})
	if third.FetchFrom() == first.Runner().Address {
		t.Error("parts are fetched from an engine that has just failed")
	}
}

// Guards against attempts at every runner of an unreachable data centre, and against avoiding
// a whole data centre because one runner failed.
func TestUnresponsiveDataCentreIsAvoidedAfterOneFailure(t *testing.T) {
	cases := []struct {
		name                 string
		unresponsive, failed bool
		remote               bool
	}{
		{"reachable", false, false, true},
		{"one runner failed", false, true, true},
		{"daemons are unresponsive", true, false, true},
		{"daemons are unresponsive and a runner failed", true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := placement.NewFleet("north", "daemon")
			f.SetServices(map[string]port.ForwardService{service: {Name: service}})
			var runners []port.Runner
			for i, dc := range []string{"north", "south", "south"} {
				runners = append(runners, port.Runner{ID: fmt.Sprintf("r%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: dc, Slots: 4})
			}
			f.SetRunners(runners)
			if c.failed {
				_, req := place(t, f, start, placement.Query{Excluded: map[string]bool{"r0": true}})
				req.End(start, placement.Failed)
			}
			f.SetUnresponsive("south", c.unresponsive)
			remote := false
			for range 12 {
				_, req := place(t, f, start, placement.Query{})
				remote = remote || req.Runner().DataCentre == "south"
			}
			if remote != c.remote {
				t.Errorf("runners of the other data centre used: %t, want %t", remote, c.remote)
			}
		})
	}
}

// Guards against cells that leave a daemon without peers or an engine without daemons, and
// against load reports that grow with the fleet.
func TestCellSizeIsBounded(t *testing.T) {
	for _, size := range []int{1, 8, 9, 30, 79, 380} {
		var daemons []placement.Daemon
		for i := range size {
			daemons = append(daemons, placement.Daemon{Name: fmt.Sprintf("d%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
		}
		for i := 0; i < size; i += max(1, size/8) {
			d := daemons[i]
			peers := placement.CellPeers(d, daemons)
			if len(peers) > 8 {
				t.Errorf("%d daemons: %s has %d cell peers, want at most 8", size, d.Name, len(peers))
			}
			if size >= 6 && len(peers) < 2 {
				t.Errorf("%d daemons: %s has %d cell peers, want at least 2", size, d.Name, len(peers))
			}
			for _, p := range peers {
				if !slices.Contains(placement.CellPeers(daemons[slices.IndexFunc(daemons, func(o placement.Daemon) bool { return o.Name == p })], daemons), d.Name) {
					t.Errorf("%d daemons: %s is not a cell peer of its cell peer %s", size, d.Name, p)
				}
			}
		}
	}
}

// Guards against prefilling shared parts again in each cell, and against reporting parts that
// belong to a single request.
func TestNewSharedPartsAreReported(t *testing.T) {
	a, b := newFleet(port.RoleDecode, port.RoleDecode), newFleet(port.RoleDecode, port.RoleDecode)
	shared, private := port.PromptPart{ID: "history", Tokens: 5_000}, port.PromptPart{ID: "own", Tokens: 500}
	_, req := place(t, a, start, placement.Query{Prompt: prompt(5_500, shared, private)})
	req.MarkPrefilled(start)
	updates := a.LoadUpdates(start, false)
	if len(updates) != 1 || len(updates[0].Parts) != 1 || updates[0].Parts[0] != shared {
		t.Fatalf("load updates are %+v, want the shared part of one engine", updates)
	}
	for i := range updates {
		updates[i].PartsOnly = true
	}
	b.ApplyPeerLoads(start, "peer", updates)
	_, other := place(t, b, start, placement.Query{Prompt: prompt(5_500, shared), Excluded: map[string]bool{req.Runner().ID: true}})
	if other.FetchFrom() != req.Runner().Address {
		t.Errorf("the shared part is fetched from %q, want %q", other.FetchFrom(), req.Runner().Address)
	}
	req.End(start, placement.Completed)
	_, again := place(t, a, start, placement.Query{Prompt: prompt(5_500, shared, private)})
	again.MarkPrefilled(start)
	if updates := a.LoadUpdates(start, false); len(updates) == 1 && len(updates[0].Parts) > 0 {
		t.Errorf("a known part is reported again: %+v", updates)
	}
}

// Guards against prefilling shared parts again in each data centre because the parts before
// them were not reported together with them.
func TestPartsOfOtherDataCentresAreFetched(t *testing.T) {
	engines := []port.Runner{
		{ID: "n1", Service: service, Address: "10.0.0.1:80", DataCentre: "north", Role: port.RoleDecode, Slots: 64},
		{ID: "n2", Service: service, Address: "10.0.0.2:80", DataCentre: "north", Role: port.RoleDecode, Slots: 64},
		{ID: "s1", Service: service, Address: "10.1.0.1:80", DataCentre: "south", Role: port.RoleDecode, Slots: 64},
	}
	newIn := func(dataCentre string) *placement.Fleet {
		f := placement.NewFleet(dataCentre, "daemon")
		f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &limits}})
		f.SetRunners(engines)
		return f
	}
	north, south := newIn("north"), newIn("south")
	common := port.PromptPart{ID: "common", Tokens: 500}
	history := port.PromptPart{ID: "history", Tokens: 5_000}
	private := port.PromptPart{ID: "own", Tokens: 500}
	excluded := func(ids ...string) map[string]bool {
		out := map[string]bool{}
		for _, id := range ids {
			out[id] = true
		}
		return out
	}
	prefill := func(p *port.Prompt, engine string) []placement.RunnerLoad {
		t.Helper()
		excludedFor := map[string]map[string]bool{"n1": excluded("n2", "s1"), "n2": excluded("n1", "s1")}
		_, req := place(t, north, start, placement.Query{Prompt: p, Excluded: excludedFor[engine]})
		req.MarkPrefilled(start)
		req.End(start, placement.Completed)
		return north.LoadUpdates(start, false)
	}
	prefill(prompt(1_000, common, private), "n1")
	updates := prefill(prompt(6_000, common, history, private), "n2")
	if len(updates) != 1 || !slices.Equal(updates[0].PartsNewInDataCentre, []port.PromptPart{common, history}) {
		t.Fatalf("parts reported to other data centres are %+v, want both shared ones", updates)
	}
	reported := []placement.RunnerLoad{{ID: "n2", Parts: updates[0].PartsNewInDataCentre, PartsOnly: true}}
	if unknown := south.ApplyPeerLoads(start, "peer", reported); len(unknown) != 1 || len(unknown[0].Parts) != 2 {
		t.Errorf("unknown parts are %+v, want both", unknown)
	}
	if unknown := south.ApplyPeerLoads(start, "peer", reported); len(unknown) != 0 {
		t.Errorf("unknown parts are %+v the second time, want none", unknown)
	}
	_, req := place(t, south, start, placement.Query{Prompt: prompt(6_000, common, history, private), Excluded: excluded("n1", "n2")})
	if req.FetchFrom() != "10.0.0.2:80" || req.UncachedTokens() != 500 {
		t.Errorf("parts are fetched from %q with %d tokens to prefill, want 10.0.0.2:80 and 500", req.FetchFrom(), req.UncachedTokens())
	}
	if updates := prefill(prompt(6_000, common, history, private), "n1"); len(updates) == 1 && len(updates[0].PartsNewInDataCentre) > 0 {
		t.Errorf("parts already cached in the data centre are reported again: %+v", updates)
	}
}

// Guards against an engine that works for other daemons but counts as stalled, and against one that
// stopped working but counts as busy because prompts are queued there.
func TestEngineProgressIsSeenFromAllDaemons(t *testing.T) {
	const age = 250 * time.Millisecond
	f, peer := newFleet(port.RolePrefill), newFleet(port.RolePrefill)
	_, own := place(t, f, start, placement.Query{Prompt: prompt(4_000)})
	_, first := place(t, peer, start, placement.Query{Prompt: prompt(4_000)})
	place(t, peer, start, placement.Query{Prompt: prompt(4_000)})
	f.ApplyPeerLoads(start, "peer", peer.LoadUpdates(start, false))
	now := start.Add(time.Second)
	if own.EngineProgressedWithin(now, age) {
		t.Error("the engine counts as working although it completed no prefill")
	}
	first.MarkPrefilled(now)
	f.ApplyPeerLoads(now, "peer", peer.LoadUpdates(now, false))
	if !own.EngineProgressedWithin(now.Add(age), age) {
		t.Error("the engine does not count as working although it completed a prefill of the peer")
	}
	if own.EngineProgressedWithin(now.Add(age+1), age) {
		t.Error("the engine counts as working after the time has passed")
	}
}

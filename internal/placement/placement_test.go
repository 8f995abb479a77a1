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

// Guards against urgent requests that are sent behind a long prompt of a less urgent
// one: an engine finishes the prompt that it has begun to read.
func TestPromptBeingReadDelaysMoreUrgentOnes(t *testing.T) {
	f := newFleet(port.RolePrefill, port.RolePrefill)
	_, long := place(t, f, start, placement.Query{Prompt: prompt(60_000), Urgency: placement.UrgencyLate})
	for i := range 3 {
		plan, w := place(t, f, start, placement.Query{Prompt: prompt(2_000), Urgency: 0})
		if w.Runner().ID == long.Runner().ID {
			t.Errorf("request %d was sent behind a prompt of 60,000 tokens, predicted first event after %s", i, plan.FirstEvent)
		}
		w.MarkPrefilled(start)
		w.End(start, placement.Completed)
	}
}

// Guards against waiting requests of lower urgency that count against more urgent ones.
func TestWaitingPromptsOfLowerUrgencyDoNotDelay(t *testing.T) {
	f := newFleet(port.RolePrefill)
	place(t, f, start, placement.Query{Prompt: prompt(1_000), Urgency: 0})
	place(t, f, start, placement.Query{Prompt: prompt(50_000), Urgency: placement.UrgencyLate})
	plan, _ := place(t, f, start, placement.Query{Prompt: prompt(1_000), Urgency: 0})
	if plan.Wait > 50*time.Millisecond {
		t.Errorf("predicted wait is %s, want only the first prompt of 1,000 tokens", plan.Wait)
	}
	plan, _ = place(t, f, start, placement.Query{Prompt: prompt(1_000), Urgency: placement.UrgencyLate})
	if plan.Wait < time.Second {
		t.Errorf("predicted wait of a late request is %s, want the prompt of 50,000 tokens before it", plan.Wait)
	}
}

// Guards against a predicted load that stays although the engine has worked it off.
func TestLoadShrinksAsPromptsAreRead(t *testing.T) {
	f := newFleet(port.RolePrefill)
	_, w := place(t, f, start, placement.Query{Prompt: prompt(20_000)})
	first, wait, _ := f.Predict(start, placement.Query{Service: service, Prompt: prompt(1_000)})
	later := start.Add(wait / 2)
	half, halfWait, _ := f.Predict(later, placement.Query{Service: service, Prompt: prompt(1_000)})
	if halfWait >= wait || half >= first {
		t.Errorf("predicted wait went from %s to %s in half of the time", wait, halfWait)
	}
	w.MarkPrefilled(later)
	if _, wait, _ := f.Predict(later, placement.Query{Service: service, Prompt: prompt(1_000)}); wait != 0 {
		t.Errorf("predicted wait is %s after the prompt was read, want 0", wait)
	}
}

// Guards against reading shared parts of prompts on each engine anew, where another
// engine keeps them.
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
		t.Errorf("%d tokens are predicted to be read, want 1,000", second.UncachedTokens())
	}
	first.End(start, placement.Failed)
	_, third := place(t, f, start, placement.Query{Prompt: prompt(6_000, shared), Excluded: map[string]bool{second.Runner().ID: true}})
	if third.FetchFrom() == first.Runner().Address {
		t.Error("parts are fetched from an engine that has just failed")
	}
}

// Guards against requests that are sent one after another to each runner of a data
// centre that is cut off, and against a data centre that is given up for one dead runner.
func TestSilentDataCentreIsAvoidedAfterOneFailure(t *testing.T) {
	cases := []struct {
		name           string
		silent, failed bool
		remote         bool
	}{
		{"reachable", false, false, true},
		{"one runner failed", false, true, true},
		{"daemons are silent", true, false, true},
		{"daemons are silent and a runner failed", true, true, false},
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
				_, w := place(t, f, start, placement.Query{Excluded: map[string]bool{"r0": true}})
				w.End(start, placement.Failed)
			}
			f.SetUnresponsive("south", c.silent)
			remote := false
			for range 12 {
				_, w := place(t, f, start, placement.Query{})
				remote = remote || w.Runner().DataCentre == "south"
			}
			if remote != c.remote {
				t.Errorf("runners of the other data centre used: %t, want %t", remote, c.remote)
			}
		})
	}
}

// Guards against cells that leave a daemon without partners or an engine without
// daemons, and against costs that grow with the fleet.
func TestCellsStaySmall(t *testing.T) {
	for _, size := range []int{1, 8, 9, 30, 79, 380} {
		var daemons []placement.Daemon
		for i := range size {
			daemons = append(daemons, placement.Daemon{Name: fmt.Sprintf("d%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3)})
		}
		for i := 0; i < size; i += max(1, size/8) {
			d := daemons[i]
			partners := placement.CellPeers(d, daemons)
			if len(partners) > 8 {
				t.Errorf("%d daemons: %s has %d partners, want at most 8", size, d.Name, len(partners))
			}
			if size >= 6 && len(partners) < 2 {
				t.Errorf("%d daemons: %s has %d partners, want at least 2", size, d.Name, len(partners))
			}
			for _, p := range partners {
				if !slices.Contains(placement.CellPeers(daemons[slices.IndexFunc(daemons, func(o placement.Daemon) bool { return o.Name == p })], daemons), d.Name) {
					t.Errorf("%d daemons: %s is no partner of its partner %s", size, d.Name, p)
				}
			}
		}
	}
}

// Guards against shared parts that each cell reads anew, and against messages about
// parts that only one request has.
func TestNewSharedPartsAreTold(t *testing.T) {
	a, b := newFleet(port.RoleDecode, port.RoleDecode), newFleet(port.RoleDecode, port.RoleDecode)
	shared, own := port.PromptPart{ID: "history", Tokens: 5_000}, port.PromptPart{ID: "own", Tokens: 500}
	_, w := place(t, a, start, placement.Query{Prompt: prompt(5_500, shared, own)})
	w.MarkPrefilled(start)
	changes := a.LoadUpdates(start, false)
	if len(changes) != 1 || len(changes[0].Parts) != 1 || changes[0].Parts[0] != shared {
		t.Fatalf("changes are %+v, want the shared part of one engine", changes)
	}
	for i := range changes {
		changes[i].PartsOnly = true
	}
	b.ApplyPeerLoads(start, "peer", changes)
	_, other := place(t, b, start, placement.Query{Prompt: prompt(5_500, shared), Excluded: map[string]bool{w.Runner().ID: true}})
	if other.FetchFrom() != w.Runner().Address {
		t.Errorf("the shared part is fetched from %q, want %q", other.FetchFrom(), w.Runner().Address)
	}
	w.End(start, placement.Completed)
	_, again := place(t, a, start, placement.Query{Prompt: prompt(5_500, shared, own)})
	again.MarkPrefilled(start)
	if changes := a.LoadUpdates(start, false); len(changes) == 1 && len(changes[0].Parts) > 0 {
		t.Errorf("a known part is told again: %+v", changes)
	}
}

// Guards against shared parts that each data centre reads anew because the parts before
// them were not told together with them.
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
	own := port.PromptPart{ID: "own", Tokens: 500}
	excluded := func(ids ...string) map[string]bool {
		out := map[string]bool{}
		for _, id := range ids {
			out[id] = true
		}
		return out
	}
	read := func(p *port.Prompt, engine string) []placement.RunnerLoad {
		t.Helper()
		others := map[string]map[string]bool{"n1": excluded("n2", "s1"), "n2": excluded("n1", "s1")}
		_, w := place(t, north, start, placement.Query{Prompt: p, Excluded: others[engine]})
		w.MarkPrefilled(start)
		w.End(start, placement.Completed)
		return north.LoadUpdates(start, false)
	}
	read(prompt(1_000, common, own), "n1")
	changes := read(prompt(6_000, common, history, own), "n2")
	if len(changes) != 1 || !slices.Equal(changes[0].PartsNewInDataCentre, []port.PromptPart{common, history}) {
		t.Fatalf("parts that are told to other data centres are %+v, want both shared ones", changes)
	}
	told := []placement.RunnerLoad{{ID: "n2", Parts: changes[0].PartsNewInDataCentre, PartsOnly: true}}
	if news := south.ApplyPeerLoads(start, "peer", told); len(news) != 1 || len(news[0].Parts) != 2 {
		t.Errorf("news are %+v, want both parts", news)
	}
	if news := south.ApplyPeerLoads(start, "peer", told); len(news) != 0 {
		t.Errorf("news are %+v the second time, want none", news)
	}
	_, w := place(t, south, start, placement.Query{Prompt: prompt(6_000, common, history, own), Excluded: excluded("n1", "n2")})
	if w.FetchFrom() != "10.0.0.2:80" || w.UncachedTokens() != 500 {
		t.Errorf("parts are fetched from %q with %d tokens unread, want 10.0.0.2:80 and 500", w.FetchFrom(), w.UncachedTokens())
	}
	if changes := read(prompt(6_000, common, history, own), "n1"); len(changes) == 1 && len(changes[0].PartsNewInDataCentre) > 0 {
		t.Errorf("parts that the data centre has are told again: %+v", changes)
	}
}

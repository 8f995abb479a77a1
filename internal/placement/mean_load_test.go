package placement_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// newCell returns the fleet of one of the 24 daemons of a data centre whose engines are
// divided among three cells.
func newCell(t *testing.T, engines int) *placement.Fleet {
	t.Helper()
	f := placement.NewFleet("north", "daemon-00")
	f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &limits}})
	var daemons []placement.Daemon
	for i := range 24 {
		daemons = append(daemons, placement.Daemon{Name: fmt.Sprintf("daemon-%02d", i), DataCentre: "north"})
	}
	f.SetDaemons(daemons)
	var runners []port.Runner
	for i := range engines {
		runners = append(runners, port.Runner{
			ID: fmt.Sprint("engine-", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "north", Role: port.RolePrefill, Slots: 64,
		})
	}
	f.SetRunners(runners)
	return f
}

// localCellEngines returns the engines that a daemon without load prefers: those of its cell.
func localCellEngines(t *testing.T, f *placement.Fleet, n int) []string {
	t.Helper()
	excluded := map[string]bool{}
	var engines []string
	for range n {
		_, req := place(t, f, start, placement.Query{Prompt: prompt(100), Excluded: excluded})
		req.End(start, placement.Abandoned)
		excluded[req.Runner().ID] = true
		engines = append(engines, req.Runner().ID)
	}
	return engines
}

// Guards against treating the engines of other cells as idle because their loads are not
// reported. When all cells of a large data centre are overloaded, daemons then send their
// excess to other cells: prompts wait there unexpectedly and evict the cached parts of others.
func TestEnginesOfOtherCellsAreNotAssumedIdle(t *testing.T) {
	f := newCell(t, 9)
	local := localCellEngines(t, f, 3)
	busy := placement.Load{Running: 5, QueuedPrefill: [placement.UrgencyCount]time.Duration{0: 400 * time.Millisecond}}
	var reported []placement.RunnerLoad
	for _, id := range local {
		reported = append(reported, placement.RunnerLoad{ID: id, Load: busy})
	}
	f.ApplyPeerLoads(start, "peer", reported)
	f.LoadUpdates(start, true)
	chosen := map[string]bool{}
	for range 3 {
		_, req := place(t, f, start, placement.Query{Prompt: prompt(1_000)})
		chosen[req.Runner().ID] = true
	}
	for _, id := range local {
		delete(chosen, id)
	}
	if len(chosen) > 0 {
		t.Errorf("requests were sent to engines of other cells: %v", chosen)
	}
}

// Guards against assuming that engines of other cells cache parts forever, because no
// report says how many tokens were stored there.
func TestCachedPartsInOtherCellsAreEvicted(t *testing.T) {
	f := newCell(t, 9)
	local := localCellEngines(t, f, 3)
	history := port.PromptPart{ID: "history", Tokens: 5_000}
	excluded := map[string]bool{}
	for _, id := range local {
		excluded[id] = true
	}
	q := prompt(5_500, history, port.PromptPart{ID: "x", Tokens: 500})
	_, req := place(t, f, start, placement.Query{Prompt: q, Excluded: excluded})
	req.MarkPrefilled(start)
	req.End(start, placement.Completed)
	other := req.Runner().ID
	f.LoadUpdates(start, true)
	for step := range 30 {
		var reported []placement.RunnerLoad
		for _, id := range local {
			reported = append(reported, placement.RunnerLoad{ID: id, Load: placement.Load{TotalKVStored: int64(20_000 * (step + 1))}})
		}
		f.ApplyPeerLoads(start, "peer", reported)
		f.LoadUpdates(start, true)
	}
	_, req = place(t, f, start, placement.Query{Prompt: prompt(5_500, history, port.PromptPart{ID: "y", Tokens: 500}), Excluded: excluded})
	if req.Runner().ID == other && req.UncachedTokens() < 5_000 || req.FetchFrom() != "" {
		t.Errorf("%d tokens to prefill at %s with parts from %q after 600,000 tokens were stored at each engine", req.UncachedTokens(), req.Runner().ID, req.FetchFrom())
	}
}

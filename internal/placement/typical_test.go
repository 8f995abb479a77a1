package placement_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// newCell returns the fleet that one of 24 daemons of a data centre sees, whose engines are
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

// ownEngines returns the engines that an idle daemon uses: those of its cell.
func ownEngines(t *testing.T, f *placement.Fleet, n int) []string {
	t.Helper()
	excluded := map[string]bool{}
	var own []string
	for range n {
		_, w := place(t, f, start, placement.Query{Prompt: prompt(100), Excluded: excluded})
		w.End(start, placement.Abandoned)
		excluded[w.Runner().ID] = true
		own = append(own, w.Runner().ID)
	}
	return own
}

// Load: all cells of a large data centre have more to read than they can, which each daemon
// is told of its own cell only. Guards against daemons that take the engines of other cells
// to be idle and send there what their own can not take: prompts then wait unexpectedly, and
// parts of other prompts yield unexpectedly, everywhere.
func TestEnginesOfOtherCellsAreNotTakenToBeIdle(t *testing.T) {
	f := newCell(t, 9)
	own := ownEngines(t, f, 3)
	busy := placement.Load{Running: 5, QueuedPrefill: [placement.UrgencyCount]time.Duration{0: 400 * time.Millisecond}}
	var told []placement.RunnerLoad
	for _, id := range own {
		told = append(told, placement.RunnerLoad{ID: id, Load: busy})
	}
	f.ApplyPeerLoads(start, "peer", told)
	f.LoadUpdates(start, true)
	chosen := map[string]bool{}
	for range 3 {
		_, w := place(t, f, start, placement.Query{Prompt: prompt(1_000)})
		chosen[w.Runner().ID] = true
	}
	for _, id := range own {
		delete(chosen, id)
	}
	if len(chosen) > 0 {
		t.Errorf("requests were sent to %v, engines of other cells", chosen)
	}
}

// Guards against parts of prompts that are taken to be kept by engines of other cells for
// good, because nobody tells what is written there.
func TestPartsAtEnginesOfOtherCellsYield(t *testing.T) {
	f := newCell(t, 9)
	own := ownEngines(t, f, 3)
	history := port.PromptPart{ID: "history", Tokens: 5_000}
	excluded := map[string]bool{}
	for _, id := range own {
		excluded[id] = true
	}
	q := prompt(5_500, history, port.PromptPart{ID: "x", Tokens: 500})
	_, w := place(t, f, start, placement.Query{Prompt: q, Excluded: excluded})
	w.MarkPrefilled(start)
	w.End(start, placement.Completed)
	other := w.Runner().ID
	f.LoadUpdates(start, true)
	for step := range 30 {
		var told []placement.RunnerLoad
		for _, id := range own {
			told = append(told, placement.RunnerLoad{ID: id, Load: placement.Load{TotalKVStored: int64(20_000 * (step + 1))}})
		}
		f.ApplyPeerLoads(start, "peer", told)
		f.LoadUpdates(start, true)
	}
	_, w = place(t, f, start, placement.Query{Prompt: prompt(5_500, history, port.PromptPart{ID: "y", Tokens: 500}), Excluded: excluded})
	if w.Runner().ID == other && w.UncachedTokens() < 5_000 || w.FetchFrom() != "" {
		t.Errorf("%d tokens are to be read at %s with parts from %q after 600,000 tokens were written at each engine", w.UncachedTokens(), w.Runner().ID, w.FetchFrom())
	}
}

package placement_test

import (
	"fmt"
	"testing"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Load: another daemon's requests fill an engine's memory with other prompts. Guards against
// parts of prompts that a daemon believes to be kept although the requests of other daemons
// have displaced them, which made prompts of 500 predicted tokens take as long as 10,000.
func TestCachedPartsAreEvictedByRequestsOfPeers(t *testing.T) {
	history := port.PromptPart{ID: "history", Tokens: 5_000}
	cases := []struct {
		name     string
		prompts  int
		uncached int
	}{
		{"little", 4, 500},
		{"more than the engine's memory", 50, 5_500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			local, peer := newFleet(port.RoleDecode), newFleet(port.RoleDecode)
			_, req := place(t, local, start, placement.Query{Prompt: prompt(5_500, history, port.PromptPart{ID: "first", Tokens: 500})})
			req.MarkPrefilled(start)
			req.End(start, placement.Completed)
			prefill := func(id string) {
				_, req := place(t, peer, start, placement.Query{Prompt: prompt(10_000, port.PromptPart{ID: id, Tokens: 10_000})})
				req.MarkPrefilled(start)
				req.End(start, placement.Completed)
				local.ApplyPeerLoads(start, "other", peer.LoadUpdates(start, false))
			}
			prefill("before")
			for i := range c.prompts {
				prefill(fmt.Sprint("other-", i))
			}
			_, req = place(t, local, start, placement.Query{Prompt: prompt(5_500, history, port.PromptPart{ID: "second", Tokens: 500})})
			if req.UncachedTokens() != c.uncached {
				t.Errorf("%d tokens are predicted to be read after %d prompts of 10,000 tokens, want %d", req.UncachedTokens(), c.prompts, c.uncached)
			}
		})
	}
}

package placement_test

import (
	"fmt"
	"testing"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against assuming that parts of prompts are still cached after requests of other
// daemons have evicted them. Prompts with 500 tokens predicted to prefill then took as
// long as prompts of 10,000. Also guards against prefilling parts again that are still cached.
func TestCachedPartsAreEvictedByRequestsOfPeers(t *testing.T) {
	history := port.PromptPart{ID: "history", Tokens: 5_000}
	cases := []struct {
		name     string
		prompts  int
		uncached int
	}{
		{"few prompts", 4, 500},
		{"three quarters of the engine's KV cache", 29, 500},
		{"more than the engine's KV cache", 50, 5_500},
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
				t.Errorf("%d tokens to prefill after %d prompts of 10,000 tokens, want %d", req.UncachedTokens(), c.prompts, c.uncached)
			}
		})
	}
}

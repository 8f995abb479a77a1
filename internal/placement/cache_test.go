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
func TestPartsYieldToWhatOtherDaemonsWrite(t *testing.T) {
	history := port.PromptPart{ID: "history", Tokens: 5_000}
	cases := []struct {
		name    string
		prompts int
		unread  int
	}{
		{"little", 4, 500},
		{"more than the engine's memory", 50, 5_500},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			own, other := newFleet(port.RoleDecode), newFleet(port.RoleDecode)
			_, w := place(t, own, start, placement.Query{Prompt: prompt(5_500, history, port.PromptPart{ID: "first", Tokens: 500})})
			w.MarkPrefilled(start)
			w.End(start, placement.Completed)
			read := func(id string) {
				_, w := place(t, other, start, placement.Query{Prompt: prompt(10_000, port.PromptPart{ID: id, Tokens: 10_000})})
				w.MarkPrefilled(start)
				w.End(start, placement.Completed)
				own.ApplyPeerLoads(start, "other", other.LoadUpdates(start, false))
			}
			read("before")
			for i := range c.prompts {
				read(fmt.Sprint("other-", i))
			}
			_, w = place(t, own, start, placement.Query{Prompt: prompt(5_500, history, port.PromptPart{ID: "second", Tokens: 500})})
			if w.UncachedTokens() != c.unread {
				t.Errorf("%d tokens are predicted to be read after %d prompts of 10,000 tokens, want %d", w.UncachedTokens(), c.prompts, c.unread)
			}
		})
	}
}

package placement

import (
	"fmt"
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against prompts of very many small or empty parts that fill the memory of a daemon, because their tokens never fill the
// KV cache of an engine; and against losing the parts that were used last.
func TestCachedPartsAreBounded(t *testing.T) {
	for _, tokens := range []int{0, 1} {
		c := partCache{capacity: 1 << 40}
		last := ""
		for i := range 5 * maxCachedParts {
			last = fmt.Sprint("part-", i)
			c.add([]port.PromptPart{{ID: last, Tokens: tokens}})
			if len(c.parts) > maxCachedParts {
				t.Fatalf("%d parts of %d tokens are held", len(c.parts), tokens)
			}
		}
		if tokens > 0 && !c.contains(last) {
			t.Error("the part that was used last is gone")
		}
	}
}

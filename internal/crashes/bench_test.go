package crashes

import (
	"fmt"
	"testing"
)

// Measures what a request costs while no trait is blocked, and while some are.
func BenchmarkDecideAndComplete(b *testing.B) {
	traits := request(1, "f", "g", "x")
	all := traits.All()
	for _, blocks := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(blocks, " blocks"), func(b *testing.B) {
			e := NewEvidence()
			e.completions.since = epoch
			for i := range blocks {
				e.addBlock(&Block{Trait: PartTrait("m", fmt.Sprint(i)), Crashes: minCrashes, NextTrial: epoch})
			}
			b.ReportAllocs()
			for b.Loop() {
				e.Decide(traits, epoch)
				e.Complete(all, epoch, epoch)
			}
		})
	}
}

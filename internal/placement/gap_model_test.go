package placement

import (
	"testing"
	"time"
)

// Guards against a bound that gaps without prefill lower, so that long prompts appear harmless to
// running streams. Load reports are old: nine in ten gaps that count as prefill throughout are
// idle gaps here, because the engine finished the prefill before the report of it arrived.
func TestGapBoundHoldsDespiteIdleGaps(t *testing.T) {
	const idle, loaded = 40 * time.Millisecond, 240 * time.Millisecond
	g := newGapModel()
	for i := range 1000 {
		gap := idle
		if i%10 == 0 {
			gap = loaded
		}
		g.observe(gap, prefillThroughout)
		if i < minBoundSamples {
			continue
		}
		if got := g.predict(time.Second); got < loaded*9/10 || got > loaded*11/10 {
			t.Fatalf("after %d gaps, the predicted gap beside a long prefill is %s, want about %s", i+1, got, loaded)
		}
	}
}

// Guards against long prompts that appear harmless right after a start, because the first gap that
// was attributed to prefill was an idle one.
func TestGapBoundIsUnknownAtFirst(t *testing.T) {
	const idle = 40 * time.Millisecond
	g := newGapModel()
	for i := range minBoundSamples {
		const prefill = time.Second
		if got := g.predict(prefill); got < prefill {
			t.Fatalf("after %d gaps, the predicted gap beside a prefill of %s is %s", i, prefill, got)
		}
		g.observe(idle, prefillThroughout)
	}
	if got := g.predict(time.Second); got > 2*idle {
		t.Errorf("after %d idle gaps, the predicted gap is %s, want about %s", minBoundSamples, got, idle)
	}
}

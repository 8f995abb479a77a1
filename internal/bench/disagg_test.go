package bench

import (
	"maps"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// floodOptions returns a load of short urgent questions and long reviews of the lowest rank on three
// prefill and three decode engines. From second 5 to 12, the reviews exceed the capacity.
func floodOptions(seed uint64) disaggOptions {
	const allowedGap = 150 * time.Millisecond
	return disaggOptions{
		seed: seed, daemons: 3, prefill: 3, decode: 3, length: 30 * time.Second,
		speeds: disaggSpeeds{
			prefillPerToken: 16 * time.Microsecond, decodePrefillFactor: 2, step: 3500 * time.Microsecond, chunk: 2048,
			tokensPerEvent: 11, cacheTokens: 500_000, transferPerToken: 700 * time.Nanosecond,
		},
		classes: []disaggClass{
			{
				name: "question", rank: 0, perSecond: 14, burst: 1, sharedTokens: 300, ownTokens: 1_100, outputTokens: 170, subjects: 100,
				objective: 300 * time.Millisecond, allowedGap: allowedGap, timeout: 2 * time.Second,
			},
			{
				name: "review", rank: 2, perSecond: 9, burst: 2.5, burstFrom: 5 * time.Second, burstTo: 12 * time.Second,
				sharedTokens: 13_000, ownTokens: 3_700, outputTokens: 120, subjects: 250,
				objective: time.Second, allowedGap: allowedGap, timeout: 4 * time.Second,
			},
		},
	}
}

// Guards against a flood of long prompts of the lowest rank that takes service from short urgent
// requests: against long prompts that interrupt the streams of decode engines, against urgent
// requests that are on time less often than others, and against urgent requests that are not served
// at all.
func TestFloodOfLongPrompts(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		sim := runDisagg(floodOptions(seed))
		results := sim.results()
		question, review := results["question"], results["review"]
		t.Logf("questions %+v, reviews %+v, long prompts at decode engines: %d", question, review, sim.longAtDecode)
		if most := len(sim.requests) / 100; sim.longAtDecode > most {
			t.Errorf("%d long prompts were prefilled at decode engines, want at most %d", sim.longAtDecode, most)
		}
		if question.onTimeShare() < review.onTimeShare() {
			t.Errorf("questions on time: %.2f, reviews: %.2f", question.onTimeShare(), review.onTimeShare())
		}
		if question.Refused+question.Abandoned > question.Asked/100 {
			t.Errorf("of %d questions, %d were refused and %d abandoned", question.Asked, question.Refused, question.Abandoned)
		}
	})
}

// Guards against requests that are refused although the fleet is idle, because the links between its
// engines are too slow to prefill their prompts elsewhere.
func TestSlowLinksLeaveNoClassUnserved(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		o := floodOptions(seed)
		o.speeds.transferPerToken = 150 * time.Microsecond
		o.classes[1].perSecond, o.classes[1].burst = 2, 1
		for name, r := range runDisagg(o).results() {
			t.Logf("%s: %+v", name, r)
			if r.Refused+r.Abandoned > r.Asked/20 {
				t.Errorf("of %d requests of class %s, %d were refused and %d abandoned", r.Asked, name, r.Refused, r.Abandoned)
			}
		}
	})
}

// Guards against results that depend on anything but the seed.
func TestDisaggRunsRepeat(t *testing.T) {
	first, second := runDisagg(floodOptions(1)).results(), runDisagg(floodOptions(1)).results()
	if !maps.Equal(first, second) {
		t.Errorf("two runs with one seed: %+v and %+v", first, second)
	}
}

// Guards against an emulator that is late or paused without load.
func TestDisaggServesLightLoadOnTime(t *testing.T) {
	o := floodOptions(1)
	o.classes[0].perSecond, o.classes[1].perSecond, o.classes[1].burst = 1, 0.2, 1
	for name, r := range runDisagg(o).results() {
		if r.OnTime != r.Asked {
			t.Errorf("%s: %+v, want all on time", name, r)
		}
	}
}

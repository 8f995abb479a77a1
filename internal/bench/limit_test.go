package bench

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// rotaOptions returns a load of long digests, short queries and checks on five prefill and four decode
// engines, of which those in limits name a request limit.
func rotaOptions(seed uint64, limits map[int]float64) disaggOptions {
	const allowedGap = 300 * time.Millisecond
	return disaggOptions{
		seed: seed, daemons: 6, prefill: 5, decode: 4, length: 40 * time.Second, limits: limits,
		speeds: disaggSpeeds{
			prefillPerToken: 21 * time.Microsecond, decodePrefillFactor: 2, step: 2600 * time.Microsecond, chunk: 1024,
			tokensPerEvent: 4, cacheTokens: 403_000, transferPerToken: 200 * time.Nanosecond,
		},
		classes: []disaggClass{
			{name: "digest", rank: 1, perSecond: 9.5, burst: 1, sharedTokens: 5_382, ownTokens: 6_610, outputTokens: 32, subjects: 60, objective: 800 * time.Millisecond, allowedGap: allowedGap, timeout: 3200 * time.Millisecond},
			{name: "query", rank: 0, perSecond: 17, burst: 1, sharedTokens: 198, ownTokens: 628, outputTokens: 24, subjects: 60, objective: 800 * time.Millisecond, allowedGap: allowedGap, timeout: 3200 * time.Millisecond},
			{name: "check", rank: 2, perSecond: 14.6, burst: 1, sharedTokens: 568, ownTokens: 1800, outputTokens: 2, subjects: 60, objective: 2 * time.Second, allowedGap: allowedGap, timeout: 2500 * time.Millisecond},
		},
	}
}

// Guards against engines that get more requests than the limits that they name, and against callers who
// suffer although the engines without a limit have room: while up to three of four decode engines, or
// prefill engines, are limited.
func TestLimitedEnginesLeaveCallersServed(t *testing.T) {
	cases := []struct {
		name   string
		limits map[int]float64
	}{
		{"two decode engines", map[int]float64{5: 1.5, 6: 2.1}},
		{"three decode engines", map[int]float64{5: 2, 6: 2, 7: 2}},
		{"two prefill engines", map[int]float64{0: 2, 1: 2}},
		{"one of each role", map[int]float64{0: 2, 5: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seedtest.Run(t, func(t *testing.T, seed uint64) {
				free, limited := runDisagg(rotaOptions(seed, nil)), runDisagg(rotaOptions(seed, c.limits))
				for i, rate := range c.limits {
					// A few requests arrive before the first answer names the limit.
					allowed := 1.1*rate*limited.options.length.Seconds() + 15
					if got := limited.received[fmt.Sprintf("engine-%d", i)]; float64(got) > allowed {
						t.Errorf("engine %d received %d requests in %s, its limit allows %.0f", i, got, limited.options.length, allowed)
					}
				}
				for class, without := range free.results() {
					if with := limited.results()[class]; with.onTimeShare() < without.onTimeShare()-0.1 {
						t.Errorf("%s: %+v with limits, %+v without", class, with, without)
					}
				}
				if limited.inVain > 0 {
					t.Errorf("%d prompts were prefilled in vain", limited.inVain)
				}
			})
		})
	}
}

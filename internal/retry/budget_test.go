package retry

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

func seeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("BERGAMOT_SEEDS")); err == nil {
		return uint64(n)
	}
	return 20
}

// Guards against retries that exceed a profile's share of its first attempts, even when
// every attempt fails, and against a budget that never recovers.
func TestRetriesStayWithinBudget(t *testing.T) {
	for seed := range seeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		budgets := NewBudgets()
		begin := time.Unix(0, 0)
		now := begin
		keys := []Key{{"slot-query", profile.Urgent}, {"brief", profile.Standard}}
		shares := []float64{rng.Float64(), 0}
		firstAttempts, retries := [2]float64{}, [2]float64{}
		for range 2000 {
			k := rng.IntN(2)
			switch rng.IntN(10) {
			case 0:
				now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			case 1, 2, 3, 4:
				budgets.RecordFirstAttempt(keys[k], shares[k], now)
				firstAttempts[k]++
			default:
				if budgets.TryRetry(keys[k], now) {
					retries[k]++
				}
			}
			allowed := floorBurst + now.Sub(begin).Seconds()/floorInterval.Seconds() + shares[k]*firstAttempts[k]
			if retries[k] > allowed+1e-6 {
				t.Fatalf("seed %d: %g retries of %v, allowed are %g", seed, retries[k], keys[k], allowed)
			}
		}
		if !budgets.TryRetry(keys[1], now.Add(floorInterval)) {
			t.Fatalf("seed %d: no retry is allowed after floorInterval", seed)
		}
	}
}

// Guards against synchronised retries and against an unbounded delay.
func TestBackoffIsJittered(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	for failures := range 100 {
		low, high := maxDelay, time.Duration(0)
		for range 200 {
			d := Backoff(failures, rng)
			low, high = min(low, d), max(high, d)
		}
		bound := min(maxDelay, baseDelay<<min(max(failures-1, 0), 10))
		if high >= bound || low > bound/10 || high < bound*8/10 {
			t.Errorf("after %d failures the delay is between %s and %s, want the whole range 0 to %s", failures, low, high, bound)
		}
	}
}

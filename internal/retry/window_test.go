package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/retry"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// Guards against retries that exceed the limit in some period of the window's length,
// including one that begins in the middle of a slot.
func TestRetryLimitHoldsForEveryPeriod(t *testing.T) {
	const length = 10 * time.Second
	const ratio, slack = 0.2, 5.0
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := retry.NewWindow(ratio, slack, length)
		now := time.Unix(1_000_000, 0)
		var firsts, retries []time.Time
		for range 2000 {
			now = now.Add(time.Duration(rng.Int64N(int64(50 * time.Millisecond))))
			if rng.IntN(3) == 0 {
				w.RecordFirstAttempt(now)
				firsts = append(firsts, now)
			}
			if _, ok := w.Reserve(now); ok {
				retries = append(retries, now)
			}
		}
		within := func(times []time.Time, end time.Time, span time.Duration) int {
			n := 0
			for _, at := range times {
				if !at.After(end) && end.Sub(at) < span {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// First sends are counted over one slot more than the window.
			limit := ratio*float64(within(firsts, end, length+length/10)) + slack
			if n := within(retries, end, length); float64(n) > limit {
				t.Fatalf("%d retries in one window, want at most %.1f", n, limit)
			}
		}
	})
}

// Guards against a limit that allows no retries again once it has been reached.
func TestWindowAllowsRetriesAgain(t *testing.T) {
	w := retry.NewWindow(0, 2, 10*time.Second)
	now := time.Unix(1_000_000, 0)
	for i, want := range []bool{true, true, false} {
		if _, got := w.Reserve(now); got != want {
			t.Errorf("retry %d: allowed is %t, want %t", i, got, want)
		}
	}
	if _, ok := w.Reserve(now.Add(11 * time.Second)); !ok {
		t.Error("no retry is allowed after the window has passed")
	}
	w.SetLimits(0, 0)
	if _, ok := w.Reserve(now.Add(30 * time.Second)); ok {
		t.Error("a retry is allowed under a limit of 0")
	}
}

func TestUsageShowsTheCountsOfTheWindow(t *testing.T) {
	w := retry.NewWindow(0.5, 2, 10*time.Second)
	now := time.Unix(1_000_000, 0)
	for range 4 {
		w.RecordFirstAttempt(now)
	}
	w.Reserve(now)
	if got, want := w.Usage(now), (retry.Usage{Requests: 4, Retries: 1, Allowed: 4}); got != want {
		t.Errorf("usage %+v, want %+v", got, want)
	}
	if got, want := w.Usage(now.Add(20*time.Second)), (retry.Usage{Allowed: 2}); got != want {
		t.Errorf("usage after the window %+v, want %+v", got, want)
	}
}

// Guards against a cancelled retry that is subtracted from another slot than it was counted in: it
// stayed in the window when it should not, and another one left it too early.
func TestCancelledRetryLeavesItsOwnSlot(t *testing.T) {
	const length = 10 * time.Second
	w := retry.NewWindow(0, 2, length)
	now := time.Unix(1_000_000, 0)
	early, _ := w.Reserve(now)
	later := now.Add(length / 2)
	if _, ok := w.Reserve(later); !ok {
		t.Fatal("the second retry is refused")
	}
	early.Cancel()
	if got := w.Usage(later).Retries; got != 1 {
		t.Errorf("%d retries in the window, want 1", got)
	}
	if got := w.Usage(now.Add(length + length/4)).Retries; got != 1 {
		t.Errorf("%d retries in the window after the cancelled one would have left, want 1", got)
	}
	early, _ = w.Reserve(later)
	w.RecordFirstAttempt(later.Add(2 * length))
	early.Cancel()
	if got := w.Usage(later.Add(2 * length)).Retries; got != 0 {
		t.Errorf("%d retries after the window has passed, want 0", got)
	}
}

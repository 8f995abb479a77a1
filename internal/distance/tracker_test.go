package distance

import (
	"testing"
	"time"
)

// Guards against an estimate that follows slow responses, and against one that keeps the
// value of a short path after a longer path has replaced it.
func TestEstimateIsTheMinimumOfTheWindow(t *testing.T) {
	tracker := NewTracker()
	check := func(when string, want time.Duration) {
		t.Helper()
		if got := tracker.RoundTrips()["kheda"]; got != want {
			t.Errorf("%s: round trip is %v, want %v", when, got, want)
		}
	}
	tracker.Observe("kheda", 30*time.Millisecond)
	check("first sample", 30*time.Millisecond)
	tracker.Observe("kheda", 10*time.Millisecond)
	tracker.Observe("kheda", 500*time.Millisecond)
	tracker.Observe("mehsana", time.Millisecond)
	check("a slow response", 10*time.Millisecond)
	for range windowSize - 2 {
		tracker.Observe("kheda", 80*time.Millisecond)
	}
	check("the short sample is the oldest in the window", 10*time.Millisecond)
	tracker.Observe("kheda", 80*time.Millisecond)
	check("the short sample has left the window", 80*time.Millisecond)
}

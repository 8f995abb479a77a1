package patience

import (
	"testing"
	"time"
)

// Guards against calls over a slow path that never succeed, and against a path that stays slow after it was once.
func TestLimitFollowsThePath(t *testing.T) {
	l := New(time.Second, 4*time.Second)
	steps := []struct {
		name string
		step func()
		want time.Duration
	}{
		{"begins with the least limit", func() {}, time.Second},
		{"doubles", func() { l.Exceeded(time.Second) }, 2 * time.Second},
		{"a shorter call says nothing", func() { l.Exceeded(time.Second) }, 2 * time.Second},
		{"is bounded", func() { l.Exceeded(2 * time.Second); l.Exceeded(4 * time.Second); l.Exceeded(4 * time.Second) }, 4 * time.Second},
		{"follows a slow response", func() { l.Answered(time.Second) }, 3 * time.Second},
		{"returns after a fast one", func() { l.Answered(time.Millisecond) }, time.Second},
	}
	for _, s := range steps {
		if s.step(); l.Current() != s.want {
			t.Errorf("%s: limit is %s, want %s", s.name, l.Current(), s.want)
		}
	}
}

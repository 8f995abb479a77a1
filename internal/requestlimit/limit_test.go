package requestlimit

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// at returns the time some seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// drawAll draws as many requests as the limit allows in steps of 10 ms and returns their number.
func drawAll(l *Limit, from, to, share, patience float64) int {
	n := 0
	for s := from; s < to; s += 0.01 {
		if l.Wait(at(s), share, patience) == 0 {
			l.Draw(at(s), share, 1)
			n++
		}
	}
	return n
}

// Guards against a daemon that exceeds a limit by itself, leaves it unused, or saves up requests while
// it has no callers.
func TestLimitAllowsItsRate(t *testing.T) {
	cases := []struct {
		name            string
		rate, share     float64
		idle            float64
		fewest, mostRun int
	}{
		{"a fraction", 1.5, 1, 0, 13, 16},
		{"half of the daemons", 4, 0.5, 0, 18, 21},
		{"no daemon is heard", 4, 0, 0, 0, 0},
		{"after an idle time", 1, 1, 100, 10, 13},
		{"zero, for the answers that end it", 0, 1, 0, 2, 3},
		{"more than there is", math.Inf(1), 1, 0, 900, 1010},
	}
	for _, c := range cases {
		var l Limit
		l.Name(at(0), at(0), c.rate)
		l.Wait(at(c.idle), c.share, 0)
		if n := drawAll(&l, c.idle, c.idle+10, c.share, 0); n < c.fewest || n > c.mostRun {
			t.Errorf("%s: %d requests in 10 s, want %d to %d", c.name, n, c.fewest, c.mostRun)
		}
	}
}

// Guards against requests of other daemons that are not counted, and against a debt without end.
func TestRequestsOfOthersAreDrawn(t *testing.T) {
	var l Limit
	l.Name(at(0), at(0), 2)
	if l.Draw(at(1), 1, 4); l.Wait(at(1), 1, 0) < time.Second {
		t.Error("a request is allowed although the others have used more than the limit")
	}
	if l.Draw(at(1), 1, 1_000_000); l.Wait(at(6), 1, 0) > 0 {
		t.Error("no request is allowed 5 s after the others exceeded the limit")
	}
}

// Guards against older statements of a runner that undo newer ones, and against unusable ones.
func TestNewestStatementCounts(t *testing.T) {
	var l Limit
	if l.InForce(at(0)) || l.Wait(at(0), 1, 0) != 0 || l.End(at(0), at(0)) {
		t.Error("a runner that has named no limit is limited")
	}
	if !l.Name(at(2), at(2), 3) || l.Name(at(3), at(1), 5) || l.End(at(3), at(2)) || l.Name(at(3), at(3), 3) {
		t.Error("an old or equal statement changes the limit, or a new one does not")
	}
	if l.Name(at(4), at(4), math.NaN()) || l.Name(at(5), at(5), -1) {
		t.Error("a value that is no rate changes the limit")
	}
	if rate, named := l.Named(); rate != 3 || !named {
		t.Errorf("the limit is %v, named %t, want 3", rate, named)
	}
	if !l.End(at(6), at(6)) || l.Name(at(7), at(5.5), 3) {
		t.Error("the limit does not end, or an old statement names it again")
	}
}

// Guards against a surge after the end of a limit, and against a limit that does not end.
func TestRateRecoversAfterTheEnd(t *testing.T) {
	var l Limit
	l.Name(at(0), at(0), 1)
	drawAll(&l, 0, 10, 1, 0)
	l.End(at(10), at(10))
	if n := drawAll(&l, 10, 11, 1, 0); n < 2 || n > 8 {
		t.Errorf("%d requests in the first second after the end, want a few", n)
	}
	if l.Wait(at(13.1), 1, 0) != 0 || l.InForce(at(13.1)) {
		t.Error("the limit is in force 3 s after its end")
	}
}

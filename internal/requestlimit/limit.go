// Package requestlimit keeps the fleet within the request rate that a runner allows all daemons
// together.
//
// Each daemon holds a token bucket per limited runner that is filled at the whole rate. It draws a
// token for each request that it sends, and one for each request that another daemon reports to have
// sent. So one daemon may use the whole rate while the others have no callers, and no daemon saves up
// more than the capacity of the bucket. Two measures cover the time in which a report is on its way:
// a daemon waits for some tokens more than one, each daemon for another number, so that one goes
// first; and requests beyond the rate are a debt that all daemons pay off together. Daemons that
// cannot hear all others fill the bucket with the share of those that they hear.
//
// The package reads no clock; callers pass the current time.
package requestlimit

import (
	"math"
	"time"
)

const (
	// MaxPatience is the largest number of tokens beyond one for which a daemon may wait.
	MaxPatience = 1.5
	// capacity is the number of tokens that a bucket holds.
	capacity = 1 + MaxPatience
	// maxDebtTime bounds the debt of a bucket, as the time in which it is paid off.
	maxDebtTime = 4 * time.Second
	// MaxRate bounds a limit, in requests per second.
	MaxRate = 1e6
	// minRate is the rate, in requests per second, at which a runner with a lower limit gets
	// requests: without any, its answers could not end the limit.
	minRate = 0.25
	// After the end of a limit the rate doubles every recoveryDoubling for recoveryTime, starting
	// from minRecoveryRate at least, so that the daemons do not all return at once.
	recoveryDoubling = 400 * time.Millisecond
	recoveryTime     = 3 * time.Second
	minRecoveryRate  = 1.0
)

// Limit is the request limit of one runner as one daemon knows it. The zero value is a runner that
// has named none. It is not safe for concurrent use.
type Limit struct {
	// rate is the limit that the runner named last, in requests per second.
	rate float64
	// heardAt is when the runner made the newest known statement, to whichever daemon.
	heardAt time.Time
	// named is set while the limit is in force; endedAt is when it ended.
	named   bool
	endedAt time.Time
	// tokens is the content of the bucket as of tokensAt.
	tokens   float64
	tokensAt time.Time
}

// Name records that the runner named a limit, in requests per second, at the time at. It reports
// whether this changes the limit; an older statement than the newest known one does not.
func (l *Limit) Name(now, at time.Time, rate float64) bool {
	if !l.newest(at) || math.IsNaN(rate) || rate < 0 {
		return false
	}
	rate = min(rate, MaxRate)
	if !l.InForce(now) {
		l.tokens, l.tokensAt = min(l.tokens, 0), now
	}
	changed := !l.named || l.rate != rate
	l.rate, l.named = rate, true
	return changed
}

// End records that the runner answered at the time at without naming a limit. It reports whether this
// ends a limit; an older statement than the newest known one does not.
func (l *Limit) End(now, at time.Time) bool {
	if !l.named || !l.newest(at) {
		return false
	}
	l.named, l.endedAt, l.tokensAt = false, now, now
	return true
}

// newest records the time of a statement unless a later one is known, and reports whether it did.
func (l *Limit) newest(at time.Time) bool {
	if !at.After(l.heardAt) {
		return false
	}
	l.heardAt = at
	return true
}

// Named reports whether the runner names a limit, and returns it in requests per second.
func (l *Limit) Named() (rate float64, ok bool) { return l.rate, l.named }

// HeardAt returns the time of the newest known statement of the runner.
func (l *Limit) HeardAt() time.Time { return l.heardAt }

// InForce reports whether the limit restricts requests: while it is named, and while the rate
// recovers after its end.
func (l *Limit) InForce(now time.Time) bool {
	return l.named || !l.endedAt.IsZero() && now.Sub(l.endedAt) < recoveryTime
}

// fillRate returns the rate at which the bucket is filled, in tokens per second.
func (l *Limit) fillRate(share float64) float64 {
	if l.named {
		return share * max(l.rate, minRate)
	}
	doublings := l.tokensAt.Sub(l.endedAt).Seconds() / recoveryDoubling.Seconds()
	return share * max(l.rate, minRecoveryRate) * math.Exp2(doublings)
}

// fill brings the bucket up to date. share is the part of the rate that this daemon and those that it
// hears may use together.
func (l *Limit) fill(now time.Time, share float64) {
	elapsed := max(0, now.Sub(l.tokensAt).Seconds())
	l.tokens = min(capacity, l.tokens+elapsed*l.fillRate(share))
	l.tokensAt = now
}

// Wait returns the time until a request may be sent: 0 if it may be sent now, or a negative time if
// the share is 0. patience is the number of tokens beyond one that the daemon waits for, up to
// MaxPatience.
func (l *Limit) Wait(now time.Time, share, patience float64) time.Duration {
	if !l.InForce(now) {
		return 0
	}
	l.fill(now, share)
	missing := 1 + min(patience, MaxPatience) - l.tokens
	switch {
	case missing <= 0:
		return 0
	case share <= 0:
		return -1
	}
	return max(1, time.Duration(missing/l.fillRate(share)*float64(time.Second)))
}

// Draw records requests that were sent to the runner, by this daemon or another one. A negative
// number takes back requests that were not sent after all.
func (l *Limit) Draw(now time.Time, share float64, requests int64) {
	if !l.InForce(now) {
		return
	}
	l.fill(now, share)
	debt := max(capacity, maxDebtTime.Seconds()*max(l.rate, minRate))
	l.tokens = min(capacity, max(-debt, l.tokens-float64(requests)))
}

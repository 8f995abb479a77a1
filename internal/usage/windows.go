// Package usage counts the requests of organisations by window of true time, and sums up the counts of many daemons. It
// needs no network and no clock.
package usage

import "time"

// Windows divides true time into windows of one length. Window k begins k times that length after the start of 1970.
type Windows struct{ Length time.Duration }

// At returns the number of the window that contains t.
func (w Windows) At(t time.Time) int64 { return t.UnixMilli() / w.Length.Milliseconds() }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * w.Length.Milliseconds())
}

// Counts holds the number of requests by organisation.
type Counts map[string]int64

// Sum returns the number of requests of all organisations.
func (c Counts) Sum() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}

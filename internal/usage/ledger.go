package usage

import (
	"maps"
	"sync"
)

// keptWindows is the number of windows of which a ledger keeps counts. It covers the time in which a report is due, and a
// takeover of the duty.
const keptWindows = 6

// Source is one process that has counted requests.
type Source struct {
	Daemon string `json:"daemon"`
	// Started is when the process started, in Unix milliseconds.
	Started int64 `json:"started"`
}

// Report is what a source has counted in one window so far.
type Report struct {
	Source
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
}

// Ledger holds the counts of this process and those that it was told. Counts of one source only rise, so that a report
// that is repeated, late or out of order changes nothing. It is safe for concurrent use.
type Ledger struct {
	own Source

	mu      sync.Mutex
	windows map[int64]map[Source]Counts
	newest  int64
}

// NewLedger returns an empty ledger of the process own.
func NewLedger(own Source) *Ledger {
	return &Ledger{own: own, windows: map[int64]map[Source]Counts{}}
}

// Count counts a request that a runner began in a window.
func (l *Ledger) Count(window int64, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if counts := l.counts(window, l.own); counts != nil {
		counts[organisation]++
	}
}

// counts returns the counts of a source in a window, or nil if the window is too old. l.mu must be held.
func (l *Ledger) counts(window int64, s Source) Counts {
	if window <= l.newest-keptWindows {
		return nil
	}
	if window > l.newest {
		l.newest = window
		maps.DeleteFunc(l.windows, func(w int64, _ map[Source]Counts) bool { return w <= l.newest-keptWindows })
	}
	sources := l.windows[window]
	if sources == nil {
		sources = map[Source]Counts{}
		l.windows[window] = sources
	}
	counts := sources[s]
	if counts == nil {
		counts = Counts{}
		sources[s] = counts
	}
	return counts
}

// Merge adds what other processes have counted; latest is the current window. Reports of later windows are ignored, so
// that a daemon whose clock is ahead does not displace windows that are still to be reported.
func (l *Ledger) Merge(latest int64, reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		if r.Window > latest || r.Source == l.own {
			continue
		}
		counts := l.counts(r.Window, r.Source)
		if counts == nil {
			continue
		}
		for organisation, n := range r.Counts {
			counts[organisation] = max(counts[organisation], n)
		}
	}
}

// Own returns what this process has counted since a window, that one included.
func (l *Ledger) Own(since int64) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for window, sources := range l.windows {
		if counts := sources[l.own]; window >= since && len(counts) > 0 {
			out = append(out, Report{Source: l.own, Window: window, Counts: maps.Clone(counts)})
		}
	}
	return out
}

// Known returns all counts of a window, of this process and of others.
func (l *Ledger) Known(window int64) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for source, counts := range l.windows[window] {
		if len(counts) > 0 {
			out = append(out, Report{Source: source, Window: window, Counts: maps.Clone(counts)})
		}
	}
	return out
}

// Total returns the sum of all counts of a window.
func (l *Ledger) Total(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := Counts{}
	for _, counts := range l.windows[window] {
		for organisation, n := range counts {
			total[organisation] += n
		}
	}
	return total
}

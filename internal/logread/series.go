package logread

import (
	"slices"
	"time"
)

// Interval describes the requests that ended within one time step.
type Interval struct {
	Start time.Time
	// Outcomes counts requests by outcome.
	Outcomes map[string]int
	// FirstEvents holds the times from the start of answered requests to their first event
	// or response, by urgency, in ascending order.
	FirstEvents map[int][]time.Duration
}

// Quantile returns the q-quantile, 0 to 1, of the time to the first event of the answered
// requests of an urgency, or 0 when there were none.
func (i *Interval) Quantile(urgency int, q float64) time.Duration {
	times := i.FirstEvents[urgency]
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// Series divides the requests of a log into consecutive intervals of length step by the time
// at which they ended, from the first to the last. Intervals in which no request ended are
// included, without counts.
func (g *Log) Series(step time.Duration) []Interval {
	var first, last time.Time
	for i := range g.Lines {
		l := &g.Lines[i]
		if l.StringField("outcome") == "" {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		return nil
	}
	out := make([]Interval, int(last.Sub(first)/step)+1)
	for i := range out {
		out[i] = Interval{Start: first.Add(time.Duration(i) * step), Outcomes: map[string]int{}, FirstEvents: map[int][]time.Duration{}}
	}
	for i := range g.Lines {
		l := &g.Lines[i]
		if outcome := l.StringField("outcome"); outcome != "" {
			out[int(l.Time.Sub(first)/step)].add(outcome, l)
		}
	}
	for i := range out {
		for _, times := range out[i].FirstEvents {
			slices.Sort(times)
		}
	}
	return out
}

func (i *Interval) add(outcome string, l *Line) {
	i.Outcomes[outcome]++
	if _, ok := l.Fields["urgency"]; ok && outcome == "answered" {
		urgency := int(l.numberField("urgency"))
		i.FirstEvents[urgency] = append(i.FirstEvents[urgency], l.DurationField("first-event"))
	}
}

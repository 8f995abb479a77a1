package logread

import (
	"cmp"
	"regexp"
	"slices"
)

// Outcome counts the requests of one route that ended with the same outcome and reason.
type Outcome struct {
	Route   string `json:"route"`
	Outcome string `json:"outcome"`
	// Reason is the error with "#" in place of addresses, ids and numbers; empty for
	// answered requests.
	Reason string `json:"reason,omitempty"`
	Count  int    `json:"count"`
	// Example is the id of one of the requests.
	Example string `json:"example"`
}

// variableParts matches the numbers, addresses and VM ids that differ between error messages
// of the same kind.
var variableParts = regexp.MustCompile(`\d+(\.\d+)*(:\d+)?|\bi-[0-9a-f]+\b`)

// Outcomes counts requests by route, outcome and reason, the most frequent first.
func (g *Log) Outcomes() []Outcome {
	type key struct{ route, outcome, reason string }
	counts := map[key]*Outcome{}
	for i := range g.Lines {
		l := &g.Lines[i]
		outcome := l.StringField("outcome")
		if outcome == "" || l.StringField("route") == "" {
			continue
		}
		k := key{l.StringField("route"), outcome, variableParts.ReplaceAllString(l.StringField("error"), "#")}
		if counts[k] == nil {
			counts[k] = &Outcome{Route: k.route, Outcome: k.outcome, Reason: k.reason, Example: l.RequestID()}
		}
		counts[k].Count++
	}
	out := make([]Outcome, 0, len(counts))
	for _, o := range counts {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

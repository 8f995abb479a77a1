package crashes

import "time"

// Report is the wire form of a Loss, or, with Answered set, of the completion of a request. Peers of
// earlier versions send one Report for each trait of a loss.
type Report struct {
	// Trait is the content of the request that was lost, or the trait of the one that completed.
	Trait Trait `json:"digest"`
	// Parts are the prompt parts of the request that was lost.
	Parts  []Trait `json:"parts,omitempty"`
	Runner string  `json:"runner"`
	Start  int64   `json:"start"`
	// Common and Retry are those of the loss.
	Common bool `json:"common,omitempty"`
	Retry  bool `json:"retry,omitempty"`
	// AgeMS is how long before the report the request was lost or completed, in milliseconds.
	AgeMS    int64 `json:"age,omitempty"`
	Answered bool  `json:"answered,omitempty"`
}

// ReportOf returns the report of a loss.
func ReportOf(l Loss, now time.Time) Report {
	return Report{
		Trait: l.Traits.Content, Common: l.Traits.Common, Parts: l.Traits.Parts, Runner: l.Runner, Start: l.Start, Retry: l.Retry,
		AgeMS: now.Sub(l.At).Milliseconds(),
	}
}

// CompletionReport returns the report that a request with a trait completed at a time.
func CompletionReport(t Trait, at, now time.Time) Report {
	return Report{Trait: t, AgeMS: now.Sub(at).Milliseconds(), Answered: true}
}

// At returns the time of the loss or completion. Times in the future count as now.
func (r Report) At(now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
}

// Loss returns the reported loss.
func (r Report) Loss(now time.Time) Loss {
	l := Loss{Traits: Traits{Content: r.Trait, Common: r.Common, Parts: r.Parts}, Runner: r.Runner, Start: r.Start, Retry: r.Retry, At: r.At(now)}
	if r.Trait.isPart() {
		l.Traits = Traits{Parts: []Trait{r.Trait}}
	}
	return l
}

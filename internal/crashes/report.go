package crashes

import "time"

// Report is the wire form of a Loss, with Answered set of the completion of a request, or with Crashes
// set of a Block. Peers of earlier versions send one Report for each trait of a loss.
type Report struct {
	// Trait is the content of the request that was lost, the trait of the one that completed, or the
	// blocked trait.
	Trait Trait `json:"digest"`
	// Parts are the prompt parts of the request that was lost.
	Parts  []Trait `json:"parts,omitempty"`
	Runner string  `json:"runner"`
	Start  int64   `json:"start"`
	// Common, Retry and Began are those of the loss.
	Common bool `json:"common,omitempty"`
	Retry  bool `json:"retry,omitempty"`
	Began  bool `json:"began,omitempty"`
	// AgeMS is how long before the report the request was lost or completed, or the last crash that
	// counts was, in milliseconds.
	AgeMS    int64 `json:"age,omitempty"`
	Answered bool  `json:"answered,omitempty"`
	// Crashes and TrialMS, the time to the next trial in milliseconds, are those of a block.
	Crashes int   `json:"crashes,omitempty"`
	TrialMS int64 `json:"trial,omitempty"`
}

// BlockReport returns the report of a block.
func BlockReport(b Block, now time.Time) Report {
	return Report{Trait: b.Trait, Crashes: b.Crashes, AgeMS: now.Sub(b.LastCrash).Milliseconds(), TrialMS: b.NextTrial.Sub(now).Milliseconds()}
}

// Block returns the reported block.
func (r Report) Block(now time.Time) Block {
	trial := time.Duration(min(r.TrialMS, MaxTrialDelay.Milliseconds())) * time.Millisecond
	return Block{Trait: r.Trait, Crashes: r.Crashes, LastCrash: r.At(now), NextTrial: now.Add(trial)}
}

// ReportOf returns the report of a loss.
func ReportOf(l Loss, now time.Time) Report {
	return Report{
		Trait: l.Traits.Content, Common: l.Traits.Common, Parts: l.Traits.Parts, Runner: l.Runner, Start: l.Start, Retry: l.Retry, Began: l.Began,
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
	l := Loss{Traits: Traits{Content: r.Trait, Common: r.Common, Parts: r.Parts}, Runner: r.Runner, Start: r.Start, Retry: r.Retry, Began: r.Began, At: r.At(now)}
	if r.Trait.isPart() {
		l.Traits = Traits{Parts: []Trait{r.Trait}}
	}
	return l
}

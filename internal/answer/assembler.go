// Package answer assembles one answer from the chunks of one or more attempts.
package answer

import "bergamotsill.example/bergamotsill/internal/port"

// Verdict says what to do with a chunk.
type Verdict int

// Verdicts on a chunk.
const (
	// Deliver means that the chunk continues the answer.
	Deliver Verdict = iota
	// Drop means that the chunk is late or repeated.
	Drop
	// Gap means that tokens before the chunk are missing; the attempt has to be
	// resumed from Next.
	Gap
	// End means that the answer is whole.
	End
)

// Assembler tracks the position reached in one answer. It is not safe for
// concurrent use.
type Assembler struct {
	attempt int
	next    int
	done    bool
}

// Begin starts an attempt; chunks of other attempts are dropped from then on.
func (a *Assembler) Begin(attempt int) { a.attempt = attempt }

// Next returns the position of the first token that is still missing.
func (a *Assembler) Next() int { return a.next }

// Done tells whether the explicit end was reached without a gap.
func (a *Assembler) Done() bool { return a.done }

// Accept decides about one chunk.
func (a *Assembler) Accept(c port.Chunk) Verdict {
	switch {
	case a.done || c.Attempt != a.attempt:
		return Drop
	case c.Position > a.next:
		return Gap
	case c.Done:
		return a.end(c)
	case c.Position < a.next:
		return Drop
	}
	a.next += c.Tokens
	return Deliver
}

// end accepts the end marker only at the position reached.
func (a *Assembler) end(c port.Chunk) Verdict {
	if c.Position < a.next {
		return Drop
	}
	a.done = true
	return End
}

// Package answer assembles one answer from the chunks of one or more attempts.
package answer

import "bergamotsill.example/bergamotsill/internal/port"

// maxBuffered bounds the chunks that wait for an earlier one. A longer gap is a
// loss rather than a reordering, and resuming costs less than waiting.
const maxBuffered = 16

// Decision says what became of a chunk.
type Decision int

// Verdicts on a chunk.
const (
	// Deliver means that the chunk continues the answer.
	Deliver Decision = iota
	// Drop means that the chunk is late, repeated or malformed.
	Drop
	// Buffer means that the chunk waits for chunks before it.
	Buffer
	// Gap means that tokens are missing; the attempt has to be resumed from Next.
	Gap
	// End means that the answer is whole.
	End
)

// Result is the decision about one chunk.
type Result struct {
	Decision Decision
	// Ready holds the chunks that continue the answer, in order. It is valid until
	// the next call of Accept.
	Ready []port.Chunk
}

// Assembler tracks the position reached in one answer. It is not safe for
// concurrent use.
type Assembler struct {
	attempt  int
	next     int
	done     bool
	last     port.Chunk
	buffered map[int]port.Chunk
	ready    []port.Chunk
}

// Begin starts an attempt; chunks of other attempts are dropped from then on.
// Chunks that were buffered are forgotten, because another attempt may sample
// other tokens.
func (a *Assembler) Begin(attempt int) {
	a.attempt = attempt
	a.buffered = nil
}

// Next returns the position of the first token that is still missing.
func (a *Assembler) Next() int { return a.next }

// Done tells whether the explicit end was reached without a gap.
func (a *Assembler) Done() bool { return a.done }

// Last returns the chunk that marked the end of a whole answer.
func (a *Assembler) Last() port.Chunk { return a.last }

// Accept decides about one chunk.
func (a *Assembler) Accept(c port.Chunk) Result {
	a.ready = a.ready[:0]
	switch {
	case a.done || c.Attempt != a.attempt || malformed(c):
		return Result{Decision: Drop}
	case c.Position > a.next:
		return Result{Decision: a.buffer(c)}
	case c.Position < a.next:
		return Result{Decision: Drop}
	}
	verdict := a.extend(c)
	return Result{Decision: verdict, Ready: a.ready}
}

// malformed tells whether a chunk neither carries tokens nor ends the answer.
func malformed(c port.Chunk) bool {
	if c.Position < 0 || c.Tokens < 0 {
		return true
	}
	return c.Tokens == 0 && !c.Done
}

func (a *Assembler) buffer(c port.Chunk) Decision {
	if _, ok := a.buffered[c.Position]; ok {
		return Drop
	}
	if len(a.buffered) == maxBuffered {
		return Gap
	}
	if a.buffered == nil {
		a.buffered = map[int]port.Chunk{}
	}
	a.buffered[c.Position] = c
	return Buffer
}

// extend adds the chunk at the position reached and the buffered ones that
// follow it.
func (a *Assembler) extend(c port.Chunk) Decision {
	for {
		a.add(c)
		if c.Done {
			return a.end(c)
		}
		following, ok := a.buffered[a.next]
		if !ok {
			a.forgetPassed()
			return Deliver
		}
		delete(a.buffered, a.next)
		c = following
	}
}

// forgetPassed removes buffered chunks that overlap the part delivered.
func (a *Assembler) forgetPassed() {
	for position := range a.buffered {
		if position < a.next {
			delete(a.buffered, position)
		}
	}
}

func (a *Assembler) add(c port.Chunk) {
	if c.Tokens == 0 {
		return
	}
	a.next += c.Tokens
	a.ready = append(a.ready, c)
}

// end accepts the end marker unless it announces more tokens than arrived.
func (a *Assembler) end(c port.Chunk) Decision {
	if c.OutputTokens > a.next {
		return Gap
	}
	a.done = true
	a.last = c
	return End
}

// Package answer joins the chunks of one or more attempts at a request into one response
// stream.
package answer

import "bergamotsill.example/bergamotsill/internal/port"

// maxBuffered bounds the chunks that are buffered until an earlier one arrives. If more chunks
// arrive first, the earlier one counts as lost rather than reordered, because resuming the attempt
// then costs less than waiting.
const maxBuffered = 16

// Decision is the outcome of Assembler.Accept for one chunk.
type Decision int

// Decisions on a chunk.
const (
	// Deliver means that the chunk continues the response.
	Deliver Decision = iota
	// Drop means that the chunk is late, duplicated or malformed.
	Drop
	// Buffer means that the chunk is kept until the chunks before it arrive.
	Buffer
	// Gap means that tokens are missing; the request has to be resumed from Next by another
	// attempt.
	Gap
	// End means that the response is complete.
	End
)

// Result holds the decision on one chunk and the chunks that it made deliverable.
type Result struct {
	Decision Decision
	// Ready holds the chunks that continue the response, in order. It is valid until the next
	// call of Accept.
	Ready []port.Chunk
}

// Assembler reassembles one response and tracks its position in tokens. It is not safe for
// concurrent use.
type Assembler struct {
	// attempt is the number of the current attempt.
	attempt int
	// next is the position of the first missing token.
	next int
	done bool
	last port.Chunk
	// buffered holds the chunks beyond next, by position.
	buffered map[int]port.Chunk
	ready    []port.Chunk
}

// Begin starts an attempt; chunks of other attempts are dropped from then on. Buffered chunks
// are discarded, because another attempt may sample different tokens.
func (a *Assembler) Begin(attempt int) {
	a.attempt = attempt
	a.buffered = nil
}

// Next returns the position of the first missing token.
func (a *Assembler) Next() int { return a.next }

// Done reports whether the response is complete.
func (a *Assembler) Done() bool { return a.done }

// Last returns the chunk that carried the end marker of a complete response.
func (a *Assembler) Last() port.Chunk { return a.last }

// Accept processes one chunk and returns the decision on it.
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
	decision := a.appendContiguous(c)
	return Result{Decision: decision, Ready: a.ready}
}

// malformed reports whether a chunk has a negative position or token count, or neither carries
// tokens nor ends the response.
func malformed(c port.Chunk) bool {
	if c.Position < 0 || c.Tokens < 0 {
		return true
	}
	return c.Tokens == 0 && !c.Done
}

// buffer keeps a chunk beyond the current position. It drops a chunk of the same position as a
// buffered one, and reports a gap if maxBuffered chunks are already buffered.
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

// appendContiguous delivers the chunk at the current position and the buffered chunks that
// directly follow it.
func (a *Assembler) appendContiguous(c port.Chunk) Decision {
	for {
		a.deliver(c)
		if c.Done {
			return a.finish(c)
		}
		nextChunk, ok := a.buffered[a.next]
		if !ok {
			a.removeOverlapped()
			return Deliver
		}
		delete(a.buffered, a.next)
		c = nextChunk
	}
}

// removeOverlapped removes buffered chunks that overlap the delivered tokens.
func (a *Assembler) removeOverlapped() {
	for position := range a.buffered {
		if position < a.next {
			delete(a.buffered, position)
		}
	}
}

func (a *Assembler) deliver(c port.Chunk) {
	if c.Tokens == 0 {
		return
	}
	a.next += c.Tokens
	a.ready = append(a.ready, c)
}

// finish accepts the end marker unless it announces more tokens than have arrived.
func (a *Assembler) finish(c port.Chunk) Decision {
	if c.OutputTokens > a.next {
		return Gap
	}
	a.done = true
	a.last = c
	return End
}

package daemon

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// rankShares are the parts of the bytes in flight that requests of a rank may find
// in use, by priority. They leave room for more urgent work when long prompts of a
// flood wait or run.
var rankShares = [3]float64{1, 0.75, 0.5}

const (
	// initialBodyBuffer is the room that reading a body starts with. It doubles from there, so
	// that a caller that announces a large body and sends nothing holds little.
	initialBodyBuffer = 4 << 10
	// memoryRetryAfter is when a caller that found no room should come back.
	memoryRetryAfter = time.Second
)

// byteBudget bounds the bytes of the bodies of all requests that wait or run.
type byteBudget struct {
	limit int64
	used  *expvar.Int
}

// reserve takes n bytes and tells whether there was room. Of two calls at the same
// time that do not both fit, both may fail.
func (b *byteBudget) reserve(n int64) bool {
	b.used.Add(n)
	if b.used.Value() > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// admits returns a refusal when requests hold more than a rank may find in use.
func (b *byteBudget) admits(rank profile.Rank) error {
	share := rankShares[rank.Priority()]
	if float64(b.used.Value()) <= share*float64(b.limit) {
		return nil
	}
	return refusal.New(refusal.MemoryFull,
		"requests hold %d bytes, more than %.0f%% of %d, the share that %s requests may find in use", b.used.Value(), 100*share, b.limit, rank).
		ForAttempt().WithRetryAfter(memoryRetryAfter)
}

// readBody reads the body of a call within the limit of one body and the budget of
// all. What it reserves is in c.held, also after an error.
func (d *Daemon) readBody(w http.ResponseWriter, c *call) error {
	body := http.MaxBytesReader(w, c.request.Body, d.settings.Limits.BodyBytes)
	for {
		if len(c.body) == cap(c.body) && !d.growBody(c) {
			return refusal.New(refusal.MemoryFull, "requests hold %d bytes, the limit is %d", d.memory.used.Value(), d.memory.limit).
				ForAttempt().WithRetryAfter(memoryRetryAfter)
		}
		n, err := body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case err == io.EOF:
			return nil
		case errors.As(err, &tooLarge):
			return refusal.New(refusal.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit).ForAttempt()
		case err != nil:
			return refusal.New(refusal.BadRequest, "the body could not be read: %v", err).ForAttempt()
		}
	}
}

// growBody makes room for more of a body and tells whether the budget allows it.
func (d *Daemon) growBody(c *call) bool {
	size := max(initialBodyBuffer, 2*int64(cap(c.body)))
	if announced := c.request.ContentLength; announced >= int64(cap(c.body)) {
		// One byte more finds the end without another step.
		size = min(size, announced+1)
	}
	if !d.memory.reserve(size - c.reservedBytes) {
		return false
	}
	c.reservedBytes = size
	c.body = append(make([]byte, 0, size), c.body...)
	return true
}

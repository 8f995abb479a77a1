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

// rankShares holds, by rank priority, the share of the byte limit that may be in
// use when a request of the rank is admitted. The smaller shares of lower ranks
// reserve capacity for more urgent requests while the long prompts of a flood are
// queued or running.
var rankShares = [3]float64{1, 0.75, 0.5}

const (
	// initialBodyBuffer is the initial size of the buffer for a request body. The
	// buffer doubles from there, so that a caller that announces a large body and
	// sends nothing occupies little memory.
	initialBodyBuffer = 4 << 10
	// memoryRetryAfter is the delay after which a caller refused for lack of memory
	// should retry.
	memoryRetryAfter = time.Second
)

// byteBudget bounds the total size of the bodies of all queued and running
// requests.
type byteBudget struct {
	// limit is the bound in bytes; used is the number of bytes reserved now.
	limit int64
	used  *expvar.Int
}

// reserve reserves n bytes and reports whether they fit within the limit. If two
// concurrent calls do not both fit, both may fail.
func (b *byteBudget) reserve(n int64) bool {
	b.used.Add(n)
	if b.used.Value() > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// admits returns a refusal if the bytes in use exceed the share of the rank.
func (b *byteBudget) admits(rank profile.Rank) error {
	share := rankShares[rank.Priority()]
	if float64(b.used.Value()) <= share*float64(b.limit) {
		return nil
	}
	return refusal.New(refusal.MemoryFull,
		"request bodies use %d bytes, more than the %.0f%% of %d bytes up to which %s requests are admitted", b.used.Value(), 100*share, b.limit, rank).
		ForAttempt().WithRetryAfter(memoryRetryAfter)
}

// readBody reads the body of a call within the limit for one body and the budget
// for all bodies. The reserved bytes are in c.reservedBytes, also after an error; the
// caller must release them.
func (d *Daemon) readBody(w http.ResponseWriter, c *call) error {
	body := http.MaxBytesReader(w, c.request.Body, d.settings.Limits.BodyBytes)
	for {
		if len(c.body) == cap(c.body) && !d.growBody(c) {
			return refusal.New(refusal.MemoryFull, "request bodies use %d bytes of %d and this body does not fit", d.memory.used.Value(), d.memory.limit).
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

// growBody enlarges the buffer of a body and reports whether the budget allows it.
func (d *Daemon) growBody(c *call) bool {
	size := max(initialBodyBuffer, 2*int64(cap(c.body)))
	if contentLength := c.request.ContentLength; contentLength >= int64(cap(c.body)) {
		// One additional byte makes the end of the body detectable without growing
		// the buffer again.
		size = min(size, contentLength+1)
	}
	if !d.memory.reserve(size - c.reservedBytes) {
		return false
	}
	c.reservedBytes = size
	c.body = append(make([]byte, 0, size), c.body...)
	return true
}

package daemon

import (
	"errors"
	"expvar"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clientconn"
	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
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

// bodyTimeout is how long a body may make no progress before its request is refused, also while memory is left.
const bodyTimeout = 10 * time.Second

// byteBudget bounds the total size of the bodies of all queued and running
// requests.
type byteBudget struct {
	*memory.Budget
	// limit is the bound in bytes; used is the number of bytes reserved now.
	limit int64
	used  *expvar.Int
}

func newByteBudget(l settings.Limits, used *expvar.Int) *byteBudget {
	return &byteBudget{Budget: memory.NewRequestBudget(l.InFlightBytes, l.HeadBytes), limit: l.InFlightBytes, used: used}
}

// publish updates the number of reserved bytes in the metrics.
func (b *byteBudget) publish() { b.used.Set(b.Used(memory.Bodies)) }

// release returns the memory of a call's body.
func (b *byteBudget) release(c *call) {
	if c.bodyMemory != nil {
		c.bodyMemory.Release(memory.Bodies)
		b.publish()
	}
}

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
// for all bodies. The memory is in c.bodyMemory, also after an error; the caller must release it. A body
// that makes no progress gives way when memory is short, and after bodyTimeout in any case.
func (d *Daemon) readBody(w http.ResponseWriter, c *call) error {
	if c.request.ContentLength > d.settings.Limits.BodyBytes {
		return refusal.New(refusal.BodyTooLarge, "the body is larger than %d bytes", d.settings.Limits.BodyBytes).ForAttempt()
	}
	control := http.NewResponseController(w)
	c.bodyMemory = clientconn.RequestMemory(d.memory.Budget, w, c.request)
	err := d.readInto(w, c, control)
	if !c.bodyMemory.Finish() {
		return d.memoryFull()
	}
	if err == nil {
		// The connection carries further requests.
		_ = control.SetReadDeadline(time.Time{})
	}
	return err
}

// refuseHead responds to a call whose head is larger than its limit (status 431), or does not fit into the memory for heads.
func (d *Daemon) refuseHead(w http.ResponseWriter, status int) {
	r := refusal.New(refusal.HeadTooLarge, "the request line and the header are larger than %d bytes", d.settings.Limits.HeadBytes)
	if status == http.StatusServiceUnavailable {
		r = refusal.New(refusal.MemoryFull, "the headers of other requests use the memory for them").WithRetryAfter(memoryRetryAfter)
	}
	id := d.newID()
	d.metrics.Refused.Add(string(r.Code), 1)
	d.log.Info("request refused", zap.String(jsonlog.FieldRequestID, id), zap.String("code", string(r.Code)), zap.String("detail", r.Message))
	r.ForAttempt().Write(w, id)
}

// memoryFull returns the refusal of a body for which there is no memory.
func (d *Daemon) memoryFull() error {
	return refusal.New(refusal.MemoryFull, "request bodies use %d bytes of %d and this body does not fit", d.memory.used.Value(), d.memory.limit).
		ForAttempt().WithRetryAfter(memoryRetryAfter)
}

// readInto reads the body of a call into its memory.
func (d *Daemon) readInto(w http.ResponseWriter, c *call, control *http.ResponseController) error {
	body := http.MaxBytesReader(w, c.request.Body, d.settings.Limits.BodyBytes)
	for {
		if len(c.body) == cap(c.body) && !d.growBody(c) {
			return d.memoryFull()
		}
		// Only the writers of tests do not support deadlines.
		_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
		n, err := body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		if n > 0 {
			c.bodyMemory.Progress(time.Now(), n)
		}
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
	if !c.bodyMemory.Grow(time.Now(), memory.Bodies, size) {
		return false
	}
	d.memory.publish()
	c.body = append(make([]byte, 0, size), c.body...)
	return true
}

package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clientconn"
	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/port"
)

// initialBodyBuffer is the initial size of the buffer for a request body. The buffer doubles from there, so that a client
// that announces a large body and sends nothing occupies little memory.
const initialBodyBuffer = 4 << 10

// readBody reads the whole body of a request by the deadline of its call; later the request could not be served. Memory
// is reserved before bytes are read into it. The returned function releases it; a status other than 0 rejects the request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, c *call, limits port.ClientLimits) (func(), int) {
	if r.Body == http.NoBody || r.ContentLength == 0 {
		return func() {}, 0
	}
	if limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes {
		return func() {}, http.StatusRequestEntityTooLarge
	}
	control := http.NewResponseController(w)
	held := clientconn.RequestMemory(g.memory, w, r)
	release := func() {
		held.Release(memory.Bodies)
		g.metrics.bodyBytes.Set(g.memory.Used(memory.Bodies))
	}
	// Only the writers of tests do not support deadlines.
	_ = control.SetReadDeadline(c.deadline)
	content := io.Reader(r.Body)
	if limits.MaxBodyBytes > 0 {
		content = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	data, err := readWithin(content, held, r.ContentLength)
	inMemory := held.Finish()
	g.metrics.bodyBytes.Set(g.memory.Used(memory.Bodies))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && inMemory:
		// The connection carries further requests.
		_ = control.SetReadDeadline(time.Time{})
		c.request.Body = data
		return release, 0
	case errors.As(err, &tooLarge):
		return release, http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemory) || !inMemory:
		return release, http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return release, http.StatusRequestTimeout
	}
	g.log.Warn("reading the body of a request failed", zap.String(jsonlog.FieldRequestID, c.request.ID), zap.Error(err))
	return release, http.StatusBadRequest
}

// errBodyMemory reports that the memory for request bodies is full.
var errBodyMemory = errors.New("memory for request bodies is full")

// readWithin reads a body of the given length, or of unknown length if that is negative, into memory that it reserves.
func readWithin(r io.Reader, held *memory.Request, length int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(initialBodyBuffer, 2*int64(cap(data)))
			if length >= int64(cap(data)) {
				// One more byte shows the end of the body without growing the buffer again.
				size = min(size, length+1)
			}
			if !held.Grow(time.Now(), memory.Bodies, size) {
				return nil, errBodyMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 {
			held.Progress(time.Now(), n)
		}
		switch {
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

package engine

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxEventBytes bounds the size of one server-sent event.
const maxEventBytes = 1 << 20

// watchedReader resets a watchdog whenever bytes arrive, including heartbeats.
type watchedReader struct {
	reader io.Reader
	watch  *watchdog
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.watch.reset()
	}
	return n, err
}

// stream decodes the chunks of one attempt. It implements port.ChunkStream.
type stream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	body   io.ReadCloser
	watch  *watchdog
	// software is the software version of the engine.
	software string
	next     func() (sse.Event, error, bool)
	stop     func()
	// onError is called with the error that ended the stream.
	onError func(error)
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, resp *http.Response, watch *watchdog, onError func(error)) *stream {
	events := sse.Read(&watchedReader{reader: resp.Body, watch: watch}, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &stream{
		ctx: ctx, cancel: cancel, body: resp.Body, watch: watch, software: resp.Header.Get(SoftwareHeader),
		next: next, stop: stop, onError: onError,
	}
}

// Next implements port.ChunkStream. The watchdog runs only while Next waits for the
// engine, so that a slow caller is not mistaken for an unresponsive engine.
func (s *stream) Next() (port.Chunk, error) {
	s.watch.reset()
	defer s.watch.stop()
	event, err, ok := s.next()
	if !ok {
		return port.Chunk{}, io.EOF
	}
	if err != nil {
		err = causeOf(s.ctx, err)
		s.onError(err)
		return port.Chunk{}, err
	}
	var chunk port.Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return port.Chunk{}, trace.Wrap(err, "engine sent a malformed chunk")
	}
	chunk.Software = s.software
	return chunk, nil
}

// Close implements port.ChunkStream.
func (s *stream) Close() error {
	s.watch.stop()
	s.cancel(nil)
	s.stop()
	return s.body.Close()
}

package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/memory"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// newStreamCall returns a call of a stream with an allowed gap of 100 ms, and its in-flight
// request at a runner.
func newStreamCall(t *testing.T, g *Gateway) (*call, *placement.InFlightRequest) {
	t.Helper()
	c := newTestCall(g)
	c.writer = httptest.NewRecorder()
	c.route = &port.ForwardRoute{Repeat: port.RepeatStream, Resumable: true, Target: time.Second, GapTarget: 100 * time.Millisecond, MaxAttempts: 3}
	plan, ok := g.fleet.Place(time.Now(), placement.Query{Service: "s"})
	if !ok {
		t.Fatal("no runner")
	}
	return c, plan.Run
}

// pipedResponse returns a response whose body writeBody writes.
func pipedResponse(writeBody func(w *io.PipeWriter)) *port.ForwardResponse {
	r, w := io.Pipe()
	go writeBody(w)
	return &port.ForwardResponse{Status: http.StatusOK, Header: http.Header{}, Body: r}
}

// Guards against a stalled stream that comments, blank lines or occasional bytes keep open
// forever, and against ending a slow but healthy stream.
func TestStalledAndSlowStreams(t *testing.T) {
	const event, rounds, interval = "id: 1\ndata: x\n\n", 60, 500 * time.Millisecond
	cases := []struct {
		name, begin, repeat string
		stalled             bool
	}{
		{"events", event, "data: y\n\n", false},
		{"events in pieces", event, "data: y\n\nda", false},
		{"comments", event, ": still here\n\n", true},
		{"blank lines", event, "\n\n", true},
		{"a byte now and then", event, "x", true},
		{"comments before the first event", "", ": still here\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayWith(&silentEngines{}, RetryLimits{Ratio: 1, Window: time.Minute, Slack: 50})
				setTestRunners(g)
				call, inFlight := newStreamCall(t, g)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				monitor := call.startStallMonitor(t.Context(), cancel, stallLimits{runner: inFlight.Runner().ID, firstTimeout: time.Second})
				defer monitor.stop()
				response := pipedResponse(func(w *io.PipeWriter) {
					_, err := io.WriteString(w, c.begin)
					for i := 0; i < rounds && err == nil && ctx.Err() == nil; i++ {
						time.Sleep(interval)
						_, err = io.WriteString(w, c.repeat)
					}
					_ = w.CloseWithError(context.Cause(ctx))
				})
				_ = call.relayStream(inFlight, response, monitor)
				if next := monitor.next(); next != nil {
					next.cancel(nil)
					next.release()
				}
				if stalled := errors.Is(context.Cause(ctx), errStalled); stalled != c.stalled {
					t.Errorf("detected as stalled: %t, want %t", stalled, c.stalled)
				}
			})
		})
	}
}

// Guards against a response that starts with comments only: a request that received nothing
// else must still be served by another runner, or get a correct status.
func TestCommentsDoNotStartResponse(t *testing.T) {
	for _, body := range []string{": hello\n\n", strings.Repeat(": hello\n\n", maxEventBytes)} {
		c, inFlight := newStreamCall(t, newTestGateway(RetryLimits{}))
		err := c.relayStream(inFlight, pipedResponse(func(w *io.PipeWriter) {
			_, err := io.WriteString(w, body)
			if err == nil {
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
			}
		}), &stallMonitor{})
		if err == nil || c.headerWritten {
			t.Errorf("%d bytes of comments: error %v, response header written: %t", len(body), err, c.headerWritten)
		}
	}
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (endlessBody) Close() error               { return nil }

// Guards against endless responses on many connections that exceed their share of the memory,
// and against memory that is not released.
func TestResponseMemoryIsBounded(t *testing.T) {
	// responseLimitShare is the share of the memory that responses of all sizes may occupy together.
	const memoryBytes, responseLimitShare = 8 << 20, 0.375
	g := newTestGateway(RetryLimits{})
	g.memory.SetMemory(memoryBytes)
	calls := make([]*call, 50)
	var group sync.WaitGroup
	for i := range calls {
		calls[i] = newTestCall(g)
		group.Go(func() {
			_, err := calls[i].readResponse(&port.ForwardResponse{Body: endlessBody{}})
			if !errors.Is(err, errResponseMemory) && !errors.Is(err, port.ErrInvalidResponse) {
				t.Errorf("an endless response ended with error %v, want the memory or the size limit", err)
			}
		})
	}
	group.Wait()
	if used, limit := g.memory.Used(memory.Responses), int64(responseLimitShare*memoryBytes); used > limit {
		t.Errorf("responses occupy %d bytes, want at most %d", used, limit)
	}
	for _, c := range calls {
		c.releaseMemory()
	}
	if used := g.memory.Used(memory.Responses); used != 0 {
		t.Errorf("%d bytes stay reserved after all calls ended", used)
	}
	if body, err := calls[0].readResponse(&port.ForwardResponse{Body: io.NopCloser(strings.NewReader("short"))}); err != nil || string(body) != "short" {
		t.Errorf("a short response is %q, error %v", body, err)
	}
}

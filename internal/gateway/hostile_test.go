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

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// streamCall returns a call of a stream that may pause for 100 ms, and its work at a runner.
func streamCall(t *testing.T, g *Gateway) (*call, *placement.InFlightRequest) {
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

// written is a body that a test writes.
func written(write func(w *io.PipeWriter)) *port.ForwardResponse {
	r, w := io.Pipe()
	go write(w)
	return &port.ForwardResponse{Status: http.StatusOK, Header: http.Header{}, Body: r}
}

// Guards against a stalled stream that is kept alive by comments, by blank lines or by a
// byte now and then and never ends, and against a slow but sound stream that is cut.
func TestStalledAndSlowStreams(t *testing.T) {
	const event, rounds, pause = "id: 1\ndata: x\n\n", 60, 500 * time.Millisecond
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
				g := newTestGateway(RetryLimits{Ratio: 1, Window: time.Minute, Slack: 50})
				call, work := streamCall(t, g)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				watch := call.watchStall(cancel, work.Runner().ID, time.Second)
				defer watch.stop()
				answer := written(func(w *io.PipeWriter) {
					_, err := io.WriteString(w, c.begin)
					for i := 0; i < rounds && err == nil && ctx.Err() == nil; i++ {
						time.Sleep(pause)
						_, err = io.WriteString(w, c.repeat)
					}
					_ = w.CloseWithError(context.Cause(ctx))
				})
				_ = call.relay(work, answer, watch)
				if stalled := errors.Is(context.Cause(ctx), errStalled); stalled != c.stalled {
					t.Errorf("taken as stalled: %t, want %t", stalled, c.stalled)
				}
			})
		})
	}
}

// Guards against an answer that begins with comments only: a request that got nothing else
// must still be answered by another runner, or with a true status.
func TestCommentsBeginNoAnswer(t *testing.T) {
	for _, body := range []string{": hello\n\n", strings.Repeat(": hello\n\n", maxEventBytes)} {
		c, work := streamCall(t, newTestGateway(RetryLimits{}))
		err := c.relay(work, written(func(w *io.PipeWriter) {
			_, err := io.WriteString(w, body)
			if err == nil {
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
			}
		}), &stallWatch{})
		if err == nil || c.delivering {
			t.Errorf("%d bytes of comments: error %v, answer begun: %t", len(body), err, c.delivering)
		}
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
func (endless) Close() error               { return nil }

// Guards against answers without end on many connections that take more than their part of
// the memory, and against memory that stays taken.
func TestAnswersTakeBoundedMemory(t *testing.T) {
	const memory = 8 << 20
	g := newTestGateway(RetryLimits{})
	s := *g.settings.Load()
	s.MemoryBytes = memory
	g.settings.Store(&s)
	calls := make([]*call, 50)
	var group sync.WaitGroup
	for i := range calls {
		calls[i] = newTestCall(g)
		group.Go(func() {
			_, err := calls[i].readAnswer(&port.ForwardResponse{Body: endless{}})
			if !errors.Is(err, errAnswerMemory) && !errors.Is(err, port.ErrSpoiled) {
				t.Errorf("error is %v", err)
			}
		})
	}
	group.Wait()
	// Each call may have asked for one step more.
	if used, most := g.answers.Load(), int64(answerShare*memory)*2; used > most {
		t.Errorf("answers take %d bytes, want at most %d", used, most)
	}
	for _, c := range calls {
		c.releaseMemory()
	}
	if used := g.answers.Load(); used != 0 {
		t.Errorf("%d bytes stay taken after all calls ended", used)
	}
	if body, err := calls[0].readAnswer(&port.ForwardResponse{Body: io.NopCloser(strings.NewReader("short"))}); err != nil || string(body) != "short" {
		t.Errorf("a short answer is %q, %v", body, err)
	}
}

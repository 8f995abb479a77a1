package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/continuity"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against streams that clients take up and that are refused because the engines of their software version look full, by the
// load of a daemon that is gone or of streams that end soon, while new streams begin at another version; against waits that are in vain
// for longer than the client waits, and against streams that stay in the queue after they have ended.
func TestTakeUpWaitsForRoomAtItsVersion(t *testing.T) {
	cases := []struct {
		name    string
		observe func(t *testing.T, p *peers)
		whole   bool
		longest time.Duration
	}{
		{"the daemon that used the slots is gone", func(_ *testing.T, p *peers) {
			p.recordCallResult(p.links["e"], fmt.Errorf("dial: %w", syscall.ECONNREFUSED), time.Millisecond)
		}, true, 400 * time.Millisecond},
		{"it does not respond", func(*testing.T, *peers) {}, true, 2200 * time.Millisecond},
		{"its streams end", func(t *testing.T, p *peers) { receiveLoads(t, p, "e", 1, map[string]int{"old": 1}) }, true, 400 * time.Millisecond},
		{"its streams go on", func(t *testing.T, p *peers) {
			for range 12 {
				receiveLoads(t, p, "e", 1, map[string]int{"old": 2})
				time.Sleep(heartbeatInterval)
			}
		}, false, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := map[string]int{}
				g := newEngineGateway(&runFunc{run: func(_ context.Context, to port.Runner) (*port.ForwardResponse, error) {
					runs[to.Version]++
					body := io.NopCloser(strings.NewReader("id: 2\ndata: " + to.Version + "\n\n"))
					return &port.ForwardResponse{Status: http.StatusOK, Framed: true, Body: body, Header: http.Header{"Content-Type": {eventStreamType}}}, nil
				}}, RetryLimits{Slack: 100}, 0)
				g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
				g.fleet.SetRunners([]port.Runner{
					{ID: "old", Service: "s", Address: "old:80", DataCentre: "north", Slots: 2, Role: port.RoleDecode, Version: "v1"},
					{ID: "new", Service: "s", Address: "new:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode, Version: "v2"},
				})
				receiveLoads(t, g.peers, "e", 1, map[string]int{"old": 2})
				g.origins.begin(time.Now(), "first", continuity.Origin{Service: "s", Version: "v1"}, false)
				call := newLongPromptCall(g)
				call.route.Resumable, call.route.Destinations = true, []port.Destination{{Service: "s", Weight: 1}}
				call.request.TakesUp, call.request.ResumeAfter, call.lastEventID = "first", "1", "1"
				call.deadline = time.Now().Add(8 * time.Second)
				recorder := httptest.NewRecorder()
				call.writer = recorder
				go func() {
					time.Sleep(300 * time.Millisecond)
					c.observe(t, g.peers)
				}()
				began := time.Now()
				call.serveStream(context.Background())
				if whole := recorder.Body.String() == "id: 2\ndata: v1\n\n"; whole != c.whole || runs["v2"] > 0 {
					t.Errorf("status %d, body %q, runs %v, steps %q", recorder.Code, recorder.Body.String(), runs, call.stepLog)
				}
				if took := time.Since(began); took > c.longest {
					t.Errorf("it took %s, want at most %s", took, c.longest)
				}
				failures := g.metrics.takeUpFailures.String()
				if counted := strings.Contains(failures, `"engines-full": 1`); counted == c.whole {
					t.Errorf("failed take-ups by reason: %s", failures)
				}
				time.Sleep(4 * time.Second)
				if err := call.classify(); errors.Is(err, errSaturated) {
					t.Error("the stream still waits for room after it has ended")
				}
			})
		})
	}
}

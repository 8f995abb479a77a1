package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// restartedEngines is a port.Runners with two engines of version 1: "broken" sends one event, ends, and refuses connections after that;
// "other" completes streams with the version that its present process has. Each run at it opens its first connection.
type restartedEngines struct {
	port.Runners
	other port.Runner
	// present is the version of its process, reachable is set if probes open connections to it, ended once "broken" has ended.
	present          string
	reachable, ended bool
	opened           func()
}

func (*restartedEngines) Retain(func(string) bool) {}

func (*restartedEngines) WatchContacts(func(to port.Runner, c port.Contact, began time.Time)) {}

func (e *restartedEngines) Probe(context.Context, port.Runner) error {
	if e.reachable {
		return nil
	}
	return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
}

func (e *restartedEngines) Run(ctx context.Context, to port.Runner, _ *port.ForwardRequest, o port.RunOptions) (*port.ForwardResponse, error) {
	events := io.Reader(strings.NewReader("id: 2\ndata: " + e.present + "\n\n"))
	switch {
	case to.ID == "broken" && e.ended:
		return nil, fmt.Errorf("%w: connection refused", port.ErrNotSent)
	case o.ResumeAfter == "":
		e.ended = to.ID == "broken"
		events = io.MultiReader(strings.NewReader("id: 1\ndata: v1\n\n"), brokenReader{})
	default:
		e.opened()
		if o.Opened != nil {
			if err := o.Opened(ctx); err != nil {
				return nil, fmt.Errorf("%w: %w", port.ErrNotSent, err)
			}
		}
	}
	return &port.ForwardResponse{Status: http.StatusOK, Framed: true, Body: io.NopCloser(events), Header: http.Header{"Content-Type": {eventStreamType}}}, nil
}

// newRestartedGateway returns a gateway that knows both engines, and a call of a resumable stream.
func newRestartedGateway(t *testing.T, e *restartedEngines) (*Gateway, port.Runner, *call, *httptest.ResponseRecorder) {
	e.opened = func() {}
	e.other = port.Runner{ID: "other", Service: "s", Address: "other:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode, Version: "v1", StartedMS: 1, Sequence: 1}
	broken := e.other
	broken.ID, broken.Address = "broken", "broken:80"
	g := newEngineGateway(e, RetryLimits{Slack: 100}, 0)
	g.discovery.applyRecords(time.Now(), []port.KeyedRecord{runnerRecord(t, broken), runnerRecord(t, e.other)}, true, false)
	c := newLongPromptCall(g)
	c.route.Resumable, c.deadline = true, time.Now().Add(8*time.Second)
	recorder := httptest.NewRecorder()
	c.writer = recorder
	return g, broken, c, recorder
}

// loseConnection loses a connection to an engine other than the excluded one, shortly after an event.
func loseConnection(t *testing.T, g *Gateway, excluded string) port.Runner {
	t.Helper()
	lost, ok := g.fleet.Place(time.Now(), placement.Query{Service: "s", Prompt: &port.Prompt{InputTokens: 100}, Excluded: map[string]bool{excluded: true}})
	if !ok {
		t.Fatal("no engine was chosen")
	}
	lost.Run.RecordEvent(time.Now())
	g.endAttempt(lost.Run, placement.Failed)
	return lost.Run.Runner()
}

// readEntries reads the entries of both engines for g until ctx is done. With writes set, the other engine writes one each second.
func readEntries(ctx context.Context, t *testing.T, g *Gateway, e *restartedEngines, broken port.Runner, writes bool) {
	for start := time.Now(); ctx.Err() == nil; clock.Sleep(ctx, 50*time.Millisecond) {
		began := time.Now()
		if writes {
			e.other.Sequence = 1 + int64(began.Sub(start)/time.Second)
		}
		g.discovery.applyRecords(began, []port.KeyedRecord{runnerRecord(t, broken), runnerRecord(t, e.other)}, true, false)
		g.discovery.confirm(began)
		g.discovery.refreshes.finish(began, nil)
	}
}

// Guards against streams that go on at a runner that is back under its id with another software version, although its entry is an old one
// and this daemon has seen connections to it end, or has none; and against streams that end although the runner still runs.
func TestStreamGoesOnOnlyAtACertainProcess(t *testing.T) {
	cases := []struct {
		name string
		// present is the version of the other engine, unseen is set if no connection to it was lost, reachable if it takes connections
		// at once after that, entries if it writes further entries, storeAway if none can be read.
		present                               string
		unseen, reachable, entries, storeAway bool
		whole                                 bool
		longest                               time.Duration
	}{
		{"restarted while the store is away", "v2", false, false, false, true, false, 4 * time.Second},
		{"restarted, and its new entry comes late", "v2", false, false, false, false, false, 4 * time.Second},
		{"restarted without a lost connection", "v2", true, false, false, false, false, 4 * time.Second},
		{"no lost connection while the store is away", "v1", true, false, false, true, true, 500 * time.Millisecond},
		{"it takes connections at once", "v1", false, true, false, true, true, 500 * time.Millisecond},
		{"it writes further entries", "v1", false, false, true, false, true, 3 * time.Second},
		{"its entries cannot be read", "v1", false, false, true, true, false, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &restartedEngines{present: c.present, reachable: c.reachable}
				g, broken, call, recorder := newRestartedGateway(t, engines)
				if c.unseen && c.present == "v2" {
					// The new process writes its entry when it starts to take connections.
					engines.opened = func() { engines.other.Version, engines.other.StartedMS = "v2", 2 }
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				go g.processes.run(ctx)
				if !c.storeAway {
					go readEntries(ctx, t, g, engines, broken, c.entries)
				}
				if !c.unseen {
					loseConnection(t, g, "broken")
				} else {
					g.fleet.MarkQuiet(start, "other", 1, 20*time.Millisecond)
				}
				call.serveStream(ctx)
				body := recorder.Body.String()
				if whole := body == "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n"; whole != c.whole || strings.Contains(body, "v2") {
					t.Errorf("the client received %q, steps %q", body, call.stepLog)
				}
				if took := time.Since(start); took > c.longest {
					t.Errorf("it took %s, want at most %s", took, c.longest)
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against runners that stay in doubt, so that all streams that begin there have an unknown version.
func TestDoubtEndsAfterAStreamBeginsAtTheRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &restartedEngines{}
		g, broken, call, _ := newRestartedGateway(t, engines)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go g.processes.run(ctx)
		go readEntries(ctx, t, g, engines, broken, true)
		loseConnection(t, g, "broken")
		call.excluded["broken"] = true
		call.serveStream(ctx)
		if !strings.HasPrefix(call.version, unknownVersion) {
			t.Errorf("the stream began at version %q", call.version)
		}
		if time.Sleep(wantedTime); g.fleet.InDoubt("other") {
			t.Error("a runner that writes further entries is still in doubt")
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// Guards against a stream that begins at a runner of unknown version and goes on at one of the version that the runner had.
func TestStreamOfAnUnknownVersionDoesNotGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, call, recorder := newRestartedGateway(t, &restartedEngines{present: "v1"})
		g.fleet.MarkQuiet(time.Now(), "other", 1, 20*time.Millisecond)
		g.fleet.DoubtProcess(time.Now(), "broken", 1)
		call.serveStream(t.Context())
		if body := recorder.Body.String(); body != "id: 1\ndata: v1\n\n" || !call.abortConnection {
			t.Errorf("the client received %q, ended %t, steps %q", body, call.abortConnection, call.stepLog)
		}
		time.Sleep(time.Second)
	})
}

// Guards against requests that crash further runners while the end of the first ones shows in the registry only, and against ends of
// runners that leave, or of many at a time, and count as crashes.
func TestCrashesAreConfirmedAtOnce(t *testing.T) {
	for _, c := range []struct{ ended, leaves, many bool }{{true, false, false}, {false, false, false}, {true, true, false}, {true, false, true}} {
		synctest.Test(t, func(t *testing.T) {
			g, _, _, _ := newRestartedGateway(t, &restartedEngines{reachable: !c.ended})
			for _, excluded := range []string{"broken", "other"} {
				lostAt := loseConnection(t, g, excluded)
				g.crashes.recordLoss(connectionLoss{traits: testTraits, runner: lostAt, at: time.Now()})
			}
			for i := 0; c.many && i < maxCrashesAtOnce; i++ {
				g.processes.beginVerify(fmt.Sprint(i))
			}
			if c.leaves {
				g.fleet.MarkLeaving("broken", 1)
				g.fleet.MarkLeaving("other", 1)
			}
			time.Sleep(100 * time.Millisecond)
			if blocks := g.crashes.blocks(); (len(blocks) > 0) != (c.ended && !c.leaves && !c.many) {
				t.Errorf("%+v: blocked traits %v", c, blocks)
			}
		})
	}
}

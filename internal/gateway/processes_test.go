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

// restartedEngines is a port.Runners with two engines: "broken" sends one event and ends, and refuses connections after that; "other"
// completes streams with the version that its present process has.
type restartedEngines struct {
	port.Runners
	version string
	// reachable is set if connections to "other" open.
	reachable bool
	ended     bool
}

func (*restartedEngines) Retain(func(string) bool) {}

func (*restartedEngines) WatchContacts(func(to port.Runner, c port.Contact, began time.Time)) {}

func (e *restartedEngines) Probe(context.Context, port.Runner) error {
	if !e.reachable {
		return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	}
	return nil
}

func (e *restartedEngines) Run(_ context.Context, to port.Runner, _ *port.ForwardRequest, o port.RunOptions) (*port.ForwardResponse, error) {
	body := io.Reader(strings.NewReader("id: 2\ndata: " + e.version + "\n\n"))
	switch {
	case to.ID == "broken" && e.ended:
		return nil, fmt.Errorf("%w: connection refused", port.ErrNotSent)
	case o.ResumeAfter == "":
		e.ended = to.ID == "broken"
		body = io.MultiReader(strings.NewReader("id: 1\ndata: v1\n\n"), brokenReader{})
	}
	return &port.ForwardResponse{Status: http.StatusOK, Framed: true, Body: io.NopCloser(body), Header: http.Header{"Content-Type": {eventStreamType}}}, nil
}

// Guards against streams that go on at a runner that is back under its id with another software version, although this daemon has seen
// connections to it end and its entry is an old one; and against streams that end although the runner still runs.
func TestStreamGoesOnOnlyAtACertainProcess(t *testing.T) {
	cases := []struct {
		name string
		// reachable is set if the other engine takes connections at once after it was lost, entries if it writes further
		// entries, storeAway if none can be read.
		reachable, entries, storeAway bool
		whole                         bool
		longest                       time.Duration
	}{
		{"restarted while the store is away", false, false, true, false, 4 * time.Second},
		{"restarted, and its new entry comes late", false, false, false, false, 4 * time.Second},
		{"it takes connections at once", true, false, true, true, 500 * time.Millisecond},
		{"it writes further entries", false, true, false, true, 3 * time.Second},
		{"its entries cannot be read", false, true, true, false, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &restartedEngines{version: "v1", reachable: c.reachable}
				if !c.reachable && !c.entries {
					engines.version = "v2"
				}
				g := newEngineGateway(engines, RetryLimits{Slack: 100}, 0)
				other := port.Runner{ID: "other", Service: "s", Address: "other:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode, Version: "v1", StartedMS: 1, Sequence: 1}
				broken := other
				broken.ID, broken.Address = "broken", "broken:80"
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				g.discovery.applyRecords(time.Now(), []port.KeyedRecord{runnerRecord(t, broken), runnerRecord(t, other)}, true, false)
				start := time.Now()
				go g.processes.run(ctx)
				go func() {
					for ; ctx.Err() == nil; clock.Sleep(ctx, 50*time.Millisecond) {
						if c.storeAway {
							continue
						}
						began := time.Now()
						if c.entries {
							other.Sequence = 1 + int64(began.Sub(start)/time.Second)
						}
						g.discovery.applyRecords(began, []port.KeyedRecord{runnerRecord(t, broken), runnerRecord(t, other)}, true, false)
						g.discovery.confirm(began)
						g.discovery.refreshes.finish(began, nil)
					}
				}()
				// A connection to the other engine is lost shortly after an event.
				lost, ok := g.fleet.Place(time.Now(), placement.Query{Service: "s", Prompt: &port.Prompt{InputTokens: 100}, Excluded: map[string]bool{"broken": true}})
				if !ok {
					t.Fatal("no engine was chosen")
				}
				lost.Run.RecordEvent(time.Now())
				g.endAttempt(lost.Run, placement.Failed)
				call := newLongPromptCall(g)
				call.route.Resumable = true
				call.deadline = time.Now().Add(8 * time.Second)
				recorder := httptest.NewRecorder()
				call.writer = recorder
				began := time.Now()
				call.serveStream(ctx)
				body := recorder.Body.String()
				if whole := body == "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n"; whole != c.whole || strings.Contains(body, "v2") {
					t.Errorf("the client received %q, steps %q", body, call.stepLog)
				}
				if took := time.Since(began); took > c.longest {
					t.Errorf("it took %s, want at most %s", took, c.longest)
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a stream that begins at a runner of unknown version and goes on at one of the version that the runner had.
func TestStreamOfAnUnknownVersionDoesNotGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &restartedEngines{version: "v1"}
		g := newEngineGateway(engines, RetryLimits{Slack: 100}, 0)
		broken := port.Runner{ID: "broken", Service: "s", Address: "broken:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode, Version: "v1", StartedMS: 1}
		g.fleet.SetRunners([]port.Runner{broken})
		g.fleet.DoubtProcess(time.Now(), "broken", 1)
		call := newLongPromptCall(g)
		call.route.Resumable = true
		call.deadline = time.Now().Add(8 * time.Second)
		recorder := httptest.NewRecorder()
		call.writer = recorder
		time.AfterFunc(50*time.Millisecond, func() {
			other := broken
			other.ID, other.Address = "other", "other:80"
			g.fleet.SetRunners([]port.Runner{broken, other})
		})
		call.serveStream(t.Context())
		if body := recorder.Body.String(); body != "id: 1\ndata: v1\n\n" || !call.abortConnection {
			t.Errorf("the client received %q, ended %t, steps %q", body, call.abortConnection, call.stepLog)
		}
		time.Sleep(time.Second)
	})
}

// Guards against requests that crash further runners while the end of the first ones shows in the registry only.
func TestCrashesAreConfirmedAtOnce(t *testing.T) {
	for _, ended := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := newEngineGateway(&restartedEngines{reachable: !ended}, RetryLimits{Slack: 100}, 0)
			engines := []port.Runner{
				{ID: "a", Service: "s", Address: "a:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode},
				{ID: "b", Service: "s", Address: "b:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode},
			}
			g.fleet.SetRunners(engines)
			for range engines {
				lost, ok := g.fleet.Place(time.Now(), placement.Query{Service: "s", Prompt: &port.Prompt{InputTokens: 100}})
				if !ok {
					t.Fatal("no engine was chosen")
				}
				g.endAttempt(lost.Run, placement.Failed)
				g.crashes.recordLoss(connectionLoss{traits: testTraits, runner: lost.Run.Runner(), at: time.Now()})
			}
			time.Sleep(100 * time.Millisecond)
			if blocks := g.crashes.blocks(); (len(blocks) > 0) != ended {
				t.Errorf("runners have ended %t: blocked traits %v", ended, blocks)
			}
		})
	}
}

// openingEngines is a port.Runners each of whose runs opens the first connection to its engine.
type openingEngines struct {
	answeringEngines
	opened func()
}

func (e *openingEngines) Run(ctx context.Context, to port.Runner, r *port.ForwardRequest, o port.RunOptions) (*port.ForwardResponse, error) {
	e.opened()
	if o.Opened != nil {
		if err := o.Opened(ctx); err != nil {
			return nil, fmt.Errorf("%w: %w", port.ErrNotSent, err)
		}
	}
	return e.answeringEngines.Run(ctx, to, r, o)
}

// Guards against a stream that goes on at a runner that has started again with another version, of which this daemon has seen nothing
// because it had no connection to it; and against refusals while the registry cannot be read.
func TestEntryIsReadBeforeAStreamGoesOnOverTheFirstConnection(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			engines := &openingEngines{answeringEngines: answeringEngines{runs: map[string]int{}}}
			g := newEngineGateway(engines, RetryLimits{Slack: 100}, 0)
			runner := port.Runner{ID: "e", Service: "s", Address: "e:80", DataCentre: "north", Slots: 64, Role: port.RoleDecode, Version: "v1", StartedMS: 1, Sequence: 1}
			records := []port.KeyedRecord{runnerRecord(t, runner)}
			g.discovery.applyRecords(time.Now(), records, true, false)
			engines.opened = func() {
				runner.Version, runner.StartedMS = "v2", 2
				if storeAway {
					runner.Version, runner.StartedMS = "v1", 1
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for {
					select {
					case <-ctx.Done():
						return
					case <-g.discovery.refreshes.wanted:
					}
					if !storeAway {
						began := time.Now()
						g.discovery.applyRecords(began, []port.KeyedRecord{runnerRecord(t, runner)}, true, false)
						g.discovery.refreshes.finish(began, nil)
					}
				}
			}()
			call := newLongPromptCall(g)
			call.route.Resumable = true
			call.version, call.lastEventID, call.deadline = "v1", "1", time.Now().Add(8*time.Second)
			call.writer = httptest.NewRecorder()
			call.serveStream(ctx)
			if ran := engines.runs["v1"] > 0; ran != storeAway {
				t.Errorf("store away %t: runs %v, steps %q", storeAway, engines.runs, call.stepLog)
			}
			cancel()
			time.Sleep(time.Second)
		})
	}
}

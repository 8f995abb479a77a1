package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// configBound is the time within which a version must be in force.
const configBound = 3 * time.Second

// linkedFleet is a number of daemons of one data centre, each behind a link of its own, and their store.
type linkedFleet struct {
	t       *testing.T
	net     *standin.MemNet
	links   []*standin.Link
	daemons []*Gateway
	traffic []*peer.Traffic
	servers []*peer.Server

	// mu guards the fields below. config holds the operators' records, changed is closed with each new one.
	mu      sync.Mutex
	config  []port.KeyedRecord
	runners []port.KeyedRecord
	changed chan struct{}
}

// linkedStore is the store as seen from a daemon: what it sends waits in the daemon's link.
type linkedStore struct {
	port.KeyedLog
	fleet *linkedFleet
	link  *standin.Link
	opens time.Duration
}

// storeRequestBytes is the size of the request of a read.
const storeRequestBytes = 200

// request opens a connection and sends a read.
func (s *linkedStore) request(ctx context.Context) error {
	opening, cancel := context.WithTimeout(ctx, s.opens)
	defer cancel()
	for _, d := range []*standin.Direction{s.link.Out, s.link.In} {
		if err := d.Await(opening, storeRequestBytes); err != nil {
			return fmt.Errorf("%w: %w", port.ErrLogUnavailable, err)
		}
	}
	return s.link.Out.Await(ctx, storeRequestBytes)
}

func (s *linkedStore) records(topic string) ([]port.KeyedRecord, chan struct{}) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	switch topic {
	case port.TopicOperators:
		return s.fleet.config, s.fleet.changed
	case port.TopicRunners:
		return s.fleet.runners, s.fleet.changed
	}
	return nil, s.fleet.changed
}

func (s *linkedStore) Newest(ctx context.Context, topic string) ([]port.KeyedRecord, port.Position, error) {
	if err := s.request(ctx); err != nil {
		return nil, port.Position{}, err
	}
	records, _ := s.records(topic)
	return records, port.Position{Offset: int64(len(records))}, nil
}

func (s *linkedStore) Follow(ctx context.Context, topic string, from port.Position, wait time.Duration) ([]port.KeyedRecord, port.Position, error) {
	if err := s.request(ctx); err != nil {
		return nil, port.Position{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, changed := s.records(topic)
		if news := records[min(int(from.Offset), len(records)):]; len(news) > 0 || wait == 0 {
			return news, port.Position{Offset: int64(len(records))}, nil
		}
		select {
		case <-ctx.Done():
			return nil, port.Position{}, ctx.Err()
		case <-timer.C:
			return nil, from, nil
		case <-changed:
		}
	}
}

func (s *linkedStore) Put(context.Context, string, []port.KeyedRecord) error { return nil }

// publish writes a version of the configuration to the store.
func (f *linkedFleet) publish(version int64) {
	f.t.Helper()
	config := port.RouteConfig{Version: version, Services: map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{Slots: 64, KVTokens: 500_000}}}}
	for i := range 50 {
		config.Routes = append(config.Routes, port.ForwardRoute{Name: fmt.Sprint("route-", i), Host: "site.example", PathPrefix: fmt.Sprintf("/%d/", i)})
	}
	value, err := json.Marshal(config)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = append(f.config, port.KeyedRecord{Key: port.KeyRouteConfig, Value: value})
	close(f.changed)
	f.changed = make(chan struct{})
}

// removeRunner removes the first runner from the registry.
func (f *linkedFleet) removeRunner() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = append(f.runners, port.KeyedRecord{Key: f.runners[0].Key})
}

// newLinkedFleet starts daemons whose links send bytesPerSecond, with the given number of busy runners.
func newLinkedFleet(t *testing.T, daemons, runners int, bytesPerSecond func(daemon int) float64) *linkedFleet {
	t.Helper()
	f := &linkedFleet{t: t, net: standin.NewMemNet(), changed: make(chan struct{})}
	for i := range runners {
		f.runners = append(f.runners, runnerRecord(t, port.Runner{ID: fmt.Sprintf("runner-%03d", i), Service: "s", Address: fmt.Sprintf("10.1.0.%d:80", i), DataCentre: "north", Slots: 64, Role: port.RoleDecode, StartedMS: 1, Sequence: 1}))
	}
	f.publish(1)
	entries := map[string]daemonEntry{}
	for i := range daemons {
		entries[fmt.Sprintf("d%02d", i)] = daemonEntry{Address: fmt.Sprintf("10.0.0.%d:7600", i), DataCentre: "north"}
	}
	for i := range daemons {
		name := fmt.Sprintf("d%02d", i)
		link, traffic := standin.NewLink(bytesPerSecond(i)), peer.NewTraffic()
		host := standin.NewLinked(f.net.Host(name), link)
		dialer := peer.NewCountingDialer(host, traffic)
		g := New(Settings{Name: name, DataCentre: "north", DrainNotice: configBound, Listen: Listen{Peers: entries[name].Address}, Retries: RetryLimits{Slack: 50, Window: 10 * time.Second}},
			Dependencies{
				Logger: zap.NewNop(), Registry: jsonRegistry{}, Runners: noRunners{}, Peers: dialer.Dial, PeerTraffic: traffic,
				Store: &linkedStore{fleet: f, link: link, opens: 250 * time.Millisecond},
			})
		listener, err := host.Listen(entries[name].Address)
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewServer(g.peers.handlers())
		go func() { _ = server.Serve(listener) }()
		others := map[string]daemonEntry{}
		for other, entry := range entries {
			if other != name {
				others[other] = entry
			}
		}
		g.peers.addPeers(others, false)
		f.links, f.daemons, f.traffic, f.servers = append(f.links, link), append(f.daemons, g), append(f.traffic, traffic), append(f.servers, server)
		t.Cleanup(func() { _ = listener.Close() })
	}
	return f
}

// run runs the daemons, each with requests that begin and end at its runners, until ctx is done.
func (f *linkedFleet) run(ctx context.Context) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for _, g := range f.daemons {
		group.Go(func() { g.config.run(ctx) })
		group.Go(func() { g.discovery.run(ctx) })
		group.Go(func() { g.peers.run(ctx) })
		group.Go(func() { keepBusy(ctx, g) })
	}
	return group
}

// requestTime is how long a runner takes for a request.
const requestTime = time.Second

// keepBusy lets a request with new prompt parts arrive every 50 ms.
func keepBusy(ctx context.Context, g *Gateway) {
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		parts := []port.PromptPart{{ID: fmt.Sprintf("%s-system-prompt-%016x", g.peers.name, n), Tokens: 300}, {ID: fmt.Sprintf("%s-document-%016x", g.peers.name, n), Tokens: 900}}
		plan, ok := g.fleet.Place(time.Now(), placement.Query{Service: "s", Prompt: &port.Prompt{Model: "m", InputTokens: 1500, OutputTokens: 100, Parts: parts}})
		if ok && plan.Run != nil {
			running.Go(func() {
				time.Sleep(requestTime)
				plan.Run.End(time.Now(), placement.Completed)
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
}

// versions returns the version in force at each daemon.
func (f *linkedFleet) versions() []int64 {
	var out []int64
	for _, g := range f.daemons {
		out = append(out, g.config.version())
	}
	return out
}

// playLinked plays a scenario with a fleet in which the last daemon has the slow link.
func playLinked(t *testing.T, scenario func(f *linkedFleet, slow int)) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, runners = 12, 60
		f := newLinkedFleet(t, daemons, runners, func(i int) float64 {
			if i == daemons-1 {
				return 1_250_000
			}
			return 25_000_000
		})
		ctx, cancel := context.WithCancel(t.Context())
		group := f.run(ctx)
		time.Sleep(5 * time.Second)
		if got := f.versions(); slices.ContainsFunc(got, func(v int64) bool { return v != 1 }) {
			t.Fatalf("in calm the versions are %v", got)
		}
		scenario(f, daemons-1)
		cancel()
		group.Wait()
		for _, s := range f.servers {
			s.Close()
		}
		f.net.CloseAll()
		// The last calls and connections reach their time limits.
		time.Sleep(time.Minute)
	})
}

// Guards against a daemon that never learns a new version, of a runner that is gone, or of what others have counted, because
// each response takes a little longer than the limit of its calls.
func TestConfigurationArrivesOverASlowLink(t *testing.T) {
	playLinked(t, func(f *linkedFleet, slow int) {
		f.links[slow].SetDelay(400 * time.Millisecond)
		time.Sleep(2 * time.Second)
		f.removeRunner()
		f.publish(2)
		time.Sleep(configBound)
		if got := f.versions(); slices.Contains(got, 1) {
			f.t.Errorf("%s after the change the versions are %v", configBound, got)
		}
		for i, g := range f.daemons {
			if got, want := g.fleet.Size(), len(f.runners)-2; got != want {
				f.t.Errorf("%s after a runner has left daemon %d uses %d, want %d", configBound, i, got, want)
			}
		}
		u := &usageCounts{peers: f.daemons[slow].peers, log: zap.NewNop(), answered: map[string]bool{}}
		complete := false
		for range 3 {
			complete = complete || u.collect(f.t.Context(), 1)
		}
		if !complete {
			f.t.Errorf("not all daemons have answered what they know of the usage")
		}
	})
}

// Guards against news that no call can deliver, because together they need longer on the link than one call may take: all calls
// are given up and repeated, and neither the news nor new configuration arrives any more.
func TestManyCrashReportsPassASlowLink(t *testing.T) {
	playLinked(t, func(f *linkedFleet, slow int) {
		const losses = 250
		reporter := f.daemons[slow]
		for i := range losses {
			crash(reporter.crashes, i, traitsWith(i, fmt.Sprintf("part-of-request-%d", i)), time.Now())
		}
		f.links[slow].Out.SetRate(150_000)
		time.Sleep(5 * time.Second)
		f.publish(2)
		time.Sleep(configBound)
		if got := f.versions(); slices.Contains(got, 1) {
			f.t.Errorf("%s after the change the versions are %v", configBound, got)
		}
		for i, g := range f.daemons {
			if got := len(g.crashes.allReports(time.Now())); got != losses {
				f.t.Errorf("daemon %d knows of %d losses, want %d", i, got, losses)
			}
		}
		before := f.traffic[slow].Status()
		time.Sleep(5 * time.Second)
		if calls := f.traffic[slow].Status().Since(before); calls.Failed() > 0 {
			f.t.Errorf("8 to 13 s after the crashes %d calls got no response: %v", calls.Failed(), calls)
		}
	})
}

// Guards against calls to a peer that gets none, at the rate of the peer's own messages.
func TestPauseAfterALateCallOutlastsMessagesOfThePeer(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	receive := func(started int64) {
		t.Helper()
		params, err := json.Marshal(loadMessage{From: "e", Started: started, DataCentre: "north", Address: "10.0.0.7:1"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := g.peers.handleLoad(t.Context(), params); err != nil {
			t.Fatal(err)
		}
	}
	paused := func() bool { return g.peers.links["e"].backoff > 0 }
	receive(1)
	g.peers.recordCallResult(g.peers.links["e"], context.DeadlineExceeded, peerTimeout)
	if receive(1); !paused() {
		t.Error("a message of the peer ends the pause")
	}
	if receive(2); paused() {
		t.Error("the pause goes on for a process that has just started")
	}
	calls := make(chan loadMessage, 1)
	l := g.peers.links["e"]
	l.client, l.pendingCrashes, l.previous, l.cellPeer = loadCalls(calls), nil, nil, false
	g.peers.recordCallResult(l, context.DeadlineExceeded, peerTimeout)
	g.fleet.Place(time.Now(), placement.Query{Service: "s"})
	g.peers.sendChanges(t.Context(), time.Now().Add(maxPeerBackoff))
	select {
	case m := <-calls:
		if len(m.Runners) > 0 {
			t.Errorf("a peer that does not respond is sent the loads %v", m.Runners)
		}
	case <-time.After(5 * time.Second):
		t.Error("a peer that does not respond is not called again")
	}
}

// loadCalls passes on the load messages that it receives.
type loadCalls chan loadMessage

func (c loadCalls) Call(_ context.Context, _ string, params, _ any) error {
	c <- params.(loadMessage)
	return nil
}

// Guards against reports whose number grows with the square of the number of daemons, when a runner crashes while requests
// with a prompt part that all requests have in common complete everywhere.
func TestCompletionOfACommonPartIsReportedOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		peer  bool
		wants int
	}{{"seen here", false, 1}, {"told by a peer", true, 0}} {
		g := newCrashGuard(zap.NewNop())
		common := traitsWith(0, "common").Parts[:1]
		completed := epoch.Add(time.Second)
		if c.peer {
			g.applyReports(completed, []crashes.Report{crashes.CompletionReport(common[0], completed, completed)})
		} else {
			g.recordCompletion(crashes.Traits{Content: "c", Parts: common}, completed)
		}
		now := completed.Add(time.Second)
		for i := range 100 {
			loss := crashes.Loss{Traits: traitsWith(i, "common"), Runner: "r", Start: 1, At: epoch}
			g.applyReports(now, []crashes.Report{crashes.ReportOf(loss, now)})
		}
		if got := len(g.takeReports()); got != c.wants {
			t.Errorf("%s: %d reports on the part are sent to all daemons, want %d", c.name, got, c.wants)
		}
		later := now.Add(time.Second)
		g.recordCompletion(crashes.Traits{Content: "c", Parts: common}, later)
		g.takeReports()
		loss := crashes.Loss{Traits: traitsWith(200, "common"), Runner: "r", Start: 2, At: now}
		if g.applyReports(later, []crashes.Report{crashes.ReportOf(loss, later)}); len(g.takeReports()) != 1 {
			t.Errorf("%s: the completion after a later crash is not reported", c.name)
		}
	}
}

// Guards against notices that get lost, and against reports that are told as if they were new, when a call gets no response.
func TestNewsOutliveACallWithoutAResponse(t *testing.T) {
	now := epoch
	l := &peerLink{pendingLoads: map[string]runnerLoad{}, previous: &previousSlack{Used: 3, AgeMS: 100}}
	l.queueLoads([]runnerLoad{
		{ID: "leaving", Leaving: true, Started: 1, Running: 2}, {ID: "limited", Limit: &limitReport{Rate: 2, Age: 1000}, Started: 1},
		{ID: "busy", Running: 5},
	})
	l.queueCrashReports(now, []crashes.Report{{Trait: "t", Runner: "r", AgeMS: 100}})
	n := l.takeNews(now)
	l.queueLoads([]runnerLoad{{ID: "leaving", Running: 1}})
	now = now.Add(2 * time.Second)
	l.requeue(&n, now)
	var m loadMessage
	again := l.takeNews(now)
	again.addTo(&m)
	told := map[string]runnerLoad{}
	for _, r := range m.Runners {
		told[r.ID] = r
	}
	if r := told["leaving"]; len(told) != 2 || !r.Leaving || r.Running != 1 {
		t.Errorf("told again are %+v, want the notice with the newer load, and the limit", told)
	}
	if r := told["limited"]; r.Limit == nil || r.Limit.Age != 2_001_000 {
		t.Errorf("the limit is told as %+v, want it 2 s older", r.Limit)
	}
	if len(m.Crashes) != 1 || m.Crashes[0].AgeMS != 2100 || m.Previous == nil || m.Previous.AgeMS != 2100 {
		t.Errorf("told again are the crashes %+v and the earlier process %+v, want both 2 s older", m.Crashes, m.Previous)
	}
	l.queueLoads([]runnerLoad{{ID: "busy", Running: 6}})
	l.backoff = time.Second
	if quiet := l.takeNews(now); len(quiet.loads) > 0 || len(l.pendingLoads) != 1 {
		t.Errorf("a peer that does not respond is told %v", quiet.loads)
	}
}

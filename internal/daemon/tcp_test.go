package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// forwarder forwards TCP connections to a target, as a middlebox does, and can lose the
// state of the open ones.
type forwarder struct {
	listener net.Listener
	target   string
	// dropOn, unless nil, is the text in a request that makes the forwarder lose the
	// connection just before it forwards that request.
	dropOn atomic.Pointer[string]

	mu    sync.Mutex
	conns []*forwardedConn
	group sync.WaitGroup
}

// forwardedConn is one connection through a forwarder.
type forwardedConn struct {
	client, upstream net.Conn
	dropping         atomic.Bool
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: l, target: target}
	f.group.Go(f.accept)
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", f.target)
		if err != nil {
			client.Close()
			continue
		}
		c := &forwardedConn{client: client, upstream: upstream}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		f.mu.Unlock()
		f.group.Go(func() { f.copy(c, client, upstream) })
		f.group.Go(func() { f.copy(c, upstream, client) })
	}
}

// copy forwards bytes. Once the connection is lost it drops them, and a close is not
// passed on to the other end.
func (f *forwarder) copy(c *forwardedConn, from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if pattern := f.dropOn.Load(); pattern != nil && bytes.Contains(buffer[:n], []byte(*pattern)) {
			c.dropping.Store(true)
		}
		if c.dropping.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	from.Close()
	if !c.dropping.Load() {
		to.Close()
	}
}

// dropAll makes the open connections drop all further bytes; new connections work.
func (f *forwarder) dropAll() (dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		if !c.dropping.Swap(true) {
			dropped++
		}
	}
	return dropped
}

func (f *forwarder) close() {
	f.listener.Close()
	f.mu.Lock()
	for _, c := range f.conns {
		c.client.Close()
		c.upstream.Close()
	}
	f.mu.Unlock()
	f.group.Wait()
}

// tcpDaemon is a daemon whose engine and service are reached through forwarders.
type tcpDaemon struct {
	url       string
	engine    *standin.Engine
	service   *standin.Service
	toEngine  *forwarder
	toService *forwarder
	// onCall runs after a confirmation took effect and before its response is sent.
	onCall func()
}

func startTCPDaemon(t *testing.T) *tcpDaemon {
	t.Helper()
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		return strings.TrimPrefix(server.URL, "http://")
	}
	d := &tcpDaemon{onCall: func() {}}
	d.engine = standin.NewEngine(standin.EngineOptions{
		Name: "engine-1", Model: testModel, Role: port.RoleMixed, TokenTime: time.Millisecond, Capacity: 100_000})
	d.service = standin.NewService("service-1")
	d.toEngine = newForwarder(t, serve(d.engine.Handler()))
	service := d.service.Handler()
	d.toService = newForwarder(t, serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service.ServeHTTP(w, r)
		if r.URL.Path == confirmPath {
			d.onCall()
		}
	})))
	vms := standin.NewVMList(0, []port.VM{
		{ID: "engine-1", Address: d.toEngine.address(), DataCentre: "anand", Kind: port.KindEngine, Pool: testPool, State: port.VMLive},
		{ID: "service-1", Address: d.toService.address(), DataCentre: "anand", Kind: port.KindService, Pool: "caretaker", State: port.VMLive},
	})
	log := standin.NewLog(0)
	platform := serve(standin.NewPlatform(log, vms).Handler())
	publishDocument(t, log)
	s := settings.Default()
	s.Name, s.DataCentre, s.Region = "daemon-1", "anand", "guj-west"
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	s.Platform = settings.Platform{Log: "http://" + platform, VMList: "http://" + platform, WeightStore: "http://" + platform}
	s.Timing.Progress = settings.Duration(300 * time.Millisecond)
	s.Claims.CallTimeout = settings.Duration(500 * time.Millisecond)
	s.Claims.Partitions = 1
	deps := Connect(s, network.TCP{}, zap.NewNop(), "test")
	daemon := New(s, deps)
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = daemon.Kill() })
	d.url = "http://" + daemon.callerListener.Addr().String()
	// The loop ends with the time limit of the test at the latest.
	for !daemon.Ready() || daemon.fleet.upstreamByID("engine-1") == nil || !daemon.fleet.upstreamByID("engine-1").Serving() {
		time.Sleep(10 * time.Millisecond)
	}
	return d
}

// publishDocument appends a configuration without tight targets.
func publishDocument(t *testing.T, log *standin.Log) {
	t.Helper()
	c := &cluster{t: t, platform: standin.NewPlatform(log, nil)}
	doc := document()
	doc.Profiles[0].FirstTokenMS = 60_000
	c.publish("r1", 0, doc)
}

// Guards against a response that ends early or never when its TCP connection to the
// engine becomes permanently unresponsive.
func TestResponseOverUnresponsiveTCP(t *testing.T) {
	d := startTCPDaemon(t)
	for i := range 3 {
		prompt := fmt.Sprintf("history %d tokens=400", i)
		body, err := json.Marshal(completionRequest{Model: testProfile, Prompt: prompt, Stream: true})
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.Post(d.url+"/v1/completions", "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(resp.Body)
		var text strings.Builder
		complete, dropped := false, 0
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if !ok {
				continue
			}
			if dropped == 0 {
				dropped = d.toEngine.dropAll()
			}
			if data == "[DONE]" {
				complete = true
				continue
			}
			var event completionResponse
			if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 {
				t.Fatalf("event %q: %v", data, err)
			}
			text.WriteString(*event.Choices[0].Text)
		}
		resp.Body.Close()
		if !complete || text.String() != standin.Answer(testModel, prompt, 4000) {
			t.Errorf("response %d is not complete after %d connections were lost: %d bytes, end %t", i, dropped, text.Len(), complete)
		}
	}
}

// Guards against an engine that looks dead because its idle control connection has
// become unresponsive.
func TestControlOverUnresponsiveTCP(t *testing.T) {
	server := httptest.NewServer(standin.NewEngine(standin.EngineOptions{Name: "engine-1"}).Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	f := newForwarder(t, strings.TrimPrefix(server.URL, "http://"))
	client := engine.NewDialer(engine.Options{Network: network.TCP{}, ProgressTimeout: 300 * time.Millisecond, IdleConnTimeout: time.Minute}).Dial(f.address())
	for i := range 3 {
		if _, err := client.Status(context.Background()); err != nil {
			t.Fatal(err)
		}
		if f.dropAll() == 0 {
			t.Fatal("no connection was open")
		}
		if status, err := client.Status(context.Background()); err != nil || status.Engine != "engine-1" {
			t.Errorf("status %d over a lost connection: %+v, %v", i, status, err)
		}
		f.dropAll()
		if err := client.Cancel(context.Background(), "request"); err != nil {
			t.Errorf("cancellation %d: %v", i, err)
		}
	}
}

// Guards against a claimed call that is repeated, or refused as not run, when its TCP
// connection becomes unresponsive before the call arrives or after it took effect.
func TestClaimedCallOverUnresponsiveTCP(t *testing.T) {
	for name, wantRuns := range map[string]int{"before the call": 0, "after the call": 1} {
		t.Run(name, func(t *testing.T) {
			d := startTCPDaemon(t)
			if wantRuns == 0 {
				path := confirmPath
				d.toService.dropOn.Store(&path)
			} else {
				d.onCall = func() { d.toService.dropAll() }
			}
			key := fmt.Sprintf("%d-call", time.Now().Unix())
			for i := range 2 {
				if outcome := d.confirm(t, key); outcome != refusal.Unknown {
					t.Errorf("call %d has the outcome %q, want unknown", i, outcome)
				}
				d.toService.dropOn.Store(nil)
			}
			if n := d.service.ExecutionCount(key); n != wantRuns {
				t.Errorf("the call ran %d times, want %d", n, wantRuns)
			}
		})
	}
}

// confirm sends a non-repeatable call to the daemon and returns the outcome of its
// refusal, or "" if it was answered.
func (d *tcpDaemon) confirm(t *testing.T, key string) refusal.Outcome {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, d.url+confirmPath, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("answered %d: %s", resp.StatusCode, bytes.TrimSpace(body))
	return refusal.Outcome(resp.Header.Get(refusal.HeaderOutcome))
}

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	routeHost = "ficu95.example"
	service   = "wuno96b"
	// engineService is the service of the model engines.
	engineService = "huvo11a"
	// Prefixes of the routes.
	lookupPrefix  = "/cuti104/"
	confirmPrefix = "/puxa403/"
	digestPrefix  = "/lohu930/"
	queryPrefix   = "/pufi791/"
	// clientDeadline is how long a client waits for an answer, streamDeadline for one of a stream.
	clientDeadline = 3 * time.Second
	streamDeadline = 8 * time.Second
)

// recorder writes what happens to record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	return &recorder{out: out, start: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as it stands in the record.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// attempt is one attempt of a client.
type attempt struct {
	id     string
	daemon *daemon
	sent   time.Time
	path   string
	prompt *prompt
	status int
}

// world is a small deployment with its clients.
type world struct {
	record  *recorder
	store   *store
	runners []*runner
	daemons []*daemon
	version int

	mu       sync.Mutex
	attempts map[string]*attempt
	clients  sync.WaitGroup
}

// place says where a runner is and what it serves. stage is empty for a plain service.
type place struct{ zone, service, stage string }

// plainServices returns the places of instances of the plain service.
func plainServices(zones ...string) []place {
	var out []place
	for _, zone := range zones {
		out = append(out, place{zone, service, ""})
	}
	return out
}

// newWorld starts the store, runners at the given places and the daemons, and waits until all daemons
// are ready.
func newWorld(rec *recorder, folder string, places []place) (*world, error) {
	w := &world{record: rec, attempts: map[string]*attempt{}}
	var err error
	if w.store, err = newStore(rec); err != nil {
		return nil, err
	}
	for i, p := range places {
		r, err := newRunner(fmt.Sprintf("i-%s%d", hex.EncodeToString([]byte{byte(40 + i*7), 0xf3}), i+1), p, w.store, rec)
		if err != nil {
			return nil, err
		}
		w.runners = append(w.runners, r)
		rec.log("runner %s serves %s %s in %s at %s", r.id, p.service, p.stage, p.zone, r.address)
	}
	w.publish()
	for _, zone := range []string{"anand", "anand", "anand", "kheda", "mehsana", "mehsana"} {
		d, err := startDaemon(fmt.Sprintf("front-%s-%d", zone, len(w.daemons)+1), zone, w.store.address, folder)
		if err != nil {
			return w, err
		}
		w.daemons = append(w.daemons, d)
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range w.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(w.daemons) {
			break
		}
		if time.Now().After(deadline) {
			return w, fmt.Errorf("%d of %d daemons are ready after 15 s", ready, len(w.daemons))
		}
	}
	rec.log("all daemons are ready")
	return w, nil
}

// publish writes the next configuration.
func (w *world) publish() {
	w.version += 3
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 2, "service": service, "max_attempts": attempts, "sticky": false,
		}
	}
	stream := func(name, prefix string, priority, target, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "path_prefix": prefix, "kind": "stream", "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": engineService, "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300,
		}
	}
	at := w.store.putJSON(topicConfig, "config", map[string]any{
		"version": w.version,
		"routes": []any{
			route("r-lookup", lookupPrefix, "safe", 2), route("r-confirm", confirmPrefix, "unsafe", 1),
			stream("r-digest", digestPrefix, 0, 800, 8000), stream("r-query", queryPrefix, 1, 800, 8000),
		},
		"services": []any{
			map[string]any{"name": service, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": engineService, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity_tokens": 403610, "kv_token_bytes": 18432, "link_mbps": 740000.0, "kv_hold_s": 5.0,
				"reconfig_s": reconfigTime.Seconds(), "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.record.log("operator: configuration %d acknowledged at %.3f s", w.version, w.record.since(at))
}

// stop kills all daemons.
func (w *world) stop() {
	if w == nil {
		return
	}
	for _, d := range w.daemons {
		d.stop()
	}
}

// check returns an error if a daemon has ended by itself.
func (w *world) check() error {
	for _, d := range w.daemons {
		if !d.alive() {
			return errors.New(d.name + " has ended by itself")
		}
	}
	return nil
}

// find returns the attempt with an id.
func (w *world) find(id string) *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempts[id]
}

// client has one connection pool.
type client struct {
	world *world
	http  http.Client
}

func (w *world) newClient() *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{world: w, http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}}
}

// send sends one attempt to a daemon and returns its status, or 0 if there was no whole answer.
func (c *client) send(d *daemon, method, path, body string) int {
	return c.sendPrompt(d, method, path, body, nil)
}

// sendPrompt is send for a request with a prompt; prompt is nil for one without.
func (c *client) sendPrompt(d *daemon, method, path, body string, prompt *prompt) int {
	return c.sendAttempt(newAttempt(d, path, prompt), method, body)
}

// newAttempt returns an attempt that is about to be sent.
func newAttempt(d *daemon, path string, prompt *prompt) *attempt {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return &attempt{id: hex.EncodeToString(raw[:]), daemon: d, sent: time.Now(), path: path, prompt: prompt}
}

// sendAttempt sends an attempt and returns its status, or 0 if there was no whole answer.
func (c *client) sendAttempt(a *attempt, method, body string) int {
	d, path, prompt := a.daemon, a.path, a.prompt
	c.world.mu.Lock()
	c.world.attempts[a.id] = a
	c.world.mu.Unlock()
	deadline := clientDeadline
	if prompt != nil {
		deadline = streamDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = routeHost
	q.Header.Set("X-Attempt-Id", a.id)
	q.Header.Set("X-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	if prompt != nil {
		prompt.set(q.Header)
	}
	c.world.record.log("client: attempt %s, %s %s %s, to %s", a.id, method, path, q.Header.Get("X-Prompt-Prefix"), d.name)
	r, err := c.http.Do(q)
	if err != nil {
		c.world.record.log("client: attempt %s gets no answer: %v", a.id, err)
		return 0
	}
	defer r.Body.Close()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		c.world.record.log("client: attempt %s gets %d and %d bytes, broken off: %v", a.id, r.StatusCode, n, err)
		return 0
	}
	a.status = r.StatusCode
	c.world.record.log("client: attempt %s gets %d and %d bytes, sealed %t, Retry-After %q", a.id, r.StatusCode, n, r.Header.Get("X-Response-Seal") != "", r.Header.Get("Retry-After"))
	return r.StatusCode
}

// hasRun reports whether an attempt has begun to run at a runner.
func (w *world) hasRun(attempt string) bool {
	for _, r := range w.runners {
		if r.hasRun(attempt) {
			return true
		}
	}
	return false
}

// queries sends short prompts through all daemons in turn until ctx is done, rate a second.
func (w *world) queries(ctx context.Context, rate int) {
	clients := make([]*client, len(w.daemons))
	for i := range clients {
		clients[i] = w.newClient()
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c, d := clients[n%len(clients)], w.daemons[n%len(w.daemons)]
		p := &prompt{parts: []string{"4ab99a68565f", fmt.Sprintf("c0%x", n)}, tokens: []int{198, 628}, outputs: 24}
		w.clients.Go(func() { c.sendPrompt(d, http.MethodPost, queryPrefix, fmt.Sprintf("query %d", n), p) })
	}
}

// load sends lookups and confirmations through all daemons in turn until ctx is done: rate requests
// a second, of which three in five are confirmations.
func (w *world) load(ctx context.Context, rate int) {
	clients := make([]*client, len(w.daemons))
	for i := range clients {
		clients[i] = w.newClient()
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c, d := clients[n%len(clients)], w.daemons[n%len(w.daemons)]
		method, path, body := http.MethodGet, fmt.Sprintf("%sslot-%d", lookupPrefix, n), ""
		if n/len(w.daemons)%5 < 3 {
			method, path, body = http.MethodPost, confirmPrefix+"confirm", fmt.Sprintf("cart %d, digester %d", n, n%97)
		}
		w.clients.Go(func() { c.send(d, method, path, body) })
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the runners, near those of the site gbfb-rota.
const (
	runnerSlots = 64
	firstEvent  = 60 * time.Millisecond
	beat        = 1200 * time.Millisecond
	reconfig    = 3 * time.Second
)

// runner is a stand-in for a model runner or for an instance of a plain service. It registers itself in the store,
// streams numbered events, prefills prompts, carries out orders, and may crash and start again.
type runner struct {
	id, service, zone, address string
	store                      *store
	rec                        *recorder

	mu sync.Mutex
	// version is the version of its software; each event names it, which clients of the drill look at.
	version string
	stage   string
	born    int64
	beats   int64
	running int
	// busyUntil is the end of a change of stage.
	busyUntil time.Time
	orders    int
	handles   map[string]bool
	up        bool
	server    *http.Server
	stopBeats chan struct{}
}

// events is the number of events of a stream, gap the time between two.
type streamShape struct {
	events int
	gap    time.Duration
}

var shape = streamShape{events: 30, gap: 100 * time.Millisecond}

// start lets the runner listen and register itself, as a new incarnation under its id.
func (f *runner) start() error {
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.born, f.beats, f.up = time.Now().UnixMilli(), 0, true
	f.running, f.orders, f.handles, f.busyUntil = 0, 0, map[string]bool{}, time.Time{}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go f.server.Serve(l)
	f.stopBeats = make(chan struct{})
	go f.beatUntil(f.stopBeats)
	f.register()
	f.rec.add("runner %s starts: %s %s %s, zone %s, born %d", f.id, f.service, f.stage, f.version, f.zone, f.born)
	return nil
}

// crash ends the process of the runner: its connections end, and nothing listens any more. The store keeps its entry.
func (f *runner) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.up {
		return
	}
	f.up = false
	close(f.stopBeats)
	_ = f.server.Close()
	f.rec.add("runner %s crashes", f.id)
}

// register writes the entry. f.mu must be held.
func (f *runner) register() {
	f.beats++
	e := map[string]any{
		"service": f.service, "address": f.address, "zone": f.zone, "version": f.version, "slots": runnerSlots, "state": "ready",
		"cold_left_ms": 0, "seq_no": f.beats, "born": f.born,
	}
	if f.stage != "" {
		e["stage"] = f.stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	f.store.put("keyed.servers", f.id, e)
}

func (f *runner) beatUntil(stop chan struct{}) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		f.mu.Lock()
		if f.up {
			f.register()
		}
		f.mu.Unlock()
	}
}

// refuse answers that the request has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (f *runner) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	born := f.born
	f.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != f.id {
		w.Header().Set("X-Instance-Id", f.id)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/order":
		f.order(w, body)
		return
	case strings.HasPrefix(r.URL.Path, "/api/kv-handle/"):
		f.takeHandle(strings.TrimPrefix(r.URL.Path, "/api/kv-handle/"))
		w.WriteHeader(http.StatusOK)
		return
	case strings.HasPrefix(r.URL.Path, "/api/"):
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	prefill := r.Header.Get("X-Serving-Stage") == "prefill"
	f.mu.Lock()
	stage, version := f.stage, f.version
	busy := time.Now().Before(f.busyUntil)
	full := f.running >= runnerSlots
	f.mu.Unlock()
	switch {
	case stage != "" && prefill != (stage == "prefill"):
		refuse(w, http.StatusMisdirectedRequest)
		return
	case busy || full:
		refuse(w, http.StatusServiceUnavailable)
		return
	case prefill:
		f.prefill(w, id)
		return
	}
	if source := r.Header.Get("X-Kv-Source"); source != "" && !takeFrom(source) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	f.mu.Lock()
	f.running++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.running--
		f.mu.Unlock()
	}()
	f.rec.add("runner %s (%s) runs %s %s %s after %q", f.id, version, id, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Response-Seal", fmt.Sprintf("%s.%d.%s", f.id, born, id))
	if stage == "" {
		time.Sleep(firstEvent)
		_, _ = io.WriteString(w, "answer of "+f.id)
		return
	}
	f.stream(w, r, version)
}

func (f *runner) stream(w http.ResponseWriter, r *http.Request, version string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	wait := firstEvent
	for n := last + 1; n <= shape.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		wait = shape.gap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d, software %s\n\n", n, n, shape.events, version); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (f *runner) prefill(w http.ResponseWriter, id string) {
	time.Sleep(30 * time.Millisecond)
	f.mu.Lock()
	h := fmt.Sprintf("%x", len(f.handles)+1) + "-" + id
	f.handles[h] = true
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": h, "tokens": 100, "version": 1})
}

func (f *runner) takeHandle(h string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.up && f.handles[h]
	delete(f.handles, h)
	return ok
}

// byAddress holds all runners, so that one can fetch the memory of another.
var byAddress = map[string]*runner{}

func takeFrom(source string) bool {
	address, h, _ := strings.Cut(source, "/")
	f := byAddress[address]
	return f != nil && f.takeHandle(h)
}

func (f *runner) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Opcode string `json:"opcode"`
		Stage  string `json:"stage"`
		Holder string `json:"holder"`
		Token  int64  `json:"fencing_token"`
	}
	if json.NewDecoder(bytes.NewReader(body)).Decode(&o) != nil || o.Opcode != "stage" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.add("runner %s gets order %s of %s, token %d", f.id, o.Stage, o.Holder, o.Token)
	switch {
	case time.Now().Before(f.busyUntil):
		w.WriteHeader(http.StatusConflict)
		return
	case o.Stage == f.stage:
		w.WriteHeader(http.StatusOK)
		return
	}
	f.orders++
	f.busyUntil = time.Now().Add(reconfig)
	born := f.born
	time.AfterFunc(reconfig, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.up && f.born == born {
			f.stage = o.Stage
			f.register()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

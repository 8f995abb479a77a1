package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long a call runs.
	workTime = 60 * time.Millisecond
	// crashDelay is how long a request has run when it crashes its runner.
	crashDelay = 20 * time.Millisecond
	slots      = 6
	queueLimit = 24
	bodyBytes  = 800
)

// runner is a stand-in for an instance of a plain service.
type runner struct {
	id, service, zone string
	address           string
	store             *store
	record            *recorder
	// crashes reports whether a request crashes the runner that begins to run it; nil if none does.
	crashes func(*http.Request) bool
	// downTime is how long the runner is away after a crash.
	downTime time.Duration
	// model is nil for a plain service.
	model *model

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	seq      int64
	up       bool
	removed  bool
	// storeCut is set while the runner does not reach the store.
	storeCut bool
	// loseNextBeat makes the store lose the response to the next heartbeat; the store executes the
	// call late, when lateBeat is taken.
	loseNextBeat bool
	lateBeat     []byte
	// turnAwayUntil is the time until which the runner turns requests away with 503 and Retry-After.
	turnAwayUntil time.Time
	retryAfter    time.Duration
	running       int
	waiting       int
	slotFree      *sync.Cond
	crashedAt     []time.Time
	arrivals      []arrival
	turnedAway    []arrival
	// ran holds the attempts that the runner began to run.
	ran map[string]bool
}

// slots returns the number of requests that the runner serves at once.
func (r *runner) slots() int {
	if r.model != nil {
		return engineSlots
	}
	return slots
}

// begins records that an attempt begins to run.
func (r *runner) begins(attempt string) {
	r.mu.Lock()
	r.ran[attempt] = true
	r.mu.Unlock()
	r.record.log("runner %s: attempt %s begins to run", r.id, attempt)
}

// hasRun reports whether an attempt has begun to run.
func (r *runner) hasRun(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[attempt]
}

// arrival is a request that reached a runner.
type arrival struct {
	attempt string
	at      time.Time
}

func newRunner(id string, p place, s *store, rec *recorder) (*runner, error) {
	r := &runner{id: id, service: p.service, zone: p.zone, model: newModel(p.stage), store: s, record: rec, conns: map[net.Conn]bool{}, ran: map[string]bool{}, downTime: 3 * time.Second}
	r.slotFree = sync.NewCond(&r.mu)
	if err := r.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// trackingListener hands accepted connections to the runner, so that a crash can reset them.
type trackingListener struct {
	net.Listener
	runner *runner
}

func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.runner.mu.Lock()
	l.runner.conns[c] = true
	l.runner.mu.Unlock()
	return c, nil
}

func (r *runner) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.address = l, l.Addr().String()
	r.born, r.seq, r.up = time.Now().UnixMilli(), 0, true
	r.running, r.waiting = 0, 0
	incarnation := r.born
	r.mu.Unlock()
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, incarnation) }),
		IdleTimeout: 15 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				r.mu.Lock()
				delete(r.conns, c)
				r.mu.Unlock()
			}
		},
	}
	go func() { _ = server.Serve(trackingListener{l, r}) }()
	r.sendBeat()
	return nil
}

// beat writes the entry of the runner to the store every heartbeatInterval.
func (r *runner) beat() {
	for range time.Tick(heartbeatInterval) {
		r.sendBeat()
	}
}

func (r *runner) sendBeat() {
	r.mu.Lock()
	if !r.up || r.removed || r.storeCut {
		r.mu.Unlock()
		return
	}
	r.seq++
	entry := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq_no":%d,"born":%d%s}`,
		r.service, r.address, r.zone, r.slots(), r.seq, r.born, r.model.entryFields())
	if r.loseNextBeat {
		r.loseNextBeat, r.lateBeat = false, entry
		r.record.log("runner %s: heartbeat seq_no %d gets no response from the store", r.id, r.seq)
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	r.store.put(topicRunners, r.id, entry)
}

// crash ends the runner: it resets all connections and closes its listener. It starts again after
// downTime, at the same address and with the same id.
func (r *runner) crash(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashedAt = append(r.crashedAt, time.Now())
	r.record.log("runner %s crashes (%s)", r.id, why)
	_ = r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(r.conns)
	address := r.address
	r.slotFree.Broadcast()
	r.mu.Unlock()
	time.AfterFunc(r.downTime, func() {
		if err := r.start(address); err != nil {
			r.record.log("runner %s cannot start again: %v", r.id, err)
			return
		}
		r.record.log("runner %s is back", r.id)
	})
}

// exit ends the runner for good.
func (r *runner) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up, r.removed = false, true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.record.log("runner %s exits", r.id)
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request, incarnation int64) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	if r.model != nil && r.serveEngineCall(w, q, body) {
		return
	}
	if strings.HasPrefix(q.URL.Path, "/api/") || q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, now})
	if now.Before(r.turnAwayUntil) {
		r.turnedAway = append(r.turnedAway, arrival{id, now})
		after := r.retryAfter
		r.mu.Unlock()
		r.record.log("runner %s: attempt %s arrives; 503, not executed, Retry-After %.0f", r.id, id, after.Seconds())
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.model != nil {
		r.mu.Unlock()
		r.serveStream(w, q, incarnation)
		return
	}
	if r.running >= slots && r.waiting >= queueLimit {
		r.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.waiting++
	for r.running >= slots && r.born == incarnation && r.up {
		r.slotFree.Wait()
	}
	if r.born != incarnation || !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.waiting--
	r.running++
	r.mu.Unlock()
	r.begins(id)
	if r.crashes != nil && r.crashes(q) {
		time.Sleep(crashDelay)
		r.crash("attempt " + id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	r.mu.Lock()
	if r.born == incarnation && r.up {
		r.running--
		r.slotFree.Signal()
	}
	r.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
}

func (r *runner) arrivalsSnapshot() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// crashesSince returns the times of the crashes after a time.
func (r *runner) crashesSince(from time.Time) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Time
	for _, at := range r.crashedAt {
		if at.After(from) {
			out = append(out, at)
		}
	}
	return out
}

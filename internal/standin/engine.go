package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/port"
)

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "crash-the-engine"

// EngineOptions configures an Engine.
type EngineOptions struct {
	Name          string
	Model         string
	Role          port.Role
	ChecksFencing bool
	// Capacity is reported as the engine's capacity in tokens per second.
	Capacity int64
	// PrefillRate is the speed of prefill in tokens per second, one prompt at a time.
	PrefillRate float64
	// TokenTime is the time between tokens of one answer.
	TokenTime time.Duration
	// ChangeTime is how long a change of role or model takes.
	ChangeTime time.Duration
	// Crash is called when a request crashes the engine. Nil only drops the
	// connections and restarts the engine at once.
	Crash func()
}

// EngineFaults switches failures of an Engine on.
type EngineFaults struct {
	// Silent stops all open answer streams without closing them; new ones work.
	Silent bool `json:"silent"`
	// CrashOnOrder crashes the engine halfway through the next order.
	CrashOnOrder bool `json:"crash_on_order"`
	// LoseOrderAnswers executes that many orders and drops their answers.
	LoseOrderAnswers int `json:"lose_order_answers"`
	// RepeatChunks sends every chunk twice.
	RepeatChunks bool `json:"repeat_chunks"`
	// DropChunk leaves out the chunk at this position once; 0 drops none.
	DropChunk int `json:"drop_chunk"`
	// Leaving makes the engine report that it will stop.
	Leaving bool `json:"leaving"`
	// DownMS keeps the engine down for that long after a crash.
	DownMS int64 `json:"down_ms"`
}

// Engine is a fake model engine.
type Engine struct {
	opts EngineOptions

	mu         sync.Mutex
	status     port.EngineStatus
	faults     EngineFaults
	generation int
	down       chan struct{}
	downUntil  time.Time
	silenced   chan struct{}
	prefill    chan struct{}
	orders     []port.Order
	// fencing is the highest fencing number of an executed order, also when the
	// engine ignores them.
	fencing     int64
	conflicts   int
	runs        map[string]int
	cancels     map[string]context.CancelFunc
	interrupted int
}

// NewEngine returns a running engine.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{
		opts:     opts,
		down:     make(chan struct{}),
		silenced: make(chan struct{}),
		prefill:  make(chan struct{}, 1),
		runs:     map[string]int{},
		cancels:  map[string]context.CancelFunc{},
	}
	e.status = port.EngineStatus{
		Engine:     opts.Name,
		Model:      opts.Model,
		Role:       opts.Role,
		Phase:      port.PhaseServing,
		Capacity:   opts.Capacity,
		KVCapacity: 1 << 20,
	}
	e.status.Incarnation = e.incarnation()
	return e
}

func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d-%d", e.opts.Name, time.Now().UnixNano(), e.generation)
}

// SetFaults replaces the failures that are switched on.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.status.Leaving = f.Leaving
	if f.Silent {
		close(e.silenced)
		e.silenced = make(chan struct{})
	}
}

// Orders returns the orders that the engine executed, in order.
func (e *Engine) Orders() []port.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]port.Order(nil), e.orders...)
}

// Conflicts returns how many orders the engine executed although a different one
// was in progress or one with a higher fencing number had been executed.
func (e *Engine) Conflicts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conflicts
}

// Runs returns how often the engine started a request with the given id.
func (e *Engine) Runs(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// Started returns the number of attempts that the engine started.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.runs {
		total += n
	}
	return total
}

// Interrupted returns how many running requests an order interrupted.
func (e *Engine) Interrupted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interrupted
}

// Status returns the current state without lag.
func (e *Engine) Status() port.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.status
	s.Time = time.Now()
	return s
}

// Crash drops all connections and running work. The engine restarts after the
// configured down time with a new incarnation and its settled role.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	close(e.down)
	e.down = make(chan struct{})
	e.generation++
	e.downUntil = time.Now().Add(time.Duration(e.faults.DownMS) * time.Millisecond)
	e.status.Incarnation = e.incarnation()
	if e.status.Phase == port.PhaseChanging {
		// The restarted engine has its old role and model.
		e.status.LastOrder = ""
	}
	e.status.Phase = port.PhaseServing
	if e.opts.Crash != nil {
		e.opts.Crash()
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.GeneratePath, e.serveGenerate)
	mux.HandleFunc("DELETE "+engine.RequestsPath+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+engine.StatusPath, e.serveStatus)
	mux.HandleFunc("POST "+engine.OrdersPath, e.serveOrder)
	mux.HandleFunc("GET "+engine.CacheEventsPath, e.serveCacheEvents)
	mux.HandleFunc("PUT /faults", e.serveFaults)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Orders()) })
	return e.whileUp(mux)
}

// whileUp aborts requests that arrive while the engine is down.
func (e *Engine) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		isDown := time.Now().Before(e.downUntil)
		e.mu.Unlock()
		if isDown && r.URL.Path != "/faults" {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// run is one running request.
type run struct {
	req      port.GenerateRequest
	ctx      context.Context
	down     <-chan struct{}
	silenced <-chan struct{}
}

func (e *Engine) start(ctx context.Context, req port.GenerateRequest) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.Phase != port.PhaseServing {
		return nil, fmt.Errorf("engine is changing")
	}
	if req.Model != e.status.Model {
		return nil, fmt.Errorf("model %q is not loaded", req.Model)
	}
	ctx, cancel := context.WithCancel(ctx)
	e.cancels[req.RequestID] = cancel
	e.runs[req.RequestID]++
	e.status.Running++
	e.status.RunningTokens += int64(PromptTokens(req.Prompt))
	return &run{req: req, ctx: ctx, down: e.down, silenced: e.silenced}, nil
}

func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Running--
	e.status.RunningTokens -= int64(PromptTokens(r.req.Prompt))
	if cancel, ok := e.cancels[r.req.RequestID]; ok {
		cancel()
		delete(e.cancels, r.req.RequestID)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req port.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	running, err := e.start(r.Context(), req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer e.finish(running)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if strings.Contains(req.Prompt, CrashMarker) {
		e.Crash()
	}
	e.runPrefill(running)
	e.decode(w, running)
}

// wait sleeps for d. It aborts the connection when the engine crashes and hangs
// until the client gives up when the connection was silenced.
func (e *Engine) wait(r *run, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.down:
		panic(http.ErrAbortHandler)
	case <-r.silenced:
		<-r.ctx.Done()
		return false
	case <-r.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (e *Engine) runPrefill(r *run) {
	if e.opts.PrefillRate <= 0 {
		return
	}
	select {
	case e.prefill <- struct{}{}:
	case <-r.ctx.Done():
		return
	case <-r.down:
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.prefill }()
	seconds := float64(PromptTokens(r.req.Prompt)) / e.opts.PrefillRate
	e.wait(r, time.Duration(seconds*float64(time.Second)))
}

func (e *Engine) decode(w http.ResponseWriter, r *run) {
	total := OutputTokens(r.req.Prompt, r.req.MaxTokens)
	for i := r.req.From; i < total; i++ {
		if !e.wait(r, e.opts.TokenTime) {
			return
		}
		e.sendToken(w, r, i)
	}
	writeEvent(w, port.Chunk{
		Attempt:      r.req.Attempt,
		Position:     max(total, r.req.From),
		Done:         true,
		FinishReason: finishReason(total, r.req.MaxTokens),
		PromptTokens: PromptTokens(r.req.Prompt),
		OutputTokens: total,
	})
}

func finishReason(total, limit int) string {
	if total == limit {
		return "length"
	}
	return "stop"
}

func (e *Engine) sendToken(w http.ResponseWriter, r *run, position int) {
	e.mu.Lock()
	repeat := e.faults.RepeatChunks
	drop := e.faults.DropChunk > 0 && e.faults.DropChunk == position
	if drop {
		e.faults.DropChunk = 0
	}
	e.mu.Unlock()
	if drop {
		return
	}
	chunk := port.Chunk{
		Attempt:  r.req.Attempt,
		Position: position,
		Text:     Token(r.req.Model, r.req.Prompt, position),
		Tokens:   1,
	}
	writeEvent(w, chunk)
	if repeat {
		writeEvent(w, chunk)
	}
}

func writeEvent(w http.ResponseWriter, chunk port.Chunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if cancel, ok := e.cancels[r.PathValue("id")]; ok {
		cancel()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, []port.CacheEvent{})
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var in EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(in)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o port.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answered, err := e.Execute(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if !answered {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, e.Status())
}

// Execute carries out an order. It returns port.ErrStaleFencing when the engine
// checks fencing and has seen a higher number, and false when the answer is lost.
// An order whose id is the last one executed has no second effect.
func (e *Engine) Execute(o port.Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing {
		if o.Fencing < e.status.Fencing {
			return true, port.ErrStaleFencing
		}
		e.status.Fencing = o.Fencing
	}
	if o.Kind != port.OrderRaiseFencing && o.ID != e.status.LastOrder {
		e.beginChange(o)
	}
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		return false, nil
	}
	return true, nil
}

func (e *Engine) beginChange(o port.Order) {
	e.orders = append(e.orders, o)
	if e.status.Phase == port.PhaseChanging || o.Fencing < e.fencing {
		e.conflicts++
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.status.LastOrder = o.ID
	e.status.Phase = port.PhaseChanging
	e.interrupted += e.status.Running
	if e.faults.CrashOnOrder {
		e.faults.CrashOnOrder = false
		e.status.LastOrder = ""
		e.crashLocked()
		return
	}
	generation := e.generation
	time.AfterFunc(e.opts.ChangeTime, func() { e.endChange(o, generation) })
}

func (e *Engine) endChange(o port.Order, generation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	switch o.Kind {
	case port.OrderSetRole:
		e.status.Role = o.Role
	case port.OrderLoadModel:
		e.status.Model, e.status.Version, e.status.Adapter = o.Model, o.Version, o.Adapter
	}
	e.status.Phase = port.PhaseServing
}

// String returns the engine's name and role.
func (e *Engine) String() string {
	return e.opts.Name + " " + strconv.Quote(string(e.Status().Role))
}

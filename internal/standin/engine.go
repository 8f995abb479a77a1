package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/port"
)

// CrashMarker in a prompt crashes the engine that runs it, after its prefill.
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
	// ReportQueue adds the prompts that wait or are read to the status.
	ReportQueue bool
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
	// ForgetOrder lets a restart forget the last order, not the fencing number.
	ForgetOrder bool `json:"forget_order"`
	// RefuseOrders refuses that many orders.
	RefuseOrders int `json:"refuse_orders"`
	// MissingVersion is a model version that the engine cannot load. It refuses the
	// order, or with FailLate accepts it and fails.
	MissingVersion string `json:"missing_version"`
	FailLate       bool   `json:"fail_late"`
	// LoseOrderAnswers executes that many orders and drops their answers.
	LoseOrderAnswers int `json:"lose_order_answers"`
	// RepeatChunks sends every chunk twice.
	RepeatChunks bool `json:"repeat_chunks"`
	// DropChunk leaves out the chunk at this position once; 0 drops none.
	DropChunk int `json:"drop_chunk"`
	// Reorder swaps every two chunks; the end marker may overtake the last one.
	Reorder bool `json:"reorder"`
	// StaleChunks sends a wrong chunk of the previous attempt before each chunk.
	StaleChunks bool `json:"stale_chunks"`
	// EarlyEnd ends the answer at this position once; 0 ends none early.
	EarlyEnd int `json:"early_end"`
	// FailGenerate starts every answer and breaks it off with status 500.
	FailGenerate bool `json:"fail_generate"`
	// CrashAt crashes the engine at this position of an answer once; 0 does not.
	CrashAt int `json:"crash_at"`
	// StallAt makes every answer that is under way or begins stop at this position,
	// with heartbeats for ever; 0 stalls none and ends no stall.
	StallAt int `json:"stall_at"`
	// Leaving makes the engine report that it will stop.
	Leaving bool `json:"leaving"`
	// LoseAnswer starts every answer and closes its connection without a byte.
	LoseAnswer bool `json:"lose_answer"`
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
	prefill    prefillQueue
	orders     []port.Order
	// fencing is the highest fencing number of an executed order, also when the
	// engine ignores them.
	fencing   int64
	conflicts int
	runs      map[string]int
	// callerIDs and prompts count what was started, by the caller's request id and
	// by the hash of the prompt.
	callerIDs   map[string]int
	prompts     map[uint64]int
	running     map[string]*run
	lost        map[string][]Loss
	interrupted int
}

// NewEngine returns a running engine.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{
		opts:     opts,
		down:     make(chan struct{}),
		silenced: make(chan struct{}),
		runs:     map[string]int{},

		callerIDs: map[string]int{},
		prompts:   map[uint64]int{},

		running: map[string]*run{},
		lost:    map[string][]Loss{},
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

// StartedFor returns how often the engine started a request with the caller's
// request id, and how often one with the prompt.
func (e *Engine) StartedFor(callerID, prompt string) (byID, byPrompt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callerIDs[callerID], e.prompts[xxhash.Sum64String(prompt)]
}

// Lost returns how often a request with the given prompt crashed the engine.
func (e *Engine) Lost(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.lost[prompt])
}

// Loss is a crash by a request.
type Loss struct {
	// Started is when the request started, Crashed when the engine crashed.
	Started, Crashed time.Time
}

// Losses returns the crashes by requests with the given prompt.
func (e *Engine) Losses(prompt string) []Loss {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Loss(nil), e.lost[prompt]...)
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
	if e.opts.ReportQueue {
		s.Queued, s.QueuedPrefillTokens = e.prefill.pending(e.opts.PrefillRate)
	}
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
	if e.status.Phase == port.PhaseChanging || e.faults.ForgetOrder {
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

// heartbeatInterval is the time between comment lines while no token is sent.
const heartbeatInterval = time.Second

// run is one running request.
type run struct {
	req      port.GenerateRequest
	ctx      context.Context
	cancel   context.CancelFunc
	down     <-chan struct{}
	silenced <-chan struct{}
	// held is a chunk that is sent after the one that follows it.
	held    *port.Chunk
	started time.Time
	ended   bool
}

// start begins a request. It ends an older attempt at the same request.
func (e *Engine) start(ctx context.Context, req port.GenerateRequest) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.Phase != port.PhaseServing {
		return nil, fmt.Errorf("engine is changing")
	}
	if req.Model != e.status.Model {
		return nil, fmt.Errorf("model %q is not loaded", req.Model)
	}
	if older, ok := e.running[req.RequestID]; ok {
		e.endLocked(older)
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &run{req: req, ctx: ctx, cancel: cancel, down: e.down, silenced: e.silenced, started: time.Now()}
	e.running[req.RequestID] = r
	e.runs[req.RequestID]++
	e.callerIDs[req.CallerRequestID]++
	e.prompts[xxhash.Sum64String(req.Prompt)]++
	e.status.Running++
	e.status.RunningTokens += int64(PromptTokens(req.Prompt))
	return r, nil
}

func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(r)
}

// endLocked stops the work on a request, even while a write to its connection
// blocks.
func (e *Engine) endLocked(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	r.cancel()
	e.status.Running--
	e.status.RunningTokens -= int64(PromptTokens(r.req.Prompt))
	if e.running[r.req.RequestID] == r {
		delete(e.running, r.req.RequestID)
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
	faults := e.currentFaults()
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	if faults.FailGenerate {
		http.Error(w, "out of memory", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writeHeartbeat(w)
	if !e.runPrefill(w, running) {
		return
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		e.crashBy(running)
	}
	e.decode(w, running)
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// crashBy crashes the engine on behalf of a run, unless the run ended with an
// earlier crash or was cancelled.
func (e *Engine) crashBy(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-r.down:
		return
	default:
	}
	if r.ended {
		return
	}
	e.lost[r.req.Prompt] = append(e.lost[r.req.Prompt], Loss{Started: r.started, Crashed: time.Now()})
	e.crashLocked()
}

// wait sleeps for d. It aborts the connection when the engine crashes and hangs
// until the client gives up when the connection was silenced.
func (e *Engine) wait(r *run, d time.Duration) bool {
	select {
	case <-r.down:
		panic(http.ErrAbortHandler)
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.down:
		panic(http.ErrAbortHandler)
	case <-r.silenced:
		e.hang(r)
		return false
	case <-r.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// hang waits until the request is given up or the engine crashes.
func (e *Engine) hang(r *run) {
	select {
	case <-r.down:
		panic(http.ErrAbortHandler)
	case <-r.ctx.Done():
	}
}

// runPrefill waits for its turn and runs the prefill, with heartbeats meanwhile.
func (e *Engine) runPrefill(w http.ResponseWriter, r *run) bool {
	if e.opts.PrefillRate <= 0 {
		return true
	}
	turn := e.prefill.enter(r.req.Priority, PromptTokens(r.req.Prompt))
	defer e.prefill.leave(turn)
	if !e.awaitTurn(w, r, turn) {
		return false
	}
	seconds := float64(PromptTokens(r.req.Prompt)) / e.opts.PrefillRate
	return e.waitBeating(w, r, time.Duration(seconds*float64(time.Second)))
}

// awaitTurn waits for the turn of a prompt, with heartbeats meanwhile.
func (e *Engine) awaitTurn(w http.ResponseWriter, r *run, turn <-chan struct{}) bool {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-turn:
			return true
		case <-r.down:
			panic(http.ErrAbortHandler)
		case <-r.silenced:
			e.hang(r)
			return false
		case <-r.ctx.Done():
			return false
		case <-ticker.C:
			writeHeartbeat(w)
		}
	}
}

// waitBeating sleeps for d and sends heartbeats.
func (e *Engine) waitBeating(w http.ResponseWriter, r *run, d time.Duration) bool {
	for d > heartbeatInterval {
		if !e.wait(r, heartbeatInterval) {
			return false
		}
		writeHeartbeat(w)
		d -= heartbeatInterval
	}
	return e.wait(r, d)
}

func writeHeartbeat(w http.ResponseWriter) {
	fmt.Fprint(w, ": heartbeat\n\n")
	flush(w)
}

func (e *Engine) decode(w http.ResponseWriter, r *run) {
	total := OutputTokens(r.req.Prompt, r.req.MaxTokens)
	for i := r.req.From; i < total; i++ {
		if !e.wait(r, e.opts.TokenTime) {
			return
		}
		if at := e.currentFaults().StallAt; at > 0 && i >= at {
			for e.wait(r, heartbeatInterval) {
				writeHeartbeat(w)
			}
			return
		}
		if e.takeFault(&e.faults.CrashAt, i) {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		if e.takeFault(&e.faults.EarlyEnd, i) {
			writeEvent(w, r.end(i, total))
			return
		}
		e.sendToken(w, r, i)
	}
	writeEvent(w, r.end(max(total, r.req.From), total))
	if r.held != nil {
		writeEvent(w, *r.held)
	}
}

// takeFault tells whether the fault that is set for one position is due, and
// clears it then.
func (e *Engine) takeFault(at *int, position int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *at == 0 || *at != position {
		return false
	}
	*at = 0
	return true
}

func (r *run) end(position, total int) port.Chunk {
	return port.Chunk{
		Attempt:      r.req.Attempt,
		Position:     position,
		Done:         true,
		FinishReason: finishReason(total, r.req.MaxTokens),
		PromptTokens: PromptTokens(r.req.Prompt),
		OutputTokens: total,
	}
}

func finishReason(total, limit int) string {
	if total == limit {
		return "length"
	}
	return "stop"
}

func (e *Engine) sendToken(w http.ResponseWriter, r *run, position int) {
	if e.takeFault(&e.faults.DropChunk, position) {
		return
	}
	faults := e.currentFaults()
	chunk := port.Chunk{
		Attempt:  r.req.Attempt,
		Position: position,
		Text:     Token(r.req.Model, r.req.Prompt, position),
		Tokens:   1,
	}
	if faults.StaleChunks {
		writeEvent(w, port.Chunk{Attempt: r.req.Attempt - 1, Position: position, Text: "stale ", Tokens: 1})
	}
	if faults.Reorder && r.held == nil {
		r.held = &chunk
		return
	}
	writeEvent(w, chunk)
	if r.held != nil {
		writeEvent(w, *r.held)
		r.held = nil
	}
	if faults.RepeatChunks {
		writeEvent(w, chunk)
	}
}

func writeEvent(w http.ResponseWriter, chunk port.Chunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	flush(w)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if running, ok := e.running[r.PathValue("id")]; ok {
		e.endLocked(running)
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
	switch {
	case errors.Is(err, port.ErrNotRun):
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if !answered {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, e.Status())
}

// Execute carries out an order. It returns port.ErrStaleFencing when the engine
// checks fencing and has seen a higher number, port.ErrNotRun when it cannot carry
// out the order, and false when the answer is lost.
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
		if e.refuses(o) {
			return true, port.ErrNotRun
		}
		e.beginChange(o)
	}
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		return false, nil
	}
	return true, nil
}

func (e *Engine) refuses(o port.Order) bool {
	if e.faults.RefuseOrders > 0 {
		e.faults.RefuseOrders--
		return true
	}
	return e.missing(o) && !e.faults.FailLate
}

func (e *Engine) missing(o port.Order) bool {
	return o.Kind == port.OrderLoadModel && o.Version != "" && o.Version == e.faults.MissingVersion
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
	switch {
	case e.missing(o):
	case o.Kind == port.OrderSetRole:
		e.status.Role = o.Role
	case o.Kind == port.OrderLoadModel:
		e.status.Model, e.status.Version, e.status.Adapter = o.Model, o.Version, o.Adapter
	}
	e.status.Phase = port.PhaseServing
}

// String returns the engine's name and role.
func (e *Engine) String() string {
	return e.opts.Name + " " + strconv.Quote(string(e.Status().Role))
}

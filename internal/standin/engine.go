package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
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
	lost        map[string][]RequestCrash
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
		lost:    map[string][]RequestCrash{},
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

// StartCount returns how often the engine started a request with the given id.
func (e *Engine) StartCount(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[requestID]
}

// StartCounts returns how often the engine started a request with the caller's
// request id, and how often one with the prompt.
func (e *Engine) StartCounts(callerID, prompt string) (byID, byPrompt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callerIDs[callerID], e.prompts[xxhash.Sum64String(prompt)]
}

// CrashCount returns how often a request with the given prompt crashed the engine.
func (e *Engine) CrashCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.lost[prompt])
}

// RequestCrash is a crash by a request.
type RequestCrash struct {
	// Started is when the request started, Crashed when the engine crashed.
	Started, Crashed time.Time
}

// CrashesByPrompt returns the crashes by requests with the given prompt.
func (e *Engine) CrashesByPrompt(prompt string) []RequestCrash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]RequestCrash(nil), e.lost[prompt]...)
}

// TotalStarts returns the number of attempts that the engine started.
func (e *Engine) TotalStarts() int {
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

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
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

// String returns the engine's name and role.
func (e *Engine) String() string {
	return e.opts.Name + " " + strconv.Quote(string(e.Status().Role))
}

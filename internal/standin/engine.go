package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/port"
)

// CrashMarker in a prompt crashes the engine that runs the request, after the prefill.
const CrashMarker = "crash-the-engine"

// EngineOptions configures an Engine.
type EngineOptions struct {
	Name  string
	Model string
	// Software is the version of the engine's software. It determines the responses.
	Software      string
	Role          port.Role
	ChecksFencing bool
	// Capacity is the capacity in tokens per second that the engine reports.
	Capacity int64
	// PrefillRate is the prefill rate in tokens per second. One prompt is prefilled at
	// a time. A rate of 0 or less skips the prefill.
	PrefillRate float64
	// TokenTime is the time between two tokens of one response.
	TokenTime time.Duration
	// ReportQueue adds the prompts that wait for prefill or are being prefilled to the
	// status.
	ReportQueue bool
	// ChangeTime is how long a change of role or model takes.
	ChangeTime time.Duration
	// Crash is called when the engine crashes. It is called with Engine.mu held, so it
	// must not call methods of the engine. If it is nil, the engine only closes its
	// connections and restarts in the same process.
	Crash func()
}

// EngineFaults selects the failures that an Engine produces.
type EngineFaults struct {
	// Silent stops all open response streams without closing their connections; new
	// streams work.
	Silent bool `json:"silent"`
	// CrashOnOrder crashes the engine once, after it has accepted an order and before
	// its role or model changes.
	CrashOnOrder bool `json:"crash_on_order"`
	// ForgetOrder makes a crash clear the id of the last executed order, but not the
	// fencing token.
	ForgetOrder bool `json:"forget_order"`
	// RefuseOrders is the number of orders to refuse.
	RefuseOrders int `json:"refuse_orders"`
	// MissingVersion is a model version that the engine cannot load. The engine
	// refuses the order, or accepts it and then fails to load the version if FailLate
	// is set.
	MissingVersion string `json:"missing_version"`
	FailLate       bool   `json:"fail_late"`
	// LoseOrderResponses is the number of orders to execute without sending a response.
	LoseOrderResponses int `json:"lose_order_answers"`
	// RepeatChunks sends every chunk twice.
	RepeatChunks bool `json:"repeat_chunks"`
	// DropChunk omits the chunk at this position once; 0 disables it.
	DropChunk int `json:"drop_chunk"`
	// Reorder swaps each pair of chunks; the end marker may arrive before the last
	// chunk.
	Reorder bool `json:"reorder"`
	// StaleChunks sends a chunk with the previous attempt's number and a wrong text
	// before each chunk.
	StaleChunks bool `json:"stale_chunks"`
	// EarlyEnd ends a response at this position once; 0 disables it.
	EarlyEnd int `json:"early_end"`
	// FailGenerate starts every request and fails it with status 500.
	FailGenerate bool `json:"fail_generate"`
	// CrashAt crashes the engine at this position of a response once; 0 disables it.
	CrashAt int `json:"crash_at"`
	// StallAt stops every current and new response at this position and sends
	// heartbeats until the client disconnects. 0 disables it for new responses but
	// does not resume stalled ones.
	StallAt int `json:"stall_at"`
	// Leaving makes the engine report that it is leaving.
	Leaving bool `json:"leaving"`
	// LoseResponse starts every request and closes its connection without sending a
	// byte.
	LoseResponse bool `json:"lose_answer"`
	// DownMS is how long the engine stays down after a crash, in milliseconds.
	DownMS int64 `json:"down_ms"`
	// RestartSoftware, unless empty, is the software version with which the engine
	// restarts after a crash.
	RestartSoftware string `json:"restart_software"`
	// PauseMS suspends the whole engine for this long from SetFaults on, in
	// milliseconds: it accepts connections, sends nothing, and then continues.
	PauseMS int64 `json:"pause_ms"`
}

// Engine is a stand-in for a model engine that streams deterministic responses; see Token.
type Engine struct {
	opts EngineOptions

	// mu guards the fields below, except prefill, which has its own lock.
	mu     sync.Mutex
	status port.EngineStatus
	faults EngineFaults
	// generation counts the crashes.
	generation int
	// crashed is closed and replaced at each crash. streamsHung is closed and replaced
	// whenever the fault Silent is set.
	crashed     chan struct{}
	downUntil   time.Time
	pausedUntil time.Time
	streamsHung chan struct{}
	prefill     prefillQueue
	orders      []port.Order
	// highestFencing is the highest fencing token of an executed order. It is recorded
	// even if the engine does not check fencing tokens.
	highestFencing    int64
	conflicts         int
	startsByRequestID map[string]int
	// startsByCallerID and startsByPrompt count the started attempts by the caller's
	// request id and by the hash of the prompt.
	startsByCallerID map[string]int
	startsByPrompt   map[uint64]int
	active           map[string]*activeRequest
	crashesByPrompt  map[string][]RequestCrash
	interrupted      int
}

// NewEngine returns a running engine.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{
		opts:              opts,
		crashed:           make(chan struct{}),
		streamsHung:       make(chan struct{}),
		startsByRequestID: map[string]int{},

		startsByCallerID: map[string]int{},
		startsByPrompt:   map[uint64]int{},

		active:          map[string]*activeRequest{},
		crashesByPrompt: map[string][]RequestCrash{},
	}
	e.status = port.EngineStatus{
		Engine:     opts.Name,
		Model:      opts.Model,
		Software:   opts.Software,
		Role:       opts.Role,
		Phase:      port.PhaseServing,
		Capacity:   opts.Capacity,
		KVCapacity: 1 << 20,
	}
	e.status.Incarnation = e.incarnation()
	return e
}

// incarnation returns a new incarnation, which no earlier start of the engine has had.
func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d-%d", e.opts.Name, time.Now().UnixNano(), e.generation)
}

// SetFaults replaces all current faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.status.Leaving = f.Leaving
	e.pausedUntil = time.Now().Add(time.Duration(f.PauseMS) * time.Millisecond)
	if f.Silent {
		close(e.streamsHung)
		e.streamsHung = make(chan struct{})
	}
}

// Orders returns the executed orders in the order of execution.
func (e *Engine) Orders() []port.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]port.Order(nil), e.orders...)
}

// Conflicts returns how many orders the engine executed while another order was in
// progress, or after an order with a higher fencing token.
func (e *Engine) Conflicts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conflicts
}

// StartCount returns how often the engine started a request with the given id.
func (e *Engine) StartCount(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startsByRequestID[requestID]
}

// StartCounts returns how often the engine started a request with the caller's request
// id, and how often it started one with the prompt.
func (e *Engine) StartCounts(callerID, prompt string) (byID, byPrompt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startsByCallerID[callerID], e.startsByPrompt[xxhash.Sum64String(prompt)]
}

// CrashCount returns how often requests with the given prompt crashed the engine.
func (e *Engine) CrashCount(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashesByPrompt[prompt])
}

// RequestCrash records a crash of the engine that a request caused.
type RequestCrash struct {
	// Started is when the request started, and Crashed when the engine crashed.
	Started, Crashed time.Time
}

// CrashesByPrompt returns the crashes caused by requests with the given prompt.
func (e *Engine) CrashesByPrompt(prompt string) []RequestCrash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]RequestCrash(nil), e.crashesByPrompt[prompt]...)
}

// TotalStarts returns the number of attempts that the engine has started.
func (e *Engine) TotalStarts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, n := range e.startsByRequestID {
		total += n
	}
	return total
}

// Interrupted returns how many running requests were interrupted by orders.
func (e *Engine) Interrupted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interrupted
}

// Status returns the current status without the delay of a report.
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

// Crash drops all connections and running requests. The engine restarts after
// EngineFaults.DownMS with a new incarnation and the role and model that it had before
// any unfinished change.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

// crashLocked implements Crash. Engine.mu is held.
func (e *Engine) crashLocked() {
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.generation++
	e.downUntil = time.Now().Add(time.Duration(e.faults.DownMS) * time.Millisecond)
	e.status.Incarnation = e.incarnation()
	if e.status.Phase == port.PhaseChanging || e.faults.ForgetOrder {
		// The id of the last order is lost. An unfinished change has no effect, because
		// role and model are set only at its end.
		e.status.LastOrder = ""
	}
	e.status.Phase = port.PhaseServing
	if e.faults.RestartSoftware != "" {
		e.status.Software = e.faults.RestartSoftware
	}
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
	return e.rejectWhileDown(e.suspendWhilePaused(mux))
}

// suspendWhilePaused delays requests that arrive while the fault PauseMS is in effect.
// Faults can still be set.
func (e *Engine) suspendWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/faults" {
			e.awaitPauseEnd(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}

// awaitPauseEnd blocks while the fault PauseMS is in effect, until ctx ends.
func (e *Engine) awaitPauseEnd(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		left := time.Until(e.pausedUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		clock.Sleep(ctx, left)
	}
}

// rejectWhileDown aborts the connections of requests that arrive while the engine is
// down. Faults can still be set.
func (e *Engine) rejectWhileDown(next http.Handler) http.Handler {
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

// serveCacheEvents returns an empty list, because the stand-in does not simulate a
// KV cache.
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

// String returns the engine's name and its role in quotes.
func (e *Engine) String() string {
	return e.opts.Name + " " + strconv.Quote(string(e.Status().Role))
}

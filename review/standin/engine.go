package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots = 64
	// prefillTokensPerMS is the speed of a prefill engine; a decode engine has half of it.
	prefillTokensPerMS = 48.2
	// eventTime is the time between two events of a stream.
	eventTime = 10 * time.Millisecond
	// reconfigTime is how long an engine takes to change its stage.
	reconfigTime = 3 * time.Second
)

const (
	stagePrefill = "prefill"
	stageDecode  = "decode"
)

// model is the state of a model engine; the fields below mu are guarded by it.
type model struct {
	// prefilling is held while the engine prefills a prompt.
	prefilling sync.Mutex
	mu         sync.Mutex
	stage      string
	changing   bool
	running    int
	handles    map[string]bool
}

// order is an order to an engine.
type order struct {
	Opcode  string `json:"opcode"`
	Stage   string `json:"stage"`
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing_token"`
}

func newModel(stage string) *model {
	if stage == "" {
		return nil
	}
	return &model{stage: stage, handles: map[string]bool{}}
}

// entryFields returns the fields of a registry entry that only engines have.
func (m *model) entryFields() string {
	if m == nil {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf(`,"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}]`, m.stage)
}

// handles of all engines, by address and id; an engine that runs a request takes them from here.
var allEngines sync.Map

// serveEngineCall handles the calls that are no requests of clients, and reports whether q is one.
func (r *runner) serveEngineCall(w http.ResponseWriter, q *http.Request, body []byte) bool {
	allEngines.Store(r.address, r)
	if q.URL.Path != "/api/order" {
		return false
	}
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.Opcode != "stage" || o.Holder == "" || o.Fencing == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	w.WriteHeader(r.carryOut(o))
	return true
}

// carryOut carries an order out and returns the status of its response.
func (r *runner) carryOut(o order) int {
	m := r.model
	m.mu.Lock()
	defer m.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case m.changing:
		status = http.StatusConflict
	case m.stage == o.Stage:
		status = http.StatusOK
	default:
		m.changing = true
		go r.change(o.Stage)
	}
	r.record.log("runner %s: order %s by %s, fencing token %d: %d", r.id, o.Stage, o.Holder, o.Fencing, status)
	return status
}

// change lets running requests finish and takes the new stage.
func (r *runner) change(stage string) {
	m := r.model
	for {
		m.mu.Lock()
		running := m.running
		m.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(reconfigTime)
	m.mu.Lock()
	m.stage, m.changing = stage, false
	m.mu.Unlock()
	r.record.log("runner %s is a %s engine now", r.id, stage)
	r.sendBeat()
}

func notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// begin admits a request of a stage and returns 0, or the status with which it is refused.
func (m *model) begin(stage string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.changing:
		return http.StatusServiceUnavailable
	case m.stage != stage:
		return http.StatusMisdirectedRequest
	case m.running >= engineSlots:
		return http.StatusServiceUnavailable
	}
	m.running++
	return 0
}

func (m *model) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

// prefill takes the time of the prefill of a prompt and reports whether the caller still waits.
func (m *model) prefill(q *http.Request, tokensPerMS float64) bool {
	tokens, _, _ := strings.Cut(q.Header.Get("X-Token-Count"), ",")
	n, _ := strconv.Atoi(tokens)
	m.prefilling.Lock()
	defer m.prefilling.Unlock()
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(time.Duration(float64(n) / tokensPerMS * float64(time.Millisecond))):
		return true
	}
}

// serveStream prefills a prompt, or runs a request, as the stage of the engine is.
func (r *runner) serveStream(w http.ResponseWriter, q *http.Request, incarnation int64) {
	stage := stageDecode
	if q.Header.Get("X-Serving-Stage") == stagePrefill {
		stage = stagePrefill
	}
	m := r.model
	if status := m.begin(stage); status != 0 {
		notExecuted(w, status)
		return
	}
	defer m.end()
	id := q.Header.Get("X-Attempt-Id")
	if stage == stagePrefill {
		if !m.prefill(q, prefillTokensPerMS) {
			return
		}
		handle := "h" + id
		m.mu.Lock()
		m.handles[handle] = true
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"kv_handle":%q,"tokens":10,"version":1}`, handle)
		return
	}
	if source := q.Header.Get("X-Kv-Source"); source != "" {
		if !takeHandle(source) {
			notExecuted(w, http.StatusServiceUnavailable)
			return
		}
	} else if !m.prefill(q, prefillTokensPerMS/2) {
		return
	}
	r.begins(id)
	if r.crashes != nil && r.crashes(q) {
		m.mu.Lock()
		clear(m.handles)
		m.mu.Unlock()
		r.crash("attempt " + id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(q.Header.Get("X-Token-Count"), ",")
	last, _ := strconv.Atoi(out)
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= last; event++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventTime):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
		w.(http.Flusher).Flush()
	}
}

// takeHandle takes a KV cache, named by the address of its engine and its handle.
func takeHandle(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	e, ok := allEngines.Load(address)
	if !ok {
		return false
	}
	m := e.(*runner).model
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.handles[handle]
	delete(m.handles, handle)
	return found
}

// prompt describes the prompt of a request.
type prompt struct {
	parts   []string
	tokens  []int
	outputs int
}

func (p *prompt) set(h http.Header) {
	var list []string
	total := 0
	for i, part := range p.parts {
		list = append(list, fmt.Sprintf("%s:%d", part, p.tokens[i]))
		total += p.tokens[i]
	}
	h.Set("X-Model", "m")
	h.Set("X-Token-Count", fmt.Sprintf("%d,%d", total, p.outputs))
	h.Set("X-Prompt-Prefix", strings.Join(list, ","))
}

// has reports whether a part stands in a prompt.
func (p *prompt) has(part string) bool { return p != nil && slices.Contains(p.parts, part) }

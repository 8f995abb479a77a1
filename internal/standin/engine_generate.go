package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
)

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
	e.lost[r.req.Prompt] = append(e.lost[r.req.Prompt], RequestCrash{Started: r.started, Crashed: time.Now()})
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

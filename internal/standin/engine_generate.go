package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/port"
)

// heartbeatInterval is the time between SSE comment lines while no token is sent.
const heartbeatInterval = time.Second

// activeRequest is one running attempt at a request.
type activeRequest struct {
	req         port.GenerateRequest
	ctx         context.Context
	cancel      context.CancelFunc
	crashed     <-chan struct{}
	streamsHung <-chan struct{}
	// software is the version of the process that runs the attempt.
	software string
	// delayed is a chunk that is sent after its successor.
	delayed *port.Chunk
	started time.Time
	ended   bool
}

// start registers an attempt and ends an older attempt at the same request. It fails if
// the engine is changing its role or model, or if the model of the request is not loaded.
func (e *Engine) start(ctx context.Context, req port.GenerateRequest) (*activeRequest, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.Phase != port.PhaseServing {
		return nil, fmt.Errorf("engine is changing")
	}
	if req.Model != e.status.Model {
		return nil, fmt.Errorf("model %q is not loaded", req.Model)
	}
	if older, ok := e.active[req.RequestID]; ok {
		e.endLocked(older)
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &activeRequest{req: req, ctx: ctx, cancel: cancel, crashed: e.crashed, streamsHung: e.streamsHung, software: e.status.Software, started: time.Now()}
	e.active[req.RequestID] = r
	e.startsByRequestID[req.RequestID]++
	e.startsByCallerID[req.CallerRequestID]++
	e.startsByPrompt[xxhash.Sum64String(req.Prompt)]++
	e.status.Running++
	e.status.RunningTokens += int64(PromptTokens(req.Prompt))
	return r, nil
}

func (e *Engine) finish(r *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(r)
}

// endLocked ends an attempt, even if a write to its connection blocks. It has no
// effect on an attempt that has ended. Engine.mu is held.
func (e *Engine) endLocked(r *activeRequest) {
	if r.ended {
		return
	}
	r.ended = true
	r.cancel()
	e.status.Running--
	e.status.RunningTokens -= int64(PromptTokens(r.req.Prompt))
	if e.active[r.req.RequestID] == r {
		delete(e.active, r.req.RequestID)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req port.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	active, err := e.start(r.Context(), req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer e.finish(active)
	faults := e.currentFaults()
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.FailGenerate {
		http.Error(w, "out of memory", http.StatusInternalServerError)
		return
	}
	w.Header().Set(engine.SoftwareHeader, active.software)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writeHeartbeat(w)
	if !e.runPrefill(w, active) {
		return
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		e.crashOnRequest(active)
	}
	e.decode(w, active)
}

// crashOnRequest crashes the engine because of an attempt, unless the attempt ended
// with an earlier crash or was cancelled.
func (e *Engine) crashOnRequest(r *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-r.crashed:
		return
	default:
	}
	if r.ended {
		return
	}
	e.crashesByPrompt[r.req.Prompt] = append(e.crashesByPrompt[r.req.Prompt], RequestCrash{Started: r.started, Crashed: time.Now()})
	e.crashLocked()
}

// wait sleeps for d, and longer while the engine is paused, and reports whether the
// attempt continues. It aborts the
// connection if the engine crashes. If the fault Silent has stopped the stream, it
// blocks until the client disconnects.
func (e *Engine) wait(r *activeRequest, d time.Duration) bool {
	select {
	case <-r.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.crashed:
		panic(http.ErrAbortHandler)
	case <-r.streamsHung:
		e.hang(r)
		return false
	case <-r.ctx.Done():
		return false
	case <-timer.C:
	}
	e.awaitPauseEnd(r.ctx)
	return r.ctx.Err() == nil
}

// hang blocks until the request is cancelled, or aborts its connection if the engine
// crashes.
func (e *Engine) hang(r *activeRequest) {
	select {
	case <-r.crashed:
		panic(http.ErrAbortHandler)
	case <-r.ctx.Done():
	}
}

// runPrefill waits in the prefill queue and runs the prefill, sending heartbeats. It
// reports whether the attempt continues.
func (e *Engine) runPrefill(w http.ResponseWriter, r *activeRequest) bool {
	if e.opts.PrefillRate <= 0 {
		return true
	}
	turn := e.prefill.enter(r.req.Priority, PromptTokens(r.req.Prompt))
	defer e.prefill.leave(turn)
	if !e.awaitTurn(w, r, turn) {
		return false
	}
	seconds := float64(PromptTokens(r.req.Prompt)) / e.opts.PrefillRate
	return e.waitWithHeartbeats(w, r, time.Duration(seconds*float64(time.Second)))
}

// awaitTurn waits for the turn of a prompt in the prefill queue, sending heartbeats.
// It reports whether the attempt continues.
func (e *Engine) awaitTurn(w http.ResponseWriter, r *activeRequest, turn <-chan struct{}) bool {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-turn:
			return true
		case <-r.crashed:
			panic(http.ErrAbortHandler)
		case <-r.streamsHung:
			e.hang(r)
			return false
		case <-r.ctx.Done():
			return false
		case <-ticker.C:
			e.awaitPauseEnd(r.ctx)
			writeHeartbeat(w)
		}
	}
}

// waitWithHeartbeats sleeps for d, sending heartbeats, and reports whether the attempt
// continues.
func (e *Engine) waitWithHeartbeats(w http.ResponseWriter, r *activeRequest, d time.Duration) bool {
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

// decode sends the tokens of an attempt and the end chunk, subject to the current faults.
func (e *Engine) decode(w http.ResponseWriter, r *activeRequest) {
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
		if e.consumeFault(&e.faults.CrashAt, i) {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		if e.consumeFault(&e.faults.EarlyEnd, i) {
			writeEvent(w, r.endChunk(i, total))
			return
		}
		e.sendToken(w, r, i)
	}
	writeEvent(w, r.endChunk(max(total, r.req.From), total))
	if r.delayed != nil {
		writeEvent(w, *r.delayed)
	}
}

// consumeFault reports whether a fault that is set for one position is due, and clears
// it if so.
func (e *Engine) consumeFault(at *int, position int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *at == 0 || *at != position {
		return false
	}
	*at = 0
	return true
}

// endChunk returns the chunk that ends a response at a position. total is the number of
// tokens of the complete response.
func (r *activeRequest) endChunk(position, total int) port.Chunk {
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

// sendToken sends the chunk of one token, subject to the current faults.
func (e *Engine) sendToken(w http.ResponseWriter, r *activeRequest, position int) {
	if e.consumeFault(&e.faults.DropChunk, position) {
		return
	}
	faults := e.currentFaults()
	chunk := port.Chunk{
		Attempt:  r.req.Attempt,
		Position: position,
		Text:     Token(ModelAt(r.req.Model, r.software), r.req.Prompt, position),
		Tokens:   1,
	}
	if faults.StaleChunks {
		writeEvent(w, port.Chunk{Attempt: r.req.Attempt - 1, Position: position, Text: "stale ", Tokens: 1})
	}
	if faults.Reorder && r.delayed == nil {
		r.delayed = &chunk
		return
	}
	writeEvent(w, chunk)
	if r.delayed != nil {
		writeEvent(w, *r.delayed)
		r.delayed = nil
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
	if active, ok := e.active[r.PathValue("id")]; ok {
		e.endLocked(active)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

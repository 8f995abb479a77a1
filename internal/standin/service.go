package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults selects the failures that a Service produces.
type ServiceFaults struct {
	// LoseResponses is the number of calls to execute without sending a response.
	LoseResponses int `json:"lose_answers"`
	// DelayMS delays the execution of every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Silent accepts calls but neither executes nor responds to them.
	Silent bool `json:"silent"`
}

// Execution is one call that a Service executed.
type Execution struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Service is a stand-in for a plain service that records the calls that it executes.
type Service struct {
	name string

	mu         sync.Mutex
	faults     ServiceFaults
	executions []Execution
}

// NewService returns a service with the given name.
func NewService(name string) *Service { return &Service{name: name} }

// SetFaults replaces all current faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executions returns the executed calls in the order of execution.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// ExecutionCount returns how often a call with the given idempotency key was executed.
func (s *Service) ExecutionCount(key string) int {
	n := 0
	for _, e := range s.Executions() {
		if e.Key == key {
			n++
		}
	}
	return n
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("PUT /faults", s.serveFaults)
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var in ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(in)
	w.WriteHeader(http.StatusNoContent)
}

// CallResult is the response body of a stand-in service.
type CallResult struct {
	Service string `json:"service"`
	Key     string `json:"key,omitempty"`
	Serial  int    `json:"serial"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	result, dropResponse := s.execute(r, string(body))
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, result)
}

// execute records a call. It returns the result of the call and whether the response
// must be dropped.
func (s *Service) execute(r *http.Request, body string) (CallResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	s.executions = append(s.executions, Execution{Method: r.Method, Path: r.URL.Path, Key: key, Body: body})
	dropResponse := s.faults.LoseResponses > 0
	if dropResponse {
		s.faults.LoseResponses--
	}
	return CallResult{Service: s.name, Key: key, Serial: len(s.executions)}, dropResponse
}

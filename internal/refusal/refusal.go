// Package refusal defines the typed errors that are returned to callers. Each states
// whether the refused call ran.
package refusal

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether the refused call ran.
type Outcome string

// Outcomes of a refused call.
const (
	// NotRun means that no byte reached an upstream, or that the upstream gave proof that
	// it did not run the call.
	NotRun Outcome = "not-run"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
)

// Scope determines which attempts an Outcome covers.
type Scope string

// Scopes of an outcome.
const (
	// ScopeCall covers every attempt of the call.
	ScopeCall Scope = "call"
	// ScopeAttempt covers this attempt only, because earlier attempts with the same
	// idempotency key could not be checked.
	ScopeAttempt Scope = "attempt"
)

// Response headers of a refusal.
const (
	HeaderOutcome   = "Bergamot-Outcome"
	HeaderScope     = "Bergamot-Outcome-Scope"
	HeaderRequestID = "Bergamot-Request-Id"
)

// Code identifies a kind of refusal.
type Code string

// Codes of refusals. docs/refusals.md describes each of them for callers.
const (
	BadRequest       Code = "bad-request"
	BodyTooLarge     Code = "body-too-large"
	HeadTooLarge     Code = "head-too-large"
	MethodNotAllowed Code = "method-not-allowed"
	UnknownProfile   Code = "unknown-profile"
	UnknownPath      Code = "unknown-path"
	KeyRequired      Code = "idempotency-key-required"
	KeyInvalid       Code = "idempotency-key-invalid"
	KeyExpired       Code = "idempotency-key-expired"
	KeyReused        Code = "idempotency-key-reused"
	InProgress       Code = "in-progress"
	ClaimUnavailable Code = "claim-unavailable"
	ClaimsFull       Code = "claims-full"
	OutcomeUnknown   Code = "outcome-unknown"
	Overloaded       Code = "overloaded"
	MemoryFull       Code = "memory-full"
	TooLarge         Code = "cost-above-capacity"
	NoUpstream       Code = "no-upstream"
	Quarantined      Code = "quarantined"
	Stopping         Code = "stopping"
	NotReady         Code = "not-ready"
	Incomplete       Code = "incomplete-answer"
	BudgetExhausted  Code = "retry-budget-exhausted"
)

var statuses = map[Code]int{
	BadRequest:       http.StatusBadRequest,
	BodyTooLarge:     http.StatusRequestEntityTooLarge,
	HeadTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	MethodNotAllowed: http.StatusMethodNotAllowed,
	UnknownProfile:   http.StatusNotFound,
	UnknownPath:      http.StatusNotFound,
	KeyRequired:      http.StatusBadRequest,
	KeyInvalid:       http.StatusBadRequest,
	KeyExpired:       http.StatusUnprocessableEntity,
	KeyReused:        http.StatusUnprocessableEntity,
	InProgress:       http.StatusConflict,
	ClaimUnavailable: http.StatusServiceUnavailable,
	ClaimsFull:       http.StatusServiceUnavailable,
	OutcomeUnknown:   http.StatusBadGateway,
	Overloaded:       http.StatusTooManyRequests,
	MemoryFull:       http.StatusServiceUnavailable,
	TooLarge:         http.StatusUnprocessableEntity,
	NoUpstream:       http.StatusServiceUnavailable,
	Quarantined:      http.StatusUnprocessableEntity,
	Stopping:         http.StatusServiceUnavailable,
	NotReady:         http.StatusServiceUnavailable,
	Incomplete:       http.StatusBadGateway,
	BudgetExhausted:  http.StatusServiceUnavailable,
}

// Finding is one error in a caller's request and where it is.
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Error is a refusal. A zero RetryAfter means that a retry is pointless or that no time
// for it is known.
type Error struct {
	Code       Code
	Message    string
	Outcome    Outcome
	Scope      Scope
	RetryAfter time.Duration
	Findings   []Finding
}

// New returns a refusal of a call that did not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Outcome: NotRun,
		Scope:   ScopeCall,
	}
}

// NewUnknown returns a refusal of a call that may have run.
func NewUnknown(code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Outcome = Unknown
	return e
}

// ForAttempt sets the scope to ScopeAttempt and returns e.
func (e *Error) ForAttempt() *Error {
	e.Scope = ScopeAttempt
	return e
}

// WithRetryAfter sets the time after which a retry may succeed and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// Status returns the HTTP status code of the refusal, 500 for an unknown code.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON form of a refusal.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of Body.
type BodyError struct {
	Code         Code      `json:"code"`
	Message      string    `json:"message"`
	Outcome      Outcome   `json:"outcome"`
	Scope        Scope     `json:"scope"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	RequestID    string    `json:"request_id"`
	Findings     []Finding `json:"findings,omitempty"`
}

// ToBody returns the JSON form of the refusal of the request with the given id.
func (e *Error) ToBody(requestID string) Body {
	return Body{Error: BodyError{
		Code:         e.Code,
		Message:      e.Message,
		Outcome:      e.Outcome,
		Scope:        e.Scope,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
		Findings:     e.Findings,
	}}
}

// Write sends the refusal as an HTTP response.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderScope, string(e.Scope))
	h.Set(HeaderRequestID, requestID)
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(e.Status())
	// The caller may have disconnected, and there is nobody else to report the error to.
	_ = json.NewEncoder(w).Encode(e.ToBody(requestID))
}

// From returns the refusal that err is or wraps. Any other error becomes an OutcomeUnknown
// refusal, which is correct whether or not the call ran.
func From(err error) *Error {
	var r *Error
	if errors.As(err, &r) {
		return r
	}
	return NewUnknown(OutcomeUnknown, "%v", err)
}

package port

import (
	"context"
	"errors"
	"time"
)

// Errors of engines and services.
var (
	// ErrNotSent reports that no byte of a request was sent to the upstream.
	ErrNotSent = errors.New("request not sent")
	// ErrNotRun reports that the upstream refused a request without running it.
	ErrNotRun = errors.New("request refused by upstream")
	// ErrStaleFencing reports that an engine refused an order with an old fencing token.
	// The control stream stores its text as the cause of a withdrawn order.
	ErrStaleFencing = errors.New("stale fencing number")
	// ErrUnreachable reports that the upstream refused or closed a new connection.
	ErrUnreachable = errors.New("upstream refused or closed a new connection")
	// ErrNoProgress reports that no data arrived on a connection within its deadline.
	ErrNoProgress = errors.New("connection made no progress within its deadline")
)

// Role is the stage of requests, prefill or decode, that an engine prefers.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Phase states whether an engine is serving or is changing its role or model.
type Phase string

// Phases of an engine.
const (
	PhaseServing  Phase = "serving"
	PhaseChanging Phase = "changing"
)

// GenerateRequest asks an engine for output tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	// CallerRequestID is the id set by the caller. It is used in logs only, because
	// two callers may choose the same id.
	CallerRequestID string `json:"caller_request_id,omitempty"`
	// Attempt numbers the attempts of one request; it grows by one per attempt.
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority is the priority of the request's rank; lower is more urgent.
	Priority int `json:"priority"`
	// From is the position of the first output token to return.
	From int `json:"from"`
	// MayEnd, unless nil, is called when no data arrived within the progress deadline. The
	// attempt fails with ErrNoProgress if it returns true, and otherwise continues; MayEnd is
	// called again if there is still no data a moment later. It may block and may be called
	// concurrently. It is not sent.
	MayEnd func() bool `json:"-"`
}

// Chunk is one part of a streamed response.
type Chunk struct {
	Attempt int `json:"attempt"`
	// Position is the index of the chunk's first token in the response.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
	// Done marks the last chunk of a complete response.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
	// Software is the software version of the engine that generated the chunk. It is taken
	// from the head of the response.
	Software string `json:"-"`
}

// ChunkStream delivers the chunks of one attempt.
type ChunkStream interface {
	// Next returns the next chunk, io.EOF after the connection was closed, or
	// ErrNoProgress when no data arrived within the progress deadline.
	Next() (Chunk, error)
	// Close releases the connection.
	Close() error
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	Engine string `json:"engine"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	// Software is the version of the engine's own software, not of the model. An empty one
	// is a version like others.
	Software string `json:"software,omitempty"`
	Role     Role   `json:"role"`
	Phase    Phase  `json:"phase"`
	// Leaving is set when the engine announces that it will stop.
	Leaving bool `json:"leaving,omitempty"`
	// Fencing is the highest fencing token that the engine has received, or 0 when
	// it ignores fencing tokens.
	Fencing int64 `json:"fencing"`
	// Running and Queued are the numbers of running and of queued requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedPrefillTokens is the number of prompt tokens waiting for prefill.
	QueuedPrefillTokens int64 `json:"queued_prefill_tokens"`
	// RunningTokens is the number of tokens of running requests in the KV cache.
	RunningTokens int64 `json:"running_tokens"`
	// KVUsed and KVCapacity are the used and the total size of the KV cache in tokens.
	KVUsed     int64 `json:"kv_used"`
	KVCapacity int64 `json:"kv_capacity"`
	// Capacity is the engine's capacity in tokens per second.
	Capacity int64 `json:"capacity"`
	// LastOrder is the id of the last order that the engine executed or started.
	LastOrder string `json:"last_order,omitempty"`
	// Time is when the engine reported the status, by its clock.
	Time time.Time `json:"time"`
}

// OrderKind states what an order changes.
type OrderKind string

// Kinds of order.
const (
	OrderSetRole   OrderKind = "set-role"
	OrderLoadModel OrderKind = "load-model"
	// OrderRaiseFencing raises the engine's fencing token and changes nothing else.
	OrderRaiseFencing OrderKind = "raise-fencing"
)

// Order asks an engine to change its role or model, or to raise its fencing token.
type Order struct {
	ID      string    `json:"order_id"`
	Kind    OrderKind `json:"kind"`
	Role    Role      `json:"role,omitempty"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Fencing int64     `json:"fencing"`
	// Incarnation, when set, is the only incarnation of the engine to which the
	// order may be sent. It is checked by the client and not sent.
	Incarnation string `json:"-"`
}

// CacheEvent reports that an engine stored or evicted a block of a prompt prefix.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Engine is the client of one model engine.
type Engine interface {
	// Generate starts or resumes the generation of a response. ErrNotSent and
	// ErrNotRun mean that the engine did not run the request.
	Generate(ctx context.Context, req GenerateRequest) (ChunkStream, error)
	// Cancel stops a request. Cancelling an unknown request is not an error.
	Cancel(ctx context.Context, requestID string) error
	Status(ctx context.Context) (EngineStatus, error)
	// Probe requests the status over a new connection, so that success proves that the
	// engine accepts new connections.
	Probe(ctx context.Context) (EngineStatus, error)
	// Order sends an order once. It returns ErrStaleFencing when the engine refused
	// the fencing token, ErrNotRun when it refused the order, and ErrNotSent when
	// nothing was sent. After any other error the order may still take effect.
	Order(ctx context.Context, o Order) error
	// CacheEvents returns the events with sequence numbers of at least from. Sequence
	// numbers may have gaps.
	CacheEvents(ctx context.Context, from int64) ([]CacheEvent, error)
}

// EngineDialer returns the client of the engine at host:port address.
type EngineDialer func(address string) Engine

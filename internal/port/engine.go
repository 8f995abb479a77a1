package port

import (
	"context"
	"errors"
	"time"
)

// Errors of engines and services.
var (
	// ErrNotSent reports that no byte of a request reached the upstream.
	ErrNotSent = errors.New("request not sent")
	// ErrNotRun reports that the upstream itself refused to run a request.
	ErrNotRun = errors.New("request refused by upstream")
	// ErrStaleFencing reports that an engine refused an order with an old fencing number.
	ErrStaleFencing = errors.New("stale fencing number")
	// ErrUnreachable reports that the upstream refused or closed a new connection.
	ErrUnreachable = errors.New("upstream refuses connections")
	// ErrNoProgress reports that a connection made no progress within its deadline.
	ErrNoProgress = errors.New("connection made no progress")
)

// Role is the kind of work that an engine prefers.
type Role string

// Roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Phase tells whether an engine serves or is changing role or model.
type Phase string

// Phases of an engine.
const (
	PhaseServing  Phase = "serving"
	PhaseChanging Phase = "changing"
)

// GenerateRequest asks an engine for output tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	// CallerRequestID is the id that the caller knows, for logs only: two callers
	// may choose the same one.
	CallerRequestID string `json:"caller_request_id,omitempty"`
	// Attempt distinguishes attempts of one request; it grows by one per attempt.
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority is the rank's priority; lower is more urgent.
	Priority int `json:"priority"`
	// From is the position of the first token wanted.
	From int `json:"from"`
}

// Chunk is one piece of an answer.
type Chunk struct {
	Attempt int `json:"attempt"`
	// Position is the index of the chunk's first token in the answer.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
	// Done marks the explicit end of the answer.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
}

// ChunkStream delivers the chunks of one attempt.
type ChunkStream interface {
	// Next returns the next chunk, io.EOF after the connection closed, or
	// ErrSilent when nothing arrived within the progress deadline.
	Next() (Chunk, error)
	// Close releases the connection.
	Close() error
}

// EngineStatus is what an engine reports of itself.
type EngineStatus struct {
	Engine string `json:"engine"`
	// Incarnation changes when the engine restarts.
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	Role        Role   `json:"role"`
	Phase       Phase  `json:"phase"`
	// Leaving is set when the engine itself announces that it will stop.
	Leaving bool `json:"leaving,omitempty"`
	// Fencing is the highest fencing number seen, 0 when the engine ignores them.
	Fencing int64 `json:"fencing"`
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	// QueuedPrefillTokens counts prompt tokens that wait for prefill.
	QueuedPrefillTokens int64 `json:"queued_prefill_tokens"`
	// RunningTokens counts tokens held by running requests.
	RunningTokens int64 `json:"running_tokens"`
	KVUsed        int64 `json:"kv_used"`
	KVCapacity    int64 `json:"kv_capacity"`
	// Capacity is the engine's capacity in tokens per second.
	Capacity int64 `json:"capacity"`
	// LastOrder is the id of the order that the engine executed or started last.
	LastOrder string    `json:"last_order,omitempty"`
	Time      time.Time `json:"time"`
}

// OrderKind tells what an order changes.
type OrderKind string

// Kinds of order.
const (
	OrderSetRole   OrderKind = "set-role"
	OrderLoadModel OrderKind = "load-model"
	// OrderRaiseFencing changes nothing but the engine's fencing number.
	OrderRaiseFencing OrderKind = "raise-fencing"
)

// Order tells an engine to change its role or model.
type Order struct {
	ID      string    `json:"order_id"`
	Kind    OrderKind `json:"kind"`
	Role    Role      `json:"role,omitempty"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Fencing int64     `json:"fencing"`
	// Incarnation, when set, is the only incarnation of the engine that the order
	// may reach; the client checks it.
	Incarnation string `json:"-"`
}

// CacheEvent reports that an engine stored or evicted a prompt prefix block.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Engine is one model engine.
type Engine interface {
	// Generate starts or resumes an answer. ErrNotSent and ErrNotRun mean that
	// the engine did not run the request.
	Generate(ctx context.Context, req GenerateRequest) (ChunkStream, error)
	// Cancel stops a request; cancelling an unknown request is not an error.
	Cancel(ctx context.Context, requestID string) error
	Status(ctx context.Context) (EngineStatus, error)
	// Order sends an order once. It returns ErrStaleFencing when the engine refused
	// the fencing number, ErrNotRun when it refused the order, and ErrNotSent when
	// nothing was sent. After any other error the order may still take effect.
	Order(ctx context.Context, o Order) error
	// CacheEvents returns events from sequence number from on; there may be gaps.
	CacheEvents(ctx context.Context, from int64) ([]CacheEvent, error)
}

// EngineDialer returns the client of the engine at host:port address.
type EngineDialer func(address string) Engine

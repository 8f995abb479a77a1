package port

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Errors of forwarded requests.
var (
	// ErrWrongInstance reports that another runner answered at the address. The
	// request did not run.
	ErrWrongInstance = errors.New("another runner has the address")
	// ErrInvalidResponse reports an answer that is not the runner's own or is not in the
	// protocol. The request may have run.
	ErrInvalidResponse = errors.New("answer is not a valid answer to the request")
	// ErrKVCacheUnavailable reports that the KV cache named by a request can't be fetched.
	// The request did not run.
	ErrKVCacheUnavailable = errors.New("KV cache can not be fetched")
)

// Repeat tells how often a request may run.
type Repeat string

// Kinds of request by what may be repeated.
const (
	// RepeatSafe requests may run any number of times.
	RepeatSafe Repeat = "safe"
	// RepeatNever requests run at most once.
	RepeatNever Repeat = "never"
	// RepeatStream requests are answered by an event stream. They run at most once
	// unless their route is resumable.
	RepeatStream Repeat = "stream"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes what an engine has to read for a request.
type Prompt struct {
	Model string
	// InputTokens is the length of the whole prompt, OutputTokens the most that may
	// be produced.
	InputTokens  int
	OutputTokens int
	// Parts are in the order of the prompt.
	Parts []PromptPart
}

// ForwardRequest is a request whose content the product does not interpret.
type ForwardRequest struct {
	// ID identifies one attempt of a client.
	ID     string
	Method string
	Host   string
	// Target is the path with its query as the client sent it.
	Target string
	// Header holds the end-to-end headers without those that the product sets.
	Header http.Header
	Body   []byte
	// Remaining is how long the client waits from Received on; 0 when unknown.
	Remaining time.Duration
	Received  time.Time
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// ResumeAfter is the id of the last event that the client has, or empty.
	ResumeAfter string
}

// Destination is one service of a route and its share of the requests.
type Destination struct {
	Service string
	Weight  int
}

// ForwardRoute tells how requests below a path are treated.
type ForwardRoute struct {
	Name       string
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// Target is the objective for the answer, or for the first event of a stream.
	Target time.Duration
	// GapTarget is the longest pause between events that is still on time.
	GapTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority     int
	Destinations []Destination
	// MaxAttempts is the number of runners that one request may run on.
	MaxAttempts int
	// Resumable streams may go on at another runner after their last event.
	Resumable bool
}

// Repeatable tells whether requests of the route may run more than once.
func (r *ForwardRoute) Repeatable() bool {
	return r.Repeat == RepeatSafe || r.Repeat == RepeatStream && r.Resumable
}

// EngineLimits are the properties that all engines of a service share.
type EngineLimits struct {
	Slots int
	// KVTokens is the memory of an engine in tokens, KVTokenBytes the size of one.
	KVTokens     int
	KVTokenBytes int
	// LinkMbps is the rate of KV cache transfers in Mbit/s.
	LinkMbps float64
	// RoleChange is how long an engine is away to change its role; 0 when it can not.
	RoleChange time.Duration
}

// ForwardService is a group of runners that serve the same requests.
type ForwardService struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// ClientLimits bound what clients may send.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteConfig is one version of the operators' configuration.
type RouteConfig struct {
	Version  int64
	Routes   []ForwardRoute
	Services map[string]ForwardService
	Limits   ClientLimits
}

// Runner is one entry of the runners' registry.
type Runner struct {
	ID      string
	Service string
	// Address is host:port.
	Address    string
	DataCentre string
	// Role is empty for plain services.
	Role     Role
	Draining bool
	Slots    int
	// ColdLeft is how long the runner remains slow after its start.
	ColdLeft time.Duration
	// StartedMS is the start of the runner in Unix milliseconds and Sequence grows
	// with each of its entries; together they order the entries of one id.
	StartedMS int64
	Sequence  int64
}

// Older tells whether r says less than other about the same id.
func (r Runner) Older(other Runner) bool {
	if r.StartedMS != other.StartedMS {
		return r.StartedMS < other.StartedMS
	}
	return r.Sequence < other.Sequence
}

// RunOptions tell how a request is sent to a runner.
type RunOptions struct {
	// Remaining is what is left of the client's time.
	Remaining time.Duration
	// Urgency orders requests at an engine; 0 is the most urgent.
	Urgency int
	// KVCache names the KV cache that the request goes on from, or is empty.
	KVCache KVCacheHandle
	// FetchFrom is host:port of the engine from which cached parts of the prompt are
	// fetched first, or empty.
	FetchFrom string
	// ResumeAfter is the id of the last event that was delivered, or empty.
	ResumeAfter string
	// MaxIdle limits how long a reused connection may have been idle; 0 asks for a new
	// one.
	MaxIdle time.Duration
}

// KVCacheHandle names a KV cache at a runner. It can be used once.
type KVCacheHandle struct {
	// Runner is the runner that holds it.
	Runner Runner
	ID     string
}

// Empty tells whether the handle names nothing.
func (h KVCacheHandle) Empty() bool { return h.ID == "" }

// ForwardResponse is the answer of a runner to a forwarded request.
type ForwardResponse struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the whole body; any other error means that the
	// answer is incomplete. Closing it early stops the runner's work.
	Body io.ReadCloser
}

// RoleOrder tells an engine to change its role.
type RoleOrder struct {
	Role Role
	// Holder is the daemon that holds the lease, Fencing grows with each lease.
	Holder  string
	Fencing int64
}

// Runners sends requests to runners. Its errors are ErrNotSent, ErrNotRun,
// ErrWrongInstance, ErrMemoryGone and ErrSpoiled; any other error leaves open
// whether the request ran.
type Runners interface {
	// Run sends a request once.
	Run(ctx context.Context, to Runner, r *ForwardRequest, o RunOptions) (*ForwardResponse, error)
	// Prefill has a request's prompt read. The caller uses or frees the handle.
	Prefill(ctx context.Context, at Runner, r *ForwardRequest, o RunOptions) (KVCacheHandle, error)
	// Free gives up a handle.
	Free(ctx context.Context, h KVCacheHandle) error
	// Order sends an order once. ErrNotRun and ErrWrongInstance mean that it was refused.
	Order(ctx context.Context, to Runner, o RoleOrder) error
	// Retain closes idle connections to addresses that keep rejects.
	Retain(keep func(address string) bool)
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key string
	// Value is nil when the key was dropped.
	Value  []byte
	Offset int64
}

// KeyedLog is a log whose newest record of each key is kept for good.
type KeyedLog interface {
	// Newest returns the newest record of each key and the offset from which Follow
	// misses none.
	Newest(ctx context.Context, topic string) ([]KeyedRecord, int64, error)
	// Follow returns the records from an offset on and the offset after them. With
	// wait above zero it blocks up to that long for a record. It returns
	// ErrLogTruncated when records from that offset on are gone.
	Follow(ctx context.Context, topic string, from int64, wait time.Duration) ([]KeyedRecord, int64, error)
	// Put appends records of keys. ErrAppendUnknown leaves open whether it did.
	Put(ctx context.Context, topic string, records []KeyedRecord) error
	// PutAt appends one record if the topic ends at an offset, and returns whether it
	// did. ErrAppendUnknown leaves that open.
	PutAt(ctx context.Context, topic string, at int64, record KeyedRecord) (bool, error)
}

// Registry topics of a KeyedLog.
const (
	// TopicOperators holds the operators' configuration under KeyRouteConfig.
	TopicOperators = "operators"
	// TopicRunners holds the entries of runners by id.
	TopicRunners = "runners"
	// TopicDaemons holds the peer addresses of daemons by name.
	TopicDaemons = "daemons"
	// TopicLeases holds the leases under which engines get orders, by data centre.
	TopicLeases = "leases"
	// KeyRouteConfig is the key of the newest configuration.
	KeyRouteConfig = "config"
)

// RegistryCodec decodes the records of the registry topics.
type RegistryCodec interface {
	RouteConfig(value []byte) (*RouteConfig, error)
	Runner(id string, value []byte) (Runner, error)
}

// RequestCodec reads requests of clients and names the headers of answers.
type RequestCodec interface {
	// Decode reads the head of a request. The body is not read.
	Decode(r *http.Request) (*ForwardRequest, error)
	// ReadyPath is where the balancer asks whether the daemon takes connections.
	ReadyPath() string
}

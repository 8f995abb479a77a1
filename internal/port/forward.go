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
	// ErrWrongInstance reports that another runner responded at the address. The
	// request did not run.
	ErrWrongInstance = errors.New("another runner uses the address")
	// ErrInvalidResponse reports a response that violates the protocol or was not
	// sent by the runner. The request may have run.
	ErrInvalidResponse = errors.New("invalid response to the request")
	// ErrErrorStatus reports a complete response with an error status. The request may
	// have run.
	ErrErrorStatus = errors.New("runner responded with an error status")
	// ErrKVCacheUnavailable reports that the KV cache named by a request cannot be
	// fetched. The request did not run.
	ErrKVCacheUnavailable = errors.New("KV cache cannot be fetched")
	// ErrResponseMemory reports that responses occupy all the memory allowed for them. The request may have run.
	ErrResponseMemory = errors.New("memory for responses is full")
	// ErrConnectionLimit reports that no further connection to a runner may be open. Nothing was sent.
	ErrConnectionLimit = errors.New("connections to the runner are in use up to their limit")
	// ErrDeclined reports that another daemon did not take a request. The request did not run there.
	ErrDeclined = errors.New("daemon declined the request")
)

// Repeat states how often a request may run.
type Repeat string

// Kinds of request by how often they may run.
const (
	// RepeatSafe requests may run any number of times.
	RepeatSafe Repeat = "safe"
	// RepeatNever requests run at most once.
	RepeatNever Repeat = "never"
	// RepeatStream requests have an event stream as response. They run at most once
	// unless their route is resumable.
	RepeatStream Repeat = "stream"
)

// PromptPart is a part of a prompt. Prompts of different requests may share parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request, which an engine has to prefill.
type Prompt struct {
	Model string
	// InputTokens is the length of the whole prompt, OutputTokens the maximum number
	// of tokens to generate.
	InputTokens  int
	OutputTokens int
	// Parts are in the order of the prompt.
	Parts []PromptPart
}

// MaxAttemptIDBytes is the length up to which the id of a client attempt is remembered.
const MaxAttemptIDBytes = 128

// ForwardRequest is a request that is forwarded without interpreting its content.
type ForwardRequest struct {
	// ID identifies one attempt of the client.
	ID     string
	Method string
	Host   string
	// Target is the path with its query as the client sent it.
	Target string
	// Header holds the end-to-end headers without those that the gateway sets.
	Header http.Header
	Body   []byte
	// Remaining is the client timeout, measured from Received; 0 when unknown.
	Remaining time.Duration
	Received  time.Time
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// ResumeAfter is the id of the last event that the client has received, or empty.
	ResumeAfter string
	// Key identifies the key that the client sent. It is the zero value if the client sent none or several, and never
	// encoded.
	Key KeyDigest `json:"-"`
	// Organisation is the name of the organisation that holds the key, or empty if the route needs none.
	Organisation string
	// TakesUp is the ID of the client attempt in which the client received the first event of the
	// stream that it continues, or empty.
	TakesUp string
}

// Destination is one service of a route and its share of the requests.
type Destination struct {
	Service string
	Weight  int
}

// ForwardRoute defines how requests below a path are handled.
type ForwardRoute struct {
	Name       string
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Timeout is the longest time that a client waits for the response.
	Timeout time.Duration
	// Target is the objective for the time to the response, or to the first event of
	// a stream.
	Target time.Duration
	// GapTarget is the objective for the longest gap between events of a stream.
	GapTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority     int
	Destinations []Destination
	// MaxAttempts is the maximum number of runners on which one request may run.
	MaxAttempts int
	// Resumable is set if another runner may continue a stream after its last event.
	Resumable bool
	// Public is set if requests of the route need no key of an organisation.
	Public bool
}

// Repeatable reports whether requests of the route may run more than once.
func (r *ForwardRoute) Repeatable() bool {
	return r.Repeat == RepeatSafe || r.Repeat == RepeatStream && r.Resumable
}

// EngineLimits holds the properties that all engines of a service have in common.
type EngineLimits struct {
	Slots int
	// KVTokens is the KV cache capacity of an engine in tokens, KVTokenBytes the size
	// of one token in the KV cache.
	KVTokens     int
	KVTokenBytes int
	// LinkMbps is the rate of KV cache transfers in Mbit/s.
	LinkMbps float64
	// RoleChange is how long an engine is unavailable while it changes its role; 0
	// when it cannot change its role.
	RoleChange time.Duration
}

// ForwardService is a group of runners that serve the same requests.
type ForwardService struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineLimits
	// Scaling is nil if the number of runners cannot be ordered.
	Scaling *Scaling
}

// Scaling states what may be ordered of a service's runners in each data centre.
type Scaling struct {
	// Min and Max bound the number of runners of both kinds together.
	Min, Max int
	// BootTime is how long a new runner takes until it serves.
	BootTime time.Duration
	// ReclaimablePrice is the price of a runner that may be reclaimed, relative to that of any other runner in its
	// data centre; 0 if there are none.
	ReclaimablePrice float64
	// Prices holds the price per second of a runner by data centre.
	Prices map[string]float64
}

// ClientLimits holds the limits for connections and requests of clients.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteConfig is one version of the operators' route configuration.
type RouteConfig struct {
	Version  int64
	Routes   []ForwardRoute
	Services map[string]ForwardService
	Limits   ClientLimits
	// Organisations is nil if requests need no key.
	Organisations []Organisation
}

// Runner is one entry of the runner registry.
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
	// Version is the version of the runner's software. Streams of one version cannot continue at
	// another one.
	Version string
	// Reclaimable is set if the platform may take the runner back, together with all other such runners of its
	// data centre.
	Reclaimable bool
	// ColdLeft is how long the runner will remain slow because it has started
	// recently.
	ColdLeft time.Duration
	// StartedMS is the start time of the runner in Unix milliseconds. Sequence grows
	// with each entry of the runner. Together they order the entries of one id.
	StartedMS int64
	Sequence  int64
}

// Older reports whether r is an earlier entry of the same id than other.
func (r Runner) Older(other Runner) bool {
	if r.StartedMS != other.StartedMS {
		return r.StartedMS < other.StartedMS
	}
	return r.Sequence < other.Sequence
}

// RunOptions holds the options for sending a request to a runner.
type RunOptions struct {
	// Remaining is the time left until the client timeout.
	Remaining time.Duration
	// Urgency is the priority of the request at an engine; 0 is the most urgent.
	Urgency int
	// KVCache names the KV cache from which the request continues, or is empty.
	KVCache KVCacheHandle
	// FetchFrom is the host:port of the engine from which the runner fetches cached
	// parts of the prompt before it runs the request, or empty.
	FetchFrom string
	// ResumeAfter is the id of the last event that the client has received, or empty.
	ResumeAfter string
	// MaxIdle limits how long a reused connection may have been idle; 0 requires a new
	// connection.
	MaxIdle time.Duration
	// Wanted reports whether the client still waits. It is called immediately before the request is written; nil if it is
	// not known.
	Wanted func() bool
	// Opened is called before the request is written on a connection that was opened for it, if no other one to the runner is
	// open. An error prevents that. It may be nil.
	Opened func(ctx context.Context) error
}

// KVCacheHandle names a KV cache on a runner. It can be used once.
type KVCacheHandle struct {
	// Runner is the runner that holds the KV cache.
	Runner Runner
	ID     string
}

// Empty reports whether the handle names no KV cache.
func (h KVCacheHandle) Empty() bool { return h.ID == "" }

// ForwardResponse is the response of a runner to a forwarded request.
type ForwardResponse struct {
	Status int
	Header http.Header
	// Body returns io.EOF only after the whole body; any other error means that the
	// response is incomplete. Closing it early cancels the request at the runner.
	Body io.ReadCloser
	// Framed is set if the response states where its body ends. Otherwise the body ends
	// with its connection.
	Framed bool
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Role Role
	// Holder is the daemon that holds the lease, Fencing its fencing token, which
	// grows with each lease.
	Holder  string
	Fencing int64
}

// Runners sends requests to runners. Its errors are ErrNotSent, ErrNotRun, ErrErrorStatus,
// ErrWrongInstance, ErrKVCacheUnavailable, ErrInvalidResponse and ErrResponseMemory. After any other error
// the request may have run.
type Runners interface {
	// Run sends a request once.
	Run(ctx context.Context, to Runner, r *ForwardRequest, o RunOptions) (*ForwardResponse, error)
	// Prefill runs the prefill of a request's prompt. The caller must use the returned
	// handle in a request or free it.
	Prefill(ctx context.Context, at Runner, r *ForwardRequest, o RunOptions) (KVCacheHandle, error)
	// Free releases the KV cache of a handle that is not used.
	Free(ctx context.Context, h KVCacheHandle) error
	// Order sends an order once. ErrNotRun and ErrWrongInstance mean that it was refused.
	Order(ctx context.Context, to Runner, o RoleOrder) error
	// Probe opens a connection to a runner and keeps it for later requests.
	Probe(ctx context.Context, to Runner) error
	// Retain closes idle connections to addresses for which keep returns false.
	Retain(keep func(address string) bool)
}

// Handover is what a daemon says of a request that it hands to another one, which serves it as if the
// client had sent it there.
type Handover struct {
	// From is the name of the daemon that received the request from the client.
	From string `json:"from"`
	// ElapsedMS is the time since then, RemainingMS the client timeout measured from then; 0 when unknown.
	ElapsedMS   int64 `json:"elapsed"`
	RemainingMS int64 `json:"remaining,omitempty"`
	// ConfigVersion is the version of the configuration at that daemon, ConfigFrom the peer address from
	// which it can be fetched.
	ConfigVersion int64  `json:"config"`
	ConfigFrom    string `json:"config_from,omitempty"`
	// Sends is the number of attempts that runners received or refused, Executions those that may have
	// been executed. Counted is set if the request is
	// counted for the shared retry limit, Prefilled if an engine has prefilled its prompt, Arrived if a runner
	// may have received it otherwise.
	Sends      int  `json:"sends,omitempty"`
	Executions int  `json:"executions,omitempty"`
	Counted    bool `json:"counted,omitempty"`
	Prefilled  bool `json:"prefilled,omitempty"`
	Arrived    bool `json:"arrived,omitempty"`
	// Organisation is the name of the organisation whose key the sender has verified, or empty if it verified none.
	Organisation string `json:"organisation,omitempty"`
}

// Handovers hands requests to other daemons.
type Handovers interface {
	// Forward sends a request once to the daemon at host:port address. After ErrNotSent and ErrDeclined
	// the request did not run there, after any other error it may have run.
	Forward(ctx context.Context, address string, r *ForwardRequest, n Handover) (*ForwardResponse, error)
}

// ErrSilent ends an attempt whose runner made no progress. It is the cause of the context of the attempt.
var ErrSilent = errors.New("runner made no progress")

// Contact is the result of an attempt to reach a runner.
type Contact int

// Results of attempts to reach a runner.
const (
	// ContactOpened means that a connection was opened.
	ContactOpened Contact = iota
	// ContactFailed means that no connection could be opened.
	ContactFailed
	// ContactResponded means that the begin of a response arrived.
	ContactResponded
	// ContactSilent means that a request was lost with its connection, or was given up without a response.
	ContactSilent
)

// ContactSource is a Runners that reports each contact.
type ContactSource interface {
	// WatchContacts sets the function that is called with each contact with a runner that began at began.
	// It must be called before the first request.
	WatchContacts(func(to Runner, c Contact, began time.Time))
}

// ConnectionLimiter is a Runners that limits the connections to each runner.
type ConnectionLimiter interface {
	// LimitConnections sets the function that returns how many connections to the runner at an address may be open,
	// 0 for any number. Requests beyond it fail with ErrNotSent and ErrConnectionLimit. It must be called before the
	// first request.
	LimitConnections(func(address string) int)
}

// RunnerNotice is what a runner says of itself in a response.
type RunnerNotice struct {
	// RequestID and Status identify the response.
	RequestID string
	Status    int
	// Leaving is set if the runner announces that it leaves.
	Leaving bool
	// Quiet is for how long the runner wants no requests of this daemon; 0 if it does not say.
	Quiet time.Duration
	// Limit is what the runner says of a request limit, in the response to a request that was sent at
	// SentAt.
	Limit  RequestLimit
	SentAt time.Time
}

// RequestLimit is what a response says of the rate of requests that its runner takes from all daemons
// together. The zero value says nothing.
type RequestLimit struct {
	// Named is set if the response names a limit, None if it is a successful response to a request
	// and names none.
	Named, None bool
	// Rate is the named limit in requests per second.
	Rate float64
}

// NoticeSource is a Runners that reads notices.
type NoticeSource interface {
	// Watch sets the function that is called with what each response says, before the response is
	// returned. It must be called before the first request.
	Watch(func(Runner, RunnerNotice))
}

// KeyedRecord is the newest record of a key.
type KeyedRecord struct {
	Key string
	// Value is nil when the key was deleted.
	Value  []byte
	Offset int64
}

// Position is a place in a topic of a KeyedLog. The era rises each time that the log comes back from
// an older copy of itself; the offsets after that copy are then given out again.
type Position struct {
	Era    int64
	Offset int64
}

// eraBits is the number of bits of Position.Order that hold the offset. Offsets of registry topics are
// far below, and the result is exact in JSON for many eras.
const eraBits = 32

// Order returns a number that rises with the position, also from era to era.
func (p Position) Order() int64 { return p.Era<<eraBits | p.Offset }

// KeyedLog is a log that retains the newest record of each key indefinitely. It may come back from a
// copy that is some seconds old: what was appended since is lost.
type KeyedLog interface {
	// Newest returns the newest record of each key and the position from which Follow
	// returns all later records.
	Newest(ctx context.Context, topic string) ([]KeyedRecord, Position, error)
	// Follow returns the records starting at a position and the position after them. If
	// wait is above zero, it blocks up to that long for a record. It returns
	// ErrLogTruncated when records at or after that position have been removed, and
	// ErrLogRestored when the position is of an earlier era.
	Follow(ctx context.Context, topic string, from Position, wait time.Duration) ([]KeyedRecord, Position, error)
	// Put appends records. After ErrAppendUnknown they may or may not have been
	// appended.
	Put(ctx context.Context, topic string, records []KeyedRecord) error
	// PutAt appends one record if the topic ends at the position at, and reports whether
	// it did. After ErrAppendUnknown the record may or may not have been appended. After
	// ErrLogRestored it may have been appended behind other records than at suggests.
	PutAt(ctx context.Context, topic string, at Position, record KeyedRecord) (bool, error)
}

// EraSource is a KeyedLog that reports its era.
type EraSource interface {
	// WatchEra sets the function that is called with the era of each response. It must be called
	// before the first call of the log.
	WatchEra(func(era int64))
}

// Registry topics of a KeyedLog.
const (
	// TopicOperators holds the operators' configuration under KeyRouteConfig.
	TopicOperators = "operators"
	// TopicRunners holds the entries of runners by id.
	TopicRunners = "runners"
	// TopicDaemons holds the peer addresses of daemons by name.
	TopicDaemons = "daemons"
	// TopicLeases holds the leases under which orders are sent to engines, by data
	// centre.
	TopicLeases = "leases"
	// TopicCrashes holds the traits of requests that are blocked because runners terminated during
	// them.
	TopicCrashes = "crashes"
	// TopicOrigins holds the software versions that services have had, and where streams began.
	TopicOrigins = "origins"
	// TopicUsage holds the last usage reports.
	TopicUsage = "usage"
	// TopicCapacity holds what was last ordered of the runners of a service, by data centre and service.
	TopicCapacity = "capacity"
	// KeyRouteConfig is the key of the route configuration in TopicOperators.
	KeyRouteConfig = "config"
)

// RegistryCodec decodes the records of the registry topics.
type RegistryCodec interface {
	RouteConfig(value []byte) (*RouteConfig, error)
	Runner(id string, value []byte) (Runner, error)
}

// RequestCodec decodes requests of clients.
type RequestCodec interface {
	// Decode decodes the request line and the headers. It does not read the body.
	Decode(r *http.Request) (*ForwardRequest, error)
	// ReadyPath returns the path at which the load balancer checks whether the daemon
	// accepts connections.
	ReadyPath() string
}

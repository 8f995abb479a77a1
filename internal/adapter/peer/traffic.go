package peer

import (
	"context"
	"errors"
	"expvar"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// Outcomes of calls in Traffic.
const (
	outcomeAnswered  = "answered"
	outcomeRejected  = "rejected"
	outcomeLate      = "late"
	outcomeUnopened  = "unopened"
	outcomeConnLost  = "connection-lost"
	outcomeCancelled = "cancelled"
)

// responses is the kind of the messages that answer calls.
const responses = "responses"

// Traffic counts the calls of a process to peers and the bytes that it exchanges with them. It is safe for concurrent
// use; a nil Traffic counts nothing.
type Traffic struct {
	// calls counts the calls that ended, by outcome.
	calls *expvar.Map
	// sent counts the bytes written, by the method of the call or as responses.
	sent *expvar.Map
	// received counts the bytes read.
	received atomic.Int64
	// opened counts the connections that were opened, and closed the ones that were given up after a call.
	opened, closed atomic.Int64
}

// NewTraffic returns counters that start at 0.
func NewTraffic() *Traffic {
	return &Traffic{calls: new(expvar.Map).Init(), sent: new(expvar.Map).Init()}
}

// TrafficStatus is what an operator sees of the traffic with peers.
type TrafficStatus struct {
	Calls         map[string]int64 `json:"calls"`
	SentBytes     map[string]int64 `json:"sent_bytes"`
	ReceivedBytes int64            `json:"received_bytes"`
	Opened        int64            `json:"opened_connections"`
	GivenUp       int64            `json:"given_up_connections"`
}

// Status returns the counts since the start.
func (t *Traffic) Status() TrafficStatus {
	return TrafficStatus{
		Calls: values(t.calls), SentBytes: values(t.sent), ReceivedBytes: t.received.Load(),
		Opened: t.opened.Load(), GivenUp: t.closed.Load(),
	}
}

func values(m *expvar.Map) map[string]int64 {
	out := map[string]int64{}
	m.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			out[kv.Key] = n.Value()
		}
	})
	return out
}

// Since returns what was counted after an earlier status.
func (s TrafficStatus) Since(earlier TrafficStatus) TrafficStatus {
	return TrafficStatus{
		Calls: difference(s.Calls, earlier.Calls), SentBytes: difference(s.SentBytes, earlier.SentBytes),
		ReceivedBytes: s.ReceivedBytes - earlier.ReceivedBytes, Opened: s.Opened - earlier.Opened, GivenUp: s.GivenUp - earlier.GivenUp,
	}
}

// Failed returns the number of calls that got no response.
func (s TrafficStatus) Failed() int64 {
	return s.Calls[outcomeLate] + s.Calls[outcomeUnopened] + s.Calls[outcomeConnLost]
}

func difference(now, earlier map[string]int64) map[string]int64 {
	out := map[string]int64{}
	for key, n := range now {
		if n != earlier[key] {
			out[key] = n - earlier[key]
		}
	}
	return out
}

// countCall counts a call that ended with err; opened tells whether its connection was open.
func (t *Traffic) countCall(err error, opened bool) {
	if t != nil {
		t.calls.Add(outcomeOf(err, opened), 1)
	}
}

func outcomeOf(err error, opened bool) string {
	var rejected *jsonrpc2.Error
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.As(err, &rejected):
		return outcomeRejected
	case errors.Is(err, context.Canceled):
		return outcomeCancelled
	case !opened:
		return outcomeUnopened
	case errors.Is(err, context.DeadlineExceeded):
		return outcomeLate
	}
	return outcomeConnLost
}

func (t *Traffic) countOpened() {
	if t != nil {
		t.opened.Add(1)
	}
}

func (t *Traffic) countGivenUp() {
	if t != nil {
		t.closed.Add(1)
	}
}

// countedConn counts what is read and written. Its kind is set before each message is written.
type countedConn struct {
	net.Conn
	traffic *Traffic
	// kind is guarded by the lock that jsonrpc2 holds while it sends a message.
	kind string
}

// noteKind notes what the next message is; see jsonrpc2.OnSend.
func (c *countedConn) noteKind(request *jsonrpc2.Request, _ *jsonrpc2.Response) {
	c.kind = responses
	if request != nil {
		c.kind = request.Method
	}
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(c.kind, int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

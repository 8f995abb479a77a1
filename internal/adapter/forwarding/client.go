// Package forwarding carries requests of clients from one daemon to another one over HTTP/1.1. The receiver
// listens on an internal address, which clients do not reach.
package forwarding

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// headerNote holds the port.Handover of a request, as JSON.
	headerNote = "Bergamot-Handover"
	// headerDeclined is set in the response of a daemon that does not take the request. Its value is why.
	headerDeclined = "Bergamot-Declined"
	// headerRunner holds the answeredBy of a runner's response.
	headerRunner = "Bergamot-Runner"
	// maxIdle is the longest idle time of a connection that is reused. It is shorter than the keep-alive
	// probes of a connection that became unresponsive, and than the time for which daemons keep idle ones.
	maxIdle = 2 * time.Second
)

// Client hands requests to other daemons. It implements port.Handovers.
type Client struct {
	client *exchange.Client
	// observe is called with each response of a runner.
	observe func(port.Runner, *exchange.Response)
}

// answeredBy identifies the start of a runner.
type answeredBy struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"started"`
}

// NewClient returns a client that sends over the connections of client. observe is called with each
// response of a runner before it is returned; only the ID and the start of the runner are set.
func NewClient(client *exchange.Client, observe func(port.Runner, *exchange.Response)) *Client {
	return &Client{client: client, observe: observe}
}

// Forward implements port.Handovers.
func (c *Client) Forward(ctx context.Context, address string, r *port.ForwardRequest, n port.Handover) (*port.ForwardResponse, error) {
	note, err := json.Marshal(n)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h := r.Header.Clone()
	h.Set(headerNote, string(note))
	response, err := c.client.Do(ctx, address, exchange.Request{Method: r.Method, Host: r.Host, Target: r.Target, Header: h, Body: r.Body, MaxIdle: maxIdle})
	if err != nil {
		return nil, err
	}
	if reason := response.Header.Get(headerDeclined); reason != "" {
		// Closing an unread body closes the connection too.
		_ = response.Body.Close()
		return nil, fmt.Errorf("%w: %s", port.ErrDeclined, reason)
	}
	var by answeredBy
	if json.Unmarshal([]byte(response.Header.Get(headerRunner)), &by) == nil {
		c.observe(port.Runner{ID: by.ID, StartedMS: by.StartedMS}, response)
	}
	response.Header.Del(headerRunner)
	return &port.ForwardResponse{Status: response.Status, Header: port.EndToEnd(response.Header), Body: response.Body, Framed: response.Framed}, nil
}

// HasNote reports whether a request says that another daemon hands it over.
func HasNote(r *http.Request) bool { return r.Header.Get(headerNote) != "" }

// ReadNote removes and decodes what the sender says of a request. It returns BadParameter if that is
// missing or malformed.
func ReadNote(r *http.Request) (*port.Handover, error) {
	text := r.Header.Get(headerNote)
	r.Header.Del(headerNote)
	if text == "" {
		return nil, trace.BadParameter("header %s is missing", headerNote)
	}
	var n port.Handover
	if err := json.Unmarshal([]byte(text), &n); err != nil {
		return nil, trace.BadParameter("header %s: %v", headerNote, err)
	}
	if n.Sends < 0 || n.Executions < 0 || n.ElapsedMS < 0 || n.RemainingMS < 0 {
		return nil, trace.BadParameter("header %s: a number is negative", headerNote)
	}
	return &n, nil
}

// NameRunner names the runner whose response a receiver passes on, and removes a mark of Decline that the
// runner itself has set.
func NameRunner(h http.Header, r port.Runner) {
	Accept(h)
	// A struct of a string and a number can always be encoded.
	name, _ := json.Marshal(answeredBy{ID: r.ID, StartedMS: r.StartedMS})
	h.Set(headerRunner, string(name))
}

// Decline marks a response as one of a daemon that has not run the request and will not.
func Decline(h http.Header, reason string) { h.Set(headerDeclined, reason) }

// Accept removes the mark of Decline.
func Accept(h http.Header) { h.Del(headerDeclined) }

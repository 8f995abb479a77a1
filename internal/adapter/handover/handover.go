// Package handover carries requests of clients from one daemon to another one over HTTP/1.1. The receiver
// listens on an internal address, which clients do not reach.
package handover

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
	// maxIdle is the longest idle time of a connection that is reused. It is shorter than the keep-alive
	// probes of a connection that became unresponsive, and than the time for which daemons keep idle ones.
	maxIdle = 2 * time.Second
)

// Client hands requests to other daemons. It implements port.Handovers.
type Client struct {
	client *exchange.Client
}

// NewClient returns a client that sends over the connections of client.
func NewClient(client *exchange.Client) *Client { return &Client{client: client} }

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
	return &port.ForwardResponse{Status: response.Status, Header: port.EndToEnd(response.Header), Body: response.Body, Framed: response.Framed}, nil
}

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
	if n.Executions < 0 || n.Sends < 0 || n.ElapsedMS < 0 || n.RemainingMS < 0 {
		return nil, trace.BadParameter("header %s: a number is negative", headerNote)
	}
	return &n, nil
}

// Decline marks a response as one of a daemon that has not run the request and will not.
func Decline(h http.Header, reason string) { h.Set(headerDeclined, reason) }

// Accept removes the mark of Decline.
func Accept(h http.Header) { h.Del(headerDeclined) }

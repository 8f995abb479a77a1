package port

import (
	"context"
	"net/http"
)

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	Method string
	// Path is the escaped request path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Service is one plain service upstream.
type Service interface {
	// Call runs one request. ErrNotSent means that no byte of it was sent; any
	// other error leaves open whether it ran.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
	// Probe opens a fresh exchange that proves the connection alive.
	Probe(ctx context.Context) error
}

// ServiceDialer returns the client of the service at host:port address.
type ServiceDialer func(address string) Service

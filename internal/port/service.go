package port

import (
	"context"
	"errors"
	"net/http"
)

// ErrHealthCheckFailed reports that a connection to a service could not be opened or
// did not answer a health check.
var ErrHealthCheckFailed = errors.New("connection to service is not proved alive")

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
	// Call runs one request over a shared connection and sends it at most once.
	// ErrNotSent means that no byte of it was sent; any other error leaves open
	// whether it ran.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
	// Open opens a connection of its own and proves it alive by a health check.
	Open(ctx context.Context) (ServiceConn, error)
}

// ServiceConn is one connection to a service, proved alive.
type ServiceConn interface {
	// Call sends one request over this connection and no other. Its errors are
	// those of Service.Call.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
	Close()
}

// ServiceDialer returns the client of the service at host:port address.
type ServiceDialer func(address string) Service

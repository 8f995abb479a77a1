package port

import (
	"context"
	"errors"
	"net/http"
)

// ErrHealthCheckFailed reports that a connection to a service could not be opened or
// failed its health check.
var ErrHealthCheckFailed = errors.New("connection to service could not be opened or failed its health check")

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Method string
	// Path is the escaped request path with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Service is the client of one plain service.
type Service interface {
	// Call sends one request over a pooled connection, at most once. ErrNotSent means
	// that no byte of it was sent; after any other error the request may have run.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
	// Open opens a dedicated connection and verifies it by a health check.
	Open(ctx context.Context) (ServiceConn, error)
}

// ServiceConn is one connection to a service that has passed a health check.
type ServiceConn interface {
	// Call sends one request over this connection only. It returns the same errors as
	// Service.Call.
	Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error)
	Close()
}

// ServiceDialer returns the client of the service at host:port address.
type ServiceDialer func(address string) Service

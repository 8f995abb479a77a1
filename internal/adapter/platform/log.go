package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records []port.Entry `json:"records"`
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	Offsets []int64 `json:"offsets"`
}

// Log is the client of the log service. It implements port.Log.
type Log struct{ client client }

// NewLog returns a client for the log service at base.
func NewLog(base string, nw network.Network) *Log {
	return &Log{client: newClient(base, nw)}
}

// RecordsPath returns the URL path of a stream's records.
func RecordsPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements port.Log. Only the statuses 429 and 503 prove that nothing was
// appended, because the service uses them before it appends.
func (l *Log) Append(ctx context.Context, stream string, entries []port.Entry) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var out AppendResponse
	status, err := l.client.do(ctx, http.MethodPost, RecordsPath(stream), AppendRequest{Records: entries}, &out)
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return nil, fmt.Errorf("%w: %v", port.ErrLogUnavailable, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %v", port.ErrAppendUnknown, err)
	case len(out.Offsets) != len(entries):
		return nil, fmt.Errorf("%w: response has %d offsets for %d records", port.ErrAppendUnknown, len(out.Offsets), len(entries))
	}
	return out.Offsets, nil
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+wait)
	defer cancel()
	path := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", RecordsPath(stream), from, limit, wait.Milliseconds())
	var page port.Page
	status, err := l.client.do(ctx, http.MethodGet, path, nil, &page)
	if err != nil {
		return port.Page{}, fmt.Errorf("%w: %v", port.ErrLogUnavailable, err)
	}
	if status == http.StatusGone {
		return page, port.ErrLogTruncated
	}
	return page, nil
}

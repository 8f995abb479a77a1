package port

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Errors of the log service.
var (
	// ErrLogUnavailable reports that an operation had no effect.
	ErrLogUnavailable = errors.New("log service unavailable")
	// ErrAppendUnknown reports that an append may or may not have taken effect.
	ErrAppendUnknown = errors.New("outcome of append unknown")
	// ErrLogTruncated reports a read below the oldest retained offset.
	ErrLogTruncated = errors.New("log truncated below requested offset")
)

// Entry is a record that has not been appended yet.
type Entry struct {
	// ID identifies the record across retries of the append.
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

// Record is an appended entry.
type Record struct {
	Offset int64           `json:"offset"`
	ID     string          `json:"id"`
	Time   time.Time       `json:"time"`
	Data   json.RawMessage `json:"data"`
}

// Page is the result of one read.
type Page struct {
	Records []Record `json:"records"`
	// First is the oldest retained offset, Next the offset after the newest record.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// Log is the platform's append-only log service. Offsets of a stream start at 0
// and increase by one per record.
type Log interface {
	// Append adds entries in order. On ErrLogUnavailable nothing was added; on
	// ErrAppendUnknown the caller finds out by reading on.
	Append(ctx context.Context, stream string, entries []Entry) ([]int64, error)
	// Read returns records from offset from on. With wait above zero it blocks up
	// to that long for a record. It returns ErrLogTruncated, together with a Page
	// that holds First and Next, when from is below the oldest retained offset.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

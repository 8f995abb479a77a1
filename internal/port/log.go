package port

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Errors of the log service.
var (
	// ErrLogUnavailable reports that an operation failed and had no effect.
	ErrLogUnavailable = errors.New("log service unavailable")
	// ErrAppendUnknown reports that an append may or may not have taken effect.
	ErrAppendUnknown = errors.New("outcome of the append is unknown")
	// ErrLogTruncated reports a read below the oldest retained offset.
	ErrLogTruncated = errors.New("requested offset is below the oldest retained offset")
	// ErrLogRestored reports a position of an earlier era: the log came back from an older copy.
	ErrLogRestored = errors.New("log came back from an older copy since the position was read")
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
	// Append appends entries in order and returns their offsets. After
	// ErrLogUnavailable nothing was appended. After ErrAppendUnknown the entries may
	// have been appended; the caller has to read the stream to find out.
	Append(ctx context.Context, stream string, entries []Entry) ([]int64, error)
	// Read returns up to limit records starting at offset from. If wait is above
	// zero, it blocks up to that long for a record. When from is below the oldest
	// retained offset, it returns ErrLogTruncated and a Page that holds First and Next.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

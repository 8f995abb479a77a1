package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/platform"
	"bergamotsill.example/bergamotsill/internal/port"
)

// LogFaults selects the failures that a Log produces.
type LogFaults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// LoseResponses is the number of appends to execute without sending a response.
	LoseResponses int `json:"lose_answers"`
	// DropRequests is the number of appends that end with an unknown outcome and are
	// not executed.
	DropRequests int `json:"drop_requests"`
	// LateAppends is the number of appends that end with an unknown outcome and are
	// executed after LateMS milliseconds, even if the log is down by then.
	LateAppends int   `json:"late_appends"`
	LateMS      int64 `json:"late_ms"`
	// DelayMS delays every HTTP request, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
}

// Log is an in-memory log service.
type Log struct {
	// mu guards the fields below.
	mu      sync.Mutex
	streams map[string]*logStream
	faults  LogFaults
	// retention is the number of records kept per stream; 0 keeps all.
	retention int
	// appends is the number of executed append requests.
	appends int64
}

type logStream struct {
	firstOffset int64
	records     []port.Record
	// changed is closed and replaced whenever a record is added.
	changed chan struct{}
}

// NewLog returns a log that keeps the newest retention records of each stream, or all
// records if retention is 0.
func NewLog(retention int) *Log {
	return &Log{streams: map[string]*logStream{}, retention: retention}
}

// SetRetention sets how many of the newest records of each stream are kept; 0 keeps
// all of them.
func (l *Log) SetRetention(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = records
}

// SetFaults replaces all current faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the current faults.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of executed append requests.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// streamLocked returns a stream and creates it if it does not exist. Log.mu is held.
func (l *Log) streamLocked(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) nextOffset() int64 { return s.firstOffset + int64(len(s.records)) }

// trim removes all but the newest retention records. A retention of 0 removes none.
func (s *logStream) trim(retention int) {
	excess := len(s.records) - retention
	if retention <= 0 || excess <= 0 {
		return
	}
	s.records = append([]port.Record(nil), s.records[excess:]...)
	s.firstOffset += int64(excess)
}

// Append implements port.Log. The faults determine its error.
func (l *Log) Append(_ context.Context, stream string, entries []port.Entry) ([]int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, port.ErrLogUnavailable
	}
	if l.faults.DropRequests > 0 {
		l.faults.DropRequests--
		return nil, port.ErrAppendUnknown
	}
	if l.faults.LateAppends > 0 {
		l.faults.LateAppends--
		time.AfterFunc(time.Duration(l.faults.LateMS)*time.Millisecond, func() { l.appendLate(stream, entries) })
		return nil, port.ErrAppendUnknown
	}
	offsets := l.appendLocked(stream, entries)
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
		return nil, port.ErrAppendUnknown
	}
	return offsets, nil
}

// appendLate executes an append of the fault LateAppends.
func (l *Log) appendLate(stream string, entries []port.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendLocked(stream, entries)
}

// appendLocked appends entries, wakes waiting reads and returns the offsets of the
// entries. Log.mu is held.
func (l *Log) appendLocked(stream string, entries []port.Entry) []int64 {
	l.appends++
	s := l.streamLocked(stream)
	offsets := make([]int64, len(entries))
	for i, e := range entries {
		offsets[i] = s.nextOffset()
		s.records = append(s.records, port.Record{Offset: s.nextOffset(), ID: e.ID, Time: time.Now(), Data: e.Data})
	}
	s.trim(l.retention)
	close(s.changed)
	s.changed = make(chan struct{})
	return offsets
}

// NextOffset returns the offset after the newest record of a stream. It works even if
// the log is down.
func (l *Log) NextOffset(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streamLocked(stream).nextOffset()
}

// Trim removes all but the newest keep records of a stream, as if the retention of the
// others had ended.
func (l *Log) Trim(stream string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamLocked(stream)
	excess := max(len(s.records)-keep, 0)
	s.records = append([]port.Record(nil), s.records[excess:]...)
	s.firstOffset += int64(excess)
}

// Read implements port.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (port.Page, error) {
	page, changed, err := l.readNow(stream, from, limit)
	if err != nil || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return page, port.ErrLogUnavailable
	case <-timer.C:
		return page, nil
	case <-changed:
	}
	page, _, err = l.readNow(stream, from, limit)
	return page, err
}

// readNow implements Read without waiting. The returned channel is closed at the next
// append to the stream.
func (l *Log) readNow(stream string, from int64, limit int) (port.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return port.Page{}, nil, port.ErrLogUnavailable
	}
	s := l.streamLocked(stream)
	page := port.Page{First: s.firstOffset, Next: s.nextOffset()}
	if from < s.firstOffset {
		return page, s.changed, port.ErrLogTruncated
	}
	start := min(from-s.firstOffset, int64(len(s.records)))
	end := int64(len(s.records))
	if limit > 0 {
		end = min(start+int64(limit), end)
	}
	page.Records = append(page.Records, s.records[start:end]...)
	return page, s.changed, nil
}

// ServeHTTP serves the log protocol below /v1/streams/.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay := time.Duration(l.Faults().DelayMS) * time.Millisecond
	time.Sleep(delay)
	escaped := strings.TrimSuffix(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/streams/"), "/records")
	stream, err := url.PathUnescape(escaped)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodPost:
		l.serveAppend(w, r, stream)
	case http.MethodGet:
		l.serveRead(w, r, stream)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, stream string) {
	var in platform.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offsets, err := l.Append(r.Context(), stream, in.Records)
	switch err {
	case nil:
		writeJSON(w, http.StatusOK, platform.AppendResponse{Offsets: offsets})
	case port.ErrAppendUnknown:
		// Close the connection without a response.
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request, stream string) {
	from, limit, wait := queryInt(r, "from"), queryInt(r, "limit"), queryInt(r, "wait_ms")
	page, err := l.Read(r.Context(), stream, from, int(limit), time.Duration(wait)*time.Millisecond)
	switch err {
	case nil:
		writeJSON(w, http.StatusOK, page)
	case port.ErrLogTruncated:
		writeJSON(w, http.StatusGone, page)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// queryInt returns a query parameter, or 0 when it is missing or malformed.
func queryInt(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

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

// LogFaults switches failures of a Log on.
type LogFaults struct {
	// Down refuses every request with status 503.
	Down bool `json:"down"`
	// LoseAnswers executes that many appends and drops their answers.
	LoseAnswers int `json:"lose_answers"`
	// DropRequests answers that many appends with an unknown outcome and executes
	// none of them.
	DropRequests int `json:"drop_requests"`
	// LateAppends answers that many appends with an unknown outcome and executes
	// them after LateMS, also when the log is down by then.
	LateAppends int   `json:"late_appends"`
	LateMS      int64 `json:"late_ms"`
	// DelayMS delays every request.
	DelayMS int64 `json:"delay_ms"`
}

// Log is an in-memory log service.
type Log struct {
	mu        sync.Mutex
	streams   map[string]*logStream
	faults    LogFaults
	retention int
	appends   int64
}

type logStream struct {
	first   int64
	records []port.Record
	// changed is closed and replaced whenever a record is added.
	changed chan struct{}
}

// NewLog returns a log that keeps the newest retention records of each stream,
// or all of them when retention is 0.
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

// SetFaults replaces the failures that are switched on.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the failures that are switched on.
func (l *Log) Faults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns the number of append requests executed.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

func (s *logStream) trim(retention int) {
	excess := len(s.records) - retention
	if retention <= 0 || excess <= 0 {
		return
	}
	s.records = append([]port.Record(nil), s.records[excess:]...)
	s.first += int64(excess)
}

// Append adds entries in order and returns their offsets.
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
	offsets := l.add(stream, entries)
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return nil, port.ErrAppendUnknown
	}
	return offsets, nil
}

func (l *Log) appendLate(stream string, entries []port.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(stream, entries)
}

// add appends entries; the lock is held.
func (l *Log) add(stream string, entries []port.Entry) []int64 {
	l.appends++
	s := l.stream(stream)
	offsets := make([]int64, len(entries))
	for i, e := range entries {
		offsets[i] = s.next()
		s.records = append(s.records, port.Record{Offset: s.next(), ID: e.ID, Time: time.Now(), Data: e.Data})
	}
	s.trim(l.retention)
	close(s.changed)
	s.changed = make(chan struct{})
	return offsets
}

// NextOffset returns the offset after the newest record of a stream, also when the log
// is down.
func (l *Log) NextOffset(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(stream).next()
}

// Trim drops all but the newest keep records of a stream, as the end of their
// retention would.
func (l *Log) Trim(stream string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	excess := max(len(s.records)-keep, 0)
	s.records = append([]port.Record(nil), s.records[excess:]...)
	s.first += int64(excess)
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

func (l *Log) readNow(stream string, from int64, limit int) (port.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return port.Page{}, nil, port.ErrLogUnavailable
	}
	s := l.stream(stream)
	page := port.Page{First: s.first, Next: s.next()}
	if from < s.first {
		return page, s.changed, port.ErrLogTruncated
	}
	start := min(from-s.first, int64(len(s.records)))
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
		// Closes the connection without an answer.
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
	// A failed write means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

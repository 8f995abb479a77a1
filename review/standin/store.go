package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// answerTime is how long a call to the store takes.
	answerTime = 4 * time.Millisecond
	// entryLifetime is the time without a heartbeat after which the entry of a runner is removed:
	// three heartbeat intervals.
	entryLifetime = 3 * heartbeatInterval
)

// store is a stand-in for the platform's metadata store: keyed topics with one partition each.
type store struct {
	address string
	record  *recorder

	mu      sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
	// writtenAt is when the entry of each registered runner was last written.
	writtenAt map[string]time.Time
}

type logRecord struct {
	key string
	// value is nil if the record drops its key.
	value []byte
}

const (
	topicRunners = "keyed.servers"
	topicConfig  = "keyed.op"
)

func newStore(rec *recorder) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), record: rec, topics: map[string][]logRecord{}, changed: make(chan struct{}),
		writtenAt: map[string]time.Time{},
	}
	go func() { _ = http.Serve(l, s) }()
	go s.expireEntries()
	return s, nil
}

// put appends a record and returns the time at which the store accepted it. A nil value drops the
// key.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(topic, key, value)
}

func (s *store) putLocked(topic, key string, value []byte) time.Time {
	now := time.Now()
	s.topics[topic] = append(s.topics[topic], logRecord{key, value})
	if topic == topicRunners {
		if value == nil {
			delete(s.writtenAt, key)
		} else {
			s.writtenAt[key] = now
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

func (s *store) putJSON(topic, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(topic, key, data)
}

// expireEntries removes the entries of runners that were silent for entryLifetime.
func (s *store) expireEntries() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.writtenAt {
			if time.Since(at) >= entryLifetime {
				s.putLocked(topicRunners, key, nil)
				s.record.log("store: entry of %s removed after %s of silence", key, entryLifetime)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /api/log-newest":
		s.newest(w, q.Get("topic"))
	case "GET /api/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.read(w, r, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "POST /api/log-append":
		s.append(w, r, q.Get("topic"), q.Get("at"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]int{}
	for i, r := range s.topics[topic] {
		last[r.key] = i
	}
	items := []map[string]any{}
	for i, r := range s.topics[topic] {
		if last[r.key] == i && r.value != nil {
			items = append(items, map[string]any{"key": r.key, "value": r.value, "offset": i})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string, from int, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || wait <= 0 {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records []logRecord, from int) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, [2]uint64{uint64(len(records)), 0})
	for _, r := range records[min(from, len(records)):] {
		_ = binary.Write(&b, binary.BigEndian, uint32(1+len(r.key)+len(r.value)))
		b.WriteByte(byte(len(r.key)))
		b.WriteString(r.key)
		b.Write(r.value)
	}
	return b.Bytes()
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, at string) {
	if topic == topicRunners || topic == topicConfig {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end_offset":%d}`, end)
		return
	}
	for len(data) >= 5 {
		length := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+length]
		data = data[4+length:]
		keyEnd := 1 + int(content[0])
		var value []byte
		if keyEnd < length {
			value = bytes.Clone(content[keyEnd:])
		}
		s.putLocked(topic, string(content[1:keyEnd]), value)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, end, len(s.topics[topic]))
}

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic; a nil value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in for the platform's store: keyed topics of one partition each, as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// onAppend is called with each record that a daemon appends; it may be nil.
	onAppend func(topic, key string, value []byte)
	server   *http.Server
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

// put appends a record as the operator or a server would; a nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, storeRecord{key, data})
}

// append appends a record and wakes the reads that wait. s.mu must be held.
func (s *store) append(topic string, r storeRecord) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// An answer takes 4 ms.
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	topic := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /api/log-newest":
		s.newest(w, topic)
	case "GET /api/log-read":
		s.read(w, r, topic)
	case "POST /api/log-append":
		s.appendCall(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	records := s.topics[topic]
	end := len(records)
	last := map[string]int{}
	for i, r := range records[:end] {
		last[r.key] = i
	}
	items := []map[string]any{}
	for i, r := range records[:end] {
		if last[r.key] == i && r.value != nil {
			items = append(items, map[string]any{"key": r.key, "value": base64.StdEncoding.EncodeToString(r.value), "offset": i})
		}
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first_offset":0}`)
			return
		}
		if len(records) > from {
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			_, _ = w.Write(encodeRead(records, from))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRead(records []storeRecord, from int) []byte {
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, uint64(len(records)))
	_ = binary.Write(&b, binary.BigEndian, uint64(0))
	for _, r := range records[from:] {
		_ = binary.Write(&b, binary.BigEndian, uint32(1+len(r.key)+len(r.value)))
		b.WriteByte(byte(len(r.key)))
		b.WriteString(r.key)
		b.Write(r.value)
	}
	return b.Bytes()
}

func (s *store) appendCall(w http.ResponseWriter, r *http.Request, topic string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	begin := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(begin) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end_offset": begin})
		return
	}
	for len(data) >= 5 {
		n := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+n]
		data = data[4+n:]
		k := 1 + int(content[0])
		rec := storeRecord{key: string(content[1:k])}
		if k < n {
			rec.value = bytes.Clone(content[k:])
		}
		s.append(topic, rec)
		if s.onAppend != nil {
			s.onAppend(topic, rec.key, rec.value)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": begin, "end_offset": len(s.topics[topic])})
}

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

// store is a stand-in of the platform's metadata store: keyed topics of one partition. The operator and the runners write
// with POST /standin/put, which is out of order together with the rest.
type store struct {
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string][]storeRecord
	era    int
	// down is "", "busy" (503) or "silent" (no answer, and connections hang).
	down string
	// beats holds when each runner wrote last; its entry expires after expiry.
	beats  map[string]time.Time
	expiry time.Duration
	// changed is closed at each write.
	changed chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

func newStore(address string, expiry time.Duration) (*store, error) {
	s := &store{address: address, topics: map[string][]storeRecord{}, era: 1, beats: map[string]time.Time{}, expiry: expiry, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) setDown(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != "" && how == "" {
		// Silence counts once the store has had the time to hear of each runner again.
		for id := range s.beats {
			s.beats[id] = time.Now()
		}
	}
	s.down = how
}

// expire drops the entries of runners that have written nothing for three heartbeats, also while the store is away for
// others.
func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		if s.down == "" {
			for id, at := range s.beats {
				if time.Since(at) > s.expiry {
					delete(s.beats, id)
					s.append("keyed.servers", storeRecord{key: id})
				}
			}
		}
		s.mu.Unlock()
	}
}

// append appends a record; s.mu must be held.
func (s *store) append(topic string, r storeRecord) {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator would.
func (s *store) put(topic, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, storeRecord{key: key, value: data})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	switch down {
	case "busy":
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "silent":
		<-r.Context().Done()
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	switch r.Method + " " + r.URL.Path {
	case "POST /standin/put":
		data, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		if topic == "keyed.servers" {
			s.beats[q.Get("key")] = time.Now()
		}
		s.append(topic, storeRecord{key: q.Get("key"), value: data})
		s.mu.Unlock()
	case "GET /api/log-newest":
		s.newest(w, topic)
	case "GET /api/log-read":
		s.read(w, r, topic)
	case "POST /api/log-append":
		s.appendRecords(w, r, topic)
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
		if last[r.key] == i && len(r.value) > 0 {
			items = append(items, map[string]any{"key": r.key, "value": r.value, "offset": i})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records := s.topics[topic]
		changed := s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			fmt.Fprintf(w, `{"first_offset":0}`)
			return
		}
		if len(records) > from || !waiting || wait == 0 {
			var b bytes.Buffer
			_ = binary.Write(&b, binary.BigEndian, uint64(len(records)))
			_ = binary.Write(&b, binary.BigEndian, uint64(0))
			for _, r := range records[from:] {
				_ = binary.Write(&b, binary.BigEndian, uint32(1+len(r.key)+len(r.value)))
				b.WriteByte(byte(len(r.key)))
				b.WriteString(r.key)
				b.Write(r.value)
			}
			_, _ = w.Write(b.Bytes())
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request, topic string) {
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end_offset":%d}`, end)
		return
	}
	for len(data) >= 4 {
		length := int(binary.BigEndian.Uint32(data))
		content := data[4 : 4+length]
		data = data[4+length:]
		keyEnd := 1 + int(content[0])
		s.append(topic, storeRecord{key: string(content[1:keyEnd]), value: bytes.Clone(content[keyEnd:])})
	}
	fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, end, len(s.topics[topic]))
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a runner in a process of its own. It writes what it ran to standard output, one line an event.
type runner struct {
	id, address, service, zone, version, stage, storeAddress string
	slots, queue                                             int
	work                                                     time.Duration
	pieces                                                   int
	unframed                                                 bool
	heartbeat                                                time.Duration
	born                                                     int64

	places  chan struct{}
	waiting chan struct{}

	mu  sync.Mutex
	seq int
}

func runRunner(args []string) {
	r := &runner{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	f.StringVar(&r.id, "id", "", "")
	f.StringVar(&r.address, "address", "", "")
	f.StringVar(&r.service, "service", "", "")
	f.StringVar(&r.zone, "zone", "", "")
	f.StringVar(&r.version, "version", "v1", "")
	f.StringVar(&r.stage, "stage", "", "")
	f.StringVar(&r.storeAddress, "store", "", "")
	f.IntVar(&r.slots, "slots", 6, "")
	f.IntVar(&r.queue, "queue", 24, "")
	f.DurationVar(&r.work, "work", 60*time.Millisecond, "time of a request, or between two pieces of a stream")
	f.IntVar(&r.pieces, "pieces", 4, "pieces of an answer")
	f.BoolVar(&r.unframed, "unframed", false, "answers have neither a length nor chunks")
	f.DurationVar(&r.heartbeat, "heartbeat", 1200*time.Millisecond, "")
	_ = f.Parse(args)
	r.places, r.waiting = make(chan struct{}, r.slots), make(chan struct{}, r.slots+r.queue)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go r.register()
	_ = http.Serve(l, r)
}

// say writes one line of the record.
func (r *runner) say(format string, args ...any) {
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), r.id+"/"+r.version, fmt.Sprintf(format, args...))
}

// register writes the entry of the runner, at once and then with each heartbeat; while the store is away it tries again.
func (r *runner) register() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.seq++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
			"state": "ready", "cold_left_ms": 0, "seq_no": r.seq, "born": r.born,
		}
		if r.stage != "" {
			entry["stage"] = r.stage
		}
		data, _ := json.Marshal(entry)
		response, err := client.Post("http://"+r.storeAddress+"/standin/put?topic=keyed.servers&key="+r.id, "application/json", bytes.NewReader(data))
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(r.heartbeat)
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", r.id)
	if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(q.URL.Path, "/api/") || q.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	select {
	case r.waiting <- struct{}{}:
		defer func() { <-r.waiting }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	case <-q.Context().Done():
		return
	}
	if r.stage != "" {
		r.stream(w, q, id)
		return
	}
	r.answer(w, q, id, body)
}

// answer writes the pieces of a plain answer over the time of the work.
func (r *runner) answer(w http.ResponseWriter, q *http.Request, id string, body []byte) {
	r.say("runs %s", id)
	if !r.unframed {
		w.Header().Set("X-Response-Seal", "seal-"+r.id)
		w.Header().Set("Content-Length", strconv.Itoa(len(answerOf(id, r.pieces))))
		for n := 1; n <= r.pieces; n++ {
			_, _ = io.WriteString(w, pieceOf(id, n, r.pieces))
			w.(http.Flusher).Flush()
			time.Sleep(r.work / time.Duration(r.pieces))
		}
		r.say("ended %s", id)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", id, r.id)
	for n := 1; n <= r.pieces; n++ {
		if _, err := io.WriteString(conn, pieceOf(id, n, r.pieces)); err != nil {
			return
		}
		time.Sleep(r.work / time.Duration(r.pieces))
	}
	r.say("ended %s", id)
}

// pieceOf returns one piece of a plain answer; the last one says that it is the last.
func pieceOf(id string, n, of int) string {
	if n == of {
		return fmt.Sprintf("piece %d of %d for %s, the last one\n", n, of, id)
	}
	return fmt.Sprintf("piece %d of %d for %s %s\n", n, of, id, strings.Repeat("x", 150))
}

func answerOf(id string, of int) string {
	var b strings.Builder
	for n := 1; n <= of; n++ {
		b.WriteString(pieceOf(id, n, of))
	}
	return b.String()
}

// stream writes the events after the one that the request names. Each names the software version that wrote it.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.say("runs %s after event %d", id, last)
	w.Header().Set("X-Response-Seal", "seal-"+r.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= r.pieces; n++ {
		if !sleep(q.Context(), r.work) {
			r.say("left %s", id)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", n, id, r.version, r.id)
		w.(http.Flusher).Flush()
	}
	r.say("ended %s", id)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

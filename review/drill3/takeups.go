package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["takeups"] = runTakeUps }

const (
	longPieces = 70
	fullSlots  = 12
)

// begun is what a client has of a stream.
type begun struct {
	first, last string
	version     string
	whole       bool
	status      int
}

// follow sends a request and reads its events; began is called with the first one.
func follow(client *http.Client, q *http.Request, s *begun, began func()) {
	response, err := client.Do(q)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	events := 0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last = id
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if fields := strings.Fields(data); len(fields) == 3 && s.version == "" {
				s.version = fields[1]
			}
			if s.first == "" {
				s.first = q.Header.Get("X-Attempt-Id")
			}
			if events++; events == 1 && began != nil {
				began()
			}
		}
	}
	s.whole = s.last == strconv.Itoa(longPieces)
}

// runTakeUps: the streams of four engines of the old version fill them when four engines of a new version join. One of three daemons is
// killed, and its clients take their streams up at the others, once and at once. New streams begin meanwhile.
func runTakeUps(folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer b.end()
	const host, prefix = "ficu95.example", "/lohu930/"
	b.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r1", "host": host, "path_prefix": prefix, "kind": "stream", "timeout_ms": 8000, "target_latency_ms": 800,
			"priority": 0, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_conns": 460, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": fullSlots, "kv_capacity_tokens": 403610, "kv_token_bytes": 18432, "link_mbps": 740000.0, "kv_hold_s": 5.0, "reconfig_s": 3.0,
			"models": []any{map[string]any{"name": "m"}},
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	flags := []string{"-service", "llm", "-stage", "decode", "-slots", strconv.Itoa(fullSlots), "-queue", "36", "-work", "100ms", "-pieces", strconv.Itoa(longPieces), "-zone", "a"}
	engine := func(i int, version string) error {
		_, err := b.startRunner(fmt.Sprintf("i-llm%d", i), 40+i, append(flags, "-version", version)...)
		return err
	}
	for i := range 4 {
		if err := engine(i, "v1"); err != nil {
			return b.cannot(err)
		}
	}
	var daemons []*daemon
	for i := range 3 {
		d, err := b.startDaemon(fmt.Sprintf("front-%d", i), "a", 10+i, true, "")
		if err != nil {
			return b.cannot(err)
		}
		daemons = append(daemons, d)
	}
	if !b.awaitReady(daemons, 20*time.Second) {
		return b.cannot("daemons are not ready")
	}
	time.Sleep(2 * time.Second)
	client := newHTTP(128)
	request := func(d *daemon, id string) *http.Request {
		q := post(context.Background(), d, host, prefix+"2f", id, "digest "+id, 8*time.Second)
		q.Header.Set("X-Model", "m")
		q.Header.Set("X-Token-Count", "120,80")
		q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:80,%s:40", id))
		return q
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	running, takenUp, wentOn, sentNew, begunNew := 0, 0, 0, 0, 0
	count := func(n *int) {
		mu.Lock()
		defer mu.Unlock()
		*n++
	}
	// Long streams, 16 at each daemon.
	for n := range 4 * fullSlots {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			s := &begun{}
			for try := 0; s.first == "" && try < 5; try++ {
				id, d := b.attemptID(), daemons[n%3]
				b.note("sent %s to %s", id, d.name)
				follow(client, request(d, id), s, func() { count(&running) })
				b.note("answered %s: status %d, events to %s of %s, whole %t", id, s.status, s.last, s.version, s.whole)
				time.Sleep(100 * time.Millisecond)
			}
			if s.first == "" || s.whole {
				return
			}
			// The connection broke: the client takes the stream up at another daemon.
			id, d := b.attemptID(), daemons[n%2]
			q := request(d, id)
			q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:80,%s:40", s.first))
			q.Header.Set("Last-Event-Id", s.last)
			q.Header.Set("Resumes", s.first)
			count(&takenUp)
			b.note("sent %s to %s, takes up %s after event %s", id, d.name, s.first, s.last)
			again := &begun{}
			follow(client, q, again, func() { count(&wentOn) })
			b.note("answered %s: status %d, events to %s of %s, whole %t", id, again.status, again.last, again.version, again.whole)
		})
	}
	time.Sleep(2 * time.Second)
	for i := 4; i < 8; i++ {
		if err := engine(i, "v2"); err != nil {
			return b.cannot(err)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble() {
		b.kill(daemons[2].proc)
	}
	for n := range 20 {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			id, d := b.attemptID(), daemons[n%2]
			b.note("sent %s to %s, a new stream", id, d.name)
			count(&sentNew)
			s := &begun{}
			follow(client, request(d, id), s, func() { count(&begunNew) })
			b.note("answered %s: status %d, events to %s of %s, whole %t", id, s.status, s.last, s.version, s.whole)
		})
	}
	group.Wait()
	summary := fmt.Sprintf("%d long streams began; of %d streams that clients took up %d went on; of %d new ones %d began", running, takenUp, wentOn, sentNew, begunNew)
	b.note("%s", summary)
	fmt.Println(summary)
	switch {
	case running < 4*fullSlots*3/4 || begunNew == 0:
		return 2
	case takenUp >= 12 && float64(wentOn)/float64(takenUp) < float64(begunNew)/float64(sentNew)/2:
		return 1
	}
	return 0
}

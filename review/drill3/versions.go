package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = runVersions }

// streamResult is what a client has seen of one stream.
type streamResult struct {
	status   int
	events   int
	whole    bool
	versions []string
	fault    string
}

// readStream sends a request of a stream and reads its answer.
func readStream(client *http.Client, q *http.Request) streamResult {
	var out streamResult
	response, err := client.Do(q)
	if err != nil {
		return out
	}
	defer response.Body.Close()
	out.status = response.StatusCode
	next, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	s := bufio.NewScanner(response.Body)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
				if next++; id != strconv.Itoa(next) && out.fault == "" {
					out.fault = fmt.Sprintf("event %s where %d is due", id, next)
				}
			}
			continue
		}
		out.events++
		if fields := strings.Fields(data); len(fields) == 3 {
			if last := len(out.versions); last == 0 || out.versions[last-1] != fields[1] {
				out.versions = append(out.versions, fields[1])
			}
			if fields[0] != q.Header.Get("X-Attempt-Id") && out.fault == "" {
				out.fault = "event of " + fields[0]
			}
		}
	}
	out.whole = s.Err() == nil && next == pieces
	return out
}

// pieces is the number of events of a stream.
const pieces = 40

// streamFlags are those of an engine, apart from its version.
var streamFlags = []string{"-service", "llm", "-stage", "decode", "-slots", "64", "-queue", "192", "-work", "100ms", "-pieces", strconv.Itoa(pieces), "-zone", "a"}

// startStreams starts engines, three daemons and clients of resumable streams of 40 events. The engines below old are of version
// v1, the others of v2. The clients run until stop is called, which returns how many streams hold events of two versions and
// how many were whole.
func startStreams(b *bed, engines, old, clients int) (runners []*proc, restart func(i int, down time.Duration, flags ...string) error, stop func() (joined, whole int), err error) {
	const host, prefix = "ficu95.example", "/lohu930/"
	b.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r1", "host": host, "path_prefix": prefix, "kind": "stream", "timeout_ms": 8000, "target_latency_ms": 800,
			"priority": 0, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 403610, "kv_token_bytes": 18432, "link_mbps": 740000.0, "kv_hold_s": 5.0, "reconfig_s": 3.0,
			"models": []any{map[string]any{"name": "m"}},
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range engines {
		version := "v2"
		if i < old {
			version = "v1"
		}
		r, err := b.startRunner(fmt.Sprintf("i-llm%d", i), 40+i, append(streamFlags, "-version", version)...)
		if err != nil {
			return nil, nil, nil, err
		}
		runners = append(runners, r)
	}
	var daemons []*daemon
	for i := range 3 {
		d, err := b.startDaemon(fmt.Sprintf("front-%d", i), "a", 10+i, true, "")
		if err != nil {
			return nil, nil, nil, err
		}
		daemons = append(daemons, d)
	}
	if !b.awaitReady(daemons, 20*time.Second) {
		return nil, nil, nil, errors.New("daemons are not ready")
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	joined := 0
	client := newHTTP(clients)
	for n := range clients {
		group.Go(func() {
			sleep(ctx, time.Duration(n)*4*time.Second/time.Duration(clients))
			for ctx.Err() == nil {
				id := b.attemptID()
				d := daemons[n%len(daemons)]
				q := post(context.Background(), d, host, prefix+"2f", id, "digest "+id, 8*time.Second)
				q.Header.Set("X-Model", "m")
				q.Header.Set("X-Token-Count", "120,80")
				q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:80,%s:40", id))
				b.note("sent %s to %s", id, d.name)
				r := readStream(client, q)
				b.note("answered %s: status %d, %d events, whole %t, versions %v %s", id, r.status, r.events, r.whole, r.versions, r.fault)
				mu.Lock()
				counts[fmt.Sprintf("status %d whole %t", r.status, r.whole)]++
				if len(r.versions) > 1 {
					joined++
				}
				mu.Unlock()
				if r.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	restart = func(i int, down time.Duration, more ...string) error {
		if !trouble() {
			time.Sleep(down)
			return nil
		}
		b.kill(runners[i])
		time.Sleep(down)
		r, err := b.startRunner(fmt.Sprintf("i-llm%d", i), 40+i, append(append(streamFlags, "-version", "v2"), more...)...)
		runners[i] = r
		return err
	}
	stop = func() (int, int) {
		cancel()
		group.Wait()
		summary := fmt.Sprintf("%d streams with events of two software versions; outcomes %v", joined, counts)
		b.note("%s", summary)
		fmt.Println(summary)
		return joined, counts["status 200 whole true"]
	}
	return runners, restart, stop, nil
}

// verdictOfVersions returns the exit status of a case in which no stream but two may hold events of two versions.
func verdictOfVersions(joined, whole int) int {
	switch {
	case whole == 0:
		return 2
	case joined > 2:
		return 1
	}
	return 0
}

// runVersions: the last two engines of an old version crash one after another while the store is away, and start again under
// their ids with the new version. No stream may hold events of two versions.
func runVersions(folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer b.end()
	_, restart, stop, err := startStreams(b, 9, 2, 108)
	if err != nil {
		return b.cannot(err)
	}
	time.Sleep(8 * time.Second)
	how := os.Getenv("STORE")
	if how == "" {
		how = "silent"
	}
	if trouble() && how != "up" {
		b.store.setDown(how)
		b.note("store is away")
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 2 {
		if err := restart(i, time.Second); err != nil {
			stop()
			return b.cannot(err)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	b.store.setDown("")
	b.note("store is back")
	time.Sleep(6 * time.Second)
	return verdictOfVersions(stop())
}

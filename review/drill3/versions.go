package main

import (
	"bufio"
	"context"
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

// readStream sends a request of a stream and reads its answer. pieces is the number of its events.
func readStream(client *http.Client, q *http.Request, pieces int) streamResult {
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

// runVersions: engines are restarted one after another under their ids with another version of their software while the
// store is away. No stream may hold events of two versions.
func runVersions(folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer b.end()
	const host, prefix, pieces = "ficu95.example", "/lohu930/", 40
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
	flags := []string{"-service", "llm", "-stage", "decode", "-slots", "64", "-queue", "192", "-work", "100ms", "-pieces", strconv.Itoa(pieces), "-zone", "a"}
	const engines = 4
	var runners []*proc
	for i := range engines {
		r, err := b.startRunner(fmt.Sprintf("i-llm%d", i), 40+i, append(flags, "-version", []string{"v1", "v1", "v2", "v2"}[i])...)
		if err != nil {
			return b.cannot(err)
		}
		runners = append(runners, r)
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
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	joined := 0
	client := newHTTP(64)
	for n := range 45 {
		group.Go(func() {
			sleep(ctx, time.Duration(n)*100*time.Millisecond)
			for ctx.Err() == nil {
				id := b.attemptID()
				d := daemons[n%len(daemons)]
				q := post(context.Background(), d, host, prefix+"2f", id, "digest "+id, 8*time.Second)
				q.Header.Set("X-Model", "m")
				q.Header.Set("X-Token-Count", "120,80")
				q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:80,%s:40", id))
				b.note("sent %s to %s", id, d.name)
				r := readStream(client, q, pieces)
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
	// restart ends an engine and starts it again a second later under its id, with the next version.
	restart := func(i int) error {
		if !trouble() {
			time.Sleep(time.Second)
			return nil
		}
		b.kill(runners[i])
		time.Sleep(time.Second)
		r, err := b.startRunner(fmt.Sprintf("i-llm%d", i), 40+i, append(flags, "-version", "v2")...)
		runners[i] = r
		return err
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
		if err := restart(i); err != nil {
			stop()
			return b.cannot(err)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	b.store.setDown("")
	b.note("store is back")
	time.Sleep(6 * time.Second)
	stop()
	group.Wait()
	summary := fmt.Sprintf("%d streams with events of two software versions; outcomes %v", joined, counts)
	b.note("%s", summary)
	fmt.Println(summary)
	if counts["status 200 whole true"] == 0 {
		return 2
	}
	if joined > 2 {
		return 1
	}
	return 0
}

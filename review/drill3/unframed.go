package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed"] = runUnframed }

// runUnframed: runners whose answers end with their connection crash while a daemon has as many connections to them as it
// allows itself. Each success must hold the whole answer.
func runUnframed(folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer b.end()
	const host, prefix = "ficu95.example", "/pufi791/"
	b.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r1", "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": 2, "service": "app", "max_attempts": 2,
		}},
		// As many connections for each daemon as on the sheet of gbfb-rota-large: 630 for 95 machines.
		"services": []any{map[string]any{"name": "app", "health_path": "/health", "max_conns": 40, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	flags := []string{"-service", "app", "-slots", "6", "-queue", "24", "-work", "240ms", "-pieces", "4", "-unframed"}
	zones := []string{"a", "b", "c"}
	var runners []*proc
	for i := range 3 {
		r, err := b.startRunner(fmt.Sprintf("i-app%d", i), 40+i, append(flags, "-zone", zones[i])...)
		if err != nil {
			return b.cannot(err)
		}
		runners = append(runners, r)
	}
	var daemons []*daemon
	for i := range 6 {
		d, err := b.startDaemon(fmt.Sprintf("front-%d", i), zones[i%3], 10+i, true, "")
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
	broken := 0
	// Clients keep connections, and stay with one daemon.
	client := newHTTP(32)
	for range 15 {
		group.Go(func() {
			for ctx.Err() == nil {
				id := b.attemptID()
				b.note("sent %s to %s", id, daemons[0].name)
				outcome := "no answer"
				response, err := client.Do(post(context.Background(), daemons[0], host, prefix+"2f", id, "confirm "+id, 3*time.Second))
				if err == nil {
					body, readErr := io.ReadAll(response.Body)
					_ = response.Body.Close()
					whole := string(body) == answerOf(id, 4)
					switch {
					case readErr != nil:
						outcome = "cut answer"
					case response.StatusCode == http.StatusOK && whole:
						outcome = "whole answer"
					case response.StatusCode == http.StatusOK:
						outcome = fmt.Sprintf("MIXED: success with %d of %d bytes, seal %q", len(body), len(answerOf(id, 4)), response.Header.Get("X-Response-Seal"))
					default:
						outcome = fmt.Sprint("status ", response.StatusCode)
					}
				}
				b.note("answered %s: %s", id, outcome)
				mu.Lock()
				if strings.HasPrefix(outcome, "MIXED") {
					broken++
					outcome = "MIXED"
				}
				counts[outcome]++
				mu.Unlock()
				if !strings.HasPrefix(outcome, "whole") {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := range 3 {
		if trouble() {
			b.kill(runners[round%3])
		}
		time.Sleep(4500 * time.Millisecond)
		if trouble() {
			// The crashed runner is back, as a new incarnation.
			r, err := b.startRunner(fmt.Sprintf("i-app%d-%d", round%3, round), 40+round%3, append(flags, "-zone", zones[round%3])...)
			if err != nil {
				stop()
				return b.cannot(err)
			}
			runners[round%3] = r
		}
		time.Sleep(3 * time.Second)
	}
	stop()
	group.Wait()
	summary := fmt.Sprintf("%d successes with a part of the runner's answer; outcomes %v", broken, counts)
	b.note("%s", summary)
	fmt.Println(summary)
	if counts["whole answer"] == 0 {
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const (
	// testBodyBytes and testInFlightBytes are the limits of the tests below.
	testBodyBytes     = 32 << 10
	testInFlightBytes = 128 << 10
)

// startWithByteLimits starts one daemon with small limits and an engine that can run
// more than the limits allow.
func (c *cluster) startWithByteLimits() (*Daemon, *standin.Engine) {
	c.adjustSettings = func(s *settings.Settings) {
		s.Limits.BodyBytes = testBodyBytes
		s.Limits.InFlightBytes = testInFlightBytes
	}
	engine := c.addEngine("engine-1", "anand", standin.EngineOptions{Capacity: 1 << 20, PrefillRate: 1 << 20})
	d := c.addDaemon("daemon-1", "anand")
	c.publish("r1", 0, floodDocument())
	c.awaitReady()
	time.Sleep(2 * time.Second)
	return d, engine
}

// Guards against bodies that use more memory than the setting allows, a memory-full
// refusal that reports "not run" for a request that ran, urgent requests that find all
// memory used by background requests, and bytes that stay reserved after their request.
func TestBytesInFlightAreBounded(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		d, engine := c.startWithByteLimits()
		f := &flooder{c: c}
		for i := range 40 {
			size := 4<<10 + c.rng.IntN(12<<10)
			f.sendBody(fmt.Sprint("background-", i), backgroundProfile, size, 300)
			if i%8 == 7 {
				f.sendBody(fmt.Sprint("urgent-", i), testProfile, 6<<10, 20)
			}
			time.Sleep(time.Duration(c.rng.IntN(50)) * time.Millisecond)
			if reserved := d.metrics.InFlightBytes.Value(); reserved > testInFlightBytes {
				c.t.Errorf("requests reserve %d bytes, the limit is %d", reserved, testInFlightBytes)
			}
		}
		f.group.Wait()
		refused := 0
		for _, r := range f.results {
			got := r.reply.refusal
			if got == nil && r.reply.status == http.StatusOK {
				continue
			}
			if r.profile == testProfile || got == nil || got.Code != refusal.MemoryFull || got.Outcome != refusal.NotRun ||
				got.Scope != refusal.ScopeAttempt || got.RetryAfterMS <= 0 || engine.StartCount(r.id) != 0 {
				c.t.Errorf("%s answered %d %s after %d starts, want 200, or for a background request memory-full, not-run, a retry time and no start", r.id, r.reply.status, r.reply.body, engine.StartCount(r.id))
			}
			refused++
		}
		if refused == 0 {
			c.t.Error("no request was refused, want at least one")
		}
		time.Sleep(time.Second)
		if reserved := d.metrics.InFlightBytes.Value(); reserved != 0 {
			c.t.Errorf("%d bytes stay reserved after all requests, want 0", reserved)
		}
	})
}

// sendBody sends a request with a body of about size bytes to daemon-1.
func (f *flooder) sendBody(id, profileName string, size, tokens int) {
	prompt := fmt.Sprintf("%s tokens=%d %s", id, tokens, strings.Repeat("x", size))
	body, err := json.Marshal(completionRequest{Model: profileName, Prompt: prompt})
	if err != nil {
		f.c.t.Fatal(err)
	}
	f.group.Go(func() {
		header := http.Header{refusal.HeaderRequestID: {id}}
		got := f.c.do(context.Background(), "daemon-1", http.MethodPost, "/v1/completions", header, body)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.results = append(f.results, floodResult{id: id, profile: profileName, reply: got})
	})
}

// Guards against callers that announce large bodies, send nothing, and so reserve the
// memory of other callers, and against bodies in transfer that exceed the limit.
func TestUnsentBodiesReserveLittleMemory(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		d, _ := c.startWithByteLimits()
		const callers = 16
		var conns []net.Conn
		for range callers {
			conn, err := c.net.Host(callerHost).DialContext(context.Background(), "tcp", d.settings.Listen.Caller)
			if err != nil {
				c.t.Fatal(err)
			}
			defer conn.Close()
			conns = append(conns, conn)
			if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n", testBodyBytes); err != nil {
				c.t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if reserved := d.metrics.InFlightBytes.Value(); reserved != callers*initialBodyBuffer {
			c.t.Errorf("callers that sent nothing reserve %d bytes, want %d", reserved, callers*initialBodyBuffer)
		}
		if got := c.complete("daemon-1", "slot tokens=3"); got.status != http.StatusOK {
			c.t.Errorf("another caller was answered with status %d: %s, want 200", got.status, got.body)
		}
		for _, conn := range conns {
			// The connection of a refused caller may already be closed.
			go func() { _, _ = conn.Write(make([]byte, testBodyBytes-1)) }()
		}
		time.Sleep(time.Second)
		if reserved := d.metrics.InFlightBytes.Value(); reserved > testInFlightBytes || reserved < testInFlightBytes/2 {
			c.t.Errorf("callers that sent most of their bodies reserve %d bytes, want at least half of the limit of %d and no more than it", reserved, testInFlightBytes)
		}
	})
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const backgroundProfile = "feed-history"

// maxUrgentDuration is the target for the first token plus 20 tokens of 10 ms each.
const maxUrgentDuration = 1100 * time.Millisecond

// floodDocument adds a background profile to the default configuration.
func floodDocument() *profile.Document {
	doc := document()
	background := doc.Profiles[0]
	background.Name, background.Rank, background.FirstTokenMS = backgroundProfile, profile.Background, 3000
	doc.Profiles = append(doc.Profiles, background)
	return doc
}

// floodResult is the reply to one request of a flood.
type floodResult struct {
	id       string
	profile  string
	duration time.Duration
	reply    reply
}

// flooder sends concurrent requests and collects the replies. mu guards results.
type flooder struct {
	c       *cluster
	group   sync.WaitGroup
	mu      sync.Mutex
	results []floodResult
}

// send starts a request to a daemon and records its reply once it ends.
func (f *flooder) send(ctx context.Context, daemon, id, profileName string) {
	prompt := fmt.Sprintf("%s tokens=20 %s", id, strings.Repeat("history ", 100))
	body, err := json.Marshal(completionRequest{Model: profileName, Prompt: prompt, MaxTokens: 40})
	if err != nil {
		f.c.t.Fatal(err)
	}
	f.group.Go(func() {
		start := time.Now()
		header := http.Header{refusal.HeaderRequestID: {id}}
		got := f.c.do(ctx, daemon, http.MethodPost, "/v1/completions", header, body)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.results = append(f.results, floodResult{id: id, profile: profileName, duration: time.Since(start), reply: got})
	})
}

// Guards against urgent requests that queue behind a background flood, against refusals
// that report "not run" for a request that an engine started or that lack a retry time,
// and against capacity that is not released when callers leave the queue.
func TestBackgroundFloodDoesNotDelayUrgentRequests(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		engine := c.addEngine("engine-1", "anand", standin.EngineOptions{Capacity: 4000, PrefillRate: 4000})
		c.addDaemon("daemon-1", "anand")
		c.addDaemon("daemon-2", "anand")
		c.publish("r1", 0, floodDocument())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		f := &flooder{c: c}
		shortCtx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		defer cancel()
		for i := range 600 {
			daemon := fmt.Sprintf("daemon-%d", 1+i%2)
			ctx := context.Background()
			if i%10 == 0 {
				ctx = shortCtx
			}
			f.send(ctx, daemon, fmt.Sprint("background-", i), backgroundProfile)
			if i%20 == 0 {
				f.send(context.Background(), daemon, fmt.Sprint("urgent-", i), testProfile)
			}
			time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
		}
		f.group.Wait()
		refused := 0
		for _, r := range f.results {
			if r.profile == testProfile && (r.reply.status != http.StatusOK || r.duration > maxUrgentDuration) {
				c.t.Errorf("%s was answered with status %d after %s, want 200 within maxUrgentDuration", r.id, r.reply.status, r.duration)
			}
			if r.reply.refusal == nil {
				continue
			}
			refused++
			got := r.reply.refusal
			if got.Code != refusal.Overloaded || got.Outcome != refusal.NotRun || got.RetryAfterMS <= 0 || engine.StartCount(r.id) != 0 {
				c.t.Errorf("%s was refused with %+v after %d starts, want overloaded, not-run, a retry time and no start", r.id, got, engine.StartCount(r.id))
			}
		}
		if refused == 0 {
			c.t.Errorf("no request of a flood above capacity was refused, want at least one")
		}
		c.checkAdmittersEmpty()
	})
}

// checkAdmittersEmpty checks that no daemon counts requests as in flight or waiting
// after the handlers that sent their last byte have returned.
func (c *cluster) checkAdmittersEmpty() {
	time.Sleep(time.Second)
	for name, d := range c.daemons {
		d.admission.mu.Lock()
		for key, e := range d.admission.queues {
			if e.queue.Running() != 0 || e.queue.Waiting() != 0 || len(e.waiters) != 0 {
				c.t.Errorf("%s: %v has %g tokens in flight and %d requests waiting, want none", name, key, e.queue.Running(), e.queue.Waiting())
			}
		}
		d.admission.mu.Unlock()
	}
}

// Guards against urgent requests that are refused although another data centre is idle
// and near enough to meet their target.
func TestUrgentRequestsOverflowToIdleDataCentre(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		c.addEngine("engine-1", "anand", standin.EngineOptions{Capacity: 300, PrefillRate: 300})
		remote := c.addEngine("engine-2", "kheda", standin.EngineOptions{Capacity: 4000, PrefillRate: 4000})
		c.addDaemon("daemon-1", "anand")
		c.publish("r1", 0, floodDocument())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		f := &flooder{c: c}
		for i := range 30 {
			f.send(context.Background(), "daemon-1", fmt.Sprint("urgent-", i), testProfile)
			time.Sleep(time.Duration(200+c.rng.IntN(100)) * time.Millisecond)
		}
		f.group.Wait()
		answered := 0
		for _, r := range f.results {
			if r.reply.status == http.StatusOK {
				answered++
			}
		}
		if answered < 25 || remote.TotalStarts() == 0 {
			c.t.Errorf("%d of 30 requests answered, want 25 or more; %d started in the other data centre, want at least one", answered, remote.TotalStarts())
		}
		c.checkAdmittersEmpty()
	})
}

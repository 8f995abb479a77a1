package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/forwarding"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// handovers returns a count of the metric of handovers at a daemon.
func (c *cluster) handovers(daemon, outcome string) string {
	if v := c.daemons[daemon].metrics.Handovers.Get(outcome); v != nil {
		return v.String()
	}
	return "0"
}

// Guards against calls of a daemon that reaches no upstream that are lost or called complete on the way
// through another daemon, and against calls that daemons hand to each other without end.
func TestHandedOverCalls(t *testing.T) {
	cases := map[string]func(c *cluster, upstreams, names []string){
		"stream": func(c *cluster, upstreams, names []string) {
			forEachPair(names[:1], upstreams, c.net.Block)
			const prompt = "history tokens=300"
			if got, text, complete, _ := c.stream(context.Background(), names[0], "r-1", prompt); !complete || text != standin.Answer(testModel, prompt, 4000) {
				c.t.Errorf("the stream is answered with %d, complete %t, %v", got.status, complete, got.err)
			}
		},
		"connections that hang": func(c *cluster, upstreams, names []string) {
			forEachPair(names[:1], upstreams, c.net.DropOneWay)
			// The connections that are being opened fail only after the deadline of the first call.
			c.complete(names[0], "slot tokens=3")
			for i := range 5 {
				if got := c.complete(names[0], "slot tokens=3"); got.status != http.StatusOK {
					c.t.Errorf("completion answered with %d: %s", got.status, got.body)
				}
				key := fmt.Sprintf("key-%d", i)
				if got := c.confirm(names[0], key, "delivery"); got.status != http.StatusOK || c.runCount(key) != 1 {
					c.t.Errorf("call answered with %d and ran %d times: %s", got.status, c.runCount(key), got.body)
				}
			}
			forEachPair(names[:1], upstreams, c.net.UndropOneWay)
			// The first of two calls after the cut lets the daemon probe the upstreams.
			for range 2 {
				time.Sleep(2 * reachProbeInterval)
				c.complete(names[0], "slot tokens=3")
			}
			before := c.handovers(names[0], "answered")
			if got := c.complete(names[0], "slot tokens=3"); got.status != http.StatusOK || c.handovers(names[0], "answered") != before {
				c.t.Errorf("completion after the cut answered with %d, handovers %s to %s", got.status, before, c.handovers(names[0], "answered"))
			}
		},
		"receivers lost in mid-stream": func(c *cluster, upstreams, names []string) {
			forEachPair(names[:1], upstreams, c.net.Block)
			go func() {
				time.Sleep(3 * time.Second)
				for _, name := range names[1:] {
					_ = c.daemons[name].Kill()
				}
			}()
			got, text, complete, _ := c.stream(context.Background(), names[0], "r-1", "history tokens=900")
			if got.err == nil || got.status != http.StatusOK || text == "" || complete {
				c.t.Errorf("the stream is answered with %d, %d bytes, complete %t, %v, want a broken connection", got.status, len(text), complete, got.err)
			}
		},
		"nobody reaches upstreams": func(c *cluster, upstreams, names []string) {
			forEachPair(names, upstreams, c.net.Block)
			for i := range 10 {
				got := c.confirm(names[0], fmt.Sprintf("key-%d", i), "delivery")
				if got.refusal == nil || got.refusal.Code != refusal.NoUpstream || got.refusal.Outcome != refusal.NotRun {
					c.t.Errorf("call answered with %d: %s", got.status, got.body)
				}
			}
			if n := c.handovers(names[0], "declined"); n != "2" {
				c.t.Errorf("%s handovers were declined within a second, want one by each other daemon", n)
			}
		},
		"malformed note": func(c *cluster, _, names []string) {
			header := http.Header{"Bergamot-Handover": {"{"}}
			if !forwarding.HasNote(&http.Request{Header: header}) {
				c.t.Error("the note is not recognised")
			}
			body := []byte(`{"model":"` + testProfile + `","prompt":"slot tokens=3"}`)
			if got := c.do(context.Background(), names[0], http.MethodPost, "/v1/completions", header, body); got.status != http.StatusOK {
				c.t.Errorf("call answered with %d: %s", got.status, got.body)
			}
		},
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 1, func(c *cluster) {
				upstreams, names := c.startBesideUpstreams()
				scenario(c, upstreams, names)
			})
		})
	}
}

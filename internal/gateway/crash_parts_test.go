package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/port"
)

// traitsWith returns the traits of a request that no other request resembles but for the given
// prompt parts.
func traitsWith(n int, parts ...string) crashes.Traits {
	r := &port.ForwardRequest{Method: "POST", Target: "/x", Body: fmt.Appendf(nil, "%d", n), Prompt: &port.Prompt{Model: "m"}}
	for _, id := range parts {
		r.Prompt.Parts = append(r.Prompt.Parts, port.PromptPart{ID: id, Tokens: 100})
	}
	r.Prompt.Parts = append(r.Prompt.Parts, port.PromptPart{ID: fmt.Sprintf("own-%d", n), Tokens: 100})
	return traitsOf(r)
}

// crash reports to g that runner i terminated at a time during a request without an event.
func crash(g *crashGuard, i int, t crashes.Traits, at time.Time) {
	g.recordLoss(connectionLoss{traits: t, runner: runnerAt(i, 1), at: at})
	g.confirmRefused(runnerAt(i, 1).ID, at.Add(300*time.Millisecond))
}

// Guards against a prompt part that crashes one engine after another, because the requests with it
// have nothing else in common, and against blocking the parts that sound requests share.
func TestPartThatCrashesEnginesIsBlocked(t *testing.T) {
	g := newCrashGuard(zap.NewNop())
	now := epoch
	for i := range testCrashes {
		if g.blocked(traitsWith(100+i, "common", "deadly"), now) {
			t.Fatalf("blocked after %d crashes", i)
		}
		crash(g, i, traitsWith(i, "common", "deadly"), now)
		now = now.Add(time.Second)
		g.recordCompletion(traitsWith(200+i, "common", "harmless"), now)
	}
	if !g.blocked(traitsWith(300, "common", "deadly"), now) {
		t.Error("a further request with the part is not blocked")
	}
	for _, parts := range [][]string{{"common"}, {"common", "harmless"}} {
		if g.blocked(traitsWith(301, parts...), now) {
			t.Errorf("a request with the parts %v is blocked", parts)
		}
	}
}

// Guards against blocking parts that are innocent: popular ones that many terminated runners held,
// ones of streams that had begun, and the last one, which belongs to one request.
func TestInnocentPartsAreNotBlocked(t *testing.T) {
	cases := []struct {
		name    string
		observe func(g *crashGuard)
	}{
		{"runners that terminate together", func(g *crashGuard) {
			for i := range 5 {
				crash(g, i, traitsWith(i, "common"), epoch.Add(time.Duration(i)*10*time.Millisecond))
			}
		}},
		{"streams that had begun", func(g *crashGuard) {
			for i := range 5 {
				g.recordLoss(connectionLoss{traits: traitsWith(i, "common"), firstEvent: true, runner: runnerAt(i, 1), at: epoch.Add(time.Duration(i) * time.Second)})
				g.confirmRefused(runnerAt(i, 1).ID, epoch.Add(time.Duration(i+1)*time.Second))
			}
		}},
		{"completed between loss and confirmation", func(g *crashGuard) {
			for i := range 5 {
				at := epoch.Add(time.Duration(i) * time.Second)
				g.recordLoss(connectionLoss{traits: traitsWith(i, "common"), runner: runnerAt(i, 1), at: at})
				g.recordCompletion(traitsWith(100+i, "common"), at.Add(100*time.Millisecond))
				g.confirmRefused(runnerAt(i, 1).ID, at.Add(500*time.Millisecond))
			}
		}},
		{"completed at a peer", func(g *crashGuard) {
			peer := newCrashGuard(zap.NewNop())
			for i := range 5 {
				at := epoch.Add(time.Duration(i) * time.Second)
				crash(g, i, traitsWith(i, "common"), at)
				peer.recordCompletion(traitsWith(100+i, "common"), at.Add(200*time.Millisecond))
				peer.applyReports(at.Add(400*time.Millisecond), g.takeReports())
				g.applyReports(at.Add(500*time.Millisecond), peer.takeReports())
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newCrashGuard(zap.NewNop())
			c.observe(g)
			if g.blocked(traitsWith(1000, "common"), epoch.Add(5*time.Second)) {
				t.Error("a request with the common part is blocked")
			}
		})
	}
	g := newCrashGuard(zap.NewNop())
	for i := range 2 * testCrashes {
		r := &port.ForwardRequest{Body: fmt.Append(nil, i), Prompt: &port.Prompt{Model: "m", Parts: []port.PromptPart{{ID: "last", Tokens: 1}}}}
		crash(g, i, traitsOf(r), epoch.Add(time.Duration(i)*time.Second))
	}
	losses := g.evidence.Losses()
	if len(losses) != 2*testCrashes {
		t.Errorf("%d losses are recorded, want %d", len(losses), 2*testCrashes)
	}
	for _, l := range losses {
		if l.Traits.Content == "" || len(l.Traits.Parts) != 0 {
			t.Errorf("a prompt with only one part has the traits %v, want its content only", l.Traits)
		}
	}
}

// Guards against a part that crashes engines again and again in trials, and against one that stays
// blocked forever.
func TestTrialsOfABlockedPartBecomeRare(t *testing.T) {
	const (
		hour  = 60 * 60
		bound = 8
	)
	g := newCrashGuard(zap.NewNop())
	now := epoch
	for i := range testCrashes {
		crash(g, i, traitsWith(i, "deadly"), now)
		now = now.Add(time.Second)
	}
	tried := 0
	for second := range hour {
		request := traitsWith(100+second, "deadly")
		decision, _ := g.decide(request, now)
		if decision == crashes.Allow {
			t.Fatalf("a request with the part is allowed after %d trials", tried)
		}
		if decision == crashes.Trial {
			tried++
			crash(g, 100+second, request, now)
		}
		now = now.Add(time.Second)
	}
	if tried == 0 || tried > bound {
		t.Errorf("%d requests were tried in an hour, want 1 to %d", tried, bound)
	}
	if now = now.Add(time.Hour); g.blocked(traitsWith(0, "deadly"), now) {
		t.Error("no request may be tried an hour after the last one")
	}
	g.recordCompletion(traitsWith(200, "deadly"), now)
	if decision, _ := g.decide(traitsWith(201, "deadly"), now); decision != crashes.Allow {
		t.Error("the part is blocked after a request with it completed")
	}
}

// Guards against a daemon that restarts, knows nothing of the crashes and sends the part to further
// engines.
func TestRestartedDaemonLearnsOfCrashes(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	now := time.Now()
	for i := range testCrashes {
		crash(g.crashes, i, traitsWith(i, "deadly"), now.Add(time.Duration(i-testCrashes)*time.Second))
	}
	g.crashes.takeReports()
	for _, c := range []struct {
		started int64
		learns  bool
	}{{1, true}, {1, false}, {2, true}} {
		receiveLoad(t, g, loadMessage{From: "e", Address: "10.0.0.7:1", DataCentre: "north", Started: c.started})
		link := g.peers.links["e"]
		peer := newCrashGuard(zap.NewNop())
		var m loadMessage
		n := link.takeNews(now)
		n.addTo(&m)
		peer.applyReports(now, m.Crashes)
		if got := peer.blocked(traitsWith(100, "deadly"), now); got != c.learns {
			t.Errorf("process started at %d: it learns of the crashes: %t, want %t", c.started, got, c.learns)
		}
	}
}

// Guards against a part that is cleared because a runner answered a request with it with an error,
// without generating on it.
func TestErrorsDoNotClearAPart(t *testing.T) {
	for status, clears := range map[int]bool{200: true, 204: true, 404: false, 500: false} {
		g := newTestGateway(RetryLimits{})
		now := time.Now()
		for i := range testCrashes {
			crash(g.crashes, i, traitsWith(i, "deadly"), now.Add(time.Duration(i-testCrashes)*time.Second))
		}
		call := newTestCall(g)
		call.traits = traitsWith(100, "deadly")
		call.recordCompletion(status)
		if got := !g.crashes.blocked(traitsWith(101, "deadly"), now); got != clears {
			t.Errorf("status %d clears the part: %t, want %t", status, got, clears)
		}
	}
}

// receiveLoad lets a gateway receive a load message.
func receiveLoad(t *testing.T, g *Gateway, m loadMessage) {
	t.Helper()
	params, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.peers.handleLoad(context.Background(), params); err != nil {
		t.Fatal(err)
	}
}

// Guards against a sound part that is blocked together with the deadly part that follows it, because
// no request with it completed between the crashes: the block would keep every request from
// completing that could end it.
func TestPartsBeforeADeadlyPartAreNotBlocked(t *testing.T) {
	g := newCrashGuard(zap.NewNop())
	now := epoch
	for i := range testCrashes {
		crash(g, i, traitsWith(i, "first", "second", "deadly"), now)
		now = now.Add(time.Second)
	}
	if !g.blocked(traitsWith(100, "first", "second", "deadly"), now) {
		t.Error("a further request with the deadly part is not blocked")
	}
	if g.blocked(traitsWith(101, "first", "second", "sound"), now) {
		t.Error("a request that shares only the parts before the deadly one is blocked")
	}
}

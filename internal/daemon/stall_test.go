package daemon

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a response that an engine never completes although it continues to
// send heartbeats, before the first token or after some tokens.
func TestStalledResponseResumesElsewhere(t *testing.T) {
	for name, at := range map[string]int{"early": 1, "halfway": 40} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 1, func(c *cluster) {
				engines, daemons := c.startSettled(2, 1, standin.EngineOptions{})
				c.engines[engines[0]].SetFaults(standin.EngineFaults{StallAt: at})
				var group sync.WaitGroup
				for i := range 6 {
					group.Go(func() {
						if !c.checkResponse(daemons[0], strings.Repeat("x", i)+" tokens=90", i%2 == 0) {
							t.Error("a response is not complete")
						}
					})
				}
				group.Wait()
				if n := c.daemons[daemons[0]].metrics.Stalled.Value(); n == 0 || int(n) > c.engines[engines[0]].TotalStarts() {
					t.Errorf("%d stalled attempts of %d at the engine, want at least one and no more than all", n, c.engines[engines[0]].TotalStarts())
				}
				c.await("the stalled engine is free", time.Second, func() bool { return c.runningRequests() == 0 })
			})
		})
	}
}

// Guards against a stalled engine that is never tried again when it is the only one, so
// that an accepted request fails although the engine has recovered.
func TestStalledResponseResumesAtOnlyEngine(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		engines, daemons := c.startSettled(1, 1, standin.EngineOptions{})
		c.engines[engines[0]].SetFaults(standin.EngineFaults{StallAt: 40})
		time.AfterFunc(8*time.Second, func() { c.engines[engines[0]].SetFaults(standin.EngineFaults{}) })
		if !c.checkResponse(daemons[0], "history tokens=90", true) {
			t.Error("the response is not complete")
		}
	})
}

// Guards against a deadline that interrupts a request whose prompt is queued or
// prefilled for a long time, so that the request runs twice.
func TestLongPrefillIsNotStall(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		// The prefill of a prompt of about 300 tokens takes 30 s, that of three prompts
		// 90 s.
		opts := standin.EngineOptions{PrefillRate: 10, ReportQueue: true, Capacity: 1000}
		engines, daemons := c.startSettled(1, 1, opts)
		relaxed := document()
		relaxed.Profiles[0].FirstTokenMS, relaxed.Profiles[0].TotalMS = 600_000, 600_000
		c.publish("patient", 1, relaxed)
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for i := range 3 {
			prompt := strings.Repeat("history ", 160+i) + "tokens=20"
			t.Logf("prompt %d has %d tokens", i, standin.PromptTokens(prompt))
			group.Go(func() {
				got, _, complete, _ := c.stream(context.Background(), daemons[0], "", prompt)
				if !complete {
					t.Errorf("the response is not complete: %s", got.body)
				}
			})
		}
		start := time.Now()
		group.Wait()
		t.Logf("answered after %s", time.Since(start))
		if n := c.engines[engines[0]].TotalStarts(); n != 3 {
			t.Errorf("the engine started %d attempts, want 3", n)
		}
	})
}

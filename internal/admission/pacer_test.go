package admission

import (
	"testing"
	"time"
)

// Guards against a flood of urgent work that keeps a guaranteed prompt of another
// rank waiting inside the engines, which serve by priority.
func TestUrgentFloodYieldsToStalledPrompt(t *testing.T) {
	started := func(stall bool) float64 {
		h := newHarness()
		total := 0.0
		offer := func(rank, prompt int) *Ticket {
			ticket, _ := h.q.Offer(h.now, Request{
				Profile: testProfile(rank, "p", time.Minute), Organisation: "o", Weight: 1,
				PromptTokens: prompt, MaxTokens: 100, Arrived: h.now,
			})
			return ticket
		}
		standard := offer(1, 500)
		h.grantAll()
		if standard.State() != Running {
			t.Fatal("the first request does not run")
		}
		standard.reading = stall
		end := h.now.Add(40 * time.Second)
		for h.now.Before(end) {
			for range 3 {
				offer(0, 100)
			}
			for _, ticket := range h.q.Grant(h.now) {
				total += ticket.cost
				h.q.Release(h.now, ticket, Usage{PromptTokens: 100, OutputTokens: 50, Complete: true})
			}
			h.now = h.now.Add(100 * time.Millisecond)
		}
		return total
	}
	free, paced := started(false), started(true)
	if paced > 0.85*free {
		t.Errorf("urgent work started %g tokens beside a stalled prompt and %g without one", paced, free)
	}
}

package load

import (
	"fmt"
	"io"
	"sync"
)

// End is how a call ended for its caller.
type End string

// Ends of a call.
const (
	Answered End = "answered"
	// NotRun means that the caller was told, truthfully, that nothing ran.
	NotRun End = "not-run"
	// Unknown means that the caller was told that the call may have run.
	Unknown End = "unknown"
	// Lost means that the caller got neither a whole correct answer nor a
	// truthful refusal.
	Lost End = "lost"
)

// Result is the end of one call.
type Result struct {
	Call string
	Kind string
	End  End
	// Key is the idempotency key of a confirmation.
	Key string
	// Detail says why a call did not end with an answer.
	Detail string
	// Attempts counts how often the caller sent the call.
	Attempts int
}

// Totals counts calls by their end, and keys that were executed more than once.
type Totals struct {
	Answered   int
	NotRun     int
	Unknown    int
	Lost       int
	Duplicated int
}

// String returns the totals as one line.
func (t Totals) String() string {
	return fmt.Sprintf("answered=%d not_run=%d unknown=%d lost=%d doubled=%d",
		t.Answered, t.NotRun, t.Unknown, t.Lost, t.Duplicated)
}

// OK tells whether no call was lost and none ran twice.
func (t Totals) OK() bool { return t.Lost == 0 && t.Duplicated == 0 }

// collector gathers results. It is safe for concurrent use.
type collector struct {
	mu      sync.Mutex
	sent    int
	results []Result
}

func (c *collector) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

func (c *collector) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// progress returns the totals so far and the number of calls still running.
func (c *collector) progress() (Totals, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return count(c.results), c.sent - len(c.results)
}

func count(results []Result) Totals {
	var t Totals
	for _, r := range results {
		switch r.End {
		case Answered:
			t.Answered++
		case NotRun:
			t.NotRun++
		case Unknown:
			t.Unknown++
		case Lost:
			t.Lost++
		}
	}
	return t
}

// Check compares the results with how often the services executed each key. It
// marks calls whose reply contradicts that as lost, and counts keys that were
// executed more than once.
func Check(results []Result, executions map[string]int) Totals {
	for i := range results {
		results[i].checkTruth(executions[results[i].Key])
	}
	totals := count(results)
	for _, n := range executions {
		if n > 1 {
			totals.Duplicated++
		}
	}
	return totals
}

func (r *Result) checkTruth(executions int) {
	switch {
	case r.Key == "":
	case r.End == Answered && executions == 0:
		r.End = Lost
		r.Detail = "answered, but no service executed it"
	case r.End == NotRun && executions > 0:
		r.End = Lost
		r.Detail = "refused as not run, but a service executed it: " + r.Detail
	}
}

// PrintFailures writes each call that did not end with an answer.
func PrintFailures(w io.Writer, results []Result) {
	for _, r := range results {
		if r.End != Answered {
			fmt.Fprintf(w, "%s: %s %s after %d attempts: %s\n", r.End, r.Kind, r.Call, r.Attempts, r.Detail)
		}
	}
}

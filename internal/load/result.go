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
	// NotRun means that the call was refused and the refusal stated that it did not run.
	// Check verifies that.
	NotRun End = "not-run"
	// Unknown means that the call may have run: the last refusal stated this, or an attempt
	// ended without a reply.
	Unknown End = "unknown"
	// Lost means that the caller received neither a complete and correct answer nor a
	// correct refusal.
	Lost End = "lost"
)

// Result is the end of one call.
type Result struct {
	Call string
	Kind string
	End  End
	// Key is the idempotency key of a confirmation.
	Key string
	// Detail is why a call did not end with an answer.
	Detail string
	// Attempts is the number of times that the caller sent the call.
	Attempts int
}

// Totals holds the number of calls by end, and the number of keys that were executed
// more than once.
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

// OK reports whether no call was lost and no key was executed more than once.
func (t Totals) OK() bool { return t.Lost == 0 && t.Duplicated == 0 }

// collector collects results. It is safe for concurrent use.
type collector struct {
	// mu guards the fields below.
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

// progress returns the totals so far and the number of calls in flight.
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

// Check compares the results with the number of times that the services executed each
// key. It marks calls whose reply contradicts that number as lost, and counts the keys
// that were executed more than once.
func Check(results []Result, executions map[string]int) Totals {
	for i := range results {
		results[i].checkExecutions(executions[results[i].Key])
	}
	totals := count(results)
	for _, n := range executions {
		if n > 1 {
			totals.Duplicated++
		}
	}
	return totals
}

// checkExecutions marks the call as lost if its end contradicts the number of executions
// of its key.
func (r *Result) checkExecutions(executions int) {
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

package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// installation is an http.RoundTripper that behaves like daemons with services
// behind them, and that breaks one of their promises when told to.
type installation struct {
	fault string

	mu         sync.Mutex
	rng        *rand.Rand
	executions map[string]int
}

// RoundTrip implements http.RoundTripper.
func (n *installation) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := r.Header.Get(headerKey)
	if n.fault == "" && n.rng.IntN(3) == 0 {
		return nil, errors.New("connection reset")
	}
	w := httptest.NewRecorder()
	if key != "" {
		return n.confirm(w, key)
	}
	var body completionBody
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	n.complete(w, body)
	return w.Result(), nil
}

func (n *installation) confirm(w *httptest.ResponseRecorder, key string) (*http.Response, error) {
	known := n.executions[key] > 0
	if n.fault != "answer-without-execution" && (!known || n.fault == "run-again") {
		n.executions[key]++
	}
	switch {
	case n.fault == "false-not-run":
		refusal.New(refusal.Quarantined, "not run").Write(w, "r")
		return w.Result(), nil
	case n.fault == "lose-answers", n.fault == "" && !known:
		// The call took effect and its answer is lost.
		return nil, errors.New("connection reset")
	case n.fault == "stuck":
		refusal.NewUnknown(refusal.InProgress, "in progress").Write(w, "r")
		return w.Result(), nil
	case n.fault == "unknown":
		refusal.NewUnknown(refusal.OutcomeUnknown, "outcome unknown").Write(w, "r")
		return w.Result(), nil
	}
	serial := 1
	if n.fault == "run-again" {
		serial = n.executions[key]
	}
	fmt.Fprintf(w, `{"service":"s","key":%q,"serial":%d}`, key, serial)
	return w.Result(), nil
}

func (n *installation) complete(w io.Writer, body completionBody) {
	text := standin.Answer("m", body.Prompt, 50)
	switch n.fault {
	case "wrong-text":
		text = standin.Answer("m", "another prompt", 50)
	case "cut-stream":
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
		return
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	fmt.Fprint(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// Guards against a checker that passes a wrong answer, a cut stream, a false
// "not run", an answer without its effect, or a key that ran twice, and against
// one that counts a call as lost whose caller got its answer by resending, or was
// told the truth until it gave up.
func TestCheckerFindsBrokenPromises(t *testing.T) {
	cases := []struct {
		fault   string
		kind    Interface
		end     End
		doubled bool
	}{
		{"", Completion, Answered, false},
		{"", Confirmation, Answered, false},
		{"wrong-text", Completion, Lost, false},
		{"cut-stream", Completion, Lost, false},
		{"false-not-run", Confirmation, Lost, false},
		{"answer-without-execution", Confirmation, Lost, false},
		{"lose-answers", Confirmation, Lost, false},
		{"unknown", Confirmation, Unknown, false},
		{"stuck", Confirmation, Unknown, false},
		{"run-again", Confirmation, Lost, true},
	}
	for seed := range checkSeeds() {
		for _, c := range cases {
			name := fmt.Sprintf("seed=%d/%s/%s", seed, c.kind, c.fault)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					result, totals := runCall(seed, c.fault, c.kind)
					if result.End != c.end || (totals.Duplicated > 0) != c.doubled {
						t.Errorf("call ended %q (%s), %s; want end %q, doubled %t",
							result.End, result.Detail, totals, c.end, c.doubled)
					}
				})
			})
		}
	}
}

func checkSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("BERGAMOT_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 5
}

// runCall sends one call, and for confirmations a second time, and checks it.
func runCall(seed uint64, fault string, kind Interface) (Result, Totals) {
	n := &installation{fault: fault, rng: rand.New(rand.NewPCG(seed, 1)), executions: map[string]int{}}
	c := &caller{
		client:  &http.Client{Transport: n, Timeout: time.Minute},
		daemons: []string{"daemon-1", "daemon-2", "daemon-3"},
		rng:     rand.New(rand.NewPCG(seed, 2)),
		kind:    &Kind{Name: "k", Interface: kind, Prompt: "Which slot?", OutputTokens: 9, Stream: true, ResendShare: 1},
		profile: &profile.Profile{Model: "m", MaxOutputTokens: 50},
		id:      "call-1",
	}
	results := []Result{c.run(context.Background())}
	totals := Check(results, n.executions)
	return results[0], totals
}

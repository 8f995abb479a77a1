package processtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// confirmation is one non-repeatable call and its outcome for the caller.
type confirmation struct {
	key string
	// answered is set after a response with status 200. notRun is set if the caller
	// stopped retrying after a refusal that reports that no attempt ran.
	answered, notRun bool
}

// Guards against a confirmation that runs twice, and against a response or a "not run"
// refusal that contradicts what ran, when daemons are killed, replaced and paused and the
// platform hangs while each caller repeats its call through different daemons.
func TestConfirmationsRunAtMostOnceUnderSignals(t *testing.T) {
	const count = 60
	s := newSystem(t)
	daemons := []string{"anand-1", "anand-2", "kheda-1"}
	centres := map[string]string{"anand-1": "anand", "anand-2": "anand", "kheda-1": "kheda"}
	s.addEngine("engine-1", "anand")
	s.addService("service-1", "anand")
	for _, d := range daemons {
		s.listDaemon(d, centres[d])
	}
	s.startPlatform()
	s.publish(configuration(""))
	for _, d := range daemons {
		s.startDaemon(d, centres[d])
	}
	for _, d := range daemons {
		s.awaitOK(d, "/readyz")
	}
	var group sync.WaitGroup
	results := make([]confirmation, count)
	for i := range results {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		results[i].key = fmt.Sprintf("%d-confirm-%d", time.Now().Unix(), i)
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			s.confirm(&results[i], daemons, rng)
		})
	}
	time.Sleep(time.Second)
	s.kill("anand-2")
	s.signal("kheda-1", syscall.SIGSTOP)
	time.Sleep(time.Second)
	s.startDaemon("anand-2", "anand")
	s.signal("platform", syscall.SIGSTOP)
	time.Sleep(time.Second)
	s.signal("platform", syscall.SIGCONT)
	time.Sleep(time.Second)
	s.signal("kheda-1", syscall.SIGCONT)
	group.Wait()
	s.checkConfirmations(results)
}

// confirm sends a call through randomly chosen daemons until it has a final outcome,
// at most 30 times.
func (s *system) confirm(c *confirmation, daemons []string, rng *rand.Rand) {
	const attempts = 30
	header := http.Header{"Idempotency-Key": {c.key}}
	for range attempts {
		daemon := daemons[rng.IntN(len(daemons))]
		r := s.request(daemon, http.MethodPost, "/caretaker/confirm", header, c.key)
		switch {
		case r.status == http.StatusOK:
			c.answered = true
			return
		case r.refusal != nil && r.refusal.Code == refusal.OutcomeUnknown:
			return
		case r.refusal != nil && r.refusal.Outcome == refusal.NotRun && r.refusal.Scope == refusal.ScopeCall:
			// Half of the callers stop after this refusal; the others retry.
			if c.notRun = rng.IntN(2) == 0; c.notRun {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkConfirmations compares the outcomes that callers received with the executions of
// the service, and checks that at least half of the confirmations were answered.
func (s *system) checkConfirmations(results []confirmation) {
	var executions []standin.Execution
	s.get("service-1", "/executions", &executions)
	ran := map[string]int{}
	for _, e := range executions {
		ran[e.Key]++
	}
	answered := 0
	for _, c := range results {
		if ran[c.key] > 1 {
			s.t.Errorf("%s ran %d times", c.key, ran[c.key])
		}
		if c.answered && ran[c.key] != 1 {
			s.t.Errorf("%s was answered but ran %d times", c.key, ran[c.key])
		}
		if c.notRun && ran[c.key] != 0 {
			s.t.Errorf("%s was refused as not run but ran %d times", c.key, ran[c.key])
		}
		if c.answered {
			answered++
		}
	}
	if answered < len(results)/2 {
		s.t.Errorf("only %d of %d confirmations were answered", answered, len(results))
	}
	s.t.Logf("%d of %d confirmations answered", answered, len(results))
}

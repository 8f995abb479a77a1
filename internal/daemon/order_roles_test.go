package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/roles"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// roleCluster is a cluster whose load shifts between prompt and output tokens.
type roleCluster struct {
	*cluster
	requests sync.WaitGroup
}

// newRoleCluster starts four engines in role mixed and two daemons, with a configuration
// that states the speed of each role, so that daemons may change roles.
func newRoleCluster(c *cluster) *roleCluster {
	r := &roleCluster{cluster: c}
	for i := range 4 {
		c.addEngine(fmt.Sprintf("engine-%d", i), "anand", standin.EngineOptions{
			ChecksFencing: true, ChangeTime: 10 * time.Second, Capacity: 20000, TokenTime: 50 * time.Millisecond,
		})
	}
	for i := range 2 {
		c.addDaemon(fmt.Sprintf("daemon-%d", i), "anand")
	}
	doc := document()
	doc.Pools[0].ChecksFencing = true
	doc.Pools[0].MinServing = 2
	doc.Pools[0].Speeds = []profile.RoleSpeed{
		{Role: port.RoleMixed, PromptTokens: 500, OutputTokens: 150},
		{Role: port.RolePrefill, PromptTokens: 900, OutputTokens: 50},
		{Role: port.RoleDecode, PromptTokens: 150, OutputTokens: 270},
	}
	c.publish("r1", 0, doc)
	c.awaitReady()
	time.Sleep(2 * time.Second)
	return r
}

// sendLoad sends requests with the given prompt and output, in tokens, at a mean
// interval, and checks that each is answered in full.
func (r *roleCluster) sendLoad(prompt, output int, interval, duration time.Duration) {
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		time.Sleep(interval/2 + time.Duration(r.rng.Int64N(int64(interval))))
		text := fmt.Sprintf("tokens=%d ", output)
		text += strings.Repeat("x", 4*prompt-len(text))
		r.requests.Go(func() {
			got := r.complete(fmt.Sprintf("daemon-%d", n%2), text)
			if got.status != 200 || got.text() != standin.Answer(testModel, text, 4000) {
				r.t.Errorf("a request got status %d, error %v and %d bytes", got.status, got.err, len(got.body))
			}
		})
	}
}

// countRoleChanges returns the number of role orders that the engines executed. It also
// checks that no order interrupted a request.
func (r *roleCluster) countRoleChanges() int {
	n := 0
	for name, e := range r.engines {
		for _, o := range e.Orders() {
			if o.Kind == port.OrderSetRole {
				n++
			}
		}
		if interrupted := e.Interrupted(); interrupted != 0 {
			r.t.Errorf("orders interrupted %d requests at %s", interrupted, name)
		}
	}
	return n
}

// Guards against role changes under steady load, against no change or more than two for
// one sustained shift, and against a change that interrupts a request.
func TestRolesFollowSustainedShift(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newRoleCluster(c)
		// This load utilises mixed engines by 0.75, a fifth of which is for prompts.
		r.sendLoad(60, 72, 200*time.Millisecond, 5*time.Minute)
		if n := r.countRoleChanges(); n != 0 {
			r.t.Errorf("%d role changes in steady load, want none", n)
		}
		// This load utilises mixed engines by 1.25, four fifths of which are for prompts.
		r.sendLoad(800, 60, 400*time.Millisecond, 6*time.Minute)
		shifted := r.countRoleChanges()
		if shifted < 1 || shifted > 2 {
			r.t.Errorf("%d role changes for a shift to long prompts, want 1 or 2", shifted)
		}
		r.sendLoad(800, 60, 400*time.Millisecond, 4*time.Minute)
		if n := r.countRoleChanges() - shifted; n != 0 {
			r.t.Errorf("%d role changes in steady load after the shift, want none", n)
		}
		r.sendLoad(60, 72, 200*time.Millisecond, 6*time.Minute)
		if n := r.countRoleChanges() - shifted; n > 2 {
			r.t.Errorf("%d role changes for the shift back, want at most 2", n)
		}
		r.requests.Wait()
		r.countRoleChanges()
		if !r.hasRoleDecisionInput("drain for set-role", "utilisation-before") {
			r.t.Error("role decisions do not show the numbers of a change")
		}
	})
}

// hasRoleDecisionInput reports whether the role decisions of a daemon contain one with
// the given outcome that has the given input.
func (r *roleCluster) hasRoleDecisionInput(outcome, input string) bool {
	for _, d := range r.daemons {
		for _, record := range d.roleDecisions.Find("") {
			for _, in := range record.Inputs {
				if record.Outcome == outcome && in.Name == input {
					return true
				}
			}
		}
	}
	return false
}

// Guards against tokens that are counted twice or negatively when a daemon is replaced,
// and against all past tokens of a daemon being counted in one interval.
func TestTokenIncreaseSurvivesReplacement(t *testing.T) {
	o := &orders{lastTokenReports: map[string]tokenReport{}}
	key := queueKey{pool: testPool, model: testModel}
	steps := []struct {
		incarnation  string
		prompt, want int64
	}{
		{"a", 5000, 0}, {"a", 5300, 300}, {"a", 5300, 0}, {"b", 40, 40}, {"b", 100, 60},
	}
	for i, step := range steps {
		increases := map[queueKey]tokenTotal{}
		totals := []tokenTotal{{Pool: testPool, Model: testModel, Prompt: step.prompt}}
		o.addIncrease(increases, "daemon-0", tokenReport{Incarnation: step.incarnation, Totals: totals})
		if got := increases[key].Prompt; got != step.want {
			t.Errorf("step %d: %d prompt tokens, want %d", i, got, step.want)
		}
	}
}

// Guards against a holder that proposes a change right after it acquired the lease,
// when it knows neither how long the shift has lasted nor how long engines have had
// their roles; against a rejection that is not recorded, or is recorded at each step;
// and against changes of engines whose speeds are not configured.
func TestNewHolderWaitsForMinimumStay(t *testing.T) {
	var records []decision.Record
	p := newRolePlanner(func(r decision.Record) { records = append(records, r) })
	now := time.Unix(1000, 0)
	doc := document()
	doc.Pools[0].Speeds = []profile.RoleSpeed{
		{Role: port.RoleMixed, PromptTokens: 1000, OutputTokens: 1000},
		{Role: port.RolePrefill, PromptTokens: 1800, OutputTokens: 330},
		{Role: port.RoleDecode, PromptTokens: 300, OutputTokens: 1800},
	}
	in := order.Input{Configuration: &profile.Snapshot{Document: doc}}
	for i := range 4 {
		in.Engines = append(in.Engines, order.Engine{
			VM:        port.VM{ID: fmt.Sprintf("engine-%d", i), Pool: testPool},
			Status:    port.EngineStatus{Model: testModel, Role: port.RoleMixed, Phase: port.PhaseServing, Capacity: 1000},
			Reachable: true,
		})
	}
	tokens := map[queueKey]tokenTotal{{pool: testPool, model: testModel}: {Prompt: 24000, Output: 1000}}
	step := func() *order.Change {
		now = now.Add(5 * time.Second)
		p.observe(now, tokens)
		in.Now = now
		return p.Plan(in)
	}
	// firstChangeAfter returns the time until the first proposed change, or 0 if none is
	// proposed within 10 minutes.
	firstChangeAfter := func() time.Duration {
		for start := now; now.Sub(start) < 10*time.Minute; {
			if change := step(); change != nil {
				return now.Sub(start)
			}
		}
		return 0
	}
	stay := roles.DefaultOptions(nil).MinStay
	for range 2 {
		records = nil
		if after := firstChangeAfter(); after < stay || after > stay+time.Minute {
			t.Errorf("the first change is proposed after %s, want %s or up to a minute more", after, stay)
		}
		if len(records) == 0 || len(records) > 3 || !strings.Contains(records[0].Outcome, string(roles.MinStayNotReached)) {
			t.Errorf("rejections recorded: %+v, want one to three, the first because of the minimum stay", records)
		}
		p.reset()
	}
	doc.Pools[0].Speeds = doc.Pools[0].Speeds[:2]
	if after := firstChangeAfter(); after != 0 {
		t.Errorf("a change is proposed after %s although the speed of a role is not stated", after)
	}
}

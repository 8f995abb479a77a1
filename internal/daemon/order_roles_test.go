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

// roleRun is a cluster whose mix of prompts and output shifts.
type roleRun struct {
	*cluster
	group sync.WaitGroup
}

func newRoleRun(c *cluster) *roleRun {
	r := &roleRun{cluster: c}
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

// offer sends requests of a size, in tokens, at a mean interval.
func (r *roleRun) offer(prompt, output int, interval, length time.Duration) {
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		time.Sleep(interval/2 + time.Duration(r.rng.Int64N(int64(interval))))
		text := fmt.Sprintf("tokens=%d ", output)
		text += strings.Repeat("x", 4*prompt-len(text))
		r.group.Go(func() {
			got := r.complete(fmt.Sprintf("daemon-%d", n%2), text)
			if got.status != 200 || got.text() != standin.Answer(testModel, text, 4000) {
				r.t.Errorf("a request got status %d, error %v and %d bytes", got.status, got.err, len(got.body))
			}
		})
	}
}

// changes returns the number of role orders that the engines executed.
func (r *roleRun) changes() int {
	n := 0
	for name, e := range r.engines {
		for _, o := range e.Orders() {
			if o.Kind == port.OrderSetRole {
				n++
			}
		}
		if cut := e.Interrupted(); cut != 0 {
			r.t.Errorf("orders interrupted %d requests at %s", cut, name)
		}
	}
	return n
}

// Guards against role changes in steady load, against more than two for one
// sustained shift or none, and against a change that cuts a request.
func TestRolesFollowSustainedShift(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		r := newRoleRun(c)
		// Mixed engines are utilised by 0.75, with a fifth of it for prompts.
		r.offer(60, 72, 200*time.Millisecond, 5*time.Minute)
		if n := r.changes(); n != 0 {
			r.t.Errorf("%d role changes in steady load", n)
		}
		// Now by 1.25, with four fifths of it for prompts.
		r.offer(800, 60, 400*time.Millisecond, 6*time.Minute)
		shifted := r.changes()
		if shifted < 1 || shifted > 2 {
			r.t.Errorf("%d role changes for a shift to long prompts, want 1 or 2", shifted)
		}
		r.offer(800, 60, 400*time.Millisecond, 4*time.Minute)
		if n := r.changes() - shifted; n != 0 {
			r.t.Errorf("%d role changes in steady load after the shift", n)
		}
		r.offer(60, 72, 200*time.Millisecond, 6*time.Minute)
		if n := r.changes() - shifted; n > 2 {
			r.t.Errorf("%d role changes for the shift back, want at most 2", n)
		}
		r.group.Wait()
		r.changes()
		if !r.shows("drain for set-role", "utilisation-before") {
			r.t.Error("role decisions do not show the numbers of a change")
		}
	})
}

// shows tells whether a daemon's role decisions contain a verdict with an input.
func (r *roleRun) shows(verdict, input string) bool {
	for _, d := range r.daemons {
		for _, record := range d.roleDecisions.Find("") {
			for _, in := range record.Inputs {
				if record.Outcome == verdict && in.Name == input {
					return true
				}
			}
		}
	}
	return false
}

// Guards against work that counts twice or backwards when a daemon is replaced, and
// against the whole past of a daemon counting as work of one interval.
func TestWorkGrowthSurvivesReplacement(t *testing.T) {
	o := &orders{lastTokenReports: map[string]tokenReport{}}
	key := queueKey{pool: testPool, model: testModel}
	steps := []struct {
		incarnation  string
		prompt, want int64
	}{
		{"a", 5000, 0}, {"a", 5300, 300}, {"a", 5300, 0}, {"b", 40, 40}, {"b", 100, 60},
	}
	for i, step := range steps {
		grown := map[queueKey]tokenTotal{}
		totals := []tokenTotal{{Pool: testPool, Model: testModel, Prompt: step.prompt}}
		o.addIncrease(grown, "daemon-0", tokenReport{Incarnation: step.incarnation, Totals: totals})
		if got := grown[key].Prompt; got != step.want {
			t.Errorf("step %d: %d prompt tokens, want %d", i, got, step.want)
		}
	}
}

// Guards against a holder that proposes a change right after it took over, when it
// knows neither how long the shift lasts nor how long engines have had their roles;
// against a rejection that is not recorded, or is recorded at each step, and against
// changes of engines whose speeds are not stated.
func TestNewHolderWaitsForTheMinimumStay(t *testing.T) {
	var notes []decision.Record
	p := newRolePlanner(func(r decision.Record) { notes = append(notes, r) })
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
	work := map[queueKey]tokenTotal{{pool: testPool, model: testModel}: {Prompt: 24000, Output: 1000}}
	step := func() *order.Change {
		now = now.Add(5 * time.Second)
		p.observe(now, work)
		in.Now = now
		return p.Plan(in)
	}
	first := func() time.Duration {
		for start := now; now.Sub(start) < 10*time.Minute; {
			if change := step(); change != nil {
				return now.Sub(start)
			}
		}
		return 0
	}
	stay := roles.DefaultOptions(nil).MinStay
	for range 2 {
		notes = nil
		if after := first(); after < stay || after > stay+time.Minute {
			t.Errorf("the first change is proposed after %s, want %s", after, stay)
		}
		if len(notes) == 0 || len(notes) > 3 || !strings.Contains(notes[0].Outcome, string(roles.MinStayNotReached)) {
			t.Errorf("rejections recorded: %+v", notes)
		}
		p.reset()
	}
	doc.Pools[0].Speeds = doc.Pools[0].Speeds[:2]
	if after := first(); after != 0 {
		t.Errorf("a change is proposed after %s although the speed of a role is not stated", after)
	}
}

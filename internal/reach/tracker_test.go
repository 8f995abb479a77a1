package reach

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against a crashed or silent runner that counts as the loss of all paths, a loss that goes
// unnoticed because old connections live on, and a return that one lucky connection causes.
func TestStateFollowsContacts(t *testing.T) {
	const fail, open, respond, silent = port.ContactFailed, port.ContactOpened, port.ContactResponded, port.ContactSilent
	type contact struct {
		runner int
		kind   port.Contact
		// took is the time from the begin of the contact to its result, in ms. Results are 10 ms apart.
		took int
	}
	cases := []struct {
		name string
		// runners is the number of runners; those of a negative number have two roles in turn.
		runners  int
		contacts []contact
		want     State
		// alone is what Record returns for the last contact.
		alone bool
	}{
		{"nothing", 3, nil, Reached, false},
		{"all of one role", -6, []contact{{0, fail, 1}, {2, fail, 1}, {4, fail, 1}}, InDoubt, false},
		{"of each role", -6, []contact{{0, fail, 1}, {2, fail, 1}, {3, fail, 1}}, Unreached, false},
		{"one runner crashed", 4, []contact{{0, fail, 1}, {0, fail, 1}, {0, fail, 1}, {0, fail, 1}}, InDoubt, false},
		{"crashed, another one opens", 4, []contact{{0, fail, 1}, {1, open, 1}}, Reached, true},
		{"failure that began before another one opened", 4, []contact{{1, open, 1}, {0, fail, 50}}, Reached, true},
		{"three runners", 9, []contact{{0, fail, 1}, {1, fail, 1}, {2, fail, 1}}, Unreached, false},
		{"two of two runners", 2, []contact{{0, fail, 1}, {1, fail, 1}}, Unreached, false},
		{"open connections live on", 4, []contact{{0, fail, 1}, {3, respond, 1}, {1, fail, 1}, {3, respond, 1}, {2, fail, 1}}, Unreached, false},
		{"silent without other responses", 4, []contact{{0, silent, 700}}, InDoubt, false},
		{"silent, another one responds", 4, []contact{{1, respond, 1}, {0, silent, 700}}, Reached, true},
		{"silence of all is no proof", 3, []contact{{0, silent, 700}, {1, silent, 700}, {2, silent, 700}}, InDoubt, false},
		{"one connection opens after the loss", 3, []contact{{0, fail, 1}, {1, fail, 1}, {2, fail, 1}, {0, open, 1}}, Unreached, true},
		{"a failure between two that open", 3, []contact{{0, fail, 1}, {1, fail, 1}, {2, fail, 1}, {0, open, 1}, {1, fail, 1}, {2, open, 1}}, Unreached, true},
		{"two connections open after the loss", 3, []contact{{0, fail, 1}, {1, fail, 1}, {2, fail, 1}, {0, open, 1}, {1, open, 1}}, Reached, true},
		{"the only runner returns", 1, []contact{{0, fail, 1}, {0, open, 1}}, Reached, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runners []port.Runner
			for i := range max(c.runners, -c.runners) {
				r := port.Runner{ID: fmt.Sprint(i), Service: "s"}
				if c.runners < 0 {
					r.Role = []port.Role{port.RoleDecode, port.RolePrefill}[i%2]
				}
				runners = append(runners, r)
			}
			tr := NewTracker()
			tr.SetRunners(runners)
			now := time.Unix(1000, 0)
			alone := false
			for _, k := range c.contacts {
				now = now.Add(10 * time.Millisecond)
				alone = tr.Record(now, runners[k.runner], k.kind, now.Add(-time.Duration(k.took)*time.Millisecond))
			}
			if got := tr.State("s"); got != c.want || alone != c.alone {
				t.Errorf("state is %d, failure of the runner alone %t, want %d and %t", got, alone, c.want, c.alone)
			}
		})
	}
}

// Guards against probes of a service that is certain, probes of the runner that just failed, floods of
// probes, and a service that stays unreached after its runners were replaced.
func TestProbesSettleTheState(t *testing.T) {
	var runners []port.Runner
	for i := range 4 {
		runners = append(runners, port.Runner{ID: fmt.Sprint(i), Service: "s", Draining: i == 3})
	}
	tr := NewTracker()
	now := time.Unix(1000, 0)
	step := func(d time.Duration, want string) {
		t.Helper()
		now = now.Add(d)
		var ids []string
		for _, r := range tr.Probes(now) {
			ids = append(ids, r.ID)
		}
		slices.Sort(ids)
		if got := strings.Join(ids, " "); got != want {
			t.Errorf("after %s: probes %q, want %q", now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
	tr.SetRunners(runners)
	step(0, "")
	tr.Record(now, runners[0], port.ContactFailed, now)
	step(0, "1 2")
	step(50*time.Millisecond, "")
	tr.Record(now, runners[1], port.ContactFailed, now)
	tr.Record(now, runners[2], port.ContactFailed, now)
	step(100*time.Millisecond, "")
	step(400*time.Millisecond, "2")
	step(100*time.Millisecond, "")
	tr.Record(now, runners[0], port.ContactOpened, now)
	step(0, "0")
	tr.Record(now, runners[1], port.ContactOpened, now)
	if step(time.Second, ""); tr.Uncertain() || !tr.RecentlyReached(now, "s") {
		t.Error("the service is not certain after two connections")
	}
	tr.Record(now, runners[0], port.ContactFailed, now)
	step(0, "1 2")
	tr.Record(now, runners[1], port.ContactOpened, now)
	tr.Record(now, runners[0], port.ContactFailed, now)
	step(time.Millisecond, "1 2")
	tr.Record(now, runners[1], port.ContactOpened, now)
	if now = now.Add(recentAge + time.Second); tr.RecentlyReached(now, "s") {
		t.Error("an old contact proves the reach")
	}
	step(time.Second, "2")
	for _, r := range runners[:3] {
		tr.Record(now, r, port.ContactFailed, now)
	}
	if changed := tr.SetRunners(runners[3:]); !slices.Equal(changed, []string{"s"}) || tr.State("s") != Reached {
		t.Errorf("without usable runners: changed %v, state %d", changed, tr.State("s"))
	}
}

package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against sending every daemon of the VM list when all daemons start at once,
// and against not sending a restart, a suspicion or a daemon that is not on the list.
func TestFirstContactWithListedMemberIsNotPropagated(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Member{Address: "self"}, Options{SuspectTimeout: time.Second, DeadRetention: time.Minute, MaxUpdates: 10}, rand.New(rand.NewPCG(1, 1)))
	s.Add(Member{Address: "a", Name: "a", DataCentre: "anand"}, now)
	steps := []struct {
		what     string
		member   Member
		wantSent int
	}{
		{"first message of a listed member", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-1", Incarnation: 5}, 0},
		{"restart", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-2", Incarnation: 9}, 1},
		{"suspicion", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-2", Incarnation: 9, Status: Suspect}, 1},
		{"refutation of the suspicion", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-2", Incarnation: 10}, 1},
		{"suspicion by a daemon without a response", Member{Address: "a", Name: "a", DataCentre: "anand", Status: Suspect}, 1},
		{"unlisted member", Member{Address: "b", Name: "b", DataCentre: "anand", Run: "b-1", Incarnation: 7}, 2},
	}
	defer func() {
		if m, _ := s.Member("a"); m.Status != Suspect || m.Incarnation != 10 {
			t.Errorf("the listed member is %+v, want a suspect at its last incarnation", m)
		}
	}()
	for _, step := range steps {
		if !s.Apply(step.member, now) {
			t.Errorf("%s is not applied", step.what)
		}
		if got := s.Outgoing("someone"); len(got) != step.wantSent {
			t.Errorf("after the %s %d members are sent, want %d", step.what, len(got), step.wantSent)
		}
	}
}

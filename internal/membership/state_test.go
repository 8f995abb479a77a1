package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a fleet that starts all at once and passes on every daemon of the VM
// list, and against a restart, a suspicion or an unlisted daemon that is not passed on.
func TestFirstAnswerOfListedMemberIsNoNews(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Member{Address: "self"}, Options{SuspectTimeout: time.Second, DeadRetention: time.Minute, MaxUpdates: 10}, rand.New(rand.NewPCG(1, 1)))
	s.Add(Member{Address: "a", Name: "a", DataCentre: "anand"}, now)
	steps := []struct {
		what   string
		member Member
		news   int
	}{
		{"first answer of a listed member", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-1", Incarnation: 5}, 0},
		{"restart", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-2", Incarnation: 9}, 1},
		{"suspicion", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-2", Incarnation: 9, Status: Suspect}, 1},
		{"answer after the suspicion", Member{Address: "a", Name: "a", DataCentre: "anand", Run: "a-2", Incarnation: 10}, 1},
		{"suspicion by a daemon without an answer", Member{Address: "a", Name: "a", DataCentre: "anand", Status: Suspect}, 1},
		{"unlisted member", Member{Address: "b", Name: "b", DataCentre: "anand", Run: "b-1", Incarnation: 7}, 2},
	}
	defer func() {
		if m, _ := s.Member("a"); m.Status != Suspect || m.Incarnation != 10 {
			t.Errorf("the listed member is %+v, want it suspected in its run", m)
		}
	}()
	for _, step := range steps {
		if !s.Apply(step.member, now) {
			t.Errorf("%s is not taken in", step.what)
		}
		if got := s.Outgoing("someone"); len(got) != step.news {
			t.Errorf("after the %s %d members are passed on, want %d", step.what, len(got), step.news)
		}
	}
}

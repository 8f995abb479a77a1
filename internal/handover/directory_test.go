package handover

import (
	"fmt"
	"testing"
	"time"
)

// Guards against requests that go to a daemon that cannot serve them, that all go to one daemon, or that
// leave the data centre without need.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	status := func(load int, services ...string) Status {
		return Status{Address: "10.0.0.1:1", Reached: services, Load: load, Config: 7}
	}
	type heard struct {
		name, dataCentre string
		status           Status
		age              time.Duration
	}
	cases := []struct {
		name  string
		heard []heard
		need  Need
		want  string
	}{
		{"nobody", nil, Need{Service: "s"}, ""},
		{"least loaded", []heard{{"a", "here", status(9, "s"), 0}, {"b", "here", status(3, "s"), 0}}, Need{Service: "s"}, "b"},
		{"does not reach the service", []heard{{"a", "here", status(9, "s"), 0}, {"b", "here", status(3, "r"), 0}}, Need{Service: "s"}, "a"},
		{"old status", []heard{{"a", "here", status(9, "s"), 0}, {"b", "here", status(3, "s"), 2 * statusAge}}, Need{Service: "s"}, "a"},
		{"takes no requests", []heard{{"a", "here", Status{Reached: []string{"s"}}, 0}}, Need{Service: "s"}, ""},
		{"older configuration", []heard{{"a", "here", status(3, "s"), 0}}, Need{Service: "s", Config: 8}, ""},
		{"excluded", []heard{{"a", "here", status(3, "s"), 0}}, Need{Service: "s", Excluded: map[string]bool{"a": true}}, ""},
		{"near with the same load", []heard{{"a", "there", status(3, "s"), 0}, {"b", "here", status(3, "s"), 0}}, Need{Service: "s"}, "b"},
		{"far with much less load", []heard{{"a", "there", status(3, "s"), 0}, {"b", "here", status(20, "s"), 0}}, Need{Service: "s"}, "a"},
	}
	for _, c := range cases {
		d := NewDirectory(Daemon{"self", "here"})
		for _, h := range c.heard {
			d.Update(now.Add(-h.age), Daemon{h.name, h.dataCentre}, h.status)
		}
		got, ok := d.Choose(now, c.need, func() float64 { return 0.5 })
		if got.Name != c.want || ok != (c.want != "") {
			t.Errorf("%s: %q, %t, want %q", c.name, got.Name, ok, c.want)
		}
	}

	d := NewDirectory(Daemon{"self", "here"})
	counts := map[string]int{}
	for _, name := range []string{"a", "b", "c"} {
		d.Update(now, Daemon{name, "here"}, status(0, "s"))
	}
	for range 30 {
		r, _ := d.Choose(now, Need{Service: "s"}, func() float64 { return 0 })
		counts[r.Name]++
	}
	if counts["a"] != 10 || counts["b"] != 10 || counts["c"] != 10 {
		t.Errorf("30 requests go to %v", counts)
	}
	d.Decline("a", "s")
	d.Forget("b")
	for range 3 {
		if r, _ := d.Choose(now, Need{Service: "s"}, func() float64 { return 0 }); r.Name != "c" {
			t.Errorf("a request goes to %q after it declined or was lost", r.Name)
		}
	}
}

// Guards against a daemon that never asks those that could help, because the first ones it asks cannot.
func TestAskReachesAllDaemons(t *testing.T) {
	now := time.Unix(1000, 0)
	var daemons []Daemon
	for i := range 20 {
		daemons = append(daemons, Daemon{fmt.Sprint("near", i), "here"}, Daemon{fmt.Sprint("far", i), "there"})
	}
	d := NewDirectory(Daemon{"self", "here"})
	asked := map[string]bool{}
	for range 10 {
		names := d.Ask(now, daemons)
		if len(names) != askedLocally+askedRemotely {
			t.Fatalf("%d daemons are asked at once", len(names))
		}
		for _, name := range names {
			asked[name] = true
		}
	}
	if len(asked) != len(daemons) {
		t.Errorf("%d of %d daemons are asked", len(asked), len(daemons))
	}
	d.Update(now, Daemon{"near3", "here"}, Status{Address: "10.0.0.1:1", Reached: []string{"s"}})
	for range 10 {
		if names := d.Ask(now, daemons); names[0] != "near3" && names[askedRemotely] != "near3" {
			t.Errorf("a daemon that helps is not asked again: %v", names)
		}
	}
}

package placement

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against daemons of one cell that all choose the same engine, and against requests that leave their data centre
// only to be spread.
func TestRequestsAreSpreadWithinTheDataCentre(t *testing.T) {
	var runners []port.Runner
	for i := range 24 {
		dataCentre := []string{"north", "south"}[i%2]
		runners = append(runners, port.Runner{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i), DataCentre: dataCentre, Role: port.RoleDecode, Slots: 64})
	}
	var daemons []Daemon
	for i := range 24 {
		daemons = append(daemons, Daemon{Name: fmt.Sprint("d", i), DataCentre: []string{"north", "south"}[i%2]})
	}
	now := time.Unix(1000, 0)
	used := map[string]int{}
	for _, d := range daemons {
		if d.DataCentre != "north" {
			continue
		}
		f := NewFleet(d.DataCentre, d.Name)
		f.SpreadLoad(true)
		f.SetServices(map[string]port.ForwardService{"s": {Name: "s", Engine: &port.EngineLimits{Slots: 64, KVTokens: 400000}}})
		f.SetRunners(runners)
		f.SetDaemons(daemons)
		for range 40 {
			q := Query{Service: "s", Prompt: &port.Prompt{InputTokens: 2000, OutputTokens: 10}, RemainingTarget: time.Second, Objective: time.Second}
			plan, ok := f.Place(now, q)
			if !ok {
				t.Fatal("no engine")
			}
			used[plan.Run.Runner().ID]++
			if plan.Run.Runner().DataCentre != "north" {
				t.Errorf("a request goes to %s although engines of its data centre are idle", plan.Run.Runner().ID)
			}
			plan.Run.End(now, Completed)
		}
	}
	most := 0
	for _, n := range used {
		most = max(most, n)
	}
	if len(used) < 12 || most > 3*12*40/12 {
		t.Errorf("requests at the engines: %v", used)
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// receiveLoads lets a peer report the number of its requests at runners.
func receiveLoads(t *testing.T, p *peers, from string, started int64, running map[string]int) {
	t.Helper()
	m := loadMessage{From: from, Started: started, DataCentre: p.dataCentre, Address: "10.0.0.7:" + from}
	for id, n := range running {
		m.Runners = append(m.Runners, runnerLoad{ID: id, Running: n})
	}
	params, err := json.Marshal(m)
	if err == nil {
		_, err = p.handleLoad(context.Background(), params)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against slots of engines that look occupied by a daemon whose process has ended, and against
// dropping those of a daemon that only does not respond.
func TestLoadsOfAnEndedDaemonAreDropped(t *testing.T) {
	cases := []struct {
		name    string
		ended   bool
		observe func(p *peers)
	}{
		{"connection refused", true, func(p *peers) {
			p.recordCallResult(p.links["e"], fmt.Errorf("dial: %w", syscall.ECONNREFUSED), time.Millisecond)
		}},
		{"connection reset", false, func(p *peers) {
			p.recordCallResult(p.links["e"], fmt.Errorf("read: %w", syscall.ECONNRESET), time.Millisecond)
		}},
		{"no response", false, func(p *peers) {
			p.recordCallResult(p.links["e"], context.DeadlineExceeded, 2*peerTimeout)
		}},
		{"a new process", true, func(p *peers) { receiveLoads(t, p, "e", 2, nil) }},
		{"a message of the same process", false, func(p *peers) { receiveLoads(t, p, "e", 1, nil) }},
		{"left", true, func(p *peers) { p.removePeer("e", 0) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGateway(RetryLimits{})
			g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
			receiveLoads(t, g.peers, "e", 1, map[string]int{"a": 4})
			receiveLoads(t, g.peers, "f", 1, map[string]int{"b": 2})
			c.observe(g.peers)
			occupancy := map[string]float64{}
			for _, e := range g.fleet.Pools(time.Now())[0].Engines {
				occupancy[e.Runner.ID] = e.Occupancy
			}
			if (occupancy["a"] == 0) != c.ended || occupancy["b"] != 0.5 {
				t.Errorf("occupancy of the runners is %v, the process has ended: %t", occupancy, c.ended)
			}
		})
	}
}

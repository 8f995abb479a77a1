package gateway

import (
	"bergamotsill.example/bergamotsill/internal/placement"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// unresponsivePeer responds to no call.
type unresponsivePeer struct{}

func (unresponsivePeer) Call(ctx context.Context, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a daemon that receives no more loads after it restarted at another address.
func TestDaemonWithNewAddressStaysCellPeer(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	for _, address := range []string{"10.0.0.7:1", "10.0.0.8:1"} {
		g.peers.addPeers(map[string]daemonEntry{"e": {Address: address, DataCentre: "north"}}, true)
		if l := g.peers.links["e"]; l.address != address || !l.cellPeer {
			t.Errorf("at %s: address %s, cell peer %t, want a cell peer", address, l.address, l.cellPeer)
		}
	}
	g.peers.removePeer("e", 0)
	if got := g.retries.share.Of(time.Now().Add(time.Minute), 1); got != 1 {
		t.Errorf("this daemon has %.2f of the retry limit a while after the other one left, want all", got)
	}
}

// Guards against a pending load that is lost when prompt parts for the same peer are queued
// before it was sent.
func TestPartsDoNotReplaceAPendingLoad(t *testing.T) {
	l := &peerLink{pendingLoads: map[string]runnerLoad{}}
	l.queueLoads([]runnerLoad{{ID: "r", Running: 3, Parts: map[string]int{"a": 1}}})
	l.queueLoads([]runnerLoad{{ID: "r", PartsOnly: true, Parts: map[string]int{"b": 2}}})
	if got := l.pendingLoads["r"]; got.Running != 3 || got.PartsOnly || got.Parts["a"] != 1 || got.Parts["b"] != 2 {
		t.Errorf("pending load is %+v, want the load with both parts", got)
	}
}

// Guards against prompt parts of remote data centres that reach only one daemon, and against
// daemons that forward them in circles.
func TestPartsOfRemoteDataCentresAreForwarded(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	for _, name := range []string{"e", "f", "g", "h"} {
		g.peers.addPeers(map[string]daemonEntry{name: {Address: "10.0.0.7:" + name, DataCentre: "north"}}, false)
	}
	for _, name := range []string{"s1", "s2", "s3", "s4", "s5"} {
		g.peers.addPeers(map[string]daemonEntry{name: {Address: "10.1.0.7:" + name, DataCentre: "south"}}, false)
	}
	receive := func(from, dataCentre, part string) {
		t.Helper()
		m := loadMessage{From: from, DataCentre: dataCentre, Address: g.peers.links[from].address}
		m.Runners = []runnerLoad{{ID: "a", PartsOnly: true, Parts: map[string]int{part: 10}}}
		params, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := g.peers.handleLoad(context.Background(), params); err != nil {
			t.Fatal(err)
		}
	}
	receive("s1", "south", "p")
	receive("e", "north", "q")
	for name, l := range g.peers.links {
		parts := l.pendingLoads["a"].Parts
		if want := l.dataCentre == "north"; (parts["p"] == 10) != want || parts["q"] != 0 {
			t.Errorf("%s is sent the parts %v, want the part of the remote data centre: %t", name, parts, want)
		}
	}
}

// Load: all daemons of a large fleet start at once. Guards against reassigning all daemons and
// engines for each daemon found, which took many seconds of processor time on small machines.
func TestRegistryReadAssignsCellPeersOnce(t *testing.T) {
	const fleet = 380
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	assignments, daemons := 0, 0
	g.peers.onDaemonsChanged = func(all []placement.Daemon) { assignments, daemons = assignments+1, len(all) }
	var records []port.KeyedRecord
	for i := range fleet {
		value := fmt.Sprintf(`{"address":"10.0.%d.%d:1","data_centre":"dc%d"}`, i/200, i%200, i%7)
		records = append(records, port.KeyedRecord{Key: fmt.Sprintf("d%03d", i), Value: []byte(value)})
	}
	g.peers.applyMembers(records)
	g.peers.applyMembers(records)
	if assignments != 1 || daemons != fleet+1 {
		t.Errorf("%d daemons were assigned cell peers %d times, want %d daemons once", daemons, assignments, fleet+1)
	}
}

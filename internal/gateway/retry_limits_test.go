package gateway

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// recordedPeer is a port.Peer that keeps the load messages that it receives.
type recordedPeer struct{ messages chan loadMessage }

func (p recordedPeer) Call(_ context.Context, _ string, params, _ any) error {
	if m, ok := params.(loadMessage); ok {
		p.messages <- m
	}
	return nil
}

// Guards against daemons that use their share of the retry limit again after each restart, killed or
// planned, and against ones that have no share for a whole window although it was not used before.
func TestPeersRememberTheRetriesOfTheProcessBefore(t *testing.T) {
	const slack, used = 100, 7.0
	for _, planned := range []bool{false, true} {
		g := newTestGateway(RetryLimits{Window: 10 * time.Second, Slack: slack})
		peer := recordedPeer{messages: make(chan loadMessage, 100)}
		g.peers.dial = func(string) port.Peer { return peer }
		message := loadMessage{From: "e", Address: "10.0.0.7:1", DataCentre: "north", Started: 1, UsedSlack: used}
		receiveLoad(t, g, message)
		if planned {
			receiveLoad(t, g, loadMessage{From: "e", Leaving: true, UsedSlack: used})
		}
		message.Started, message.UsedSlack = 2, 0
		receiveLoad(t, g, message)
		g.peers.sendChanges(context.Background(), time.Now())
		var previous *previousSlack
		for previous == nil {
			select {
			case m := <-peer.messages:
				previous = m.Previous
			case <-time.After(10 * time.Second):
				t.Fatalf("planned %t: the peer is not told what it had used", planned)
			}
		}
		restarted := New(Settings{Name: "e", DataCentre: "north", DrainNotice: time.Second, Retries: RetryLimits{Window: 10 * time.Second, Slack: slack}},
			Dependencies{Logger: zap.NewNop(), Registry: jsonRegistry{}, Runners: noRunners{}})
		restarted.peers.dial = g.peers.dial
		restarted.retries.share.RegistryRead()
		restarted.setDaemons([]placement.Daemon{{Name: "d", DataCentre: "north"}, {Name: "e", DataCentre: "north"}})
		usage := func() float64 { return restarted.retryWindow("s").Usage(time.Now()).Allowed }
		if got := usage(); got != 0 {
			t.Errorf("planned %t: %g retries are allowed before a peer was heard, want 0", planned, got)
		}
		receiveLoad(t, restarted, loadMessage{From: "d", Address: "10.0.0.8:1", DataCentre: "north", Started: 1, Previous: previous})
		if got, want := usage(), retryShare*slack/2-used; got != want {
			t.Errorf("planned %t: %g retries are allowed, want %g", planned, got, want)
		}
		if got := restarted.retries.usedSlack(time.Now()); got != used {
			t.Errorf("planned %t: the daemon reports %g retries, want the %g of its previous process", planned, got, used)
		}
	}
}

// Guards against messages of daemons of earlier versions that are taken for restarts.
func TestMessagesWithoutAStartAreNoRestarts(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	for range 2 {
		params, _ := json.Marshal(map[string]any{"from": "e", "address": "10.0.0.7:1", "data_centre": "north"})
		if _, err := g.peers.handleLoad(context.Background(), params); err != nil {
			t.Fatal(err)
		}
	}
	if l := g.peers.links["e"]; l.previous != nil || l.started != 0 {
		t.Errorf("a restart was noted: %+v", l.peerProcess)
	}
}

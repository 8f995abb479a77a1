package gateway

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
)

func receiveRelayed(t *testing.T, g *Gateway, m registryMessage) {
	t.Helper()
	params, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.peers.relay.handle(context.Background(), params); err != nil {
		t.Fatal(err)
	}
}

// Guards against orders to engines that nobody gives, because the daemon that plans does not reach them.
func TestPlannerReachesTheEngines(t *testing.T) {
	for _, c := range []struct {
		name           string
		own, unreached []string
		backoff        time.Duration
		plans          bool
	}{
		{"the first daemon plans", nil, nil, 0, false},
		{"the first one does not respond", nil, nil, time.Second, true},
		{"the first one does not reach a service", nil, []string{"llm"}, 0, true},
		{"neither does this one", []string{"llm"}, []string{"llm"}, 0, false},
	} {
		g := newTestGateway(RetryLimits{})
		g.peers.name = "e"
		g.peers.links["d"] = &peerLink{name: "d", dataCentre: g.peers.dataCentre, backoff: c.backoff}
		params, err := json.Marshal(loadMessage{From: "d", DataCentre: g.peers.dataCentre, Unreached: c.unreached})
		if err != nil {
			t.Fatal(err)
		}
		if c.backoff == 0 {
			if _, err := g.peers.handleLoad(t.Context(), params); err != nil {
				t.Fatal(err)
			}
		}
		unreached := map[string]time.Time{}
		for _, service := range c.own {
			unreached[service] = epoch
		}
		g.reach.unreached.Store(&unreached)
		if got := g.peers.relay.isFirstReaching(); got != c.plans {
			t.Errorf("%s: plans %t, want %t", c.name, got, c.plans)
		}
	}
}

// Guards against a daemon that relies on the reads of another one although it missed a change,
// and against two daemons that rely on each other, so that neither reads the store.
func TestRelayIsFreshOnlyIfStatesMatch(t *testing.T) {
	sender, receiver := newTestGateway(RetryLimits{}), newTestGateway(RetryLimits{})
	receiver.peers.name = "e"
	first := runnerRecord(t, port.Runner{ID: "r1", StartedMS: 1, Sequence: 1})
	second := runnerRecord(t, port.Runner{ID: "r2", StartedMS: 1, Sequence: 1})
	sender.discovery.applyRecords(epoch, []port.KeyedRecord{first}, true, false)
	receiver.discovery.applyRecords(epoch, []port.KeyedRecord{first}, true, false)

	message := func(changes ...port.KeyedRecord) registryMessage {
		m := registryMessage{From: "d", Runners: sender.discovery.digest()}
		for _, c := range changes {
			m.Changes = append(m.Changes, relayRecord{Key: c.Key, Value: c.Value})
		}
		return m
	}
	receiveRelayed(t, receiver, message())
	if !receiver.peers.relay.fresh() {
		t.Error("an equal state is not considered current")
	}
	sender.discovery.applyRecords(epoch, []port.KeyedRecord{second}, false, false)
	receiveRelayed(t, receiver, message())
	if receiver.peers.relay.fresh() {
		t.Error("the state is considered current although a change was missed")
	}
	receiveRelayed(t, receiver, message(second))
	if !receiver.peers.relay.fresh() {
		t.Error("the state is not considered current after the change was forwarded")
	}
	receiveRelayed(t, sender, registryMessage{From: "e", Runners: sender.discovery.digest()})
	if sender.peers.relay.fresh() {
		t.Error("a daemon relies on a daemon whose name sorts after its own")
	}
}

// Guards against all daemons reading the store because the interval between the reads of the
// reading daemon is longer than its state is considered current.
func TestRelayStaysFreshBetweenReads(t *testing.T) {
	for _, notice := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		g := New(Settings{Name: "d", DataCentre: "north", DrainNotice: notice}, Dependencies{Logger: zap.NewNop()})
		if pause, fresh := g.discovery.interval, g.peers.relay.maxAge; fresh < pause*3/2 || fresh > notice*3/4 {
			t.Errorf("drain notice %s: reads are %s apart and their state is considered current for %s", notice, pause, fresh)
		}
	}
}

// Guards against a daemon that learnt of a removal from the reading daemon, reads the store itself
// afterwards, and takes an earlier entry that was executed late for a newer one. Heartbeats are not
// forwarded, so that it knows only an old entry of the runner.
func TestForwardedRemovalRejectsEarlierEntries(t *testing.T) {
	sender, receiver := newTestGateway(RetryLimits{}), newTestGateway(RetryLimits{})
	receiver.peers.name = "e"
	entry := func(sequence int64) port.KeyedRecord {
		return runnerRecord(t, port.Runner{ID: "r1", StartedMS: 1, Sequence: sequence})
	}
	for _, g := range []*Gateway{sender, receiver} {
		g.discovery.applyRecords(epoch, []port.KeyedRecord{entry(1)}, true, false)
	}
	sender.discovery.applyRecords(epoch, []port.KeyedRecord{entry(9)}, false, false)
	messages := make(chan registryMessage, 1)
	sender.peers.links["e"] = &peerLink{name: "e", dataCentre: sender.peers.dataCentre, client: capturingPeer(messages)}
	sender.peers.relay.forward(sender.discovery.applyRecords(epoch, []port.KeyedRecord{{Key: "r1"}}, false, false))
	receiveRelayed(t, receiver, <-messages)
	for _, c := range []struct {
		sequence int64
		inUse    int
	}{{5, 0}, {9, 0}, {10, 1}} {
		receiver.discovery.applyRecords(epoch, []port.KeyedRecord{entry(c.sequence)}, true, false)
		if got := receiver.fleet.Size(); got != c.inUse {
			t.Errorf("after entry %d, %d runners are in use, want %d", c.sequence, got, c.inUse)
		}
	}
}

// capturingPeer passes on the registry messages that it receives.
type capturingPeer chan registryMessage

func (c capturingPeer) Call(_ context.Context, _ string, params, _ any) error {
	c <- params.(registryMessage)
	return nil
}

// recordingPeer keeps the last message that a method was called with.
type recordingPeer struct{ messages chan any }

func (p recordingPeer) Call(_ context.Context, _ string, params, _ any) error {
	p.messages <- params
	return nil
}

// Guards against daemons that keep runners in use that have left, because a daemon that the store refuses
// passes on a configuration and seems to vouch for its old list of runners.
func TestPassingOnAConfigurationDoesNotVouchForRunners(t *testing.T) {
	messages := make(chan any, 1)
	sender, receiver := newTestGateway(RetryLimits{}), newTestGateway(RetryLimits{})
	sender.peers.name = "a"
	sender.peers.dial = func(string) port.Peer { return recordingPeer{messages} }
	sender.peers.addPeers(map[string]daemonEntry{"d": {Address: "10.0.0.9:1", DataCentre: "north"}}, true)
	sender.config.install([]byte(`{"Version":7}`), "peer")
	var m registryMessage
	select {
	case params := <-messages:
		m = params.(registryMessage)
	case <-time.After(10 * time.Second):
		t.Fatal("the configuration is not passed on")
	}
	params, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	receiver.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	receiver.config.install([]byte(`{"Version":7}`), "store")
	if _, err := receiver.peers.relay.handle(context.Background(), params); err != nil {
		t.Fatal(err)
	}
	if m.Config != 7 || receiver.peers.relay.fresh() {
		t.Errorf("version %d is passed on, runners count as current: %t, want version 7 only", m.Config, receiver.peers.relay.fresh())
	}
}

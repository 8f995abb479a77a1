package gateway

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
)

func relayTo(t *testing.T, g *Gateway, m registryMessage) {
	t.Helper()
	params, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.peers.relay.handle(context.Background(), params); err != nil {
		t.Fatal(err)
	}
}

// Guards against a daemon that relies on another one's reads although it has missed a
// change, or that two daemons wait for each other.
func TestRelayedRegistryIsTrustedOnlyIfEqual(t *testing.T) {
	reader, other := newTestGateway(RetryLimits{}), newTestGateway(RetryLimits{})
	other.peers.self = "e"
	first := entry(t, port.Runner{ID: "r1", StartedMS: 1, Sequence: 1})
	second := entry(t, port.Runner{ID: "r2", StartedMS: 1, Sequence: 1})
	reader.found.take(epoch, []port.KeyedRecord{first}, true, false)
	other.found.take(epoch, []port.KeyedRecord{first}, true, false)

	message := func(changes ...port.KeyedRecord) registryMessage {
		m := registryMessage{From: "d", Runners: reader.found.digest()}
		for _, c := range changes {
			m.Changes = append(m.Changes, relayRecord{Key: c.Key, Value: c.Value})
		}
		return m
	}
	relayTo(t, other, message())
	if !other.peers.relay.fresh() {
		t.Error("an equal list is not trusted")
	}
	reader.found.take(epoch, []port.KeyedRecord{second}, false, false)
	relayTo(t, other, message())
	if other.peers.relay.fresh() {
		t.Error("the list is trusted although a change was missed")
	}
	relayTo(t, other, message(second))
	if !other.peers.relay.fresh() {
		t.Error("the list is not trusted after the change was passed on")
	}
	relayTo(t, reader, registryMessage{From: "e", Runners: reader.found.digest()})
	if reader.peers.relay.fresh() {
		t.Error("the daemon that reads first relies on one that reads after it")
	}
}

// Guards against daemons that all read the store because the one that reads for them pauses
// longer than its word counts.
func TestRelayOutlivesThePauseOfItsReader(t *testing.T) {
	for _, notice := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 10 * time.Second} {
		g := New(Settings{Name: "d", DataCentre: "north", DrainNotice: notice}, Dependencies{Logger: zap.NewNop()})
		if pause, fresh := g.found.interval, g.peers.relay.freshFor; fresh < pause*3/2 || fresh > notice*3/4 {
			t.Errorf("with %s to take a runner out of use, the reader pauses %s and its word counts for %s", notice, pause, fresh)
		}
	}
}

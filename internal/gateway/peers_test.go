package gateway

import (
	"context"
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
)

// silentPeer answers no call.
type silentPeer struct{}

func (silentPeer) Call(ctx context.Context, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a daemon that is told nothing after it came back at another address.
func TestMovedDaemonStaysAPartner(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	g.peers.dial = func(string) port.Peer { return silentPeer{} }
	for _, address := range []string{"10.0.0.7:1", "10.0.0.8:1"} {
		g.peers.meet("e", announcement{Address: address, DataCentre: "north"}, true)
		if l := g.peers.links["e"]; l.address != address || !l.partner {
			t.Errorf("at %s: address %s, partner %t, want a partner", address, l.address, l.partner)
		}
	}
	g.peers.left("e")
	if g.daemons != 1 {
		t.Errorf("%d daemons share the limit of retries after one left, want 1", g.daemons)
	}
}

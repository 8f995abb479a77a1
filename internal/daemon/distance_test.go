package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// distantPeer responds after the round trip to its data centre.
type distantPeer struct {
	port.Peer
	roundTrip time.Duration
}

// Call implements port.Peer.
func (p distantPeer) Call(ctx context.Context, method string, params, result any) error {
	time.Sleep(p.roundTrip)
	return p.Peer.Call(ctx, method, params, result)
}

// Guards against requests that are sent to a distant region while a nearby data centre
// has engines for them.
func TestRequestsGoToNearestDataCentre(t *testing.T) {
	roundTrips := map[string]time.Duration{"lake-a": 240 * time.Millisecond, "mehsana": 10 * time.Millisecond}
	forSeeds(t, func(c *cluster) {
		// dataCentres maps peer addresses to data centres.
		var dataCentres sync.Map
		c.adjustDependencies = func(s settings.Settings, deps *Dependencies) {
			dataCentres.Store(s.Listen.Peer, s.DataCentre)
			dial := deps.Peers
			deps.Peers = func(address string) port.Peer {
				dataCentre, _ := dataCentres.Load(address)
				return distantPeer{Peer: dial(address), roundTrip: roundTrips[dataCentre.(string)]}
			}
		}
		// The distant data centre is added first, so that it would win a tie.
		for _, dataCentre := range []string{"lake-a", "mehsana"} {
			c.addEngine("engine-"+dataCentre, dataCentre, standin.EngineOptions{})
			c.addDaemon("daemon-"+dataCentre, dataCentre)
		}
		// The data centre anand has no engines, so its requests go to another one.
		c.addDaemon("daemon-anand", "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(20 * time.Second)
		for i := range 20 {
			if !c.checkResponse("daemon-anand", fmt.Sprintf("%d tokens=5", i), false) {
				c.t.Errorf("request %d is not answered in full", i)
			}
		}
		if n := c.engines["engine-lake-a"].TotalStarts(); n > 0 {
			c.t.Errorf("%d of 20 requests went to the distant data centre, want none", n)
		}
	})
}

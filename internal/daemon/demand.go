package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxDemandAge is the age after which a peer's demand no longer counts.
const maxDemandAge = 20 * time.Second

// exchangeDemand hands this daemon's demand, in tokens per second, to the probes
// and returns what the other daemons of the data centre reported lately.
func (g *gossip) exchangeDemand(own float64) []float64 {
	var peers []float64
	now := time.Now()
	daemons := g.daemon.fleet.daemonsIn(g.daemon.settings.DataCentre)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range daemons {
		if vm.PeerAddress == g.daemon.settings.Listen.Peer {
			g.engines.ObserveLoad(vm.ID, port.EngineStatus{RunningTokens: int64(own)}, now)
			continue
		}
		load, at := g.engines.Load(vm.ID)
		if now.Sub(at) < maxDemandAge {
			peers = append(peers, float64(load.RunningTokens))
		}
	}
	return peers
}

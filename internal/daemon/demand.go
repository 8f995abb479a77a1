package daemon

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// maxDemandAge is the age after which the demand reported by a peer is ignored.
const maxDemandAge = 20 * time.Second

// exchangeDemand sets the demand of this daemon, in tokens per second, that the
// next probes carry, and returns the recently reported demand of the other daemons
// in the data centre.
func (g *gossip) exchangeDemand(localDemand float64) []float64 {
	var peers []float64
	now := time.Now()
	daemons := g.daemon.fleet.daemonsIn(g.daemon.settings.DataCentre)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range daemons {
		if vm.PeerAddress == g.daemon.settings.Listen.Peer {
			g.engines.ObserveLoad(vm.ID, port.EngineStatus{RunningTokens: int64(localDemand)}, now)
			continue
		}
		load, reportedAt := g.engines.Load(vm.ID)
		if now.Sub(reportedAt) < maxDemandAge {
			peers = append(peers, float64(load.RunningTokens))
		}
	}
	return peers
}

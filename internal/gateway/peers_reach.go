package gateway

import "time"

// checkReachability marks each remote data centre as unresponsive if there was no contact to any
// of its monitored daemons within unresponsiveAfter, and as responsive otherwise. p.mu must be
// held.
func (p *peers) checkReachability(now time.Time) {
	reachable := map[string]bool{}
	for _, l := range p.links {
		if l.dataCentre == p.dataCentre || !l.cellPeer && !l.probe {
			continue
		}
		reachable[l.dataCentre] = reachable[l.dataCentre] || now.Sub(l.lastContact) < unresponsiveAfter
	}
	for dc, ok := range reachable {
		p.fleet.SetUnresponsive(dc, !ok)
	}
}

// heardShare returns the share of all daemons, this one included, that this daemon hears. The daemons
// of a remote data centre that are not monitored count if all others do; a daemon of this one counts
// until it does not respond to a message. p.mu must be held.
func (p *peers) heardShare(now time.Time) float64 {
	heard := 1.0
	probes, responsive, unmonitored := map[string]int{}, map[string]int{}, map[string]int{}
	for _, l := range p.links {
		responds := l.responds()
		monitored := l.cellPeer || l.probe
		if monitored {
			responds = responds && now.Sub(l.lastContact) < unresponsiveAfter
		}
		switch {
		case l.dataCentre != p.dataCentre && !monitored:
			unmonitored[l.dataCentre]++
		case responds:
			heard++
			responsive[l.dataCentre]++
		}
		if monitored {
			probes[l.dataCentre]++
		}
	}
	for dataCentre, n := range unmonitored {
		if responsive[dataCentre] == probes[dataCentre] {
			heard += float64(n)
		}
	}
	return heard / float64(1+len(p.links))
}

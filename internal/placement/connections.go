package placement

const (
	// connectionShare is the share of the connections that a runner accepts which daemons use together. The rest is for
	// daemons that do not know yet that others have joined.
	connectionShare = 0.85
	// minConnections is the number of connections to a runner that each daemon may have open in any case.
	minConnections = 2
)

// ConnectionLimits returns how many connections to each runner this daemon may have open if all daemons use as many, by
// address. Runners that do not limit their connections are missing.
func (f *Fleet) ConnectionLimits(daemons int) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int, len(f.members))
	for _, m := range f.members {
		if accepted := f.maxConnections[m.runner.Service]; accepted > 0 {
			out[m.runner.Address] = max(minConnections, int(connectionShare*float64(accepted)/float64(max(1, daemons))))
		}
	}
	return out
}

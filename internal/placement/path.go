package placement

import "time"

// pathFailureWindow is how long a failure at a runner counts as evidence that its data
// centre is unreachable.
const pathFailureWindow = 3 * time.Second

// pathState is the reachability of another data centre.
type pathState struct {
	// unresponsive is set while no daemon there responds.
	unresponsive bool
	// lastFailure is the time of the last failure at a runner there.
	lastFailure time.Time
}

// pathTo returns the state of a data centre and creates it if necessary. The caller holds
// f.mu.
func (f *Fleet) pathTo(dataCentre string) *pathState {
	p, ok := f.paths[dataCentre]
	if !ok {
		p = &pathState{}
		f.paths[dataCentre] = p
	}
	return p
}

// pathFailed records a failure at a runner of a data centre. The caller holds f.mu.
func (f *Fleet) pathFailed(dataCentre string, now time.Time) {
	f.pathTo(dataCentre).lastFailure = now
}

// SetUnresponsive sets whether all daemons of a data centre have stopped responding. If a
// runner there fails as well, the data centre is considered unreachable: its other runners
// are then avoided without a failed attempt at each of them.
func (f *Fleet) SetUnresponsive(dataCentre string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pathTo(dataCentre).unresponsive = unresponsive
}

// unreachable reports whether another data centre appears to be cut off from this one. The
// caller holds f.mu.
func (f *Fleet) unreachable(dataCentre string, now time.Time) bool {
	if dataCentre == f.dataCentre {
		return false
	}
	p, ok := f.paths[dataCentre]
	return ok && p.unresponsive && now.Sub(p.lastFailure) < pathFailureWindow
}

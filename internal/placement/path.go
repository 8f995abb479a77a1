package placement

import "time"

// pathFailureWindow is how long a failure at a runner counts as evidence against the way to
// its data centre.
const pathFailureWindow = 3 * time.Second

// pathState is what is known of the way to another data centre.
type pathState struct {
	// unresponsive is set while no daemon there answers.
	unresponsive bool
	// lastFailure is when a runner there lastFailure last.
	lastFailure time.Time
}

func (f *Fleet) pathTo(dataCentre string) *pathState {
	p, ok := f.paths[dataCentre]
	if !ok {
		p = &pathState{}
		f.paths[dataCentre] = p
	}
	return p
}

// pathFailed notes a failure at a runner of a data centre; the lock is held.
func (f *Fleet) pathFailed(dataCentre string, now time.Time) {
	f.pathTo(dataCentre).lastFailure = now
}

// SetUnresponsive tells whether all daemons of a data centre have stopped answering. Together
// with a failure at a runner there it means that the data centre is cut off: its runners
// are then avoided before each of them has failed.
func (f *Fleet) SetUnresponsive(dataCentre string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pathTo(dataCentre).unresponsive = unresponsive
}

// unreachable tells whether a data centre seems to be unreachable off from this one.
func (f *Fleet) unreachable(dataCentre string, now time.Time) bool {
	if dataCentre == f.dataCentre {
		return false
	}
	p, ok := f.paths[dataCentre]
	return ok && p.unresponsive && now.Sub(p.lastFailure) < pathFailureWindow
}

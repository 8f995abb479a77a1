package placement

import "time"

// pathEvidence is how long a failure at a runner counts as evidence against the way to
// its data centre.
const pathEvidence = 3 * time.Second

// path is what is known of the way to another data centre.
type path struct {
	// silent is set while no daemon there answers.
	silent bool
	// failed is when a runner there failed last.
	failed time.Time
}

func (f *Fleet) path(dataCentre string) *path {
	p, ok := f.paths[dataCentre]
	if !ok {
		p = &path{}
		f.paths[dataCentre] = p
	}
	return p
}

// pathFailed notes a failure at a runner of a data centre; the lock is held.
func (f *Fleet) pathFailed(dataCentre string, now time.Time) {
	f.path(dataCentre).failed = now
}

// SetUnresponsive tells whether all daemons of a data centre have stopped answering. Together
// with a failure at a runner there it means that the data centre is cut off: its runners
// are then avoided before each of them has failed.
func (f *Fleet) SetUnresponsive(dataCentre string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.path(dataCentre).silent = silent
}

// cut tells whether a data centre seems to be cut off from this one.
func (f *Fleet) cut(dataCentre string, now time.Time) bool {
	if dataCentre == f.dataCentre {
		return false
	}
	p, ok := f.paths[dataCentre]
	return ok && p.silent && now.Sub(p.failed) < pathEvidence
}

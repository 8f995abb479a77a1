package port

import "time"

// Clock is a monotonic clock that also advances while the machine is suspended. Its
// zero is arbitrary and differs between processes.
type Clock interface {
	Now() time.Duration
}

package port

import "time"

// Clock measures time that also passes while the machine is suspended. Its zero
// is arbitrary and differs between processes.
type Clock interface {
	Now() time.Duration
}

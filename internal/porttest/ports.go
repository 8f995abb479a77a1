// Package porttest allocates TCP ports for tests that start processes or gateways.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Each test package has a separate range, because packages are tested concurrently and an
// allocated port is not bound until its process starts. The ranges are below the kernel's
// range for outgoing connections, so that the port of a process that is restarted is
// still free.
var (
	// Platform is the port range of platform.
	Platform = newRange(10_000, 17_000)
	// Processes is the port range of internal/processtest.
	Processes = newRange(20_000, 26_000)
	// Soak is the port range of platform/soak.
	Soak = newRange(26_000, 32_000)
)

// startSpacing is the distance between the possible start positions in a range. Each test
// process chooses one by its process id, so that concurrent runs of the same package
// rarely try the same ports.
const startSpacing = 60

// Range allocates each port of a range at most once. It is safe for concurrent use.
type Range struct {
	mu        sync.Mutex
	nextPort  int
	startPort int
	endPort   int
	// allocated counts the ports that were allocated or skipped.
	allocated int
}

func newRange(first, last int) *Range {
	starts := (last - first) / startSpacing
	return &Range{startPort: first, endPort: last, nextPort: first + os.Getpid()%starts*startSpacing}
}

// Free allocates n consecutive TCP ports on 127.0.0.1 and returns the first. No listener
// uses them, and they have not been allocated before in this process. Free returns 0 when
// there are none left.
func (r *Range) Free(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.allocated+n <= r.endPort-r.startPort {
		if r.nextPort+n > r.endPort {
			r.allocated += r.endPort - r.nextPort
			r.nextPort = r.startPort
		}
		firstPort := r.nextPort
		if !allFree(firstPort, n) {
			r.nextPort++
			r.allocated++
			continue
		}
		r.nextPort += n
		r.allocated += n
		return firstPort
	}
	return 0
}

// allFree reports whether n consecutive TCP ports from first on can be bound on 127.0.0.1.
func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		// The close error is irrelevant because no connection was accepted.
		_ = l.Close()
	}
	return true
}

// Package porttest finds ports for tests that start processes.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Each package of tests has a range of its own, because packages are tested at the same
// time and a port that was given out is not bound before its process starts. The ranges
// lie below the one that the kernel gives to outgoing connections, so that a process that
// is replaced finds its port free.
var (
	// Processes is the range of internal/processtest.
	Processes = newRange(20_000, 26_000)
	// Soak is the range of platform/soak.
	Soak = newRange(26_000, 32_000)
)

// startSpacing spreads the first ports of test processes, so that runs of the same package
// at the same time rarely meet.
const startSpacing = 60

// Range gives out ports of a range, each one once.
type Range struct {
	mu        sync.Mutex
	nextPort  int
	startPort int
	endPort   int
	allocated int
}

func newRange(first, last int) *Range {
	starts := (last - first) / startSpacing
	return &Range{startPort: first, endPort: last, nextPort: first + os.Getpid()%starts*startSpacing}
}

// Free returns the first of n consecutive TCP ports on 127.0.0.1 that nothing listens on
// and that no other caller in this process was given. It returns 0 when there are none.
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

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		// Nothing was accepted that a failed close could lose.
		_ = l.Close()
	}
	return true
}

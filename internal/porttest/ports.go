// Package porttest finds ports for tests that start processes.
package porttest

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports are given out below the range that the kernel gives to outgoing connections, so
// that a process that starts later, or is replaced, finds its port free. The first one
// depends on the process, so that packages under test at the same time rarely meet.
const (
	firstPort       = 20_000
	lastPort        = 32_000
	portsPerProcess = 20
	processes       = 500
)

var (
	mu   sync.Mutex
	next = firstPort + os.Getpid()%processes*portsPerProcess
)

// Free returns the first of n consecutive TCP ports on 127.0.0.1 that nothing listens on
// and that no other caller in this process was given. It returns 0 when there are none.
func Free(n int) int {
	mu.Lock()
	defer mu.Unlock()
	for ; next+n <= lastPort; next++ {
		if allFree(next, n) {
			first := next
			next += n
			return first
		}
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

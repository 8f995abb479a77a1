package porttest

import (
	"net"
	"testing"
)

// Guards against a port that is allocated twice or while a listener uses it, and against a
// range that is not used completely.
func TestPortsAreAllocatedOnce(t *testing.T) {
	r := newRange(19_000, 19_120)
	r.nextPort = 19_110
	listener, err := net.Listen("tcp", "127.0.0.1:19004")
	if err != nil {
		t.Skipf("port 19004 is in use by another program: %v", err)
	}
	defer listener.Close()
	allocated := map[int]bool{}
	for start := r.Free(4); start != 0; start = r.Free(4) {
		for port := start; port < start+4; port++ {
			if allocated[port] || port == 19_004 {
				t.Fatalf("port %d was allocated although it is not free", port)
			}
			allocated[port] = true
		}
	}
	if len(allocated) < 100 {
		t.Errorf("%d ports of 120 were allocated, want at least 100", len(allocated))
	}
}

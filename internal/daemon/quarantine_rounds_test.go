package daemon

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// Guards against a burst of reports to all daemons of other data centres, and
// against one report without a bound.
func TestRoundsAreBounded(t *testing.T) {
	peers := make([]port.VM, 2*roundPeersPerTick+1)
	for i := range peers {
		peers[i].ID = fmt.Sprintf("daemon-%d", i)
	}
	var r reportRounds
	now := time.Unix(1000, 0)
	many := quarantine.Crash{Digests: make([]quarantine.Digest, maxRoundDigests)}
	r.add([]quarantine.Crash{many})
	r.add([]quarantine.Crash{many})
	told := map[string]int{}
	for i, want := range []int{roundPeersPerTick, roundPeersPerTick, 1, 0, 0, roundPeersPerTick} {
		crashes, now := r.next(peers, now.Add(time.Duration(i)*reportInterval))
		if len(now) != want {
			t.Errorf("tick %d tells %d peers, want %d", i, len(now), want)
		}
		total := 0
		for _, c := range crashes {
			total += len(c.Digests)
		}
		if total > maxRoundDigests {
			t.Errorf("tick %d reports %d digests", i, total)
		}
		for _, vm := range now {
			told[vm.ID]++
		}
		if i == 2 && len(told) != len(peers) {
			t.Errorf("a round told %d of %d peers", len(told), len(peers))
		}
		if i == 0 {
			r.add([]quarantine.Crash{{Digests: []quarantine.Digest{"a"}}})
		}
	}
}

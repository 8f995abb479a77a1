package daemon

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// Guards against a burst of reports to all daemons of other data centres, and against
// reports without a size bound.
func TestReportRoundsAreBounded(t *testing.T) {
	peers := make([]port.VM, 2*roundPeersPerTick+1)
	for i := range peers {
		peers[i].ID = fmt.Sprintf("daemon-%d", i)
	}
	var r reportRounds
	now := time.Unix(1000, 0)
	largeCrash := quarantine.Crash{Digests: make([]quarantine.Digest, maxRoundDigests)}
	r.add([]quarantine.Crash{largeCrash})
	r.add([]quarantine.Crash{largeCrash})
	reported := map[string]int{}
	for i, want := range []int{roundPeersPerTick, roundPeersPerTick, 1, 0, 0, roundPeersPerTick} {
		crashes, recipients := r.next(peers, now.Add(time.Duration(i)*reportInterval))
		if len(recipients) != want {
			t.Errorf("tick %d reports to %d peers, want %d", i, len(recipients), want)
		}
		total := 0
		for _, c := range crashes {
			total += len(c.Digests)
		}
		if total > maxRoundDigests {
			t.Errorf("tick %d reports %d digests, want at most maxRoundDigests", i, total)
		}
		for _, vm := range recipients {
			reported[vm.ID]++
		}
		if i == 2 && len(reported) != len(peers) {
			t.Errorf("a round reported to %d of %d peers, want all", len(reported), len(peers))
		}
		if i == 0 {
			r.add([]quarantine.Crash{{Digests: []quarantine.Digest{"a"}}})
		}
	}
}

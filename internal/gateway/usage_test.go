package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/usage"
)

// usagePeer is a daemon that keeps the usage that it is told, by its address. While it is down it responds
// with an error.
type usagePeer struct {
	mu     sync.Mutex
	ledger *usage.Ledger
	down   bool
	// reported is the number of counts that it was told.
	reported int
}

func (p *usagePeer) Call(_ context.Context, _ string, params, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return errors.New("no route to host")
	}
	if m, ok := params.(loadMessage); ok {
		for _, r := range m.Usage {
			p.reported += len(r.Counts)
		}
		p.ledger.Merge(math.MaxInt64, m.Usage)
	}
	return nil
}

// Guards against usage that only the daemons of one data centre know, so that it is lost with them, against
// counts that are told again without a change, and against counts that were told in a message that failed.
func TestUsageOutlivesTheLossOfADataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(RetryLimits{})
		daemons := map[string]*usagePeer{}
		g.peers.dial = func(address string) port.Peer {
			daemons[address] = &usagePeer{ledger: usage.NewLedger(usage.Source{Daemon: address}), down: true}
			return daemons[address]
		}
		entries := map[string]daemonEntry{}
		for _, dataCentre := range []string{"north", "south", "east"} {
			for i := range 6 {
				name := fmt.Sprint(dataCentre, i)
				entries[name] = daemonEntry{Address: name, DataCentre: dataCentre}
			}
		}
		g.peers.addPeers(entries, false)
		u := &usageCounts{windows: usage.Windows{Length: 5 * time.Second}, clock: clock.Boot{}, peers: g.peers, ledger: usage.NewLedger(usage.Source{Daemon: g.peers.name}), startedAt: time.Now()}
		u.startedOn = u.clock.Now()
		g.peers.usage = u
		window := u.windows.At(u.now())
		exchange := func() {
			for range 10 {
				g.peers.sendChanges(t.Context(), time.Now())
				synctest.Wait()
				time.Sleep(heartbeatInterval)
			}
		}
		u.ledger.Count(window, "a")
		u.ledger.Count(window, "b")
		exchange()
		for _, d := range daemons {
			d.down = false
		}
		exchange()
		known := map[string]int{}
		for name, d := range daemons {
			if total := d.ledger.Total(window); total["a"] == 1 && total["b"] == 1 {
				known[entries[name].DataCentre]++
			}
			if d.reported > 2 {
				t.Errorf("%s is told of %d counts, although 2 have changed", name, d.reported)
			}
		}
		if known["north"] == 0 || known["south"]+known["east"] == 0 {
			t.Errorf("daemons that know the usage, by data centre: %v, want some in two", known)
		}
	})
}

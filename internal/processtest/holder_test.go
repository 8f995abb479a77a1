package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// leaseHolder returns the daemon whose process wrote the newest lease claim, or "" if
// there is none among daemons.
func (s *system) leaseHolder(daemons []string) string {
	var page port.Page
	s.get("platform", "/v1/streams/control%2Fanand/records?from=0&limit=10000", &page)
	holder := ""
	for _, rec := range page.Records {
		var claim struct {
			Kind   string `json:"kind"`
			Holder string `json:"holder"`
		}
		if json.Unmarshal(rec.Data, &claim) == nil && claim.Kind == "lease-claim" {
			holder = claim.Holder
		}
	}
	for _, d := range daemons {
		if len(holder) > len(d) && holder[:len(d)] == d {
			return d
		}
	}
	return ""
}

// Guards against conflicting orders and interrupted requests when the process that
// holds the lease is paused during a rollout until its lease expires, and resumes
// after another daemon has acquired the lease.
func TestPausedLeaseHolderIssuesNoConflictingOrders(t *testing.T) {
	s := newSystem(t)
	daemons := []string{"anand-1", "anand-2", "anand-3"}
	engines := []string{"engine-1", "engine-2"}
	for _, e := range engines {
		s.addEngine(e, "anand", "--checks-fencing", "--change-time", "1s")
	}
	for _, d := range daemons {
		s.listDaemon(d, "anand")
	}
	s.startPlatform()
	s.publish(configuration(""))
	for _, d := range daemons {
		s.startDaemon(d, "anand")
	}
	for _, d := range daemons {
		s.awaitOK(d, "/readyz")
	}
	s.await("some daemon holds the lease", func() bool { return s.leaseHolder(daemons) != "" })
	pausedDaemon := s.leaseHolder(daemons)
	var runningDaemons []string
	for _, d := range daemons {
		if d != pausedDaemon {
			runningDaemons = append(runningDaemons, d)
		}
	}
	stopLoad := s.startCompletions(runningDaemons)
	s.publish(configuration("2"))
	time.Sleep(500 * time.Millisecond)
	s.signal(pausedDaemon, syscall.SIGSTOP)
	s.await("another daemon holds the lease", func() bool { return s.leaseHolder(runningDaemons) != "" })
	s.signal(pausedDaemon, syscall.SIGCONT)
	for _, e := range engines {
		s.await(e+" runs the new version", func() bool {
			var status port.EngineStatus
			s.get(e, "/v1/status", &status)
			return status.Version == "2" && status.Phase == port.PhaseServing
		})
	}
	if partial := stopLoad(); partial > 0 {
		t.Errorf("%d responses were incomplete", partial)
	}
	for _, e := range engines {
		s.checkOrders(e)
	}
}

// startCompletions sends prompts to the daemons until the returned function is called.
// That function returns how many responses were incomplete.
func (s *system) startCompletions(daemons []string) func() int {
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	partial := 0
	for i, d := range daemons {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				if !s.completesFully(d, fmt.Sprintf("slot %d-%d tokens=20", i, n)) {
					mu.Lock()
					partial++
					mu.Unlock()
				}
			}
		})
	}
	return func() int {
		close(done)
		group.Wait()
		return partial
	}
}

// checkOrders checks that an engine executed exactly one order, which loads version 2.
func (s *system) checkOrders(engine string) {
	var orders []port.Order
	r := s.request(engine, http.MethodGet, "/orders", nil, "")
	if err := json.Unmarshal(r.body, &orders); err != nil {
		s.t.Fatalf("%s: %v", engine, err)
	}
	if len(orders) != 1 || orders[0].Version != "2" {
		s.t.Errorf("%s executed %+v, want one order for version 2", engine, orders)
	}
}

package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// reportCount counts the calls and the bytes of reports, arguments and answers.
type reportCount struct {
	calls, bytes atomic.Int64
	// crashes counts the calls by peer that report crashes, digests the most digests
	// of one call, under mu.
	mu      sync.Mutex
	crashes map[string]int
	digests int
}

func (r *reportCount) reset() {
	r.calls.Store(0)
	r.bytes.Store(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes, r.digests = map[string]int{}, 0
}

func (r *reportCount) add(address string, report quarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(report.Trials) == 0 && len(report.Entries)+len(report.Crashes) > 0 {
		r.crashes[address]++
	}
	total := len(report.Entries)
	for _, c := range report.Crashes {
		total += len(c.Digests)
	}
	r.digests = max(r.digests, total)
}

// countedPeer counts reports to a peer.
type countedPeer struct {
	port.Peer
	address string
	count   *reportCount
}

// Call implements port.Peer.
func (p countedPeer) Call(ctx context.Context, method string, params, result any) error {
	err := p.Peer.Call(ctx, method, params, result)
	if method == quarantine.MethodReport {
		p.count.calls.Add(1)
		if report, ok := params.(quarantine.Report); ok {
			p.count.add(p.address, report)
		}
		for _, v := range []any{params, result} {
			// Reports can always be encoded.
			data, _ := json.Marshal(v)
			p.count.bytes.Add(int64(len(data)))
		}
	}
	return err
}

// Guards against a burst of reports to every peer for each of the requests that were
// in flight at a crash.
func TestCrashIsReportedOncePerPeer(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		const inFlight, local, remote, maxReports = 200, 4, 8, 3
		sent := reportCount{crashes: map[string]int{}}
		c.wrap = func(deps *Dependencies) {
			dial := deps.Peers
			deps.Peers = func(address string) port.Peer {
				return countedPeer{Peer: dial(address), address: address, count: &sent}
			}
		}
		for i := range remote {
			c.addDaemon(fmt.Sprintf("remote-%d", i), "kheda")
		}
		engines, daemons := c.settled(4, local, standin.EngineOptions{TokenTime: 20 * time.Millisecond, Capacity: 100_000})
		time.Sleep(20 * time.Second)
		sent.reset()
		var group sync.WaitGroup
		for i := range inFlight {
			group.Go(func() {
				prompt := fmt.Sprintf("history %d tokens=100", i)
				if got := c.complete(daemons[0], prompt); got.text() != standin.Answer(testModel, prompt, 4000) {
					t.Errorf("%q is answered %d: %s", prompt, got.status, got.body)
				}
			})
		}
		time.Sleep(time.Second)
		lost := c.engines[engines[0]].Status().Running
		c.engines[engines[0]].Crash()
		time.Sleep(100 * time.Millisecond)
		sent.mu.Lock()
		for address, n := range sent.crashes {
			// The first attempt that fails may be reported before the others have failed.
			if n > maxReports {
				t.Errorf("the crash is reported %d times to %s, want at most %d", n, address, maxReports)
			}
		}
		if lost < inFlight/8 || sent.digests < lost/2 {
			t.Errorf("%d requests were in flight at the crash, at most %d in one report", lost, sent.digests)
		}
		sent.mu.Unlock()
		t.Logf("in flight at the crash: %d, calls within 100 ms: %d, bytes: %d", lost, sent.calls.Load(), sent.bytes.Load())
		group.Wait()
		time.Sleep(20 * time.Second)
		t.Logf("until all are answered and cleared: calls %d, bytes %d", sent.calls.Load(), sent.bytes.Load())
	})
}

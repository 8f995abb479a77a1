package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// publish reports the changes of this daemon to the peers of its data centre and
// waits for their responses. The reports to other data centres are sent in rounds.
func (s *suspects) publish(ctx context.Context) {
	s.publishToken <- struct{}{}
	defer func() { <-s.publishToken }()
	for {
		clock.Sleep(ctx, time.Until(s.lastPublished.Add(minPublishInterval)))
		report := s.takeChanges()
		if len(report.Crashes) == 0 && len(report.Released) == 0 {
			return
		}
		s.lastPublished = time.Now()
		s.exchange(ctx, report)
	}
}

// takeChanges returns the changes that have not been reported yet, and queues the
// crashes for the next round to other data centres.
func (s *suspects) takeChanges() quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := quarantine.Report{Crashes: s.table.TakeChanges(time.Now()), Released: s.unreportedReleases}
	s.unreportedReleases = nil
	s.remoteRounds.add(report.Crashes)
	return report
}

// exchangeResult summarises the responses of the peers of the data centre to a
// report.
type exchangeResult struct {
	// busy is set if a peer is running a request with the digest of a reported
	// trial, or has a trial that takes precedence.
	busy bool
	// unresponsive is set if a peer did not respond although its process may still
	// exist.
	unresponsive bool
}

// exchange sends a report to its recipients and merges the entries of their
// responses. It waits for the peers of the data centre only.
func (s *suspects) exchange(ctx context.Context, report quarantine.Report) exchangeResult {
	ctx = context.WithoutCancel(ctx)
	var group sync.WaitGroup
	var mu sync.Mutex
	var out exchangeResult
	for _, vm := range s.recipients(report) {
		send := func() {
			result, err := s.sendReport(ctx, vm, report)
			mu.Lock()
			defer mu.Unlock()
			out.busy = out.busy || (err == nil && len(result.Busy) > 0)
			// A refused connection means that the peer's process has ended, so
			// that none of its attempts is running any more.
			out.unresponsive = out.unresponsive || (err != nil && !errors.Is(err, syscall.ECONNREFUSED))
		}
		if vm.DataCentre == s.daemon.settings.DataCentre {
			group.Go(send)
		} else {
			go func() {
				// A failed peer is marked as outdated and handled in the next tick.
				_, _ = s.sendReport(ctx, vm, report)
			}()
		}
	}
	group.Wait()
	return out
}

// recipients returns the peers of the data centre and those of the data centres in
// which a trial of the report uses an engine.
func (s *suspects) recipients(report quarantine.Report) []port.VM {
	dataCentres := map[string]bool{s.daemon.settings.DataCentre: true}
	s.mu.Lock()
	for _, trial := range report.Trials {
		dataCentres[s.trialDataCentres[trial.Digest]] = true
	}
	s.mu.Unlock()
	return slices.DeleteFunc(s.daemon.fleet.peerDaemons(), func(vm port.VM) bool { return !dataCentres[vm.DataCentre] })
}

// sendReport sends a report to a peer, and a second time over a new connection if
// the first attempt fails, since the first connection may be unresponsive. A peer
// that misses both attempts is marked as outdated and receives the entries of the
// table in the next tick.
func (s *suspects) sendReport(ctx context.Context, vm port.VM, report quarantine.Report) (quarantine.ReportResult, error) {
	result, err := s.callPeer(ctx, vm, report, firstReportTimeout)
	if err != nil {
		result, err = s.callPeer(ctx, vm, report, reportTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.daemon.metrics.QuarantineReportsFailed.Add(1)
		s.outdatedPeers[vm.ID] = true
		return result, err
	}
	s.daemon.metrics.QuarantineReports.Add(1)
	if report.Checksum != 0 && len(result.Entries) > 0 {
		// The tables differ. The peer receives the entries of this daemon in the
		// next tick.
		s.outdatedPeers[vm.ID] = true
	}
	s.cancelLocked(s.table.MergeEntries(result.Entries, time.Now()))
	return result, nil
}

// callPeer sends a report to a peer once and returns the response.
func (s *suspects) callPeer(ctx context.Context, vm port.VM, report quarantine.Report, timeout time.Duration) (quarantine.ReportResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result quarantine.ReportResult
	// After a failure the client replaces its connection if that is unresponsive, and a
	// second attempt uses the new one.
	err := s.daemon.deps.Peers(vm.PeerAddress).Call(ctx, quarantine.MethodReport, report, &result)
	return result, err
}

// handleReport handles a report of a peer.
func (s *suspects) handleReport(_ context.Context, params json.RawMessage) (any, error) {
	var in quarantine.Report
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result, suspected := s.table.Merge(in, time.Now())
	s.cancelLocked(suspected)
	return result, nil
}

// run calls tick at each reportInterval until the daemon stops.
func (s *suspects) run() error {
	runEvery(s.daemon.context(), reportInterval, s.tick)
	return nil
}

// tick renews trials, sends the entries of the table to peers that missed a report,
// and compares the table with that of one peer, a different one in each tick. The
// comparison also brings a restarted peer up to date.
func (s *suspects) tick(ctx context.Context) {
	s.expire()
	s.publish(ctx)
	peers := s.daemon.fleet.peerDaemons()
	var group sync.WaitGroup
	crashes, roundPeers := s.nextRound(peers)
	for _, vm := range roundPeers {
		group.Go(func() {
			_, _ = s.sendReport(ctx, vm, quarantine.Report{Crashes: crashes})
		})
	}
	for _, vm := range peers {
		if report, due := s.dueReport(vm, peers); due {
			group.Go(func() {
				// A failed peer is marked as outdated and handled in the next tick.
				_, _ = s.sendReport(ctx, vm, report)
			})
		}
	}
	group.Wait()
}

// expire removes expired entries from the table and updates its metrics.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(time.Now())
	s.tickCount++
	s.daemon.metrics.QuarantineEntries.Set(int64(s.table.Len()))
	s.daemon.metrics.QuarantineEvicted.Set(s.table.Evicted())
}

// nextRound returns the crashes of the current round of reports to other data
// centres and the peers that receive them in this tick.
func (s *suspects) nextRound(peers []port.VM) ([]quarantine.Crash, []port.VM) {
	remotePeers := slices.DeleteFunc(slices.Clone(peers), func(vm port.VM) bool {
		return vm.DataCentre == s.daemon.settings.DataCentre
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remoteRounds.next(remotePeers, time.Now())
}

// dueReport returns the report that a peer receives in this tick, and whether there
// is one. During the first pass over the peers after the start, the peer whose turn
// it is receives even an empty report, because its response brings its entries.
func (s *suspects) dueReport(vm port.VM, peers []port.VM) (quarantine.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	local := s.daemon.settings.DataCentre
	report := quarantine.Report{Trials: slices.DeleteFunc(s.table.LocalTrials(), func(trial quarantine.Trial) bool {
		return vm.DataCentre != local && vm.DataCentre != s.trialDataCentres[trial.Digest]
	})}
	inTurn := peers[s.tickCount%len(peers)].ID == vm.ID
	starting := s.tickCount <= len(peers)
	if s.outdatedPeers[vm.ID] {
		report.Entries = s.table.Entries(time.Now())
		delete(s.outdatedPeers, vm.ID)
	} else if inTurn {
		report.Checksum = s.table.Checksum(time.Now())
	}
	return report, len(report.Trials) > 0 || len(report.Entries) > 0 || report.Checksum != 0 || (inTurn && starting)
}

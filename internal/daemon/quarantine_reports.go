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

// publish tells the peers of the data centre what this daemon changed and waits for
// them. The others are told in rounds.
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

func (s *suspects) takeChanges() quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := quarantine.Report{Crashes: s.table.TakeChanges(time.Now()), Released: s.unreportedReleases}
	s.unreportedReleases = nil
	s.remoteRounds.add(report.Crashes)
	return report
}

// exchangeResult is what the peers of the data centre answered to a report.
type exchangeResult struct {
	// busy is set when one of them is busy with a trial's digest.
	busy bool
	// unresponsive is set when one of them may be alive and did not answer.
	unresponsive bool
}

// exchange sends a report to the peers that it concerns and merges their answers. It
// waits for the peers of the data centre.
func (s *suspects) exchange(ctx context.Context, report quarantine.Report) exchangeResult {
	ctx = context.WithoutCancel(ctx)
	var group sync.WaitGroup
	var mu sync.Mutex
	var out exchangeResult
	for _, vm := range s.recipients(report) {
		ask := func() {
			result, err := s.sendReport(ctx, vm, report)
			mu.Lock()
			defer mu.Unlock()
			out.busy = out.busy || (err == nil && len(result.Busy) > 0)
			// A process that is gone refuses connections; its runs ended with it.
			out.unresponsive = out.unresponsive || (err != nil && !errors.Is(err, syscall.ECONNREFUSED))
		}
		if vm.DataCentre == s.daemon.settings.DataCentre {
			group.Go(ask)
		} else {
			go func() {
				// A failure marks the peer for the next tick.
				_, _ = s.sendReport(ctx, vm, report)
			}()
		}
	}
	group.Wait()
	return out
}

// recipients returns the peers of the data centre, and those of the data centres in
// which a trial of the report uses an engine.
func (s *suspects) recipients(report quarantine.Report) []port.VM {
	centres := map[string]bool{s.daemon.settings.DataCentre: true}
	s.mu.Lock()
	for _, trial := range report.Trials {
		centres[s.trialDataCentres[trial.Digest]] = true
	}
	s.mu.Unlock()
	return slices.DeleteFunc(s.daemon.fleet.peerDaemons(), func(vm port.VM) bool { return !centres[vm.DataCentre] })
}

// sendReport sends one sendReport to one peer, and again over a new connection when the
// first one may have gone silent. A peer that misses both gets all entries later.
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
		// The tables differ; the peer gets this daemon's entries in the next tick.
		s.outdatedPeers[vm.ID] = true
	}
	s.cancelLocked(s.table.MergeEntries(result.Entries, time.Now()))
	return result, nil
}

func (s *suspects) callPeer(ctx context.Context, vm port.VM, report quarantine.Report, timeout time.Duration) (quarantine.ReportResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result quarantine.ReportResult
	// The client closes its connection after a failure.
	err := s.daemon.deps.Peers(vm.PeerAddress).Call(ctx, quarantine.MethodReport, report, &result)
	return result, err
}

// handleReport answers a peer's report.
func (s *suspects) handleReport(_ context.Context, params json.RawMessage) (any, error) {
	var in quarantine.Report
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result, worse := s.table.Merge(in, time.Now())
	s.cancelLocked(worse)
	return result, nil
}

func (s *suspects) run() error {
	runEvery(s.daemon.context(), reportInterval, s.tick)
	return nil
}

// tick renews trials, repeats reports to peers that missed one, and exchanges all
// entries with one peer in turn, which also informs a peer that has restarted.
func (s *suspects) tick(ctx context.Context) {
	s.expire()
	s.publish(ctx)
	peers := s.daemon.fleet.peerDaemons()
	var group sync.WaitGroup
	crashes, round := s.nextRound(peers)
	for _, vm := range round {
		group.Go(func() {
			_, _ = s.sendReport(ctx, vm, quarantine.Report{Crashes: crashes})
		})
	}
	for _, vm := range peers {
		if report, due := s.dueReport(vm, peers); due {
			group.Go(func() {
				// A failure marks the peer for the next tick.
				_, _ = s.sendReport(ctx, vm, report)
			})
		}
	}
	group.Wait()
}

func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(time.Now())
	s.tickCount++
	s.daemon.metrics.QuarantineEntries.Set(int64(s.table.Len()))
	s.daemon.metrics.QuarantineEvicted.Set(s.table.Evicted())
}

// nextRound returns the report to other data centres that is under way and the peers
// that get it in this tick.
func (s *suspects) nextRound(peers []port.VM) ([]quarantine.Crash, []port.VM) {
	distant := slices.DeleteFunc(slices.Clone(peers), func(vm port.VM) bool {
		return vm.DataCentre == s.daemon.settings.DataCentre
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remoteRounds.next(distant, time.Now())
}

// dueReport returns what one peer has to be told in this tick.
func (s *suspects) dueReport(vm port.VM, peers []port.VM) (quarantine.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.daemon.settings.DataCentre
	report := quarantine.Report{Trials: slices.DeleteFunc(s.table.LocalTrials(), func(trial quarantine.Trial) bool {
		return vm.DataCentre != own && vm.DataCentre != s.trialDataCentres[trial.Digest]
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

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
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// firstReportTimeout bounds the first try of a report to a peer. Its connection
	// may have gone silent, and a new one costs only a handshake.
	firstReportTimeout = 100 * time.Millisecond
	// reportTimeout bounds the second try. A caller's answer may wait for it.
	reportTimeout = 500 * time.Millisecond
	// holdBack is how long a suspect waits while a daemon of the data centre cannot
	// be asked for its runs of the digest. Within it the daemons that are connected
	// through others have exchanged their entries, and a dead one has left the VM
	// list; an innocent request still has time to complete.
	holdBack = 6 * time.Second
	// reportInterval is the time between renewals of trials, repeated reports and
	// exchanges with one peer in turn.
	reportInterval = time.Second
	// gatherInterval is the least time between two reports to the data centre, except
	// for the first one. It gathers requests that fail a moment after the first.
	gatherInterval = 50 * time.Millisecond
	// roundInterval is the time between two rounds of reports to other data centres,
	// and roundPeers the number of peers per reportInterval in a round: 380 daemons
	// hear of a crash within 12 s.
	roundInterval = 5 * time.Second
	roundPeers    = 32
	// roundDigests bounds the digests that wait for the next round; peers learn the
	// rest from exchanges in turn.
	roundDigests = 1024
	// drainPoll is how often a trial looks whether its engine has become idle.
	drainPoll = 20 * time.Millisecond
)

// errSuspected reports that an attempt was cancelled because its digest had
// become a suspect elsewhere.
var errSuspected = errors.New("request became suspect of crashing an engine")

// suspects runs the quarantine table and shares it with peers.
type suspects struct {
	daemon *Daemon

	mu      sync.Mutex
	table   *quarantine.Table
	cancels map[*quarantine.Run]context.CancelCauseFunc
	// behind holds the peers that missed a report, by VM id.
	behind map[string]bool
	// centres holds the data centre of the engine of each own trial.
	centres map[quarantine.Digest]string
	// distant are the reports to other data centres.
	distant rounds
	// released are trials whose end no peer has been told yet.
	released []quarantine.Trial
	// turn counts the exchanges with one peer in turn.
	turn int

	// publishing holds a token while a report is under way, so that a caller's answer
	// waits for it.
	publishing chan struct{}
	// published is when the last report was sent. The holder of the token owns it.
	published time.Time
}

func newSuspects(d *Daemon) *suspects {
	return &suspects{
		daemon: d,
		table: quarantine.NewTable(quarantine.Options{
			Self:       d.incarnation,
			MaxEntries: d.settings.Limits.QuarantineEntries,
			Hold:       d.settings.Timing.QuarantineHold.Std(),
		}),
		cancels: map[*quarantine.Run]context.CancelCauseFunc{},
		behind:  map[string]bool{},
		centres: map[quarantine.Digest]string{},

		publishing: make(chan struct{}, 1),
	}
}

// verdict returns the status of a digest.
func (s *suspects) verdict(digest quarantine.Digest) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Verdict(digest, time.Now())
}

// begin records an attempt. The returned context is cancelled with errSuspected
// when the digest becomes suspect elsewhere.
func (s *suspects) begin(ctx context.Context, digest quarantine.Digest, u *routing.Upstream) (context.Context, *quarantine.Run) {
	ctx, cancel := context.WithCancelCause(ctx)
	incarnation := ""
	if r := u.Report(); r != nil {
		incarnation = r.Status.Incarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.table.Begin(digest, u.VM.ID, incarnation)
	s.cancels[run] = cancel
	return ctx, run
}

// end records the result of an attempt and tells whether the engine may still be
// running it.
func (s *suspects) end(run *quarantine.Run, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[run](nil)
	delete(s.cancels, run)
	switch {
	case err == nil:
		s.table.Complete(run)
	case errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrNotRun):
		s.table.Refused(run)
	default:
		s.table.Abandon(run, time.Now())
		return true
	}
	return false
}

// observe records what an engine answered when it was asked for its status.
func (s *suspects) observe(engine string, asked time.Time, status port.EngineStatus, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var worse []quarantine.Digest
	switch {
	case err == nil:
		worse = s.table.Observe(engine, status.Incarnation, asked, now)
	case errors.Is(err, port.ErrUnreachable):
		worse = s.table.Unreachable(engine, asked, now)
	}
	if len(worse) == 0 {
		return
	}
	s.daemon.metrics.CrashSuspects.Add(int64(len(worse)))
	s.daemon.log.Warn("engine crashed with requests in flight",
		zap.String("engine", engine),
		zap.Int("suspects", len(worse)),
	)
	s.cancelLocked(worse)
}

// cancelLocked cancels the attempts of digests that must not run unisolated.
func (s *suspects) cancelLocked(digests []quarantine.Digest) {
	for _, digest := range digests {
		for _, run := range s.table.Active(digest) {
			s.cancels[run](errSuspected)
		}
	}
}

// reserved tells whether an engine is kept for a trial.
func (s *suspects) reserved(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reserved(engine, time.Now())
}

// avoid returns excluded together with the engines that are kept for trials.
func (s *suspects) avoid(excluded map[string]bool) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := s.table.ReservedEngines(time.Now())
	if len(engines) == 0 {
		return excluded
	}
	out := make(map[string]bool, len(excluded)+len(engines))
	for id := range excluded {
		out[id] = true
	}
	for _, id := range engines {
		out[id] = true
	}
	return out
}

// isolate reserves an engine for a trial of a suspect. It returns nil when the
// trial has to wait; else the engine serves nothing else of this daemon until
// release is called.
func (s *suspects) isolate(ctx context.Context, g *generation) (u *routing.Upstream, release func()) {
	u = s.idlest(g)
	if u == nil {
		return nil, nil
	}
	report, ok := s.intend(g.digest, u)
	if !ok {
		return nil, nil
	}
	answer := s.exchange(ctx, report)
	if answer.busy || (answer.missing && s.holds(g)) || s.verdict(g.digest).Status != quarantine.Suspect {
		s.release(g.digest)
		return nil, nil
	}
	s.mu.Lock()
	s.table.Start(g.digest)
	s.mu.Unlock()
	if !s.drained(ctx, g, u) || !s.refresh(ctx, u) {
		s.release(g.digest)
		return nil, nil
	}
	end := g.permit.begin(u)
	if u.Closed() {
		end()
		s.release(g.digest)
		return nil, nil
	}
	s.daemon.metrics.Trials.Add(1)
	return u, func() {
		end()
		s.release(g.digest)
	}
}

// holds tells whether a suspect still waits for daemons that could not be asked,
// at most for half of the time that was left when it began to wait.
func (s *suspects) holds(g *generation) bool {
	now := time.Now()
	if g.heldUntil.IsZero() {
		s.daemon.metrics.SuspectsHeld.Add(1)
		g.heldUntil = now.Add(min(holdBack, g.deadline.Sub(now)/2))
	}
	return now.Before(g.heldUntil)
}

// intend announces a trial and returns the report that asks peers for it. The
// report carries the digest's entry, in case a peer missed it.
func (s *suspects) intend(digest quarantine.Digest, u *routing.Upstream) (quarantine.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.table.Intend(digest, u.VM.ID, now) {
		return quarantine.Report{}, false
	}
	s.centres[digest] = u.VM.DataCentre
	trial := quarantine.Trial{Digest: digest, Holder: s.daemon.incarnation, Engine: u.VM.ID}
	return quarantine.Report{Entries: s.table.Entry(digest, now), Trials: []quarantine.Trial{trial}}, true
}

func (s *suspects) release(digest quarantine.Digest) {
	s.mu.Lock()
	s.released = append(s.released, s.table.Release(digest))
	delete(s.centres, digest)
	s.mu.Unlock()
	go s.publish(s.daemon.context())
}

// idlest returns an engine for a trial: one without work of this daemon if there
// is one. It leaves another engine for other requests unless the pool has only
// one that is usable.
func (s *suspects) idlest(g *generation) *routing.Upstream {
	excluded := map[string]bool{}
	for id := range s.avoid(g.excluded) {
		excluded[id] = true
	}
	var chosen *routing.Upstream
	for u := s.daemon.pick(g, excluded); u != nil; u = s.daemon.pick(g, excluded) {
		excluded[u.VM.ID] = true
		if chosen == nil {
			chosen = u
		}
		if u.InFlight() == 0 && !s.open(u.VM.ID) {
			chosen = u
			break
		}
	}
	if chosen == nil || !s.sparesOthers(g, chosen) {
		return nil
	}
	return chosen
}

// sparesOthers tells whether a trial on an engine leaves another one for other
// requests, or whether there is no other one anyway.
func (s *suspects) sparesOthers(g *generation, u *routing.Upstream) bool {
	only := map[string]bool{u.VM.ID: true}
	return s.daemon.pick(g, s.avoid(only)) != nil || s.daemon.pick(g, only) == nil
}

// drained waits until an engine has no work of this daemon. Runs that ended a
// moment ago count as work, because a crash in the trial would be blamed on them.
func (s *suspects) drained(ctx context.Context, g *generation, u *routing.Upstream) bool {
	for u.InFlight() > 0 || s.open(u.VM.ID) {
		if ctx.Err() != nil || time.Now().After(g.deadline) {
			return false
		}
		sleep(ctx, drainPoll)
	}
	return true
}

func (s *suspects) open(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Open(engine, time.Now())
}

// refresh reads an engine's incarnation, so that a crash in a trial is not
// mistaken for an earlier one.
func (s *suspects) refresh(ctx context.Context, u *routing.Upstream) bool {
	return s.daemon.fleet.readEngine(ctx, u) == nil
}

// publish tells the peers of the data centre what this daemon changed and waits for
// them. The others are told in rounds.
func (s *suspects) publish(ctx context.Context) {
	s.publishing <- struct{}{}
	defer func() { <-s.publishing }()
	for {
		sleep(ctx, time.Until(s.published.Add(gatherInterval)))
		report := s.takeChanges()
		if len(report.Crashes) == 0 && len(report.Released) == 0 {
			return
		}
		s.published = time.Now()
		s.exchange(ctx, report)
	}
}

func (s *suspects) takeChanges() quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := quarantine.Report{Crashes: s.table.TakeChanged(time.Now()), Released: s.released}
	s.released = nil
	s.distant.add(report.Crashes)
	return report
}

// exchanged is what the peers of the data centre answered to a report.
type exchanged struct {
	// busy is set when one of them is busy with a trial's digest.
	busy bool
	// missing is set when one of them may be alive and did not answer.
	missing bool
}

// exchange sends a report to the peers that it concerns and merges their answers. It
// waits for the peers of the data centre.
func (s *suspects) exchange(ctx context.Context, report quarantine.Report) exchanged {
	ctx = context.WithoutCancel(ctx)
	var group sync.WaitGroup
	var mu sync.Mutex
	var out exchanged
	for _, vm := range s.concerned(report) {
		ask := func() {
			result, err := s.report(ctx, vm, report)
			mu.Lock()
			defer mu.Unlock()
			out.busy = out.busy || (err == nil && len(result.Busy) > 0)
			// A process that is gone refuses connections; its runs ended with it.
			out.missing = out.missing || (err != nil && !errors.Is(err, syscall.ECONNREFUSED))
		}
		if vm.DataCentre == s.daemon.settings.DataCentre {
			group.Go(ask)
		} else {
			go func() {
				// A failure marks the peer for the next tick.
				_, _ = s.report(ctx, vm, report)
			}()
		}
	}
	group.Wait()
	return out
}

// concerned returns the peers of the data centre, and those of the data centres in
// which a trial of the report uses an engine.
func (s *suspects) concerned(report quarantine.Report) []port.VM {
	centres := map[string]bool{s.daemon.settings.DataCentre: true}
	s.mu.Lock()
	for _, trial := range report.Trials {
		centres[s.centres[trial.Digest]] = true
	}
	s.mu.Unlock()
	return slices.DeleteFunc(s.daemon.fleet.peerDaemons(), func(vm port.VM) bool { return !centres[vm.DataCentre] })
}

// report sends one report to one peer, and again over a new connection when the
// first one may have gone silent. A peer that misses both gets all entries later.
func (s *suspects) report(ctx context.Context, vm port.VM, report quarantine.Report) (quarantine.ReportResult, error) {
	result, err := s.call(ctx, vm, report, firstReportTimeout)
	if err != nil {
		result, err = s.call(ctx, vm, report, reportTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.daemon.metrics.QuarantineReportsFailed.Add(1)
		s.behind[vm.ID] = true
		return result, err
	}
	s.daemon.metrics.QuarantineReports.Add(1)
	if report.Sum != 0 && len(result.Entries) > 0 {
		// The tables differ; the peer gets this daemon's entries in the next tick.
		s.behind[vm.ID] = true
	}
	s.cancelLocked(s.table.MergeEntries(result.Entries, time.Now()))
	return result, nil
}

func (s *suspects) call(ctx context.Context, vm port.VM, report quarantine.Report, timeout time.Duration) (quarantine.ReportResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var result quarantine.ReportResult
	// The client closes its connection after a failure.
	err := s.daemon.deps.Peers(vm.PeerAddress).Call(ctx, quarantine.MethodReport, report, &result)
	return result, err
}

// receive answers a peer's report.
func (s *suspects) receive(_ context.Context, params json.RawMessage) (any, error) {
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
	every(s.daemon.context(), reportInterval, s.tick)
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
			_, _ = s.report(ctx, vm, quarantine.Report{Crashes: crashes})
		})
	}
	for _, vm := range peers {
		if report, due := s.due(vm, peers); due {
			group.Go(func() {
				// A failure marks the peer for the next tick.
				_, _ = s.report(ctx, vm, report)
			})
		}
	}
	group.Wait()
}

func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(time.Now())
	s.turn++
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
	return s.distant.next(distant, time.Now())
}

// due returns what one peer has to be told in this tick.
func (s *suspects) due(vm port.VM, peers []port.VM) (quarantine.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.daemon.settings.DataCentre
	report := quarantine.Report{Trials: slices.DeleteFunc(s.table.OwnTrials(), func(trial quarantine.Trial) bool {
		return vm.DataCentre != own && vm.DataCentre != s.centres[trial.Digest]
	})}
	inTurn := peers[s.turn%len(peers)].ID == vm.ID
	starting := s.turn <= len(peers)
	if s.behind[vm.ID] {
		report.Entries = s.table.Entries(time.Now())
		delete(s.behind, vm.ID)
	} else if inTurn {
		report.Sum = s.table.Sum(time.Now())
	}
	return report, len(report.Trials) > 0 || len(report.Entries) > 0 || report.Sum != 0 || (inTurn && starting)
}

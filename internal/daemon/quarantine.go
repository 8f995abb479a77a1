package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

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
	// maxSuspectDelay is how long a suspect waits while a daemon of the data centre cannot
	// be asked for its runs of the digest. Within it the daemons that are connected
	// through others have exchanged their entries, and a dead one has left the VM
	// list; an innocent request still has time to complete.
	maxSuspectDelay = 6 * time.Second
	// reportInterval is the time between renewals of trials, repeated reports and
	// exchanges with one peer in turn.
	reportInterval = time.Second
	// minPublishInterval is the least time between two reports to the data centre, except
	// for the first one. It gathers requests that fail a moment after the first.
	minPublishInterval = 50 * time.Millisecond
	// roundInterval is the time between two rounds of reports to other data centres,
	// and roundPeers the number of peers per reportInterval in a round: 380 daemons
	// hear of a crash within 12 s.
	roundInterval     = 5 * time.Second
	roundPeersPerTick = 32
	// maxRoundDigests bounds the digests that wait for the next round; peers learn the
	// rest from exchanges in turn.
	maxRoundDigests = 1024
	// drainPollInterval is how often a trial looks whether its engine has become idle.
	drainPollInterval = 20 * time.Millisecond
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
	// outdatedPeers holds the peers that missed a report, by VM id.
	outdatedPeers map[string]bool
	// trialDataCentres holds the data centre of the engine of each own trial.
	trialDataCentres map[quarantine.Digest]string
	// remoteRounds are the reports to other data centres.
	remoteRounds reportRounds
	// unreportedReleases are trials whose end no peer has been told yet.
	unreportedReleases []quarantine.Trial
	// tickCount counts the exchanges with one peer in tickCount.
	tickCount int

	// publishToken holds a token while a report is under way, so that a caller's answer
	// waits for it.
	publishToken chan struct{}
	// lastPublished is when the last report was sent. The holder of the token owns it.
	lastPublished time.Time
}

func newSuspects(d *Daemon) *suspects {
	return &suspects{
		daemon: d,
		table: quarantine.NewTable(quarantine.Options{
			Self:       d.incarnation,
			MaxEntries: d.settings.Limits.QuarantineEntries,
			Hold:       d.settings.Timing.QuarantineHold.Std(),
		}),
		cancels:          map[*quarantine.Run]context.CancelCauseFunc{},
		outdatedPeers:    map[string]bool{},
		trialDataCentres: map[quarantine.Digest]string{},

		publishToken: make(chan struct{}, 1),
	}
}

// lookup returns the status of a digest.
func (s *suspects) lookup(digest quarantine.Digest) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Decision(digest, time.Now())
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
		s.table.Discard(run)
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
		worse = s.table.ObserveUnreachable(engine, asked, now)
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

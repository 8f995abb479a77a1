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
	// firstReportTimeout bounds the first attempt to send a report to a peer. The
	// open connection may be unresponsive, and a new one costs only a handshake.
	firstReportTimeout = 100 * time.Millisecond
	// reportTimeout bounds the second attempt. The response to a caller may be
	// delayed until it ends.
	reportTimeout = 500 * time.Millisecond
	// maxSuspectDelay is how long a suspect is delayed while a daemon of the data
	// centre cannot be asked whether it has in-flight requests with the same
	// digest. Within this time, daemons that are connected only through others
	// exchange their entries, and a crashed daemon leaves the VM list. A request
	// that did not cause the crash still has time to complete afterwards.
	maxSuspectDelay = 6 * time.Second
	// reportInterval is the interval of the ticks. In each tick, trials are renewed,
	// peers that missed a report receive the entries of the table, and the table is
	// compared with that of one peer, a different one each time.
	reportInterval = time.Second
	// minPublishInterval is the minimum time between two reports to the data
	// centre. The first report is not delayed. The interval collects requests that
	// fail shortly after the first one into one report.
	minPublishInterval = 50 * time.Millisecond
	// roundInterval is the time between two rounds of reports to other data
	// centres, and roundPeersPerTick the number of peers per reportInterval in a
	// round. With these values, a report of a crash reaches 380 daemons
	// within 12 s.
	roundInterval     = 5 * time.Second
	roundPeersPerTick = 32
	// maxRoundDigests bounds the digests that wait for the next round. Peers
	// receive the remaining ones when the tables are compared in a tick.
	maxRoundDigests = 1024
	// drainPollInterval is how often a trial checks whether its engine has become
	// idle.
	drainPollInterval = 20 * time.Millisecond
)

// errSuspected is the cancellation cause of an attempt whose digest has become a
// suspect because of a crash elsewhere.
var errSuspected = errors.New("request is suspected of crashing an engine")

// suspects maintains the quarantine table and exchanges its entries with peers.
type suspects struct {
	daemon *Daemon

	// mu guards all fields except publishToken and lastPublished.
	mu    sync.Mutex
	table *quarantine.Table
	// cancels holds the cancel function of each attempt in flight.
	cancels map[*quarantine.Run]context.CancelCauseFunc
	// outdatedPeers holds, by VM id, the peers that missed a report.
	outdatedPeers map[string]bool
	// trialDataCentres holds the data centre of the engine of each trial of this
	// daemon.
	trialDataCentres map[quarantine.Digest]string
	// remoteRounds schedules the reports to other data centres.
	remoteRounds reportRounds
	// unreportedReleases holds the trials whose end has not been reported to any
	// peer yet.
	unreportedReleases []quarantine.Trial
	// tickCount counts the ticks and selects the peer whose table is compared.
	tickCount int

	// publishToken holds a token while a report is being sent. A response to a
	// caller is delayed until the token is free.
	publishToken chan struct{}
	// lastPublished is when the last report was sent. It is guarded by
	// publishToken.
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

// lookup returns the status of a digest and, if it is quarantined, the remaining time.
func (s *suspects) lookup(digest quarantine.Digest) quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Decision(digest, time.Now())
}

// begin records the start of an attempt. The returned context is cancelled with
// cause errSuspected when the digest becomes a suspect because of a crash
// elsewhere.
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

// end records the result of an attempt and reports whether the engine may still be
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

// observe applies an engine's response to a status request that was sent at
// requestedAt. Digests that become suspects because of it are cancelled.
func (s *suspects) observe(engine string, requestedAt time.Time, status port.EngineStatus, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var suspected []quarantine.Digest
	switch {
	case err == nil:
		suspected = s.table.Observe(engine, status.Incarnation, requestedAt, now)
	case errors.Is(err, port.ErrUnreachable):
		suspected = s.table.ObserveUnreachable(engine, requestedAt, now)
	}
	if len(suspected) == 0 {
		return
	}
	s.daemon.metrics.CrashSuspects.Add(int64(len(suspected)))
	s.daemon.log.Warn("engine crashed with requests in flight",
		zap.String("engine", engine),
		zap.Int("suspects", len(suspected)),
	)
	s.cancelLocked(suspected)
}

// cancelLocked cancels the attempts in flight of digests that may now run only in a
// trial or not at all. The caller holds s.mu.
func (s *suspects) cancelLocked(digests []quarantine.Digest) {
	for _, digest := range digests {
		for _, run := range s.table.Active(digest) {
			s.cancels[run](errSuspected)
		}
	}
}

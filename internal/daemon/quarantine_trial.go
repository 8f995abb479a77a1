package daemon

import (
	"context"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// isReserved reports whether an engine is reserved for a trial.
func (s *suspects) isReserved(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Reserved(engine, time.Now())
}

// excludeReserved returns excluded together with the engines that are reserved for
// trials.
func (s *suspects) excludeReserved(excluded map[string]bool) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reserved := s.table.ReservedEngines(time.Now())
	if len(reserved) == 0 {
		return excluded
	}
	out := make(map[string]bool, len(excluded)+len(reserved))
	for id := range excluded {
		out[id] = true
	}
	for _, id := range reserved {
		out[id] = true
	}
	return out
}

// isolate reserves an engine for a trial of a suspect and waits until the engine has no
// requests of this daemon in flight. It returns nil if the trial cannot start yet.
// Otherwise the engine serves no other request of this daemon until release is called.
func (s *suspects) isolate(ctx context.Context, g *generation) (u *routing.Upstream, release func()) {
	u = s.leastLoaded(g)
	if u == nil {
		return nil, nil
	}
	report, ok := s.announceTrial(g.digest, u)
	if !ok {
		return nil, nil
	}
	result := s.exchange(ctx, report)
	if result.busy || (result.unresponsive && s.shouldDelay(g)) || s.lookup(g.digest).Status != quarantine.Suspect {
		s.release(g.digest)
		return nil, nil
	}
	s.mu.Lock()
	s.table.StartTrial(g.digest)
	s.mu.Unlock()
	if !s.waitDrained(ctx, g, u) || !s.refreshIncarnation(ctx, u) {
		s.release(g.digest)
		return nil, nil
	}
	end := g.permit.beginAttempt(u)
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

// shouldDelay reports whether a suspect is still delayed because some daemons could
// not be asked. The delay is at most maxSuspectDelay and at most half of the time
// that remained until the deadline when the delay began.
func (s *suspects) shouldDelay(g *generation) bool {
	now := time.Now()
	if g.delayDeadline.IsZero() {
		s.daemon.metrics.SuspectsHeld.Add(1)
		g.delayDeadline = now.Add(min(maxSuspectDelay, g.deadline.Sub(now)/2))
	}
	return now.Before(g.delayDeadline)
}

// announceTrial records an intended trial and returns the report that asks peers to
// admit it. The report also carries the entry of the digest, in case a peer missed
// it. announceTrial returns false if the trial must not start yet.
func (s *suspects) announceTrial(digest quarantine.Digest, u *routing.Upstream) (quarantine.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.table.ReserveTrial(digest, u.VM.ID, now) {
		return quarantine.Report{}, false
	}
	s.trialDataCentres[digest] = u.VM.DataCentre
	trial := quarantine.Trial{Digest: digest, Holder: s.daemon.incarnation, Engine: u.VM.ID}
	return quarantine.Report{Entries: s.table.Entry(digest, now), Trials: []quarantine.Trial{trial}}, true
}

// release ends a trial and publishes its end in the background.
func (s *suspects) release(digest quarantine.Digest) {
	s.mu.Lock()
	s.unreportedReleases = append(s.unreportedReleases, s.table.ReleaseTrial(digest))
	delete(s.trialDataCentres, digest)
	s.mu.Unlock()
	go s.publish(s.daemon.context())
}

// leastLoaded returns an engine for a trial, preferably one without in-flight
// requests of this daemon. It returns nil if the trial would take the last engine
// available to other requests, unless the pool has only one usable engine.
func (s *suspects) leastLoaded(g *generation) *routing.Upstream {
	excluded := map[string]bool{}
	for id := range s.excludeReserved(g.excluded) {
		excluded[id] = true
	}
	var chosen *routing.Upstream
	for u := s.daemon.chooseEngine(g, excluded); u != nil; u = s.daemon.chooseEngine(g, excluded) {
		excluded[u.VM.ID] = true
		if chosen == nil {
			chosen = u
		}
		if u.InFlight() == 0 && !s.hasRecentRuns(u.VM.ID) {
			chosen = u
			break
		}
	}
	if chosen == nil || !s.leavesAlternative(g, chosen) {
		return nil
	}
	return chosen
}

// leavesAlternative reports whether a trial on an engine leaves another engine for
// other requests, or whether there is no other engine in any case.
func (s *suspects) leavesAlternative(g *generation, u *routing.Upstream) bool {
	r := s.daemon.admission.routingRequest(g)
	// Other requests may use engines of any software version.
	r.Resumes = false
	r.Excluded = map[string]bool{u.VM.ID: true}
	table := s.daemon.fleet.Table()
	if table.Pick(r) == nil {
		return true
	}
	r.Excluded = s.excludeReserved(r.Excluded)
	return table.Pick(r) != nil
}

// waitDrained waits until an engine has no in-flight requests of this daemon.
// Recently abandoned attempts count as in flight, because a crash during the trial
// would be attributed to them. It returns false if ctx ends or the deadline of the
// request passes first.
func (s *suspects) waitDrained(ctx context.Context, g *generation, u *routing.Upstream) bool {
	for u.InFlight() > 0 || s.hasRecentRuns(u.VM.ID) {
		if ctx.Err() != nil || time.Now().After(g.deadline) {
			return false
		}
		clock.Sleep(ctx, drainPollInterval)
	}
	return true
}

// hasRecentRuns reports whether this daemon abandoned an attempt at an engine so
// recently that a crash of the engine would be attributed to that attempt.
func (s *suspects) hasRecentRuns(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecentlyAbandoned(engine, time.Now())
}

// refreshIncarnation fetches an engine's incarnation, so that a crash during a
// trial is not mistaken for an earlier one. It reports whether the engine
// responded.
func (s *suspects) refreshIncarnation(ctx context.Context, u *routing.Upstream) bool {
	return s.daemon.fleet.pollEngine(ctx, u) == nil
}

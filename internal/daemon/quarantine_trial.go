package daemon

import (
	"context"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/routing"
)

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
	s.table.StartTrial(g.digest)
	s.mu.Unlock()
	if !s.drained(ctx, g, u) || !s.refresh(ctx, u) {
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

// holds tells whether a suspect still waits for daemons that could not be asked,
// at most for half of the time that was left when it began to wait.
func (s *suspects) holds(g *generation) bool {
	now := time.Now()
	if g.holdDeadline.IsZero() {
		s.daemon.metrics.SuspectsHeld.Add(1)
		g.holdDeadline = now.Add(min(holdBack, g.deadline.Sub(now)/2))
	}
	return now.Before(g.holdDeadline)
}

// intend announces a trial and returns the report that asks peers for it. The
// report carries the digest's entry, in case a peer missed it.
func (s *suspects) intend(digest quarantine.Digest, u *routing.Upstream) (quarantine.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.table.ReserveTrial(digest, u.VM.ID, now) {
		return quarantine.Report{}, false
	}
	s.centres[digest] = u.VM.DataCentre
	trial := quarantine.Trial{Digest: digest, Holder: s.daemon.incarnation, Engine: u.VM.ID}
	return quarantine.Report{Entries: s.table.Entry(digest, now), Trials: []quarantine.Trial{trial}}, true
}

func (s *suspects) release(digest quarantine.Digest) {
	s.mu.Lock()
	s.released = append(s.released, s.table.ReleaseTrial(digest))
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
	for u := s.daemon.chooseEngine(g, excluded); u != nil; u = s.daemon.chooseEngine(g, excluded) {
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
	return s.daemon.chooseEngine(g, s.avoid(only)) != nil || s.daemon.chooseEngine(g, only) == nil
}

// drained waits until an engine has no work of this daemon. Runs that ended a
// moment ago count as work, because a crash in the trial would be blamed on them.
func (s *suspects) drained(ctx context.Context, g *generation, u *routing.Upstream) bool {
	for u.InFlight() > 0 || s.open(u.VM.ID) {
		if ctx.Err() != nil || time.Now().After(g.deadline) {
			return false
		}
		clock.Sleep(ctx, drainPoll)
	}
	return true
}

func (s *suspects) open(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecentlyAbandoned(engine, time.Now())
}

// refresh reads an engine's incarnation, so that a crash in a trial is not
// mistaken for an earlier one.
func (s *suspects) refresh(ctx context.Context, u *routing.Upstream) bool {
	return s.daemon.fleet.pollEngine(ctx, u) == nil
}

package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/continuity"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
)

// methodOrigin asks a daemon what it knows about a stream that a client takes up.
const methodOrigin = "gateway.origin"

const (
	// originKeepers is the number of daemons that are told of the origin of a stream, localKeepers how many
	// of them are in the data centre where it began. The others outlive the loss of that data centre.
	originKeepers = 3
	localKeepers  = 2
	// originAsked is the number of daemons of each data centre that are asked. It is one more than
	// localKeepers, because the daemon that tells and the one that asks leave out themselves.
	originAsked = localKeepers + 1
	// maxListAge is the age up to which a list of runners counts as current. It allows for one
	// read of the registry that fails.
	maxListAge = 3 * time.Second
	// originAskTimeout bounds a question about the origin of a stream. The client's request waits for it.
	originAskTimeout = 150 * time.Millisecond
	// storedOriginTimeout bounds the wait for a read of the stored origins. Beyond it the read goes on for the
	// client's next attempt.
	storedOriginTimeout = 500 * time.Millisecond
)

// Errors of streams that clients take up.
var (
	errOriginUnknown = errors.New("software version that began the stream is unknown")
	errVersionGone   = errors.New("no runner of the software version that began the stream can continue it")
)

// originQuestion asks about the stream that began in the client attempt ID. Service is the one that the
// request would go to. Stored is set if the stored origins are to be read before the answer.
type originQuestion struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Stored  bool   `json:"stored,omitempty"`
}

// takesUp reports whether the client has received events of the stream in an earlier attempt.
func (c *call) takesUp() bool {
	return c.route.Repeat == port.RepeatStream && c.request.ResumeAfter != ""
}

// findOrigin determines where the stream that the client takes up began. It returns errOriginUnknown if
// nobody can tell, and errVersionGone if the route does not lead to that service any more.
func (c *call) findOrigin(ctx context.Context) error {
	serviceKnown := len(c.route.Destinations) == 1 && !c.gateway.origins.hasMoved(time.Now(), c.route)
	origin, basis, scope := c.gateway.peers.findOrigin(ctx, c.request.TakesUp, c.service, serviceKnown)
	c.logStep("takes up %q after event %s: %s, %s (asked: %s)", c.request.TakesUp, c.lastEventID, origin, basis, scope)
	c.gateway.metrics.takeUps.Add(string(basis), 1)
	switch {
	case basis == continuity.Unknown:
		return errOriginUnknown
	case !leadsTo(c.route, origin.Service):
		return c.versionGone()
	}
	c.service, c.version = origin.Service, origin.Version
	if c.request.TakesUp != "" && basis == continuity.Recorded {
		c.gateway.origins.begin(time.Now(), c.request.TakesUp, origin, len(c.route.Destinations) > 1)
	}
	return nil
}

// versionGone counts a stream that its client takes up in vain, and returns errVersionGone.
func (c *call) versionGone() error {
	if c.takesUp() {
		c.gateway.metrics.takeUps.Add("version-gone", 1)
	}
	return errVersionGone
}

// leadsTo reports whether a route sends requests to a service.
func leadsTo(r *port.ForwardRoute, service string) bool {
	return slices.ContainsFunc(r.Destinations, func(d port.Destination) bool {
		return d.Service == service && (d.Weight > 0 || len(r.Destinations) == 1)
	})
}

// noteOrigin records the runner that generated the first event that the client receives.
func (c *call) noteOrigin(runner port.Runner) {
	if c.route.Repeat != port.RepeatStream || c.version != "" {
		return
	}
	c.version = runner.Version
	c.gateway.origins.begin(time.Now(), c.request.ID, continuity.Origin{Service: c.service, Version: runner.Version}, len(c.route.Destinations) > 1)
}

// findOrigin decides where the stream of a client attempt began, by what this daemon knows and, if that
// does not tell, by what those know that were told, first in this data centre, then in the others, and last
// by what is stored. The only version of a service tells if the stream certainly began at the service, as
// serviceKnown says. scope names who was asked.
func (p *peers) findOrigin(ctx context.Context, id, service string, serviceKnown bool) (origin continuity.Origin, basis continuity.Basis, scope string) {
	answers := []continuity.Answer{p.answerOrigin(id, service)}
	if answers[0].Known {
		return answers[0].Origin, continuity.Recorded, "nobody"
	}
	decide := func() (continuity.Origin, continuity.Basis) {
		origin, basis := continuity.Decide(service, answers)
		if basis == continuity.OnlyVersion && !serviceKnown {
			return continuity.Origin{}, continuity.Unknown
		}
		return origin, basis
	}
	q := originQuestion{ID: id, Service: service}
	answers = append(answers, askOrigin(ctx, p.originKeepers(id, true), q)...)
	origin, basis = decide()
	if basis == continuity.OnlyVersion && p.refreshSoon(ctx) {
		// The stream may have begun at a version that has joined since the lists of these daemons were read.
		answers = append(answers, p.answerOrigin(id, service))
		if origin, basis = decide(); basis == continuity.OnlyVersion {
			return origin, basis, "this data centre, and the registry"
		}
	}
	if basis == continuity.Recorded {
		return origin, basis, "this data centre"
	}
	remote := askOrigin(ctx, p.originKeepers(id, false), q)
	answers = append(answers, remote...)
	origin, basis = decide()
	othersCurrent := slices.ContainsFunc(answers[1:], func(a continuity.Answer) bool { return a.Current })
	if basis == continuity.OnlyVersion && !othersCurrent && p.cutOff(len(answers) > 1, len(remote) > 0) {
		basis = continuity.Unknown
	}
	if basis != continuity.Unknown || id == "" {
		return origin, basis, "all data centres"
	}
	if stored := p.askStored(ctx, q); stored.Known {
		answers = append(answers, stored)
		origin, basis = decide()
	}
	return origin, basis, "all data centres, and the store"
}

// askStored returns what is known about a stream once the stored origins were read, by the first responsive
// daemon of this data centre for all of them.
func (p *peers) askStored(ctx context.Context, q originQuestion) continuity.Answer {
	ctx, cancel := context.WithTimeout(ctx, storedOriginTimeout)
	defer cancel()
	if l := p.originReader(); l != nil {
		var a continuity.Answer
		q.Stored = true
		if err := l.client.Call(ctx, methodOrigin, q, &a); err == nil {
			return a
		}
	}
	// After an error this daemon concludes nothing, as without the read.
	_ = p.readOrigins(ctx)
	return p.answerOrigin(q.ID, q.Service)
}

// originReader returns the link to the daemon that reads the stored origins for this data centre, nil if it
// is this one.
func (p *peers) originReader() *peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	local, _ := p.peerNames(func(l *peerLink) bool { return l.responds() && l.name < p.name })
	if len(local) == 0 {
		return nil
	}
	return p.links[slices.Min(local)]
}

// refreshSoon reads the list of runners anew and reports whether that succeeded within originAskTimeout.
func (p *peers) refreshSoon(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	return p.refreshList(ctx)
}

// cutOff reports whether daemons that cannot read the registry may have missed a software version that
// others know: if no other daemon answered, or none of another data centre. While the store is away for
// all daemons, no version can appear.
func (p *peers) cutOff(anyAnswered, remoteAnswered bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if !anyAnswered || l.dataCentre != p.dataCentre && !remoteAnswered {
			return true
		}
	}
	return false
}

// answerOrigin returns what this daemon knows about a stream.
func (p *peers) answerOrigin(id, service string) continuity.Answer {
	a := p.origins.answer(time.Now(), id, service)
	a.Current = p.listIsCurrent()
	return a
}

// askOrigin asks daemons about a stream and returns the answers that arrive within originAskTimeout.
func askOrigin(ctx context.Context, links []*peerLink, q originQuestion) []continuity.Answer {
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	answers := make(chan *continuity.Answer, len(links))
	for _, l := range links {
		go func() {
			var a continuity.Answer
			if err := l.client.Call(ctx, methodOrigin, q, &a); err != nil {
				// The timeout or the state of the link says more than the error of one call.
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	var out []continuity.Answer
	for range links {
		if a := <-answers; a != nil {
			if out = append(out, *a); a.Known {
				break
			}
		}
	}
	return out
}

// originKeepers returns the links to the responsive daemons that keep the origin of a stream: those of
// this data centre with local set, else those of the others.
func (p *peers) originKeepers(id string, local bool) []*peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := map[string][]string{}
	for _, l := range p.links {
		if (l.dataCentre == p.dataCentre) == local && l.responds() {
			names[l.dataCentre] = append(names[l.dataCentre], l.name)
		}
	}
	var out []*peerLink
	for _, in := range names {
		for _, name := range rendezvous.Top(id, in, originAsked) {
			out = append(out, p.links[name])
		}
	}
	return out
}

// queueOrigins queues the origins of streams for the daemons that keep them: localKeepers of this data
// centre, and as many of the others as make originKeepers. Daemons that do not respond are left out, unless
// none does. p.mu must be held.
func (p *peers) queueOrigins(now time.Time, reports []originReport) {
	if len(reports) == 0 {
		return
	}
	local, remote := p.peerNames(func(l *peerLink) bool { return l.responds() })
	if len(local)+len(remote) == 0 {
		local, remote = p.peerNames(func(*peerLink) bool { return true })
	}
	for _, r := range reports {
		keepers := rendezvous.Top(r.ID, local, localKeepers)
		keepers = append(keepers, rendezvous.Top(r.ID, remote, originKeepers-len(keepers))...)
		for _, name := range keepers {
			p.links[name].queueOrigins([]queuedOrigin{{originReport: r, queuedAt: now}})
		}
	}
}

// peerNames returns the names of the peers for which use returns true, those of this data centre apart. p.mu
// must be held.
func (p *peers) peerNames(use func(*peerLink) bool) (local, remote []string) {
	for _, l := range p.links {
		switch {
		case !use(l):
		case l.dataCentre == p.dataCentre:
			local = append(local, l.name)
		default:
			remote = append(remote, l.name)
		}
	}
	return local, remote
}

// daemonCount returns the number of daemons, this one included.
func (p *peers) daemonCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.links)
}

// maxPendingOrigins bounds the origins that wait to be sent to one peer.
const maxPendingOrigins = 1 << 11

// queueOrigins queues reports and drops the oldest ones beyond maxPendingOrigins. peers.mu must be held.
func (l *peerLink) queueOrigins(reports []queuedOrigin) {
	l.pendingOrigins = append(l.pendingOrigins, reports...)
	if extra := len(l.pendingOrigins) - maxPendingOrigins; extra > 0 {
		l.pendingOrigins = l.pendingOrigins[extra:]
	}
}

// handleOrigin answers the question of a peer. It returns an error if the stored origins are to be read and
// cannot be; a read that takes long does not hold up the answer.
func (p *peers) handleOrigin(ctx context.Context, params json.RawMessage) (any, error) {
	var q originQuestion
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	if q.Stored {
		ctx, cancel := context.WithTimeout(ctx, storedOriginTimeout-originAskTimeout)
		defer cancel()
		if err := p.readOrigins(ctx); err != nil && ctx.Err() == nil {
			return nil, err
		}
	}
	return p.answerOrigin(q.ID, q.Service), nil
}

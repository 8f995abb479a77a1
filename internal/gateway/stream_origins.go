package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/continuity"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// maxStreamOrigins bounds the streams whose origin is remembered, of all daemons that tell this one.
	maxStreamOrigins = 1 << 15
	// maxUnsharedOrigins bounds the streams whose origin was not told to other daemons yet.
	maxUnsharedOrigins = 1 << 12
	// A stream can be taken up until its client gives up. Clients are not known to wait longer than
	// lifetimeTimeouts times the longest timeout of a stream route; the result is kept between
	// minStreamLifetime and maxStreamLifetime.
	lifetimeTimeouts  = 2
	minStreamLifetime = 10 * time.Second
	maxStreamLifetime = 2 * time.Minute
)

// originReport is the wire form of the origin of a stream. AgeMS is the time since its first event.
type originReport struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	AgeMS   int64  `json:"age,omitempty"`
}

// streamOrigins remembers at which software version streams began, and the versions of each service; see
// package continuity. The origins are told to other daemons and written to the store while they matter:
// while the service has more than one version, or one has just left. It is safe for concurrent use.
type streamOrigins struct {
	log *zap.Logger

	mu       sync.Mutex
	origins  *continuity.Origins
	history  *continuity.History
	lifetime time.Duration
	// destinations holds the services of each stream route by host and prefix, moved when they last
	// changed.
	destinations map[string][]string
	moved        map[string]time.Time
	// unshared holds the streams that this daemon has begun and told no other daemon of, the oldest one
	// first.
	unshared []unsharedOrigin
	// unstored holds those that were told and not written to the store yet.
	unstored []originReport
	// changedServices holds the services whose versions have changed since takeChanged.
	changedServices map[string]bool
}

type unsharedOrigin struct {
	id     string
	origin continuity.Origin
	at     time.Time
	// always is set if the route of the stream has several services, so that a daemon that knows
	// nothing of the stream cannot tell its service.
	always bool
}

// newStreamOrigins returns an empty memory. firstStart is set if no stream can have begun before.
func newStreamOrigins(log *zap.Logger, now time.Time, firstStart bool) *streamOrigins {
	since := now
	if firstStart {
		since = time.Time{}
	}
	return &streamOrigins{
		log: log, origins: continuity.NewOrigins(maxStreamOrigins, maxStreamLifetime), history: continuity.NewHistory(since),
		lifetime: minStreamLifetime, changedServices: map[string]bool{},
		destinations: map[string][]string{}, moved: map[string]time.Time{},
	}
}

// setRoutes derives the lifetime of streams from the configuration in force, and notes which routes lead to
// other services than before: the service of a stream that began earlier cannot be told by its route.
func (o *streamOrigins) setRoutes(now time.Time, routes []port.ForwardRoute) {
	var longest time.Duration
	for i := range routes {
		if routes[i].Repeat == port.RepeatStream {
			longest = max(longest, routes[i].Timeout)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// A shorter timeout does not end the streams that began under the longer one.
	o.lifetime = max(o.lifetime, min(maxStreamLifetime, lifetimeTimeouts*longest))
	maps.DeleteFunc(o.moved, func(_ string, at time.Time) bool { return now.Sub(at) >= o.lifetime })
	for i := range routes {
		if r := &routes[i]; r.Repeat == port.RepeatStream {
			o.setDestinations(now, routeKey(r), r.Destinations)
		}
	}
}

func (o *streamOrigins) setDestinations(now time.Time, route string, destinations []port.Destination) {
	services := make([]string, 0, len(destinations))
	for _, d := range destinations {
		services = append(services, d.Service)
	}
	slices.Sort(services)
	before, ok := o.destinations[route]
	if ok && !slices.Equal(before, services) {
		o.moved[route] = now
	}
	o.destinations[route] = services
}

// routeKey identifies a route over versions of the configuration.
func routeKey(r *port.ForwardRoute) string { return r.Host + " " + r.PathPrefix }

// hasMoved reports whether a route led to other services within the lifetime of streams.
func (o *streamOrigins) hasMoved(now time.Time, r *port.ForwardRoute) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.moved[routeKey(r)]
	return ok && now.Sub(at) < o.lifetime
}

// setRunners records the software versions of the registered runners.
func (o *streamOrigins) setRunners(now time.Time, runners []port.Runner) {
	versions := map[string][]string{}
	for _, r := range runners {
		versions[r.Service] = append(versions[r.Service], r.Version)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range o.history.Observe(now, versions) {
		o.changedServices[service] = true
		recent, complete := o.history.Recent(now, service, o.lifetime)
		o.log.Info("software versions of a service have changed", zap.String("service", service),
			zap.Strings("recent-versions", recent), zap.Bool("complete", complete))
	}
}

// begin records the origin of a stream whose first event is about to be sent to the client. always is set
// if other daemons have to know it in any case.
func (o *streamOrigins) begin(now time.Time, id string, origin continuity.Origin, always bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(id) > port.MaxAttemptIDBytes || !o.origins.Record(now, id, origin, now) {
		return
	}
	if len(o.unshared) >= maxUnsharedOrigins {
		o.unshared = o.unshared[1:]
	}
	o.unshared = append(o.unshared, unsharedOrigin{id: id, origin: origin, at: now, always: always})
}

// takeUnshared returns the origins that other daemons have to know now. The others stay until their
// service gets another version, or their lifetime has passed.
func (o *streamOrigins) takeUnshared(now time.Time) []originReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []originReport
	var kept []unsharedOrigin
	ambiguous := map[string]bool{}
	for _, u := range o.unshared {
		several, ok := ambiguous[u.origin.Service]
		if !ok {
			recent, _ := o.history.Recent(now, u.origin.Service, o.lifetime)
			several = len(recent) > 1
			ambiguous[u.origin.Service] = several
		}
		age := now.Sub(u.at)
		switch {
		case age >= o.lifetime:
		case several || u.always || len(o.moved) > 0:
			out = append(out, originReport{ID: u.id, Service: u.origin.Service, Version: u.origin.Version, AgeMS: age.Milliseconds()})
		default:
			kept = append(kept, u)
		}
	}
	o.unshared = kept
	o.unstored = append(o.unstored, out...)
	if extra := len(o.unstored) - maxUnsharedOrigins; extra > 0 {
		o.unstored = o.unstored[extra:]
	}
	return out
}

// apply records the origins that another daemon reports or has stored.
func (o *streamOrigins) apply(now time.Time, reports []originReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range reports {
		at := now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
		o.origins.Record(now, r.ID, continuity.Origin{Service: r.Service, Version: r.Version}, at)
	}
}

// answer returns what this daemon knows about a stream that a client takes up on a route to a service.
func (o *streamOrigins) answer(now time.Time, id, service string) continuity.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	var a continuity.Answer
	if id != "" {
		a.Origin, a.Known = o.origins.Find(now, id)
	}
	a.Versions, a.Complete = o.history.Recent(now, service, o.lifetime)
	return a
}

// takeChanged returns the services whose versions have changed since the last call.
func (o *streamOrigins) takeChanged() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.changedServices
	o.changedServices = map[string]bool{}
	return out
}

// takeUnstored returns the origins that have to be written to the store since the last call.
func (o *streamOrigins) takeUnstored() []originReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.unstored
	o.unstored = nil
	return out
}

// records returns the records of all services.
func (o *streamOrigins) records() map[string]continuity.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]continuity.Record{}
	for _, service := range o.history.Services() {
		out[service] = o.history.Record(service)
	}
	return out
}

// restore adds what an earlier process stored about the versions of a service.
func (o *streamOrigins) restore(now time.Time, service string, r continuity.Record, clockError time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Restore(now, service, r, clockError)
}

// size returns the number of streams whose origin is known.
func (o *streamOrigins) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.origins.Size()
}

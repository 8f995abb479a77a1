package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/reach"
)

const (
	// reachInterval is how often a daemon that may not reach the runners of a service checks which probes
	// are due.
	reachInterval = 50 * time.Millisecond
	// probeTimeout bounds the opening of a connection to a runner whose reach is in doubt.
	probeTimeout = 500 * time.Millisecond
	// certainCheckInterval is how often a request that waits for the result of probes checks it.
	certainCheckInterval = 10 * time.Millisecond
)

// runnerReach follows whether this daemon reaches the runners of each service; see package reach. It
// probes runners only while that is in doubt. It is safe for concurrent use.
type runnerReach struct {
	log     *zap.Logger
	runners port.Runners
	// uncertain holds a token once probes may be due.
	uncertain chan struct{}
	// ask asks other daemons about services that may be unreached.
	ask func(ctx context.Context, services []string)
	// unreached holds the unreached services and since when they are, for the request path.
	unreached atomic.Pointer[map[string]time.Time]

	// onReturn is called with a service whose runners are reached again.
	onReturn func(service string)

	mu      sync.Mutex
	tracker *reach.Tracker
	// unconfirmed holds what to do with failures of services in doubt once others are reached.
	unconfirmed map[string][]func()
}

// maxUnconfirmed bounds the failures of a service in doubt that are kept.
const maxUnconfirmed = 256

func newRunnerReach(log *zap.Logger, runners port.Runners) *runnerReach {
	r := &runnerReach{log: log, runners: runners, uncertain: make(chan struct{}, 1), tracker: reach.NewTracker(), unconfirmed: map[string][]func(){}}
	r.unreached.Store(&map[string]time.Time{})
	return r
}

// setRunners applies a new list of runners.
func (r *runnerReach) setRunners(list []port.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.tracker.SetRunners(list) {
		r.publish(time.Now(), service)
	}
}

// record records a contact with a runner.
func (r *runnerReach) record(to port.Runner, c port.Contact, began time.Time) {
	now := time.Now()
	r.mu.Lock()
	before := r.tracker.State(to.Service)
	r.tracker.Record(now, to, c, began)
	after := r.tracker.State(to.Service)
	if (before == reach.Unreached) != (after == reach.Unreached) {
		r.publish(now, to.Service)
	}
	var confirmed []func()
	if after != reach.InDoubt {
		confirmed = r.unconfirmed[to.Service]
		delete(r.unconfirmed, to.Service)
	}
	r.mu.Unlock()
	if after != reach.Reached {
		r.wake()
		return
	}
	for _, f := range confirmed {
		f()
	}
	if before == reach.Unreached {
		r.onReturn(to.Service)
	}
}

// confirm calls f once it is certain that a failed contact with a runner of a service is not due to this
// daemon: at once, when another runner is reached, or never if none is.
func (r *runnerReach) confirm(service string, f func()) {
	r.mu.Lock()
	state := r.tracker.State(service)
	if state == reach.InDoubt && len(r.unconfirmed[service]) < maxUnconfirmed {
		r.unconfirmed[service] = append(r.unconfirmed[service], f)
	}
	r.mu.Unlock()
	if state == reach.Reached {
		f()
	}
}

// wake lets run check which probes are due.
func (r *runnerReach) wake() {
	select {
	case r.uncertain <- struct{}{}:
	default:
	}
}

// publish makes a change of a service visible. r.mu must be held.
func (r *runnerReach) publish(now time.Time, service string) {
	next := map[string]time.Time{}
	for _, name := range r.tracker.Unreached() {
		next[name] = now
		if since, ok := (*r.unreached.Load())[name]; ok {
			next[name] = since
		}
	}
	since := (*r.unreached.Load())[service]
	r.unreached.Store(&next)
	if _, ok := next[service]; ok {
		r.log.Warn("no runner of a service is reached", zap.String("service", service), zap.Strings("runners", r.tracker.Failed(service)))
		return
	}
	r.log.Info("runners of a service are reached again", zap.String("service", service), zap.Duration("unavailable", now.Sub(since)))
}

// isUnreached reports whether no runner of a service is reached.
func (r *runnerReach) isUnreached(service string) bool {
	_, ok := (*r.unreached.Load())[service]
	return ok
}

// unreachedServices returns the unreached services, sorted.
func (r *runnerReach) unreachedServices() []string {
	return slices.Sorted(maps.Keys(*r.unreached.Load()))
}

// isReached reports whether a service is neither unreached nor in doubt.
func (r *runnerReach) isReached(service string) bool { return r.state(service) == reach.Reached }

func (r *runnerReach) state(service string) reach.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.State(service)
}

// awaitCertain waits until a service is no longer in doubt, at most for probeTimeout and until ctx is done.
func (r *runnerReach) awaitCertain(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for ctx.Err() == nil && r.state(service) == reach.InDoubt {
		clock.Sleep(ctx, certainCheckInterval)
	}
}

// recentlyReached returns those of the given services that were reached a moment ago. Of the others, runners are
// probed, so that a later question can be answered.
func (r *runnerReach) recentlyReached(services []string) []string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, service := range services {
		if r.tracker.RecentlyReached(now, service) {
			out = append(out, service)
		}
	}
	if r.tracker.Uncertain() {
		r.wake()
	}
	return out
}

// unreachedSince returns the unreached services and since when they are.
func (r *runnerReach) unreachedSince() map[string]time.Time { return *r.unreached.Load() }

// run probes runners until ctx is done.
func (r *runnerReach) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.uncertain:
		}
		r.settle(ctx)
	}
}

// settle probes runners until the state of each service is certain or ctx is done.
func (r *runnerReach) settle(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	var askedAt time.Time
	for {
		r.mu.Lock()
		certain := !r.tracker.Uncertain()
		due := r.tracker.Probes(time.Now())
		uncertain := r.tracker.InDoubt()
		r.mu.Unlock()
		if len(uncertain) > 0 && time.Since(askedAt) >= askInterval {
			askedAt = time.Now()
			r.ask(ctx, uncertain)
		}
		for _, to := range due {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				// The contact is recorded by the function that watches them.
				_ = r.runners.Probe(ctx, to)
			}()
		}
		if certain {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.uncertain:
		case <-ticker.C:
		}
	}
}

package daemon

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// resumeGrace is how long a silent attempt continues after its engine has responded to a probe: an
// engine that was paused sends the delayed data of the attempt at the same time.
const resumeGrace = 100 * time.Millisecond

// replacement decides whether an attempt at a silent or stalled engine may end, because another
// attempt can certainly follow. It is safe for concurrent use.
type replacement struct {
	daemon     *Daemon
	generation *generation
	upstream   *routing.Upstream
	// incarnation is that of the engine at the start of the attempt.
	incarnation string
	// request is the routing request of the next attempt.
	request routing.Request

	// mu guards awaited and is held while a retry is reserved.
	mu sync.Mutex
	// awaited is set once the attempt continued for lack of a replacement.
	awaited bool
}

// newReplacement returns the replacement of an attempt that is about to start.
func (d *Daemon) newReplacement(g *generation, u *routing.Upstream, run *quarantine.Run) *replacement {
	r := &replacement{daemon: d, generation: g, upstream: u, incarnation: run.Incarnation, request: d.admission.routingRequest(g)}
	r.request.Excluded = maps.Clone(g.excluded)
	r.request.Excluded[u.VM.ID] = true
	r.request.RemainingTarget = 0
	return r
}

// certain reports whether the attempt may end: it has ended already, its engine has lost it, the deadline
// of the request has passed, or an engine that can continue the response and a retry are available. The
// retry is then reserved for the generation.
func (r *replacement) certain(ctx context.Context) bool {
	if ctx.Err() != nil || time.Now().After(r.generation.deadline) {
		return true
	}
	usable := r.otherEngine()
	if !usable {
		var lost bool
		if usable, lost = r.probe(ctx); lost {
			return true
		}
	}
	if usable && r.reserveRetry() {
		return true
	}
	r.recordAwaited()
	return false
}

// otherEngine reports whether another engine is predicted to continue the response before the
// deadline of the request.
func (r *replacement) otherEngine() bool {
	request := r.request
	request.Now = time.Now()
	request.Rand = rand.New(rand.NewPCG(r.daemon.deps.Seed, r.daemon.admission.routingSeq.Add(1)))
	r.generation.requireSoftware(&request)
	request.Excluded = r.daemon.suspects.excludeReserved(request.Excluded)
	choice := r.daemon.fleet.Table().Choose(request)
	return choice.Upstream != nil && request.Now.Add(choice.FirstToken).Before(r.generation.deadline)
}

// probe reports whether the engine of the attempt accepts new connections and requests, so that it
// can resume the response, and whether it has certainly lost the attempt.
func (r *replacement) probe(ctx context.Context) (usable, lost bool) {
	status, err := r.upstream.Engine.Probe(ctx)
	if err != nil {
		return false, errors.Is(err, port.ErrUnreachable)
	}
	if status.Incarnation != r.incarnation {
		return false, true
	}
	clock.Sleep(ctx, resumeGrace)
	return status.Phase == port.PhaseServing && !status.Leaving, false
}

// reserveRetry reserves the next retry of the generation and reports whether one is reserved.
func (r *replacement) reserveRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.generation
	if !g.retryReserved.Load() && r.daemon.retryLimiter.allowRetry(g.profile) {
		g.retryReserved.Store(true)
	}
	return g.retryReserved.Load()
}

// recordAwaited records that the attempt continues for lack of a replacement.
func (r *replacement) recordAwaited() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.awaited {
		return
	}
	r.awaited = true
	r.daemon.metrics.SilencesAwaited.Add(1)
	r.generation.call.log.Info("attempt makes no progress and continues because no replacement is available",
		zap.String("upstream", r.upstream.VM.ID))
}

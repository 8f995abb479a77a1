package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
)

// methodTrial asks the owner of a blocked trait for permission to try a request with it.
const methodTrial = "gateway.trial"

const (
	// trialTime is how long a trial may take until its outcome is known to the owner: the deadline
	// of most requests, or the confirmation that the runner terminated.
	trialTime = 10 * time.Second
	// trialAskInterval is the time between two questions of a daemon about one trait.
	trialAskInterval = time.Second
	// trialAskTimeout bounds a question. Requests wait for it, but only those with a blocked trait.
	trialAskTimeout = 300 * time.Millisecond
	// maxTrialTraits bounds the traits for which questions and permissions are remembered.
	maxTrialTraits = 4096
)

// trialRequest asks for a trial of a request with a trait; trialResult is the response.
type trialRequest struct {
	Trait crashes.Trait `json:"trait"`
}

type trialResult struct {
	Granted bool `json:"granted"`
}

// trials lets one request at a time with a blocked trait run, so that a trait that is blocked by
// mistake is cleared and one that crashes runners crashes few of them. One daemon, the owner, permits
// the trials of a trait for the whole fleet; the daemons agree on it by its name. trials is safe for
// concurrent use.
type trials struct {
	peers   *peers
	crashes *crashGuard

	mu sync.Mutex
	// granted and asked hold when a trial of a trait was last permitted by this daemon as its owner,
	// and when this daemon last asked for one.
	granted, asked map[crashes.Trait]time.Time
}

func newTrials(p *peers, g *crashGuard) *trials {
	return &trials{peers: p, crashes: g, granted: map[crashes.Trait]time.Time{}, asked: map[crashes.Trait]time.Time{}}
}

// begin reports whether a request with a trait may be tried now. No other one may be until trialTime
// has passed.
func (t *trials) begin(ctx context.Context, trait crashes.Trait) bool {
	if !t.mark(t.asked, trait, trialAskInterval, time.Now()) {
		return false
	}
	owner := t.peers.trialOwner(trait)
	if owner == nil {
		return t.grant(trait, time.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, trialAskTimeout)
	defer cancel()
	var result trialResult
	err := owner.Call(ctx, methodTrial, trialRequest{Trait: trait}, &result)
	// Without an answer of the owner another trial may be in progress.
	return err == nil && result.Granted
}

// grant permits a trial of a trait as its owner.
func (t *trials) grant(trait crashes.Trait, now time.Time) bool {
	if decision, _ := t.crashes.decide(crashes.Traits{Content: trait}, now); decision == crashes.Refuse {
		return false
	}
	return t.mark(t.granted, trait, trialTime, now)
}

// mark records the time in a map unless it holds one that is less than interval ago. It reports
// whether it did.
func (t *trials) mark(times map[crashes.Trait]time.Time, trait crashes.Trait, interval time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := times[trait]; ok && now.Sub(last) < interval {
		return false
	}
	if len(times) >= maxTrialTraits {
		maps.DeleteFunc(times, func(_ crashes.Trait, at time.Time) bool { return now.Sub(at) >= interval })
	}
	if len(times) >= maxTrialTraits {
		return false
	}
	times[trait] = now
	return true
}

// handle answers the question of a peer.
func (t *trials) handle(_ context.Context, params json.RawMessage) (any, error) {
	var q trialRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	return trialResult{Granted: t.grant(q.Trait, time.Now())}, nil
}

// trialOwner returns the client of the responsive daemon that permits the trials of a trait, or nil if
// that is this daemon.
func (p *peers) trialOwner(trait crashes.Trait) port.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{p.name}
	for _, l := range p.links {
		if l.responds() {
			names = append(names, l.name)
		}
	}
	owner := rendezvous.First(string(trait), names)
	if owner == p.name {
		return nil
	}
	return p.links[owner].client
}

// mayRun reports whether the crash guard lets the request run, and begins a trial if that is
// necessary.
func (c *call) mayRun(ctx context.Context) bool {
	decision, trait := c.gateway.crashes.decide(c.traits, time.Now())
	switch {
	case decision == crashes.Allow || c.trial == trait:
		return true
	case decision == crashes.Refuse || c.sends > 0:
		c.logStep("blocked because of trait %q", trait)
		return false
	}
	if !c.gateway.trials.begin(ctx, trait) {
		c.logStep("blocked because of trait %q, no trial", trait)
		return false
	}
	c.logStep("trial of trait %q", trait)
	c.trial = trait
	return true
}

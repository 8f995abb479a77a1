package bench

import (
	"math/rand/v2"
	"time"

	"bergamotsill.example/bergamotsill/internal/admission"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// queueLimit is the maximum number of requests that wait at one daemon.
	queueLimit = 2000
	// overflowShare and maxPrefillFactor have the same values as in package daemon.
	overflowShare    = 0.1
	maxPrefillFactor = 4
	// unlimited replaces a limit that is switched off, in tokens.
	unlimited = 1e12
)

// ablation selects the mechanisms that are switched off. inFlightTokens is the count of
// tokens sent to an engine since its last report, overflow is the use of other data
// centres, and peerDemand is the effect of the peers' demands on this daemon's share.
type ablation struct {
	ranks, minShares, earlyRefusal, engineLimits, prefixAffinity, inFlightTokens, overflow, peerDemand bool
}

// bergamotScheduler schedules requests with the decision packages of bergamotsill.
type bergamotScheduler struct {
	*node
	disabled  ablation
	rng       *rand.Rand
	predictor *admission.Predictor
	queue     *admission.Queue
	table     *routing.Table
	upstreams map[*engine]*routing.Upstream
	limits    map[*engine]*engineLimits
	waiting   map[*admission.Ticket]*request
	// arrivalOrder lists the waiting tickets in order of arrival. It may contain
	// tickets that no longer wait.
	arrivalOrder []*admission.Ticket
	active       map[*job]*activeAttempt
	profiles     [3]profile.Profile
	// peerDemands are the latest demands of the other daemons of the data centre.
	peerDemands []float64
	ticks       int
}

// engineLimits are the adaptive limits of one engine: the prefill rate by rank, in
// tokens per second, and the tokens in flight.
type engineLimits struct {
	prefill  [3]*admission.Limit
	inFlight *admission.Limit
}

// activeAttempt is the state that a daemon keeps for an attempt.
type activeAttempt struct {
	// ticket is nil for a retry and for an overflow to another data centre.
	ticket *admission.Ticket
	engine *engine
	// end removes the tokens of the attempt from the tokens in flight of its upstream.
	end func()
}

// newBergamot returns a constructor of schedulers without the disabled mechanisms.
func newBergamot(disabled ablation) func(n *node) scheduler {
	return func(n *node) scheduler {
		b := &bergamotScheduler{
			node: n, disabled: disabled, rng: rand.New(rand.NewPCG(uint64(n.id), 7)), predictor: admission.NewPredictor(),
			upstreams: map[*engine]*routing.Upstream{}, limits: map[*engine]*engineLimits{},
			waiting: map[*admission.Ticket]*request{}, active: map[*job]*activeAttempt{},
		}
		b.queue = admission.NewQueue(b.options(), b.predictor)
		b.buildTable()
		b.buildProfiles()
		return b
	}
}

func (b *bergamotScheduler) options() admission.Options {
	opts := admission.Options{MaxWaiting: queueLimit, MinShares: b.sim.fleet.minShares}
	if b.disabled.minShares || b.disabled.ranks {
		opts.MinShares = [3]float64{}
	}
	return opts
}

func (b *bergamotScheduler) buildTable() {
	var list []*routing.Upstream
	for _, e := range b.sim.engines {
		if !b.reaches(e) {
			continue
		}
		u := &routing.Upstream{VM: port.VM{
			ID: e.id, DataCentre: dataCentreName(e.dc), Kind: port.KindEngine, Pool: pool, State: port.VMLive,
		}}
		b.upstreams[e] = u
		list = append(list, u)
	}
	b.table = routing.NewTable(list)
}

func dataCentreName(dc int) string { return string(rune('a' + dc)) }

// buildProfiles copies the profiles and applies the ablations to them.
func (b *bergamotScheduler) buildProfiles() {
	for i := range b.profiles {
		b.profiles[i] = b.sim.fleet.workloads[i].profile
		if b.disabled.ranks {
			b.profiles[i].Rank = profile.Standard
		}
		if b.disabled.earlyRefusal {
			b.profiles[i].FirstTokenMS = time.Hour.Milliseconds()
		}
	}
}

// onReport sets the report of an engine's upstream. The first report of an engine creates
// its limits.
func (b *bergamotScheduler) onReport(e *engine, s port.EngineStatus, lag time.Duration) {
	u := b.upstreams[e]
	u.SetReport(&routing.Report{Status: s, Received: b.sim.clock.Time(), Lag: lag, Failed: e.down})
	if _, ok := b.limits[e]; !ok {
		kvCapacity, prefillRate := float64(s.KVCapacity), float64(s.Capacity)
		l := &engineLimits{inFlight: admission.NewLimit(admission.LimitOptions{Initial: kvCapacity, Max: kvCapacity})}
		for rank := range l.prefill {
			l.prefill[rank] = admission.NewLimit(admission.LimitOptions{Initial: prefillRate, Max: maxPrefillFactor * prefillRate})
		}
		b.limits[e] = l
	}
}

// tick updates the queue's capacity, refuses the requests that can no longer start in
// time, and starts those that the queue grants.
func (b *bergamotScheduler) tick() {
	b.ticks++
	if b.ticks%int(demandInterval/tickInterval) == 0 && !b.disabled.peerDemand {
		b.collectPeerDemands()
	}
	b.updateCapacity()
	now := b.sim.clock.Time()
	stillWaiting := b.arrivalOrder[:0]
	for _, t := range b.arrivalOrder {
		if b.queue.Expire(now, t) {
			b.waiting[t].outcome = refused
			delete(b.waiting, t)
		}
		if t.State() == admission.Waiting {
			stillWaiting = append(stillWaiting, t)
		}
	}
	b.arrivalOrder = stillWaiting
	b.dispatch()
}

// collectPeerDemands reads the demands of the other daemons of the data centre. This
// daemon receives them after localDelay.
func (b *bergamotScheduler) collectPeerDemands() {
	demands := map[int]float64{}
	for _, n := range b.sim.nodes {
		if n.dc == b.dc && n.id != b.id {
			demands[n.id] = n.scheduler.(*bergamotScheduler).queue.Demand()
		}
	}
	b.sim.clock.after(localDelay, func() {
		b.peerDemands = b.peerDemands[:0]
		for id := range b.sim.nodes {
			if d, ok := demands[id]; ok {
				b.peerDemands = append(b.peerDemands, d)
			}
		}
	})
}

// updateCapacity sets the token limit of each upstream in the data centre that accepts
// work. It sets the queue's capacity to the sum of these engines' limits and to this
// daemon's share of it.
func (b *bergamotScheduler) updateCapacity() {
	c := admission.Capacity{MaxEngineTokens: engineKVTokens}
	c.Share = admission.Share(b.queue.Demand(), b.peerDemands, b.sim.fleet.daemons[b.dc])
	for _, e := range b.sim.engines {
		u := b.upstreams[e]
		if e.dc != b.dc || u.Report() == nil || !u.Serving() || e.draining {
			continue
		}
		l := b.limits[e]
		u.SetLimit(int64(l.inFlight.Value()))
		c.TokensPerSecond += reportedRate
		c.InFlight += l.inFlight.Value()
		for rank := range l.prefill {
			c.PrefillRates[rank] += l.prefill[rank].Value()
		}
		c.Engines++
	}
	if b.disabled.engineLimits {
		c.InFlight, c.PrefillRates = unlimited, [3]float64{}
	}
	b.queue.SetCapacity(c)
}

func (b *bergamotScheduler) schedule(r *request) {
	now := b.sim.clock.Time()
	arrived := epoch.Add(r.arrived)
	if r.retries > 0 {
		// A retry resumes the response of a request that has already been accepted.
		b.start(nil, r)
		return
	}
	t, refusal := b.queue.Offer(now, admission.Request{
		Profile: &b.profiles[r.rank], Organisation: string(rune('A' + r.organisation)), Weight: 1,
		PromptTokens: r.prompt, MaxTokens: r.workload.profile.MaxOutputTokens, Arrived: arrived,
	})
	if refusal != nil {
		if !b.overflow(r) {
			r.outcome = refused
		}
		return
	}
	b.waiting[t] = r
	b.arrivalOrder = append(b.arrivalOrder, t)
	b.dispatch()
}

// dispatch starts the queued requests that the queue grants.
func (b *bergamotScheduler) dispatch() {
	for _, t := range b.queue.Grant(b.sim.clock.Time()) {
		r := b.waiting[t]
		delete(b.waiting, t)
		b.start(t, r)
	}
}

// routingRequest builds the routing request for r. It first closes the upstreams that
// are drained or down.
func (b *bergamotScheduler) routingRequest(r *request) routing.Request {
	for e, u := range b.upstreams {
		u.SetClosed(e.draining || e.down)
	}
	target := time.Duration(r.workload.profile.FirstTokenMS) * time.Millisecond
	out := routing.Request{
		Pool: pool, Model: model, DataCentre: dataCentreName(b.dc), Now: b.sim.clock.Time(), Rand: b.rng,
		PromptTokens: r.prompt, OutputTokens: b.predictor.Output(r.workload.profile.Name, 0, r.workload.profile.MaxOutputTokens),
		Prefix: uint64(r.prefix), PrefixTokens: r.prefixTokens,
		RemainingTarget: max(time.Millisecond, r.arrived+target-b.sim.clock.now), RemoteDelay: 2 * b.sim.fleet.remoteDelay,
	}
	if b.disabled.prefixAffinity {
		out.Prefix = 0
	}
	if b.disabled.overflow {
		out.RemainingTarget = 0
	}
	return out
}

// start routes a request and sends it to an engine. The ticket is nil for a retry.
func (b *bergamotScheduler) start(t *admission.Ticket, r *request) {
	request := b.routingRequest(r)
	choice := b.table.Choose(request)
	if choice.Upstream == nil {
		r.outcome = lost
		if t != nil {
			b.queue.Release(b.sim.clock.Time(), t, admission.Usage{})
		}
		return
	}
	b.sendTo(t, r, b.engineOf(choice.Upstream), request.OutputTokens)
}

// sendTo sends a request to an engine. The ticket is nil for a retry or an overflow.
// output is the predicted number of output tokens.
func (b *bergamotScheduler) sendTo(t *admission.Ticket, r *request, e *engine, output int) {
	end := func() {}
	if !b.disabled.inFlightTokens {
		end = b.upstreams[e].BeginTokens(b.sim.clock.Time(), r.prompt, output)
	}
	priority := b.profiles[r.rank].Rank.Priority()
	if t != nil {
		priority = t.Priority()
	}
	j := b.send(r, e, priority)
	b.active[j] = &activeAttempt{ticket: t, engine: e, end: end}
}

func (b *bergamotScheduler) engineOf(u *routing.Upstream) *engine {
	for e, candidate := range b.upstreams {
		if candidate == u {
			return e
		}
	}
	return nil
}

// overflow sends a refused request to another data centre that can meet its
// first-token target. It reports whether it did so.
func (b *bergamotScheduler) overflow(r *request) bool {
	if b.disabled.overflow {
		return false
	}
	request := b.routingRequest(r)
	request.ExcludeLocal = true
	choice := b.table.Choose(request)
	if choice.Upstream == nil || choice.FirstToken > min(request.RemainingTarget, admission.MaxEngineWait(&r.workload.profile)) {
		return false
	}
	e := b.engineOf(choice.Upstream)
	if float64(choice.Upstream.TokensInFlight()+int64(r.prompt)) > overflowShare*b.limits[e].inFlight.Value() {
		return false
	}
	b.sendTo(nil, r, e, request.OutputTokens)
	return true
}

func (b *bergamotScheduler) onFirstToken(j *job) {
	if attempt := b.active[j]; attempt != nil && attempt.ticket != nil {
		b.queue.FirstToken(attempt.ticket)
		b.dispatch()
	}
}

func (b *bergamotScheduler) onEnd(j *job, ok bool) {
	attempt := b.active[j]
	delete(b.active, j)
	attempt.end()
	if ok {
		b.observeAttempt(j, attempt)
	}
	if attempt.ticket == nil {
		return
	}
	r := j.request
	b.queue.Release(b.sim.clock.Time(), attempt.ticket, admission.Usage{PromptTokens: r.prompt, OutputTokens: j.generated, Complete: ok})
	b.dispatch()
}

// observeAttempt adjusts the engine's limits as package daemon does. The sample of the
// prefill limit is the time to the first token without the expected prefill time.
func (b *bergamotScheduler) observeAttempt(j *job, attempt *activeAttempt) {
	firstTokenDelay := j.firstTokenAt - j.sent
	now, sent := b.sim.clock.Time(), epoch.Add(j.sent)
	waiting := b.queue.Waiting() > 0
	limits := b.limits[attempt.engine]
	rank := b.profiles[j.request.rank].Rank.Priority()
	if j.priority == rank {
		prefill := limits.prefill[rank]
		prefillTime := time.Duration(float64(j.request.prompt) / prefill.Value() * float64(time.Second))
		prefill.Observe(now, admission.Sample{Sent: sent, Delay: firstTokenDelay - prefillTime, Target: admission.MaxEngineWait(&j.request.workload.profile)}, waiting)
	}
	if j.generated > 1 {
		interval := (b.sim.clock.now - j.firstTokenAt) / time.Duration(j.generated-1)
		target := time.Duration(j.request.workload.profile.TokenMS) * time.Millisecond
		limits.inFlight.Observe(now, admission.Sample{Sent: sent, Delay: interval, Target: target}, waiting)
	}
}

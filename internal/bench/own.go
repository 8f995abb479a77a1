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
	// overflowShare and maxPrefillFactor have the values of package daemon.
	overflowShare    = 0.1
	maxPrefillFactor = 4
	// unlimited is the value of a limit that is switched off.
	unlimited = 1e12
)

// ablation selects the mechanisms that are switched off.
type ablation struct {
	ranks, minShares, earlyRefusal, engineLimits, prefixAffinity, inFlight, overflow, peerDemand bool
}

// bergamotNode is a daemon that uses the decision packages of bergamotsill.
type bergamotNode struct {
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
	ticket *admission.Ticket
	engine *engine
	end    func()
}

func newBergamot(disabled ablation) func(n *node) decider {
	return func(n *node) decider {
		o := &bergamotNode{
			node: n, disabled: disabled, rng: rand.New(rand.NewPCG(uint64(n.id), 7)), predictor: admission.NewPredictor(),
			upstreams: map[*engine]*routing.Upstream{}, limits: map[*engine]*engineLimits{},
			waiting: map[*admission.Ticket]*request{}, active: map[*job]*activeAttempt{},
		}
		o.queue = admission.NewQueue(o.options(), o.predictor)
		o.buildTable()
		o.buildProfiles()
		return o
	}
}

func (o *bergamotNode) options() admission.Options {
	opts := admission.Options{MaxWaiting: queueLimit, MinShares: o.w.fleet.minShares}
	if o.disabled.minShares || o.disabled.ranks {
		opts.MinShares = [3]float64{}
	}
	return opts
}

func (o *bergamotNode) buildTable() {
	var list []*routing.Upstream
	for _, e := range o.w.engines {
		if !o.reaches(e) {
			continue
		}
		u := &routing.Upstream{VM: port.VM{
			ID: e.id, DataCentre: dataCentreName(e.dc), Kind: port.KindEngine, Pool: pool, State: port.VMLive,
		}}
		o.upstreams[e] = u
		list = append(list, u)
	}
	o.table = routing.NewTable(list)
}

func dataCentreName(dc int) string { return string(rune('a' + dc)) }

// buildProfiles copies the profiles and applies the ablations to them.
func (o *bergamotNode) buildProfiles() {
	for i := range o.profiles {
		o.profiles[i] = o.w.fleet.workloads[i].profile
		if o.disabled.ranks {
			o.profiles[i].Rank = profile.Standard
		}
		if o.disabled.earlyRefusal {
			o.profiles[i].FirstTokenMS = time.Hour.Milliseconds()
		}
	}
}

func (o *bergamotNode) report(e *engine, s port.EngineStatus, lag time.Duration) {
	u := o.upstreams[e]
	u.SetReport(&routing.Report{Status: s, Received: o.w.clock.Time(), Lag: lag, Failed: e.down})
	if _, ok := o.limits[e]; !ok {
		kvCapacity, prefillRate := float64(s.KVCapacity), float64(s.Capacity)
		l := &engineLimits{inFlight: admission.NewLimit(admission.LimitOptions{Initial: kvCapacity, Max: kvCapacity})}
		for rank := range l.prefill {
			l.prefill[rank] = admission.NewLimit(admission.LimitOptions{Initial: prefillRate, Max: maxPrefillFactor * prefillRate})
		}
		o.limits[e] = l
	}
}

func (o *bergamotNode) tick() {
	o.ticks++
	if o.ticks%int(demandInterval/tickInterval) == 0 && !o.disabled.peerDemand {
		o.shareDemand()
	}
	o.updateCapacity()
	now := o.w.clock.Time()
	stillWaiting := o.arrivalOrder[:0]
	for _, t := range o.arrivalOrder {
		if o.queue.Expire(now, t) {
			o.waiting[t].outcome = refused
			delete(o.waiting, t)
		}
		if t.State() == admission.Waiting {
			stillWaiting = append(stillWaiting, t)
		}
	}
	o.arrivalOrder = stillWaiting
	o.dispatch()
}

// shareDemand collects the demands of the other daemons of the data centre, which
// become known to this daemon after localDelay.
func (o *bergamotNode) shareDemand() {
	demands := map[int]float64{}
	for _, n := range o.w.nodes {
		if n.dc == o.dc && n.id != o.id {
			demands[n.id] = n.decider.(*bergamotNode).queue.Demand()
		}
	}
	o.w.clock.after(localDelay, func() {
		o.peerDemands = o.peerDemands[:0]
		for id := range o.w.nodes {
			if d, ok := demands[id]; ok {
				o.peerDemands = append(o.peerDemands, d)
			}
		}
	})
}

func (o *bergamotNode) updateCapacity() {
	c := admission.Capacity{MaxEngineTokens: engineKVTokens}
	c.Share = admission.Share(o.queue.Demand(), o.peerDemands, o.w.fleet.daemons[o.dc])
	for _, e := range o.w.engines {
		u := o.upstreams[e]
		if e.dc != o.dc || u.Report() == nil || !u.Serving() || e.draining {
			continue
		}
		l := o.limits[e]
		u.SetLimit(int64(l.inFlight.Value()))
		c.TokensPerSecond += reportedRate
		c.InFlight += l.inFlight.Value()
		for rank := range l.prefill {
			c.PrefillRates[rank] += l.prefill[rank].Value()
		}
		c.Engines++
	}
	if o.disabled.engineLimits {
		c.InFlight, c.PrefillRates = unlimited, [3]float64{}
	}
	o.queue.SetCapacity(c)
}

func (o *bergamotNode) arrive(r *request) {
	now := o.w.clock.Time()
	arrived := epoch.Add(r.arrived)
	if r.retries > 0 {
		// A resumed response belongs to a request that has been admitted.
		o.start(nil, r)
		return
	}
	t, refusal := o.queue.Offer(now, admission.Request{
		Profile: &o.profiles[r.rank], Organisation: string(rune('A' + r.organisation)), Weight: 1,
		PromptTokens: r.prompt, MaxTokens: r.workload.profile.MaxOutputTokens, Arrived: arrived,
	})
	if refusal != nil {
		if !o.overflow(r) {
			r.outcome = refused
		}
		return
	}
	o.waiting[t] = r
	o.arrivalOrder = append(o.arrivalOrder, t)
	o.dispatch()
}

func (o *bergamotNode) dispatch() {
	for _, t := range o.queue.Grant(o.w.clock.Time()) {
		r := o.waiting[t]
		delete(o.waiting, t)
		o.start(t, r)
	}
}

// routingRequest builds the routing request for r. It first closes the upstreams that
// are drained or down.
func (o *bergamotNode) routingRequest(r *request) routing.Request {
	for e, u := range o.upstreams {
		u.SetClosed(e.draining || e.down)
	}
	target := time.Duration(r.workload.profile.FirstTokenMS) * time.Millisecond
	out := routing.Request{
		Pool: pool, Model: model, DataCentre: dataCentreName(o.dc), Now: o.w.clock.Time(), Rand: o.rng,
		PromptTokens: r.prompt, OutputTokens: o.predictor.Output(r.workload.profile.Name, 0, r.workload.profile.MaxOutputTokens),
		Prefix: uint64(r.prefix), PrefixTokens: r.prefixTokens,
		RemainingTarget: max(time.Millisecond, r.arrived+target-o.w.clock.now), RemoteDelay: 2 * o.w.fleet.remoteDelay,
	}
	if o.disabled.prefixAffinity {
		out.Prefix = 0
	}
	if o.disabled.overflow {
		out.RemainingTarget = 0
	}
	return out
}

// start routes and sends an admitted request. The ticket is nil for a retry.
func (o *bergamotNode) start(t *admission.Ticket, r *request) {
	request := o.routingRequest(r)
	choice := o.table.Choose(request)
	if choice.Upstream == nil {
		r.outcome = lost
		if t != nil {
			o.queue.Release(o.w.clock.Time(), t, admission.Usage{})
		}
		return
	}
	o.sendTo(t, r, o.engineOf(choice.Upstream), request.OutputTokens)
}

func (o *bergamotNode) sendTo(t *admission.Ticket, r *request, e *engine, output int) {
	end := func() {}
	if !o.disabled.inFlight {
		end = o.upstreams[e].BeginTokens(o.w.clock.Time(), r.prompt, output)
	}
	priority := o.profiles[r.rank].Rank.Priority()
	if t != nil {
		priority = t.Priority()
	}
	j := o.send(r, e, priority)
	o.active[j] = &activeAttempt{ticket: t, engine: e, end: end}
}

func (o *bergamotNode) engineOf(u *routing.Upstream) *engine {
	for e, candidate := range o.upstreams {
		if candidate == u {
			return e
		}
	}
	return nil
}

// overflow sends a refused request to another data centre that can meet its
// first-token target. It reports whether it did so.
func (o *bergamotNode) overflow(r *request) bool {
	if o.disabled.overflow {
		return false
	}
	request := o.routingRequest(r)
	request.ExcludeLocal = true
	choice := o.table.Choose(request)
	if choice.Upstream == nil || choice.FirstToken > min(request.RemainingTarget, admission.MaxEngineWait(&r.workload.profile)) {
		return false
	}
	e := o.engineOf(choice.Upstream)
	if float64(choice.Upstream.TokensInFlight()+int64(r.prompt)) > overflowShare*o.limits[e].inFlight.Value() {
		return false
	}
	o.sendTo(nil, r, e, request.OutputTokens)
	return true
}

func (o *bergamotNode) firstToken(j *job) {
	if attempt := o.active[j]; attempt != nil && attempt.ticket != nil {
		o.queue.FirstToken(attempt.ticket)
		o.dispatch()
	}
}

func (o *bergamotNode) ended(j *job, ok bool) {
	attempt := o.active[j]
	delete(o.active, j)
	attempt.end()
	if ok {
		o.observeAttempt(j, attempt)
	}
	if attempt.ticket == nil {
		return
	}
	r := j.request
	o.queue.Release(o.w.clock.Time(), attempt.ticket, admission.Usage{PromptTokens: r.prompt, OutputTokens: j.generated, Complete: ok})
	o.dispatch()
}

// observeAttempt adjusts the engine's limits as package daemon does.
func (o *bergamotNode) observeAttempt(j *job, attempt *activeAttempt) {
	firstTokenDelay := j.firstTokenAt - j.sent
	now, sent := o.w.clock.Time(), epoch.Add(j.sent)
	waiting := o.queue.Waiting() > 0
	limits := o.limits[attempt.engine]
	rank := o.profiles[j.request.rank].Rank.Priority()
	if j.priority == rank {
		prefill := limits.prefill[rank]
		alone := time.Duration(float64(j.request.prompt) / prefill.Value() * float64(time.Second))
		prefill.Observe(now, admission.Sample{Sent: sent, Delay: firstTokenDelay - alone, Target: admission.MaxEngineWait(&j.request.workload.profile)}, waiting)
	}
	if j.generated > 1 {
		interval := (o.w.clock.now - j.firstTokenAt) / time.Duration(j.generated-1)
		target := time.Duration(j.request.workload.profile.TokenMS) * time.Millisecond
		limits.inFlight.Observe(now, admission.Sample{Sent: sent, Delay: interval, Target: target}, waiting)
	}
}

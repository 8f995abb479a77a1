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
	// queueLimit bounds the requests that wait at one daemon.
	queueLimit = 2000
	// spillShare and maxReadingFactor are those of package daemon.
	spillShare       = 0.1
	maxReadingFactor = 4
	// unlimited stands for a limit that is switched off.
	unlimited = 1e12
)

// without names the mechanisms that an ablation switches off.
type without struct {
	ranks, shares, refusal, limits, affinity, sent, remote, demand bool
}

// ownNode is a daemon with the real decision packages.
type ownNode struct {
	*node
	off       without
	rng       *rand.Rand
	predictor *admission.Predictor
	queue     *admission.Queue
	table     *routing.Table
	upstreams map[*engine]*routing.Upstream
	limits    map[*engine]*ownLimits
	waiting   map[*admission.Ticket]*request
	// order lists the waiting tickets by arrival, with some that have left.
	order    []*admission.Ticket
	running  map[*job]*ownJob
	profiles [3]profile.Profile
	// peers is the demand of the other daemons of the data centre.
	peers []float64
	ticks int
}

type ownLimits struct {
	reading [3]*admission.Limit
	held    *admission.Limit
}

// ownJob is what a daemon keeps of an attempt.
type ownJob struct {
	ticket *admission.Ticket
	engine *engine
	end    func()
}

func newOwn(off without) func(n *node) decider {
	return func(n *node) decider {
		o := &ownNode{
			node: n, off: off, rng: rand.New(rand.NewPCG(uint64(n.id), 7)), predictor: admission.NewPredictor(),
			upstreams: map[*engine]*routing.Upstream{}, limits: map[*engine]*ownLimits{},
			waiting: map[*admission.Ticket]*request{}, running: map[*job]*ownJob{},
		}
		o.queue = admission.NewQueue(o.options(), o.predictor)
		o.buildTable()
		o.buildProfiles()
		return o
	}
}

func (o *ownNode) options() admission.Options {
	opts := admission.Options{MaxWaiting: queueLimit, MinShares: o.w.fleet.shares}
	if o.off.shares || o.off.ranks {
		opts.MinShares = [3]float64{}
	}
	return opts
}

func (o *ownNode) buildTable() {
	var list []*routing.Upstream
	for _, e := range o.w.engines {
		if !o.reaches(e) {
			continue
		}
		u := &routing.Upstream{VM: port.VM{
			ID: e.id, DataCentre: centreName(e.dc), Kind: port.KindEngine, Pool: pool, State: port.VMLive,
		}}
		o.upstreams[e] = u
		list = append(list, u)
	}
	o.table = routing.NewTable(list)
}

func centreName(dc int) string { return string(rune('a' + dc)) }

// buildProfiles copies the profiles as admission sees them.
func (o *ownNode) buildProfiles() {
	for i := range o.profiles {
		o.profiles[i] = o.w.fleet.kinds[i].profile
		if o.off.ranks {
			o.profiles[i].Rank = profile.Standard
		}
		if o.off.refusal {
			o.profiles[i].FirstTokenMS = time.Hour.Milliseconds()
		}
	}
}

func (o *ownNode) report(e *engine, s port.EngineStatus, lag time.Duration) {
	u := o.upstreams[e]
	u.SetReport(&routing.Report{Status: s, Received: o.w.clock.Time(), Lag: lag, Failed: e.down})
	if _, ok := o.limits[e]; !ok {
		held, reading := float64(s.KVCapacity), float64(s.Capacity)
		l := &ownLimits{held: admission.NewLimit(admission.LimitOptions{Initial: held, Max: held})}
		for rank := range l.reading {
			l.reading[rank] = admission.NewLimit(admission.LimitOptions{Initial: reading, Max: maxReadingFactor * reading})
		}
		o.limits[e] = l
	}
}

func (o *ownNode) tick() {
	o.ticks++
	if o.ticks%int(demandInterval/tickInterval) == 0 && !o.off.demand {
		o.shareDemand()
	}
	o.updateCapacity()
	now := o.w.clock.Time()
	left := o.order[:0]
	for _, t := range o.order {
		if o.queue.Expire(now, t) {
			o.waiting[t].state = refused
			delete(o.waiting, t)
		}
		if t.State() == admission.Waiting {
			left = append(left, t)
		}
	}
	o.order = left
	o.dispatch()
}

// shareDemand sends this daemon's demand to those of its data centre.
func (o *ownNode) shareDemand() {
	demands := map[int]float64{}
	for _, n := range o.w.nodes {
		if n.dc == o.dc && n.id != o.id {
			demands[n.id] = n.decider.(*ownNode).queue.Demand()
		}
	}
	o.w.clock.after(localTransport, func() {
		o.peers = o.peers[:0]
		for id := range o.w.nodes {
			if d, ok := demands[id]; ok {
				o.peers = append(o.peers, d)
			}
		}
	})
}

func (o *ownNode) updateCapacity() {
	c := admission.Capacity{MaxEngineTokens: engineKVTokens}
	c.Share = admission.Share(o.queue.Demand(), o.peers, o.w.fleet.daemons[o.dc])
	for _, e := range o.w.engines {
		u := o.upstreams[e]
		if e.dc != o.dc || u.Report() == nil || !u.Serving() || e.draining {
			continue
		}
		l := o.limits[e]
		u.SetLimit(int64(l.held.Value()))
		c.TokensPerSecond += reportedRate
		c.InFlight += l.held.Value()
		for rank := range l.reading {
			c.PrefillRates[rank] += l.reading[rank].Value()
		}
		c.Engines++
	}
	if o.off.limits {
		c.InFlight, c.PrefillRates = unlimited, [3]float64{}
	}
	o.queue.SetCapacity(c)
}

func (o *ownNode) arrive(r *request) {
	now := o.w.clock.Time()
	arrived := epoch.Add(r.arrived)
	if r.retries > 0 {
		// A resumed answer is part of an admitted request.
		o.start(nil, r)
		return
	}
	t, refusal := o.queue.Offer(now, admission.Request{
		Profile: &o.profiles[r.rank], Organisation: string(rune('A' + r.organisation)), Weight: 1,
		PromptTokens: r.prompt, MaxTokens: r.kind.profile.MaxOutputTokens, Arrived: arrived,
	})
	if refusal != nil {
		if !o.spill(r) {
			r.state = refused
		}
		return
	}
	o.waiting[t] = r
	o.order = append(o.order, t)
	o.dispatch()
}

func (o *ownNode) dispatch() {
	for _, t := range o.queue.Grant(o.w.clock.Time()) {
		r := o.waiting[t]
		delete(o.waiting, t)
		o.start(t, r)
	}
}

// routingRequest describes a request for the table, after closing the upstreams that
// are drained or down.
func (o *ownNode) routingRequest(r *request) routing.Request {
	for e, u := range o.upstreams {
		u.SetClosed(e.draining || e.down)
	}
	target := time.Duration(r.kind.profile.FirstTokenMS) * time.Millisecond
	out := routing.Request{
		Pool: pool, Model: model, DataCentre: centreName(o.dc), Now: o.w.clock.Time(), Rand: o.rng,
		PromptTokens: r.prompt, OutputTokens: o.predictor.Output(r.kind.profile.Name, 0, r.kind.profile.MaxOutputTokens),
		Prefix: uint64(r.prefix), PrefixTokens: r.prefixTokens,
		RemainingTarget: max(time.Millisecond, r.arrived+target-o.w.clock.now), RemoteDelay: 2 * o.w.fleet.distance,
	}
	if o.off.affinity {
		out.Prefix = 0
	}
	if o.off.remote {
		out.RemainingTarget = 0
	}
	return out
}

// start sends an admitted request.
func (o *ownNode) start(t *admission.Ticket, r *request) {
	request := o.routingRequest(r)
	choice := o.table.Choose(request)
	if choice.Upstream == nil {
		r.state = lost
		if t != nil {
			o.queue.Release(o.w.clock.Time(), t, admission.Usage{})
		}
		return
	}
	o.sendTo(t, r, o.engineOf(choice.Upstream), request.OutputTokens)
}

func (o *ownNode) sendTo(t *admission.Ticket, r *request, e *engine, output int) {
	end := func() {}
	if !o.off.sent {
		end = o.upstreams[e].BeginTokens(o.w.clock.Time(), r.prompt, output)
	}
	priority := o.profiles[r.rank].Rank.Priority()
	if t != nil {
		priority = t.Priority()
	}
	j := o.send(r, e, priority)
	o.running[j] = &ownJob{ticket: t, engine: e, end: end}
}

func (o *ownNode) engineOf(u *routing.Upstream) *engine {
	for e, known := range o.upstreams {
		if known == u {
			return e
		}
	}
	return nil
}

// spill sends a refused request to another data centre that can meet its target.
func (o *ownNode) spill(r *request) bool {
	if o.off.remote {
		return false
	}
	request := o.routingRequest(r)
	request.ExcludeLocal = true
	choice := o.table.Choose(request)
	if choice.Upstream == nil || choice.FirstToken > min(request.RemainingTarget, admission.MaxEngineWait(&r.kind.profile)) {
		return false
	}
	e := o.engineOf(choice.Upstream)
	if float64(choice.Upstream.TokensInFlight()+int64(r.prompt)) > spillShare*o.limits[e].held.Value() {
		return false
	}
	o.sendTo(nil, r, e, request.OutputTokens)
	return true
}

func (o *ownNode) firstToken(j *job) {
	if own := o.running[j]; own != nil && own.ticket != nil {
		o.queue.FirstToken(own.ticket)
		o.dispatch()
	}
}

func (o *ownNode) ended(j *job, ok bool) {
	own := o.running[j]
	delete(o.running, j)
	own.end()
	if ok {
		o.observe(j, own)
	}
	if own.ticket == nil {
		return
	}
	r := j.request
	o.queue.Release(o.w.clock.Time(), own.ticket, admission.Usage{PromptTokens: r.prompt, OutputTokens: j.produced, Complete: ok})
	o.dispatch()
}

// observe adapts the engine's limits as package daemon does.
func (o *ownNode) observe(j *job, own *ownJob) {
	first := j.first - j.sent
	now, sent := o.w.clock.Time(), epoch.Add(j.sent)
	waiting := o.queue.Waiting() > 0
	limits := o.limits[own.engine]
	rank := o.profiles[j.request.rank].Rank.Priority()
	if j.priority == rank {
		reading := limits.reading[rank]
		alone := time.Duration(float64(j.request.prompt) / reading.Value() * float64(time.Second))
		reading.Observe(now, admission.Sample{Sent: sent, Delay: first - alone, Target: admission.MaxEngineWait(&j.request.kind.profile)}, waiting)
	}
	if j.produced > 1 {
		interval := (o.w.clock.now - j.first) / time.Duration(j.produced-1)
		target := time.Duration(j.request.kind.profile.TokenMS) * time.Millisecond
		limits.held.Observe(now, admission.Sample{Sent: sent, Delay: interval, Target: target}, waiting)
	}
}

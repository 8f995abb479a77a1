package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bergamotsill.example/bergamotsill/internal/admission"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// bytesPerToken is the usual mean for text; the engine reports the real count
	// with the answer.
	bytesPerToken = 4
	// defaultHeldSeconds is the work, in seconds of its capacity, that an engine of
	// unknown cache size may hold.
	defaultHeldSeconds = 60
	// remoteDelay is the extra round trip to another data centre that no probe has
	// measured yet.
	remoteDelay = 10 * time.Millisecond
	// spillShare is the part of a remote engine's limit that this daemon uses when
	// its own data centre cannot meet a target. It is small because every daemon
	// of every other data centre may do the same at once.
	spillShare = 0.1
	// maxReadingFactor bounds the speed at which an engine is taken to read prompts,
	// in multiples of the capacity that it reports.
	maxReadingFactor = 4
)

// engineLimits are the adaptive limits of one engine.
type engineLimits struct {
	// reading is the speed by rank, in tokens per second, at which the engine reads
	// prompts of the rank and of more urgent ones, found by the waits that prompts
	// have.
	reading [3]*admission.Limit
	// held limits all work, in tokens, by the time between tokens that it causes.
	held *admission.Limit
}

// queueKey identifies the engines that a queue stands for.
type queueKey struct {
	pool  string
	model string
}

// engineQueue is the queue before the engines that serve one model of a pool.
type engineQueue struct {
	queue   *admission.Queue
	waiters map[*admission.Ticket]chan struct{}
}

// admitter admits requests to engines.
type admitter struct {
	daemon  *Daemon
	choices atomic.Uint64

	mu        sync.Mutex
	predictor *admission.Predictor
	queues    map[queueKey]*engineQueue
	// limits holds the adaptive limits of each engine by VM id.
	limits map[string]*engineLimits
	// peers is the demand, in tokens per second, that the other daemons of the
	// data centre reported; daemons is their number with this one.
	peers   []float64
	daemons int
}

func newAdmitter(d *Daemon) *admitter {
	return &admitter{
		daemon:    d,
		predictor: admission.NewPredictor(),
		queues:    map[queueKey]*engineQueue{},
		limits:    map[string]*engineLimits{},
		daemons:   1,
	}
}

// run keeps capacities up to date.
func (a *admitter) run() error {
	every(a.daemon.context(), a.daemon.settings.Timing.StatusInterval.Std(), a.refresh)
	return nil
}

func (a *admitter) refresh(context.Context) {
	a.SetPeerDemand(a.daemon.gossip.exchangeDemand(a.Demand()))
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := 0
	for key, e := range a.queues {
		a.update(key, e)
		a.dispatch(e)
		waiting += e.queue.Waiting()
	}
	a.daemon.metrics.Waiting.Set(int64(waiting))
}

// SetPeerDemand stores the demand, in tokens per second, that the other daemons of
// the data centre reported.
func (a *admitter) SetPeerDemand(demand []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers = demand
}

// Demand returns the work offered to this daemon, in tokens per second.
func (a *admitter) Demand() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.demand()
}

// share returns the part, 0 to 1, of the data centre's capacity that this daemon
// works from.
func (a *admitter) share() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shareLocked()
}

func (a *admitter) shareLocked() float64 {
	return admission.Share(a.demand(), a.peers, a.daemons)
}

func (a *admitter) demand() float64 {
	total := 0.0
	for _, e := range a.queues {
		total += e.queue.Demand()
	}
	return total
}

// observeVMs counts the daemons of the data centre.
func (a *admitter) observeVMs(vms []port.VM) {
	count := 0
	for _, vm := range vms {
		if vm.Kind == port.KindDaemon && vm.State == port.VMLive && vm.DataCentre == a.daemon.settings.DataCentre {
			count++
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = max(1, count)
}

// queue returns the queue for a request, creating it when it is missing.
func (a *admitter) queue(g *generation) *engineQueue {
	key := queueKey{pool: g.profile.Pool, model: g.profile.Model}
	e, ok := a.queues[key]
	if !ok {
		e = &engineQueue{
			queue:   admission.NewQueue(a.options(), a.predictor),
			waiters: map[*admission.Ticket]chan struct{}{},
		}
		a.queues[key] = e
		a.update(key, e)
	}
	return e
}

func (a *admitter) options() admission.Options {
	o := admission.Options{MaxWaiting: a.daemon.settings.Limits.QueueRequests}
	if s := a.daemon.config.Snapshot(); s != nil {
		o.MinShares = admission.MinShares(s.Document)
	}
	return o
}

// update takes over the configuration and what the engines report.
func (a *admitter) update(key queueKey, e *engineQueue) {
	table := a.daemon.fleet.Table()
	if table == nil {
		return
	}
	e.queue.SetOptions(a.options())
	capacity := admission.Capacity{
		Share: a.shareLocked(),
	}
	for _, u := range table.Pool(key.pool) {
		a.addEngine(&capacity, key, u)
	}
	e.queue.SetCapacity(capacity)
}

// addEngine adds what an engine of the data centre can do. Engines of other data
// centres are the capacity of the daemons there.
func (a *admitter) addEngine(c *admission.Capacity, key queueKey, u *routing.Upstream) {
	report := u.Report()
	if report == nil || report.Status.Model != key.model {
		return
	}
	c.Largest = max(c.Largest, float64(report.Status.KVCapacity))
	limits := a.engineLimits(u, report)
	u.SetLimit(int64(limits.held.Value()))
	if u.VM.DataCentre != a.daemon.settings.DataCentre || !u.Serving() {
		return
	}
	c.TokensPerSecond += float64(report.Status.Capacity)
	c.InFlight += limits.held.Value()
	for rank, l := range limits.reading {
		c.Reading[rank] += l.Value()
	}
	c.Engines++
}

// engineLimits returns an engine's limits. They start with what the engine reports
// and adapt from there.
func (a *admitter) engineLimits(u *routing.Upstream, report *routing.Report) *engineLimits {
	l, ok := a.limits[u.VM.ID]
	if ok {
		return l
	}
	held := float64(report.Status.KVCapacity)
	if held <= 0 {
		held = defaultHeldSeconds * float64(report.Status.Capacity)
	}
	reading := float64(report.Status.Capacity)
	l = &engineLimits{held: admission.NewLimit(admission.LimitOptions{Initial: held, Max: held})}
	for rank := range l.reading {
		l.reading[rank] = admission.NewLimit(admission.LimitOptions{Initial: reading, Max: maxReadingFactor * reading})
	}
	a.limits[u.VM.ID] = l
	return l
}

// permit allows one request to run. A permit without a ticket is for engines of
// another data centre, or for a data centre without engines.
type permit struct {
	admitter *admitter
	queue    *engineQueue
	ticket   *admission.Ticket
	request  admission.Request
	output   int
	upstream *routing.Upstream
	sent     time.Time
	// remote is set when the data centre itself cannot start the request in time.
	remote bool
	// read is set after the first token; corrected is the output at the last
	// correction. Only the request's own goroutine uses them.
	read      bool
	corrected int
}

// acquire waits until a request may start. The error is a refusal that did not run.
func (a *admitter) acquire(ctx context.Context, g *generation) (*permit, error) {
	if err := a.daemon.memory.admits(g.profile.Rank); err != nil {
		return nil, err
	}
	a.mu.Lock()
	p := a.newPermit(g)
	if p.queue.queue.Unlimited() {
		// Without an engine in the data centre there is nothing to wait for;
		// routing finds another data centre or refuses.
		a.mu.Unlock()
		return p, nil
	}
	now := time.Now()
	t, refused := p.queue.queue.Offer(now, p.request)
	if refused != nil {
		a.mu.Unlock()
		return a.spill(g, p, refused)
	}
	p.ticket = t
	ready := make(chan struct{})
	p.queue.waiters[t] = ready
	a.dispatch(p.queue)
	a.mu.Unlock()
	if err := p.wait(ctx, ready); err != nil {
		return nil, err
	}
	a.daemon.metrics.Admitted.Add(1)
	a.daemon.orders.tokenCounter.add(p.request.Profile.Pool, p.request.Profile.Model, p.request.PromptTokens, 0)
	return p, nil
}

func (a *admitter) newPermit(g *generation) *permit {
	prompt := (len(g.prompt) + bytesPerToken - 1) / bytesPerToken
	return &permit{
		admitter: a,
		queue:    a.queue(g),
		request: admission.Request{
			Profile:      g.profile,
			Organisation: g.call.organisation,
			Weight:       g.snapshot.Weight(g.call.organisation),
			PromptTokens: prompt,
			MaxTokens:    g.maxTokens,
			Arrived:      g.call.started,
		},
		output: a.predictor.Output(g.profile.Name, 0, g.maxTokens),
	}
}

// dispatch starts the requests that fit.
func (a *admitter) dispatch(e *engineQueue) {
	for _, t := range e.queue.Grant(time.Now()) {
		close(e.waiters[t])
		delete(e.waiters, t)
	}
}

// wait blocks until the request starts, is refused for its target, or its caller
// leaves.
func (p *permit) wait(ctx context.Context, ready <-chan struct{}) error {
	timer := time.NewTimer(time.Until(p.ticket.StartBy()) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return p.giveUp(func(q *admission.Queue) bool { return q.Cancel(p.ticket) })
	case <-timer.C:
		return p.giveUp(func(q *admission.Queue) bool { return q.Expire(time.Now(), p.ticket) })
	}
}

// giveUp takes the request out of the queue, unless it has just started.
func (p *permit) giveUp(leave func(*admission.Queue) bool) error {
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	if !leave(p.queue.queue) {
		return nil
	}
	delete(p.queue.waiters, p.ticket)
	p.admitter.dispatch(p.queue)
	if r := p.ticket.Refusal(); r != nil {
		return r
	}
	return refusal.New(refusal.Overloaded, "the caller left before the request started")
}

// spill admits a refused request to another data centre that can still meet the
// target, within a small part of the engines there.
func (a *admitter) spill(g *generation, p *permit, refused *refusal.Error) (*permit, error) {
	if refused.Code != refusal.Overloaded {
		return nil, refused
	}
	p.remote = true
	g.permit = p
	choice := a.daemon.fleet.Table().Choose(a.request(g))
	if choice.Upstream == nil || choice.FirstToken > min(p.budget(time.Now()), admission.EngineWait(g.profile)) {
		return nil, refused
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	limits, ok := a.limits[choice.Upstream.VM.ID]
	if !ok || float64(choice.Upstream.Tokens()+p.tokens()) > spillShare*limits.held.Value() {
		return nil, refused
	}
	a.daemon.metrics.Spilled.Add(1)
	return p, nil
}

func (p *permit) tokens() int64 { return int64(p.request.PromptTokens + p.output) }

// budget returns what remains until the target for the first token.
func (p *permit) budget(now time.Time) time.Duration {
	target := time.Duration(p.request.Profile.FirstTokenMS) * time.Millisecond
	return max(time.Millisecond, target-now.Sub(p.request.Arrived))
}

// request describes a generation to routing.
func (a *admitter) request(g *generation) routing.Request {
	now := time.Now()
	prefix, prefixTokens := routing.PrefixOf(g.prompt)
	r := routing.Request{
		Pool:         g.profile.Pool,
		Model:        g.profile.Model,
		DataCentre:   a.daemon.settings.DataCentre,
		Excluded:     g.excluded,
		Now:          now,
		Rand:         rand.New(rand.NewPCG(a.daemon.deps.Seed, a.choices.Add(1))),
		Prefix:       prefix,
		PrefixTokens: prefixTokens,
		RoundTrips:   a.daemon.distances.RoundTrips(),
		RemoteDelay:  remoteDelay,
	}
	if g.permit != nil {
		r.PromptTokens = g.permit.request.PromptTokens
		r.OutputTokens = g.permit.output
		r.Budget = g.permit.budget(now)
		r.Remote = g.permit.remote && len(g.excluded) == 0
	}
	return r
}

// priority returns the engine priority of the request.
func (p *permit) priority() int {
	if p.ticket == nil {
		return p.request.Profile.Rank.Priority()
	}
	return p.ticket.Priority()
}

// begin counts an attempt at an engine as in flight; the returned function ends it.
func (p *permit) begin(u *routing.Upstream) func() {
	p.upstream = u
	p.sent = time.Now()
	return u.BeginWork(p.sent, p.request.PromptTokens, p.output)
}

// progress corrects the predicted output of a running request.
func (p *permit) progress(produced int) {
	first := !p.read && produced > 0
	if p.ticket == nil || !first && produced < p.corrected+progressTokens {
		return
	}
	p.corrected = produced
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	if first {
		p.read = true
		p.queue.queue.FirstToken(p.ticket)
		p.admitter.dispatch(p.queue)
	}
	p.queue.queue.Progress(p.ticket, produced)
}

// progressTokens is the number of output tokens between two corrections.
const progressTokens = 64

// release ends a request with its real token counts.
func (p *permit) release(g *generation) {
	now := time.Now()
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	p.observe(now, g)
	if p.ticket == nil {
		return
	}
	usage := p.usage(g)
	p.admitter.daemon.orders.tokenCounter.add(p.request.Profile.Pool, p.request.Profile.Model, 0, usage.OutputTokens)
	p.queue.queue.Release(now, p.ticket, usage)
	p.admitter.dispatch(p.queue)
}

func (p *permit) usage(g *generation) admission.Usage {
	u := admission.Usage{PromptTokens: p.request.PromptTokens, OutputTokens: g.assembler.Next()}
	if g.assembler.Last().Done {
		u = admission.Usage{PromptTokens: g.assembler.Last().PromptTokens, OutputTokens: g.assembler.Last().OutputTokens, Whole: true}
	}
	return u
}

// observe adapts the engine's limit to an answer of a single attempt. Answers that
// were resumed say nothing about one engine.
func (p *permit) observe(now time.Time, g *generation) {
	if p.upstream == nil || g.firstToken.Before(p.sent) || !g.assembler.Last().Done {
		return
	}
	first := g.firstToken.Sub(p.sent)
	limits, ok := p.admitter.limits[p.upstream.VM.ID]
	if !ok {
		return
	}
	waiting := p.queue.queue.Waiting() > 0
	reading := limits.reading[g.profile.Rank.Priority()]
	alone := time.Duration(float64(g.assembler.Last().PromptTokens) / reading.Value() * float64(time.Second))
	if p.priority() == g.profile.Rank.Priority() {
		queued := admission.Sample{Sent: p.sent, Delay: first - alone, Target: admission.EngineWait(g.profile)}
		reading.Observe(now, queued, waiting)
	}
	if n := g.assembler.Last().OutputTokens - 1; n > 0 {
		interval := now.Sub(g.firstToken) / time.Duration(n)
		target := time.Duration(g.profile.TokenMS) * time.Millisecond
		limits.held.Observe(now, admission.Sample{Sent: p.sent, Delay: interval, Target: target}, waiting)
	}
}

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
	// defaultInFlightSeconds is the work, in seconds of its capacity, that an engine of
	// unknown cache size may hold.
	defaultInFlightSeconds = 60
	// defaultRemoteDelay is the extra round trip to another data centre that no probe has
	// measured yet.
	defaultRemoteDelay = 10 * time.Millisecond
	// overflowShare is the part of a remote engine's limit that this daemon uses when
	// its own data centre cannot meet a target. It is small because every daemon
	// of every other data centre may do the same at once.
	overflowShare = 0.1
	// maxPrefillFactor bounds the speed at which an engine is taken to read prompts,
	// in multiples of the capacity that it reports.
	maxPrefillFactor = 4
)

// engineLimits are the adaptive limits of one engine.
type engineLimits struct {
	// prefill is the speed by rank, in tokens per second, at which the engine reads
	// prompts of the rank and of more urgent ones, found by the waits that prompts
	// have.
	prefill [3]*admission.Limit
	// inFlight limits all work, in tokens, by the time between tokens that it causes.
	inFlight *admission.Limit
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
	daemon     *Daemon
	routingSeq atomic.Uint64

	mu        sync.Mutex
	predictor *admission.Predictor
	queues    map[queueKey]*engineQueue
	// limits holds the adaptive limits of each engine by VM id.
	limits map[string]*engineLimits
	// peerDemand is the demand, in tokens per second, that the other daemons of the
	// data centre reported; daemons is their number with this one.
	peerDemand  []float64
	daemonCount int
}

func newAdmitter(d *Daemon) *admitter {
	return &admitter{
		daemon:      d,
		predictor:   admission.NewPredictor(),
		queues:      map[queueKey]*engineQueue{},
		limits:      map[string]*engineLimits{},
		daemonCount: 1,
	}
}

// run keeps capacities up to date.
func (a *admitter) run() error {
	runEvery(a.daemon.context(), a.daemon.settings.Timing.StatusInterval.Std(), a.refresh)
	return nil
}

func (a *admitter) refresh(context.Context) {
	a.SetPeerDemand(a.daemon.gossip.exchangeDemand(a.Demand()))
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := 0
	for key, e := range a.queues {
		a.updateQueue(key, e)
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
	a.peerDemand = demand
}

// Demand returns the work offered to this daemon, in tokens per second.
func (a *admitter) Demand() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.demandLocked()
}

// share returns the part, 0 to 1, of the data centre's capacity that this daemon
// works from.
func (a *admitter) share() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shareLocked()
}

func (a *admitter) shareLocked() float64 {
	return admission.Share(a.demandLocked(), a.peerDemand, a.daemonCount)
}

func (a *admitter) demandLocked() float64 {
	total := 0.0
	for _, e := range a.queues {
		total += e.queue.Demand()
	}
	return total
}

// updateDaemonCount counts the daemons of the data centre.
func (a *admitter) updateDaemonCount(vms []port.VM) {
	count := 0
	for _, vm := range vms {
		if vm.Kind == port.KindDaemon && vm.State == port.VMLive && vm.DataCentre == a.daemon.settings.DataCentre {
			count++
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemonCount = max(1, count)
}

// queueFor returns the queueFor for a request, creating it when it is missing.
func (a *admitter) queueFor(g *generation) *engineQueue {
	key := queueKey{pool: g.profile.Pool, model: g.profile.Model}
	e, ok := a.queues[key]
	if !ok {
		e = &engineQueue{
			queue:   admission.NewQueue(a.options(), a.predictor),
			waiters: map[*admission.Ticket]chan struct{}{},
		}
		a.queues[key] = e
		a.updateQueue(key, e)
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

// updateQueue takes over the configuration and what the engines report.
func (a *admitter) updateQueue(key queueKey, e *engineQueue) {
	table := a.daemon.fleet.Table()
	if table == nil {
		return
	}
	e.queue.SetOptions(a.options())
	capacity := admission.Capacity{
		Share: a.shareLocked(),
	}
	for _, u := range table.Pool(key.pool) {
		a.addEngineCapacity(&capacity, key, u)
	}
	e.queue.SetCapacity(capacity)
}

// addEngineCapacity adds what an engine of the data centre can do. Engines of other data
// centres are the capacity of the daemons there.
func (a *admitter) addEngineCapacity(c *admission.Capacity, key queueKey, u *routing.Upstream) {
	report := u.Report()
	if report == nil || report.Status.Model != key.model {
		return
	}
	c.MaxEngineTokens = max(c.MaxEngineTokens, float64(report.Status.KVCapacity))
	limits := a.limitsFor(u, report)
	u.SetLimit(int64(limits.inFlight.Value()))
	if u.VM.DataCentre != a.daemon.settings.DataCentre || !u.Serving() {
		return
	}
	c.TokensPerSecond += float64(report.Status.Capacity)
	c.InFlight += limits.inFlight.Value()
	for rank, l := range limits.prefill {
		c.PrefillRates[rank] += l.Value()
	}
	c.Engines++
}

// limitsFor returns an engine's limits. They start with what the engine reports
// and adapt from there.
func (a *admitter) limitsFor(u *routing.Upstream, report *routing.Report) *engineLimits {
	l, ok := a.limits[u.VM.ID]
	if ok {
		return l
	}
	held := float64(report.Status.KVCapacity)
	if held <= 0 {
		held = defaultInFlightSeconds * float64(report.Status.Capacity)
	}
	reading := float64(report.Status.Capacity)
	l = &engineLimits{inFlight: admission.NewLimit(admission.LimitOptions{Initial: held, Max: held})}
	for rank := range l.prefill {
		l.prefill[rank] = admission.NewLimit(admission.LimitOptions{Initial: reading, Max: maxPrefillFactor * reading})
	}
	a.limits[u.VM.ID] = l
	return l
}

// permit allows one request to run. A permit without a ticket is for engines of
// another data centre, or for a data centre without engines.
type permit struct {
	admitter        *admitter
	queue           *engineQueue
	ticket          *admission.Ticket
	request         admission.Request
	predictedOutput int
	upstream        *routing.Upstream
	sentAt          time.Time
	// remote is set when the data centre itself cannot start the request in time.
	remote bool
	// prefilled is set after the first token; corrected is the output at the last
	// correction. Only the request's own goroutine uses them.
	prefilled       bool
	correctedOutput int
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
		return a.overflow(g, p, refused)
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
		queue:    a.queueFor(g),
		request: admission.Request{
			Profile:      g.profile,
			Organisation: g.call.organisation,
			Weight:       g.snapshot.Weight(g.call.organisation),
			PromptTokens: prompt,
			MaxTokens:    g.maxTokens,
			Arrived:      g.call.started,
		},
		predictedOutput: a.predictor.Output(g.profile.Name, 0, g.maxTokens),
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
		return p.leaveQueue(func(q *admission.Queue) bool { return q.Cancel(p.ticket) })
	case <-timer.C:
		return p.leaveQueue(func(q *admission.Queue) bool { return q.Expire(time.Now(), p.ticket) })
	}
}

// leaveQueue takes the request out of the queue, unless it has just started.
func (p *permit) leaveQueue(leave func(*admission.Queue) bool) error {
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

// overflow admits a refused request to another data centre that can still meet the
// target, within a small part of the engines there.
func (a *admitter) overflow(g *generation, p *permit, refused *refusal.Error) (*permit, error) {
	if refused.Code != refusal.Overloaded {
		return nil, refused
	}
	p.remote = true
	g.permit = p
	choice := a.daemon.fleet.Table().Choose(a.routingRequest(g))
	if choice.Upstream == nil || choice.FirstToken > min(p.firstTokenBudget(time.Now()), admission.MaxEngineWait(g.profile)) {
		return nil, refused
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	limits, ok := a.limits[choice.Upstream.VM.ID]
	if !ok || float64(choice.Upstream.TokensInFlight()+p.predictedTokens()) > overflowShare*limits.inFlight.Value() {
		return nil, refused
	}
	a.daemon.metrics.Spilled.Add(1)
	return p, nil
}

func (p *permit) predictedTokens() int64 { return int64(p.request.PromptTokens + p.predictedOutput) }

// firstTokenBudget returns what remains until the target for the first token.
func (p *permit) firstTokenBudget(now time.Time) time.Duration {
	target := time.Duration(p.request.Profile.FirstTokenMS) * time.Millisecond
	return max(time.Millisecond, target-now.Sub(p.request.Arrived))
}

// routingRequest describes a generation to routing.
func (a *admitter) routingRequest(g *generation) routing.Request {
	now := time.Now()
	prefix, prefixTokens := routing.PrefixOf(g.prompt)
	r := routing.Request{
		Pool:         g.profile.Pool,
		Model:        g.profile.Model,
		DataCentre:   a.daemon.settings.DataCentre,
		Excluded:     g.excluded,
		Now:          now,
		Rand:         rand.New(rand.NewPCG(a.daemon.deps.Seed, a.routingSeq.Add(1))),
		Prefix:       prefix,
		PrefixTokens: prefixTokens,
		RoundTrips:   a.daemon.distances.RoundTrips(),
		RemoteDelay:  defaultRemoteDelay,
	}
	if g.permit != nil {
		r.PromptTokens = g.permit.request.PromptTokens
		r.OutputTokens = g.permit.predictedOutput
		r.RemainingTarget = g.permit.firstTokenBudget(now)
		r.ExcludeLocal = g.permit.remote && len(g.excluded) == 0
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

// beginAttempt counts an attempt at an engine as in flight; the returned function ends it.
func (p *permit) beginAttempt(u *routing.Upstream) func() {
	p.upstream = u
	p.sentAt = time.Now()
	return u.BeginTokens(p.sentAt, p.request.PromptTokens, p.predictedOutput)
}

// reportProgress corrects the predicted output of a running request.
func (p *permit) reportProgress(produced int) {
	first := !p.prefilled && produced > 0
	if p.ticket == nil || !first && produced < p.correctedOutput+correctionInterval {
		return
	}
	p.correctedOutput = produced
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	if first {
		p.prefilled = true
		p.queue.queue.FirstToken(p.ticket)
		p.admitter.dispatch(p.queue)
	}
	p.queue.queue.Progress(p.ticket, produced)
}

// correctionInterval is the number of output tokens between two corrections.
const correctionInterval = 64

// release ends a request with its real token counts.
func (p *permit) release(g *generation) {
	now := time.Now()
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	p.adaptLimits(now, g)
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
		u = admission.Usage{PromptTokens: g.assembler.Last().PromptTokens, OutputTokens: g.assembler.Last().OutputTokens, Complete: true}
	}
	return u
}

// adaptLimits adapts the engine's limit to an answer of a single attempt. Answers that
// were resumed say nothing about one engine.
func (p *permit) adaptLimits(now time.Time, g *generation) {
	if p.upstream == nil || g.firstTokenAt.Before(p.sentAt) || !g.assembler.Last().Done {
		return
	}
	first := g.firstTokenAt.Sub(p.sentAt)
	limits, ok := p.admitter.limits[p.upstream.VM.ID]
	if !ok {
		return
	}
	waiting := p.queue.queue.Waiting() > 0
	reading := limits.prefill[g.profile.Rank.Priority()]
	alone := time.Duration(float64(g.assembler.Last().PromptTokens) / reading.Value() * float64(time.Second))
	if p.priority() == g.profile.Rank.Priority() {
		queued := admission.Sample{Sent: p.sentAt, Delay: first - alone, Target: admission.MaxEngineWait(g.profile)}
		reading.Observe(now, queued, waiting)
	}
	if n := g.assembler.Last().OutputTokens - 1; n > 0 {
		interval := now.Sub(g.firstTokenAt) / time.Duration(n)
		target := time.Duration(g.profile.TokenMS) * time.Millisecond
		limits.inFlight.Observe(now, admission.Sample{Sent: p.sentAt, Delay: interval, Target: target}, waiting)
	}
}

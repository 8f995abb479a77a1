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
	// bytesPerToken estimates the prompt's token count from its length and is the
	// usual mean for text. The engine reports the real count with its response.
	bytesPerToken = 4
	// defaultInFlightSeconds limits the tokens in flight at an engine that reports no
	// KV cache size, as seconds of work at the engine's capacity.
	defaultInFlightSeconds = 60
	// defaultRemoteDelay is the assumed extra round-trip time to another data centre
	// until a probe has measured it.
	defaultRemoteDelay = 10 * time.Millisecond
	// overflowShare is the fraction of a remote engine's limit that this daemon may
	// use when the local data centre cannot meet a target. It is small because every
	// daemon of every other data centre may overflow to the same engine at once.
	overflowShare = 0.1
	// maxPrefillFactor bounds the estimated prefill rate of an engine, as a multiple
	// of the capacity that it reports.
	maxPrefillFactor = 4
)

// engineLimits holds the adaptive limits of one engine.
type engineLimits struct {
	// prefill estimates, by rank, the rate in tokens per second at which the engine
	// prefills prompts of that rank and of more urgent ranks. It adapts to the observed
	// queueing delay of prompts.
	prefill [3]*admission.Limit
	// inFlight limits the tokens of all requests in flight. It adapts to the observed
	// gap between output tokens.
	inFlight *admission.Limit
}

// queueKey identifies the engines that share a queue: those of a pool that serve a model.
type queueKey struct {
	pool  string
	model string
}

// engineQueue queues requests for one model of a pool. It is guarded by admitter.mu.
type engineQueue struct {
	queue *admission.Queue
	// waiters holds, for each waiting request, a channel that is closed at its start.
	waiters map[*admission.Ticket]chan struct{}
}

// admitter admits requests to engines. Each combination of pool and model has a queue.
type admitter struct {
	daemon *Daemon
	// routingSeq numbers the routing decisions and seeds the random choices of each.
	routingSeq atomic.Uint64

	// mu guards the fields below, the queues and the engine limits.
	mu        sync.Mutex
	predictor *admission.Predictor
	queues    map[queueKey]*engineQueue
	// limits holds the adaptive limits of each engine, by VM id.
	limits map[string]*engineLimits
	// peerDemand is the demand, in tokens per second, last reported by each other
	// daemon of the data centre.
	peerDemand []float64
	// daemonCount is the number of live daemons in the data centre, including this one.
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

// run calls refresh at each status interval until the daemon stops.
func (a *admitter) run() error {
	runEvery(a.daemon.context(), a.daemon.settings.Timing.StatusInterval.Std(), a.refresh)
	return nil
}

// refresh exchanges demand with peers, updates the capacity of every queue and starts
// the requests that fit.
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

// SetPeerDemand stores the demand, in tokens per second, of each peer in the data centre.
func (a *admitter) SetPeerDemand(demand []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peerDemand = demand
}

// Demand returns the load offered to this daemon, in tokens per second.
func (a *admitter) Demand() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.demandLocked()
}

// share returns this daemon's share, 0 to 1, of the data centre's capacity.
func (a *admitter) share() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shareLocked()
}

// shareLocked implements share. The caller holds a.mu.
func (a *admitter) shareLocked() float64 {
	return admission.Share(a.demandLocked(), a.peerDemand, a.daemonCount)
}

// demandLocked implements Demand. The caller holds a.mu.
func (a *admitter) demandLocked() float64 {
	total := 0.0
	for _, e := range a.queues {
		total += e.queue.Demand()
	}
	return total
}

// updateDaemonCount sets the number of live daemons in the data centre from the VM list.
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

// queueFor returns the queue for a request and creates it if necessary. The caller holds
// a.mu.
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

// options returns the queue options from the settings and the current configuration.
func (a *admitter) options() admission.Options {
	o := admission.Options{MaxWaiting: a.daemon.settings.Limits.QueueRequests}
	if s := a.daemon.config.Snapshot(); s != nil {
		o.MinShares = admission.MinShares(s.Document)
	}
	return o
}

// updateQueue applies the current configuration and engine reports to a queue. The
// caller holds a.mu.
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

// addEngineCapacity adds the capacity of an engine that serves the model to c. Engines of
// other data centres only update their limits and the largest KV cache, because their
// capacity is shared out by the daemons there. The caller holds a.mu.
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

// limitsFor returns an engine's limits. Their initial values come from the engine's
// report. The caller holds a.mu.
func (a *admitter) limitsFor(u *routing.Upstream, report *routing.Report) *engineLimits {
	l, ok := a.limits[u.VM.ID]
	if ok {
		return l
	}
	inFlight := float64(report.Status.KVCapacity)
	if inFlight <= 0 {
		inFlight = defaultInFlightSeconds * float64(report.Status.Capacity)
	}
	prefillRate := float64(report.Status.Capacity)
	l = &engineLimits{inFlight: admission.NewLimit(admission.LimitOptions{Initial: inFlight, Max: inFlight})}
	for rank := range l.prefill {
		l.prefill[rank] = admission.NewLimit(admission.LimitOptions{Initial: prefillRate, Max: maxPrefillFactor * prefillRate})
	}
	a.limits[u.VM.ID] = l
	return l
}

// permit allows one request to run. The ticket is nil if the request overflows to
// another data centre or the local data centre has no serving engine.
type permit struct {
	admitter *admitter
	queue    *engineQueue
	ticket   *admission.Ticket
	request  admission.Request
	// predictedOutput is the predicted number of output tokens.
	predictedOutput int
	// upstream is the engine of the last attempt and sentAt when that attempt began.
	upstream *routing.Upstream
	sentAt   time.Time
	// remote is set if the request overflows to another data centre because the local
	// one cannot start it in time.
	remote bool
	// prefilled is set after the first token. correctedOutput is the number of output
	// tokens at the last correction. Only the goroutine of the request uses them.
	prefilled       bool
	correctedOutput int
}

// acquire blocks until a request may start. The error is a refusal with the outcome
// NotRun.
func (a *admitter) acquire(ctx context.Context, g *generation) (*permit, error) {
	if err := a.daemon.memory.admits(g.profile.Rank); err != nil {
		return nil, err
	}
	a.mu.Lock()
	p := a.newPermit(g)
	if p.queue.queue.Unlimited() {
		// No local engine serves the model, so there is no capacity to wait for.
		// Routing selects another data centre or refuses the request.
		a.mu.Unlock()
		return p, nil
	}
	now := time.Now()
	t, refusedErr := p.queue.queue.Offer(now, p.request)
	if refusedErr != nil {
		a.mu.Unlock()
		return a.overflow(g, p, refusedErr)
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

// newPermit returns a permit without a ticket. The caller holds a.mu.
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

// dispatch starts the waiting requests that fit into the capacity. The caller holds
// a.mu.
func (a *admitter) dispatch(e *engineQueue) {
	for _, t := range e.queue.Grant(time.Now()) {
		close(e.waiters[t])
		delete(e.waiters, t)
	}
}

// wait blocks until the request starts, can no longer meet its target, or ctx ends.
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

// leaveQueue removes the request from the queue with remove and returns the refusal. It
// returns nil if remove returns false because the request has just started.
func (p *permit) leaveQueue(remove func(*admission.Queue) bool) error {
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	if !remove(p.queue.queue) {
		return nil
	}
	delete(p.queue.waiters, p.ticket)
	p.admitter.dispatch(p.queue)
	if r := p.ticket.Refusal(); r != nil {
		return r
	}
	return refusal.New(refusal.Overloaded, "the caller disconnected before the request started")
}

// overflow admits a request that the local data centre refused as overloaded if an
// engine of another data centre can still meet the target. It uses at most
// overflowShare of that engine's limit. Otherwise it returns refusedErr.
func (a *admitter) overflow(g *generation, p *permit, refusedErr *refusal.Error) (*permit, error) {
	if refusedErr.Code != refusal.Overloaded {
		return nil, refusedErr
	}
	p.remote = true
	g.permit = p
	choice := a.daemon.fleet.Table().Choose(a.routingRequest(g))
	if choice.Upstream == nil || choice.FirstToken > min(p.firstTokenBudget(time.Now()), admission.MaxEngineWait(g.profile)) {
		return nil, refusedErr
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	limits, ok := a.limits[choice.Upstream.VM.ID]
	if !ok || float64(choice.Upstream.TokensInFlight()+p.predictedTokens()) > overflowShare*limits.inFlight.Value() {
		return nil, refusedErr
	}
	a.daemon.metrics.Spilled.Add(1)
	return p, nil
}

// predictedTokens returns the prompt tokens plus the predicted output tokens.
func (p *permit) predictedTokens() int64 { return int64(p.request.PromptTokens + p.predictedOutput) }

// firstTokenBudget returns the time left until the first-token target, at least 1 ms.
func (p *permit) firstTokenBudget(now time.Time) time.Duration {
	target := time.Duration(p.request.Profile.FirstTokenMS) * time.Millisecond
	return max(time.Millisecond, target-now.Sub(p.request.Arrived))
}

// routingRequest returns the input of a routing decision for a generation.
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
	g.requireSoftware(&r)
	if g.permit != nil {
		r.PromptTokens = g.permit.request.PromptTokens
		r.OutputTokens = g.permit.predictedOutput
		r.RemainingTarget = g.permit.firstTokenBudget(now)
		r.ExcludeLocal = g.permit.remote && len(g.excluded) == 0
	}
	return r
}

// priority returns the priority that engines use to schedule the request.
func (p *permit) priority() int {
	if p.ticket == nil {
		return p.request.Profile.Rank.Priority()
	}
	return p.ticket.Priority()
}

// beginAttempt counts an attempt as in flight at an engine until the returned function
// is called.
func (p *permit) beginAttempt(u *routing.Upstream) func() {
	p.upstream = u
	p.sentAt = time.Now()
	return u.BeginTokens(p.sentAt, p.request.PromptTokens, p.predictedOutput)
}

// reportProgress corrects the predicted cost of a running request after its first token
// and then every correctionInterval tokens. The argument is the number of output tokens
// so far.
func (p *permit) reportProgress(produced int) {
	firstToken := !p.prefilled && produced > 0
	if p.ticket == nil || !firstToken && produced < p.correctedOutput+correctionInterval {
		return
	}
	p.correctedOutput = produced
	p.admitter.mu.Lock()
	defer p.admitter.mu.Unlock()
	if firstToken {
		p.prefilled = true
		p.queue.queue.FirstToken(p.ticket)
		p.admitter.dispatch(p.queue)
	}
	p.queue.queue.Progress(p.ticket, produced)
}

// correctionInterval is the number of output tokens between two corrections of the
// predicted cost.
const correctionInterval = 64

// release ends a request and accounts for its actual token counts.
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

// usage returns the token counts that the engine reported with the final chunk, or the
// counts so far if the response is incomplete.
func (p *permit) usage(g *generation) admission.Usage {
	u := admission.Usage{PromptTokens: p.request.PromptTokens, OutputTokens: g.assembler.Next()}
	if g.assembler.Last().Done {
		u = admission.Usage{PromptTokens: g.assembler.Last().PromptTokens, OutputTokens: g.assembler.Last().OutputTokens, Complete: true}
	}
	return u
}

// adaptLimits adapts the engine's limits to the latencies of a complete response. It
// ignores a response whose first token came from an earlier attempt, because its
// latencies are not those of a single engine. The caller holds admitter.mu.
func (p *permit) adaptLimits(now time.Time, g *generation) {
	if p.upstream == nil || g.firstTokenAt.Before(p.sentAt) || !g.assembler.Last().Done {
		return
	}
	firstTokenDelay := g.firstTokenAt.Sub(p.sentAt)
	limits, ok := p.admitter.limits[p.upstream.VM.ID]
	if !ok {
		return
	}
	waiting := p.queue.queue.Waiting() > 0
	prefill := limits.prefill[g.profile.Rank.Priority()]
	prefillTime := time.Duration(float64(g.assembler.Last().PromptTokens) / prefill.Value() * float64(time.Second))
	// A request that runs at another rank's priority does not show the rate of its own rank.
	if p.priority() == g.profile.Rank.Priority() {
		queueing := admission.Sample{Sent: p.sentAt, Delay: firstTokenDelay - prefillTime, Target: admission.MaxEngineWait(g.profile)}
		prefill.Observe(now, queueing, waiting)
	}
	if n := g.assembler.Last().OutputTokens - 1; n > 0 {
		interval := now.Sub(g.firstTokenAt) / time.Duration(n)
		target := time.Duration(g.profile.TokenMS) * time.Millisecond
		limits.inFlight.Observe(now, admission.Sample{Sent: p.sentAt, Delay: interval, Target: target}, waiting)
	}
}

package admission

import (
	"math"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

const (
	// rateWindow is the interval over which rates are measured.
	rateWindow = time.Second
	// rateGain is the weight of the latest window in the moving average of a rate.
	rateGain = 0.3
	// creditLimit bounds the credit of a rank, in tokens, unless its next request
	// costs more. It limits how long a less urgent rank may be served first in a row.
	creditLimit = 4 * quantum
	// maxGuaranteedAdvance bounds the cost, as time at the measured throughput, by which
	// a request may exceed its rank's credit and still be sent to an engine with the
	// highest priority. More would delay urgent requests.
	maxGuaranteedAdvance = 50 * time.Millisecond
	// engineWaitShare is the fraction of the first-token target that a request may spend
	// waiting inside an engine. The wait in this queue must not use this part.
	engineWaitShare = 0.3
	// minRetryAfter is the shortest Retry-After. It keeps refused callers from retrying at once.
	minRetryAfter = 100 * time.Millisecond
	// unknownThroughputWait is the predicted wait while no engine reports a throughput.
	unknownThroughputWait = time.Minute
)

// Options configures a Queue.
type Options struct {
	// MinShares is the share of the capacity, 0 to 1, that is guaranteed to each rank
	// while it has requests, in the order of profile.Ranks.
	MinShares [3]float64
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
}

// MinShares returns the minimum shares of a configuration, indexed by rank priority.
func MinShares(doc *profile.Document) [3]float64 {
	var out [3]float64
	for _, r := range doc.Ranks {
		out[r.Name.Priority()] = r.MinShare
	}
	return out
}

// Capacity is the capacity of the data centre's engines, and this daemon's share of it.
type Capacity struct {
	// TokensPerSecond is the total throughput that the engines report.
	TokensPerSecond float64
	// Engines is the number of engines.
	Engines int
	// PrefillRates holds, by rank, the rate in tokens per second at which all engines
	// together prefill prompts of that rank and of the more urgent ones; 0 means that
	// it is not known. The rates bound the prompts ahead of a request inside the
	// engines, so that the order of this queue takes effect.
	PrefillRates [3]float64
	// InFlight is the cost, in tokens, that all engines together may hold at once.
	InFlight float64
	// MaxEngineTokens is the largest cost, in tokens, that one engine can hold; 0 if unknown.
	MaxEngineTokens float64
	// Share is this daemon's share of the capacity, 0 to 1.
	Share float64
}

// rankState holds the queue, the in-flight totals and the credit of one rank.
type rankState struct {
	profiles     scheduler
	waitingCount int
	// waitingTokens and runningTokens are predicted costs in tokens.
	waitingTokens float64
	runningTokens float64
	// prefillTokens is the total prompt length of running requests without a first token.
	prefillTokens float64
	// prefillQueue lists the tickets counted in prefillTokens in the order of their
	// start, with some that have received their first token since.
	prefillQueue []*Ticket
	// credit is the guaranteed service, in tokens, that the rank has yet to receive.
	credit float64
	// dispatchedTokens and offeredTokens are counted in the current window; rate and
	// demand are their moving averages in tokens per second.
	dispatchedTokens float64
	rate             float64
	offeredTokens    float64
	demand           float64
}

// Queue admits requests by rank, then by profile, then by organisation.
type Queue struct {
	opts           Options
	predictor      *Predictor
	capacity       Capacity
	ranks          [3]rankState
	runningTickets map[*Ticket]bool
	pacer          pacer
	// prefillByPriority is the total prompt length, in tokens, of running requests without
	// a first token, by engine priority.
	prefillByPriority [3]float64
	// throughput is the measured throughput under load, in tokens per second.
	throughput  float64
	windowStart time.Time
	// backlogged is set while requests have waited during the whole current window.
	backlogged bool
}

// NewQueue returns an empty queue without capacity.
func NewQueue(o Options, p *Predictor) *Queue {
	return &Queue{opts: o, predictor: p, runningTickets: map[*Ticket]bool{}}
}

// SetOptions replaces the configuration; waiting requests stay in the queue.
func (q *Queue) SetOptions(o Options) { q.opts = o }

// SetCapacity replaces the capacity and scales the measured throughput in proportion.
func (q *Queue) SetCapacity(c Capacity) {
	before, after := q.capacity.TokensPerSecond*q.capacity.Share, c.TokensPerSecond*c.Share
	if before <= 0 || q.throughput <= 0 {
		q.throughput = after
	} else {
		q.throughput *= after / before
	}
	q.capacity = c
}

// Unlimited reports whether no engine of the data centre is known to serve, so that
// there is no capacity to limit requests by.
func (q *Queue) Unlimited() bool { return q.capacity.InFlight <= 0 }

// limit returns the cost, in tokens, that this daemon may have in flight.
func (q *Queue) limit() float64 { return q.capacity.InFlight * q.capacity.Share }

// Offer adds a request to the queue. It returns a refusal when the request is larger
// than any engine, cannot start in time, or finds the queue full.
func (q *Queue) Offer(now time.Time, r Request) (*Ticket, *refusal.Error) {
	q.updateRates(now)
	t := q.newTicket(now, r)
	q.ranks[t.rank].offeredTokens += t.cost
	if q.capacity.MaxEngineTokens > 0 && t.cost > q.capacity.MaxEngineTokens {
		return nil, refusal.New(refusal.TooLarge,
			"the request needs %.0f tokens, but the largest engine holds %.0f", t.cost, q.capacity.MaxEngineTokens)
	}
	wait := q.predictWait(t)
	if start := now.Add(wait); start.After(t.startBy) {
		return nil, overloaded(start.Sub(t.startBy))
	}
	if q.Waiting() >= q.opts.MaxWaiting {
		return nil, refusal.New(refusal.Overloaded,
			"the queue is full: %d requests are waiting", q.Waiting()).WithRetryAfter(max(wait, minRetryAfter))
	}
	q.enqueue(t)
	return t, nil
}

func overloaded(late time.Duration) *refusal.Error {
	late = max(late, minRetryAfter)
	return refusal.New(refusal.Overloaded, "the request would start %s too late for its first-token target", late.Round(time.Millisecond)).WithRetryAfter(late)
}

func (q *Queue) newTicket(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, rank: r.Profile.Rank.Priority()}
	t.cost = q.predictCost(t)
	target := time.Duration(r.Profile.FirstTokenMS) * time.Millisecond
	t.startBy = r.Arrived.Add(target - MaxEngineWait(r.Profile) - q.prefillTime(t.rank, r.PromptTokens))
	if t.startBy.Before(now) && r.Arrived.Add(target).After(now) {
		// The predicted prefill time exceeds the target, but an idle engine may still
		// meet it.
		t.startBy = now
	}
	return t
}

// prefillTime predicts the time in which one engine prefills a prompt; 0 means unknown.
func (q *Queue) prefillTime(rank, tokens int) time.Duration {
	if q.capacity.PrefillRates[rank] <= 0 {
		return 0
	}
	perEngine := q.capacity.PrefillRates[rank] / float64(max(1, q.capacity.Engines))
	seconds := float64(tokens) / perEngine
	return time.Duration(seconds * float64(time.Second))
}

func (q *Queue) predictCost(t *Ticket) float64 {
	output := q.predictor.Output(t.Profile.Name, t.produced, t.MaxTokens)
	return float64(t.PromptTokens + output)
}

func (q *Queue) enqueue(t *Ticket) {
	r := &q.ranks[t.rank]
	p := r.profiles.flow(t.Profile.Name, 1)
	if p.inner == nil {
		p.inner = &scheduler{}
	}
	o := p.inner.flow(t.Organisation, t.Weight)
	o.tickets = append(o.tickets, t)
	r.waitingCount++
	r.waitingTokens += t.cost
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for i := range q.ranks {
		n += q.ranks[i].waitingCount
	}
	return n
}

// Running returns the predicted cost in flight, in tokens.
func (q *Queue) Running() float64 {
	total := 0.0
	for i := range q.ranks {
		total += q.ranks[i].runningTokens
	}
	return total
}

// Demand returns the offered load in tokens per second, which is reported to peers.
func (q *Queue) Demand() float64 {
	total := 0.0
	for i := range q.ranks {
		total += q.ranks[i].demand
	}
	return total
}

// Grant starts all requests that may start now and returns them in order.
func (q *Queue) Grant(now time.Time) []*Ticket {
	q.updateRates(now)
	q.pacer.update(now, q)
	var out []*Ticket
	for {
		r, ok := q.nextRank()
		if !ok {
			break
		}
		out = append(out, q.start(now, r))
	}
	q.backlogged = q.backlogged && q.Waiting() > 0
	return out
}

// nextRank returns the rank whose request starts next. A rank whose credit covers its
// next request goes first; the remaining capacity goes to the most urgent rank.
func (q *Queue) nextRank() (int, bool) {
	reserved := false
	for r := range q.ranks {
		if !q.creditCovers(r) {
			continue
		}
		if q.fits(r) {
			return r, true
		}
		// Capacity that becomes free is reserved for this rank; otherwise a stream of
		// small requests of other ranks would use it up each time.
		reserved = true
	}
	for r := range q.ranks {
		if q.ranks[r].waitingCount > 0 && q.paceAllows(r) && (q.fitsMinShare(r) || !reserved && q.fits(r)) {
			return r, true
		}
	}
	return 0, false
}

func (q *Queue) creditCovers(r int) bool {
	state := &q.ranks[r]
	return state.waitingCount > 0 && state.credit >= state.profiles.head().cost
}

// fits reports whether the next request of a rank may start: nothing is in flight, the
// request fits beside everything in flight, or it fits within the rank's minimum share.
func (q *Queue) fits(r int) bool {
	return q.Running() == 0 || q.fitsTotal(q.ranks[r].profiles.head()) || q.fitsMinShare(r)
}

// fitsTotal reports whether a request fits beside everything in flight.
func (q *Queue) fitsTotal(t *Ticket) bool {
	if q.Running()+t.cost > q.limit() {
		return false
	}
	tokensAhead := 0.0
	for priority := range t.rank + 1 {
		tokensAhead += q.prefillByPriority[priority]
	}
	return q.fitsPrefill(tokensAhead, t, 1)
}

// fitsPrefill reports whether the engines prefill a prompt and the tokens ahead of it
// within MaxEngineWait at the given share of their prefill rate. A prompt without tokens
// ahead of it always fits, however long it is.
func (q *Queue) fitsPrefill(tokensAhead float64, t *Ticket, share float64) bool {
	prefillRate := q.capacity.PrefillRates[t.rank] * q.capacity.Share * share
	if prefillRate <= 0 || tokensAhead == 0 {
		return true
	}
	return tokensAhead+float64(t.PromptTokens) <= prefillRate*MaxEngineWait(t.Profile).Seconds()
}

// MaxEngineWait returns how long a request of a profile may wait inside an engine.
// Engines serve by priority, so each profile is measured against its own target.
func MaxEngineWait(p *profile.Profile) time.Duration {
	return time.Duration(engineWaitShare*float64(p.FirstTokenMS)) * time.Millisecond
}

// fitsMinShare reports whether the next request of a rank fits within the rank's
// guaranteed tokens. These come on top of what other ranks have in flight, so that
// urgent requests start at once without capacity being kept idle for them.
func (q *Queue) fitsMinShare(r int) bool {
	if q.opts.MinShares[r] <= 0 {
		return false
	}
	state := &q.ranks[r]
	head := state.profiles.head()
	return state.runningTokens == 0 || state.runningTokens+head.cost <= q.guaranteedTokens(r) && q.fitsPrefill(state.prefillTokens, head, q.guaranteedPrefillShare(r))
}

func (q *Queue) start(now time.Time, rank int) *Ticket {
	r := &q.ranks[rank]
	t := r.profiles.pop()
	r.waitingCount--
	r.waitingTokens = nonNegative(r.waitingTokens - t.cost)
	r.runningTokens += t.cost
	r.prefillTokens += float64(t.PromptTokens)
	r.prefillQueue = append(r.prefillQueue, t)
	t.prefilling = true
	q.pacer.spend(rank, t.cost)
	r.dispatchedTokens += t.cost
	t.guaranteed = t.cost-r.credit <= maxGuaranteedAdvance.Seconds()*q.throughput
	q.prefillByPriority[t.Priority()] += float64(t.PromptTokens)
	q.chargeCredit(rank, t.cost)
	t.state = Running
	t.started = now
	q.runningTickets[t] = true
	return t
}

// chargeCredit accounts for a dispatch: every rank with waiting requests earns its
// minimum share of the cost, and the served rank is charged the whole cost.
func (q *Queue) chargeCredit(served int, cost float64) {
	for i := range q.ranks {
		r := &q.ranks[i]
		if i == served {
			r.credit -= cost
		}
		if r.waitingCount > 0 || i == served {
			r.credit += q.opts.MinShares[i] * cost
		}
		r.credit = max(-creditLimit, min(r.credit, q.creditBound(r)))
		if r.waitingCount == 0 {
			r.credit = min(r.credit, 0)
		}
	}
}

// creditBound returns the largest credit of a rank. It always covers the next request.
func (q *Queue) creditBound(r *rankState) float64 {
	if r.waitingCount == 0 {
		return creditLimit
	}
	return max(creditLimit, r.profiles.head().cost)
}

// FirstToken records that a running request's prompt is prefilled.
func (q *Queue) FirstToken(t *Ticket) {
	if !t.prefilling {
		return
	}
	t.prefilling = false
	r := &q.ranks[t.rank]
	r.prefillTokens = nonNegative(r.prefillTokens - float64(t.PromptTokens))
	q.prefillByPriority[t.Priority()] = nonNegative(q.prefillByPriority[t.Priority()] - float64(t.PromptTokens))
}

// Progress corrects the predicted cost of a running request for which produced output
// tokens have been generated.
func (q *Queue) Progress(t *Ticket, produced int) {
	if t.state != Running || produced <= t.produced {
		return
	}
	t.produced = produced
	q.setCost(t, max(t.cost, float64(t.PromptTokens+produced)))
	if float64(t.PromptTokens+produced) >= t.cost {
		q.setCost(t, q.predictCost(t))
	}
}

func (q *Queue) setCost(t *Ticket, cost float64) {
	r := &q.ranks[t.rank]
	r.runningTokens = nonNegative(r.runningTokens + cost - t.cost)
	r.dispatchedTokens = nonNegative(r.dispatchedTokens + cost - t.cost)
	t.cost = cost
}

// Release ends a running request and records its usage. A second Release has no effect.
func (q *Queue) Release(now time.Time, t *Ticket, u Usage) {
	if t.state != Running {
		return
	}
	q.updateRates(now)
	if u.Complete {
		q.predictor.Observe(t.Profile.Name, u.OutputTokens)
	}
	actual := float64(u.PromptTokens + u.OutputTokens)
	q.FirstToken(t)
	q.refund(t, t.cost-actual)
	q.ranks[t.rank].runningTokens = nonNegative(q.ranks[t.rank].runningTokens - t.cost)
	t.state = Released
	delete(q.runningTickets, t)
	q.clearRoundingErrors()
}

// refund corrects a rank's credit by the difference between predicted and actual cost.
func (q *Queue) refund(t *Ticket, tokens float64) {
	r := &q.ranks[t.rank]
	if r.waitingCount == 0 {
		return
	}
	r.credit = min(r.credit+tokens, q.creditBound(r))
}

// clearRoundingErrors removes the rounding errors that accumulate in the running sums.
func (q *Queue) clearRoundingErrors() {
	if len(q.runningTickets) > 0 {
		return
	}
	for i := range q.ranks {
		q.ranks[i].runningTokens = 0
	}
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != Waiting {
		return false
	}
	t.state = Refused
	q.remove(t)
	return true
}

func (q *Queue) remove(t *Ticket) {
	r := &q.ranks[t.rank]
	p := r.profiles.find(t.Profile.Name)
	p.inner.remove(p.inner.find(t.Organisation), t)
	r.profiles.dropIfEmpty(p)
	r.waitingCount--
	r.waitingTokens = nonNegative(r.waitingTokens - t.cost)
	if r.waitingCount == 0 {
		r.waitingTokens = 0
		r.credit = min(r.credit, 0)
	}
}

// Expire refuses a waiting request that can no longer start in time and reports whether
// it did. A response after its target has no value to the caller and takes capacity from
// responses that have.
func (q *Queue) Expire(now time.Time, t *Ticket) bool {
	if t.state != Waiting || !now.After(t.startBy) {
		return false
	}
	t.refusal = overloaded(q.predictWait(t))
	return q.Cancel(t)
}

// updateRates closes the current measurement window if it has ended.
func (q *Queue) updateRates(now time.Time) {
	if q.windowStart.IsZero() {
		q.windowStart = now
	}
	elapsed := now.Sub(q.windowStart)
	if elapsed < rateWindow {
		return
	}
	q.closeWindow(elapsed.Seconds())
	q.windowStart = now
	q.backlogged = q.Waiting() > 0
}

// closeWindow updates the rates and, after a backlogged window, the throughput.
func (q *Queue) closeWindow(seconds float64) {
	// A window that spans several intervals has the weight of as many.
	gain := 1 - math.Pow(1-rateGain, seconds/rateWindow.Seconds())
	total := 0.0
	for i := range q.ranks {
		r := &q.ranks[i]
		total += r.dispatchedTokens
		r.rate += gain * (r.dispatchedTokens/seconds - r.rate)
		r.demand += gain * (r.offeredTokens/seconds - r.demand)
		r.dispatchedTokens, r.offeredTokens = 0, 0
	}
	if q.backlogged && total > 0 {
		q.throughput += gain * (total/seconds - q.throughput)
	}
}

func nonNegative(v float64) float64 { return max(0, v) }

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
	// rateGain is the weight of the newest window in a rate.
	rateGain = 0.3
	// creditBurst bounds the credit of a rank, in tokens, unless its next request
	// costs more. It limits how long a less urgent rank may go first in a row.
	creditBurst = 4 * quantum
	// guaranteeTime is the work, in time at the measured rate, that may go into the
	// engines with the highest priority before its rank has earned it. More would
	// delay urgent work.
	guaranteeTime = 50 * time.Millisecond
	// engineShare is the part of the target for the first token that a request may
	// wait inside an engine. It is kept free of waiting in this queue.
	engineShare = 0.3
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
	// unknownWait is predicted while no engine reports a throughput.
	unknownWait = time.Minute
)

// Options configures a Queue.
type Options struct {
	// MinShares is the share of the capacity, 0 to 1, that each rank keeps while
	// it has work, in the order of profile.Ranks.
	MinShares [3]float64
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
}

// MinShares returns the minimum shares of a configuration.
func MinShares(doc *profile.Document) [3]float64 {
	var out [3]float64
	for _, r := range doc.Ranks {
		out[r.Name.Priority()] = r.MinShare
	}
	return out
}

// Capacity is what the data centre's engines can do, and this daemon's part.
type Capacity struct {
	// TokensPerSecond is the throughput that all engines report.
	TokensPerSecond float64
	// Engines is the number of engines.
	Engines int
	// PrefillRates is the speed, in tokens per second, at which all engines together
	// read prompts of each rank and of the more urgent ones; 0 means that it is
	// not known. It bounds the prompts in front of a request inside the engines,
	// so that the order of this queue counts.
	PrefillRates [3]float64
	// InFlight is the work, in tokens, that all engines may hold at once.
	InFlight float64
	// MaxEngineTokens is the most, in tokens, that one engine can ever hold; 0 when it is
	// not known.
	MaxEngineTokens float64
	// Share is this daemon's part, 0 to 1.
	Share float64
}

// rankState is the queue and the account of one rank.
type rankState struct {
	profiles scheduler
	count    int
	// waiting and running are predicted costs in tokens.
	waiting float64
	running float64
	// reading is the prompt tokens of requests without a first token.
	reading float64
	// unread lists the tickets in reading in the order of their start, with some
	// that were read since.
	unread []*Ticket
	// credit is the guaranteed service, in tokens, that the rank has not had yet.
	credit float64
	// dispatched counts tokens in the current window; rate is in tokens per second.
	dispatched float64
	rate       float64
	offered    float64
	demand     float64
}

// Queue admits requests by rank, then profile, then organisation.
type Queue struct {
	opts      Options
	predictor *Predictor
	capacity  Capacity
	ranks     [3]rankState
	running   map[*Ticket]bool
	pace      pacer
	// unread counts prompt tokens of requests without a first token by engine
	// priority.
	unread [3]float64
	// rate is the measured throughput, in tokens per second, under load.
	rate        float64
	windowStart time.Time
	backlogged  bool
}

// NewQueue returns an empty queue without capacity.
func NewQueue(o Options, p *Predictor) *Queue {
	return &Queue{opts: o, predictor: p, running: map[*Ticket]bool{}}
}

// SetOptions replaces the configuration; waiting requests stay.
func (q *Queue) SetOptions(o Options) { q.opts = o }

// SetCapacity replaces the capacity. The measured throughput is scaled with it.
func (q *Queue) SetCapacity(c Capacity) {
	before, after := q.capacity.TokensPerSecond*q.capacity.Share, c.TokensPerSecond*c.Share
	if before <= 0 || q.rate <= 0 {
		q.rate = after
	} else {
		q.rate *= after / before
	}
	q.capacity = c
}

// Unlimited tells that no engine of the data centre is known to serve, so that
// there is no capacity to share out.
func (q *Queue) Unlimited() bool { return q.capacity.InFlight <= 0 }

// limit is the work, in tokens, that this daemon may have in flight.
func (q *Queue) limit() float64 { return q.capacity.InFlight * q.capacity.Share }

// Offer adds a request. It returns a refusal when the request cannot start in
// time, can never run, or finds the queue full.
func (q *Queue) Offer(now time.Time, r Request) (*Ticket, *refusal.Error) {
	q.measure(now)
	t := q.ticket(now, r)
	q.ranks[t.rank].offered += t.cost
	if q.capacity.MaxEngineTokens > 0 && t.cost > q.capacity.MaxEngineTokens {
		return nil, refusal.New(refusal.TooLarge,
			"the request needs %.0f tokens, more than the %.0f that any engine holds", t.cost, q.capacity.MaxEngineTokens)
	}
	wait := q.predictWait(t)
	if start := now.Add(wait); start.After(t.startBy) {
		return nil, overloaded(start.Sub(t.startBy))
	}
	if q.Waiting() >= q.opts.MaxWaiting {
		return nil, refusal.New(refusal.Overloaded,
			"%d requests wait already", q.Waiting()).WithRetryAfter(max(wait, minRetryAfter))
	}
	q.push(t)
	return t, nil
}

func overloaded(late time.Duration) *refusal.Error {
	late = max(late, minRetryAfter)
	return refusal.New(refusal.Overloaded, "the request would start %s after its target", late.Round(time.Millisecond)).WithRetryAfter(late)
}

func (q *Queue) ticket(now time.Time, r Request) *Ticket {
	t := &Ticket{Request: r, rank: r.Profile.Rank.Priority()}
	t.cost = q.cost(t)
	target := time.Duration(r.Profile.FirstTokenMS) * time.Millisecond
	t.startBy = r.Arrived.Add(target - MaxEngineWait(r.Profile) - q.prefillTime(t.rank, r.PromptTokens))
	if t.startBy.Before(now) && r.Arrived.Add(target).After(now) {
		// The prediction of the prefill time leaves no room, yet an idle engine
		// may still be in time.
		t.startBy = now
	}
	return t
}

func (q *Queue) prefillTime(rank, tokens int) time.Duration {
	if q.capacity.PrefillRates[rank] <= 0 {
		return 0
	}
	perEngine := q.capacity.PrefillRates[rank] / float64(max(1, q.capacity.Engines))
	seconds := float64(tokens) / perEngine
	return time.Duration(seconds * float64(time.Second))
}

func (q *Queue) cost(t *Ticket) float64 {
	output := q.predictor.Output(t.Profile.Name, t.produced, t.MaxTokens)
	return float64(t.PromptTokens + output)
}

func (q *Queue) push(t *Ticket) {
	r := &q.ranks[t.rank]
	p := r.profiles.flow(t.Profile.Name, 1)
	if p.inner == nil {
		p.inner = &scheduler{}
	}
	o := p.inner.flow(t.Organisation, t.Weight)
	o.tickets = append(o.tickets, t)
	r.count++
	r.waiting += t.cost
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for i := range q.ranks {
		n += q.ranks[i].count
	}
	return n
}

// Running returns the work in flight in tokens.
func (q *Queue) Running() float64 {
	total := 0.0
	for i := range q.ranks {
		total += q.ranks[i].running
	}
	return total
}

// Demand returns the offered work in tokens per second, for peers.
func (q *Queue) Demand() float64 {
	total := 0.0
	for i := range q.ranks {
		total += q.ranks[i].demand
	}
	return total
}

// Grant returns the requests that start now, in order.
func (q *Queue) Grant(now time.Time) []*Ticket {
	q.measure(now)
	q.pace.update(now, q)
	var out []*Ticket
	for {
		r, ok := q.pick()
		if !ok {
			break
		}
		out = append(out, q.start(now, r))
	}
	q.backlogged = q.backlogged && q.Waiting() > 0
	return out
}

// pick returns the rank that goes next. A rank whose credit pays for its next
// request goes first; what is left goes to the most urgent rank.
func (q *Queue) pick() (int, bool) {
	held := false
	for r := range q.ranks {
		if !q.owed(r) {
			continue
		}
		if q.fits(r) {
			return r, true
		}
		// Room that becomes free is kept for this rank; otherwise a stream of
		// small requests of other ranks would take it away each time.
		held = true
	}
	for r := range q.ranks {
		if q.ranks[r].count > 0 && q.paced(r) && (q.fitsMinimum(r) || !held && q.fits(r)) {
			return r, true
		}
	}
	return 0, false
}

func (q *Queue) owed(r int) bool {
	state := &q.ranks[r]
	return state.count > 0 && state.credit >= state.profiles.head().cost
}

func (q *Queue) fits(r int) bool {
	return q.Running() == 0 || q.fitsTotal(q.ranks[r].profiles.head()) || q.fitsMinimum(r)
}

// fitsTotal tells whether a request fits beside all that is in flight.
func (q *Queue) fitsTotal(t *Ticket) bool {
	if q.Running()+t.cost > q.limit() {
		return false
	}
	ahead := 0.0
	for priority := range t.rank + 1 {
		ahead += q.unread[priority]
	}
	return q.fitsReading(ahead, t, 1)
}

// fitsReading tells whether the engines read a prompt and the ahead tokens in front
// of it within the wait that its target allows, at a share of their speed. One
// prompt always fits, however long it is.
func (q *Queue) fitsReading(ahead float64, t *Ticket, share float64) bool {
	speed := q.capacity.PrefillRates[t.rank] * q.capacity.Share * share
	if speed <= 0 || ahead == 0 {
		return true
	}
	return ahead+float64(t.PromptTokens) <= speed*MaxEngineWait(t.Profile).Seconds()
}

// MaxEngineWait returns how long a request of a profile may wait inside an engine.
// Engines honour priorities, so that each profile is judged by its own target.
func MaxEngineWait(p *profile.Profile) time.Duration {
	return time.Duration(engineShare*float64(p.FirstTokenMS)) * time.Millisecond
}

// fitsMinimum tells whether the next request of a rank fits in the rank's own
// part of the limit. This part is on top of what other ranks have in flight: it
// makes urgent work start at once without room that stays idle for it.
func (q *Queue) fitsMinimum(r int) bool {
	if q.opts.MinShares[r] <= 0 {
		return false
	}
	state := &q.ranks[r]
	head := state.profiles.head()
	return state.running == 0 || state.running+head.cost <= q.part(r) && q.fitsReading(state.reading, head, q.readingPart(r))
}

func (q *Queue) start(now time.Time, rank int) *Ticket {
	r := &q.ranks[rank]
	t := r.profiles.take()
	r.count--
	r.waiting = nonNegative(r.waiting - t.cost)
	r.running += t.cost
	r.reading += float64(t.PromptTokens)
	r.unread = append(r.unread, t)
	t.reading = true
	q.pace.spend(rank, t.cost)
	r.dispatched += t.cost
	t.guaranteed = t.cost-r.credit <= guaranteeTime.Seconds()*q.rate
	q.unread[t.Priority()] += float64(t.PromptTokens)
	q.credit(rank, t.cost)
	t.state = Running
	t.started = now
	q.running[t] = true
	return t
}

// credit accounts for a dispatch: every rank with work earns its share of it, and
// the rank that was served pays.
func (q *Queue) credit(served int, cost float64) {
	for i := range q.ranks {
		r := &q.ranks[i]
		if i == served {
			r.credit -= cost
		}
		if r.count > 0 || i == served {
			r.credit += q.opts.MinShares[i] * cost
		}
		r.credit = max(-creditBurst, min(r.credit, q.creditBound(r)))
		if r.count == 0 {
			r.credit = min(r.credit, 0)
		}
	}
}

func (q *Queue) creditBound(r *rankState) float64 {
	if r.count == 0 {
		return creditBurst
	}
	return max(creditBurst, r.profiles.head().cost)
}

// FirstToken notes that a running request's prompt was read.
func (q *Queue) FirstToken(t *Ticket) {
	if !t.reading {
		return
	}
	t.reading = false
	r := &q.ranks[t.rank]
	r.reading = nonNegative(r.reading - float64(t.PromptTokens))
	q.unread[t.Priority()] = nonNegative(q.unread[t.Priority()] - float64(t.PromptTokens))
}

// Progress corrects the predicted cost of a running request by the output tokens
// that it has produced.
func (q *Queue) Progress(t *Ticket, produced int) {
	if t.state != Running || produced <= t.produced {
		return
	}
	t.produced = produced
	q.recost(t, max(t.cost, float64(t.PromptTokens+produced)))
	if float64(t.PromptTokens+produced) >= t.cost {
		q.recost(t, q.cost(t))
	}
}

func (q *Queue) recost(t *Ticket, cost float64) {
	r := &q.ranks[t.rank]
	r.running = nonNegative(r.running + cost - t.cost)
	r.dispatched = nonNegative(r.dispatched + cost - t.cost)
	t.cost = cost
}

// Release ends a running request. Releasing a ticket again has no effect.
func (q *Queue) Release(now time.Time, t *Ticket, u Usage) {
	if t.state != Running {
		return
	}
	q.measure(now)
	if u.Complete {
		q.predictor.Observe(t.Profile.Name, u.OutputTokens)
	}
	actual := float64(u.PromptTokens + u.OutputTokens)
	q.FirstToken(t)
	q.refund(t, t.cost-actual)
	q.ranks[t.rank].running = nonNegative(q.ranks[t.rank].running - t.cost)
	t.state = Released
	delete(q.running, t)
	q.clearRounding()
}

// refund corrects a rank's credit by the difference between prediction and truth.
func (q *Queue) refund(t *Ticket, tokens float64) {
	r := &q.ranks[t.rank]
	if r.count == 0 {
		return
	}
	r.credit = min(r.credit+tokens, q.creditBound(r))
}

// clearRounding removes the rounding errors that sums of floats collect.
func (q *Queue) clearRounding() {
	if len(q.running) > 0 {
		return
	}
	for i := range q.ranks {
		q.ranks[i].running = 0
	}
}

// Cancel takes a waiting request out. It returns false when the request is not
// waiting any more.
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
	r.count--
	r.waiting = nonNegative(r.waiting - t.cost)
	if r.count == 0 {
		r.waiting = 0
		r.credit = min(r.credit, 0)
	}
}

// Expire refuses a waiting request that can no longer start in time, and returns
// whether it did. An answer after its target is worth nothing to the caller and
// takes capacity from answers that are.
func (q *Queue) Expire(now time.Time, t *Ticket) bool {
	if t.state != Waiting || !now.After(t.startBy) {
		return false
	}
	t.refusal = overloaded(q.predictWait(t))
	return q.Cancel(t)
}

// measure closes the windows that have ended.
func (q *Queue) measure(now time.Time) {
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

func (q *Queue) closeWindow(seconds float64) {
	// A window that spans several intervals counts for as many.
	gain := 1 - math.Pow(1-rateGain, seconds/rateWindow.Seconds())
	total := 0.0
	for i := range q.ranks {
		r := &q.ranks[i]
		total += r.dispatched
		r.rate += gain * (r.dispatched/seconds - r.rate)
		r.demand += gain * (r.offered/seconds - r.demand)
		r.dispatched, r.offered = 0, 0
	}
	if q.backlogged && total > 0 {
		q.rate += gain * (total/seconds - q.rate)
	}
}

func nonNegative(v float64) float64 { return max(0, v) }

package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// candidateCount is the number of random candidates. Two already avoid most
	// of the imbalance of one; a few more tolerate stale reports of some.
	candidateCount = 4
	// smallPool is the number of upstreams up to which all are compared: in a data
	// centre of three or four engines a sample would leave one out.
	smallPool = 8
	// sampleTries bounds the tries at finding a usable random candidate.
	sampleTries = 4 * candidateCount
	// boundedLoad is the factor over the mean load of the candidates up to which
	// prefix affinity counts.
	boundedLoad = 1.25
	// boundedSlack is added to that bound, so that affinity counts on an idle
	// fleet.
	boundedSlack = 50 * time.Millisecond
	// longPrompt is the prompt length, in tokens, and promptRatio its ratio to the
	// output from which prefill dominates a request. Below, decoding does.
	longPrompt  = 1000
	promptRatio = 8
	// rolePenalty is the factor on the predicted time at an engine whose role is
	// for the other kind of work.
	rolePenalty = 1.5
	// remoteMargin is the time by which another data centre must be better.
	remoteMargin = 20 * time.Millisecond
)

// entry is an upstream of a table with the hash of its id.
type entry struct {
	upstream *Upstream
	hash     uint64
}

// pool holds the upstreams of one pool by data centre.
type pool struct {
	all     []*Upstream
	centres []centre
}

type centre struct {
	name    string
	entries []entry
}

// Table is an immutable view of the fleet by pool. It is read through an atomic
// pointer and may be used by any number of goroutines.
type Table struct {
	pools map[string]*pool
}

// NewTable returns a table of the given upstreams.
func NewTable(upstreams []*Upstream) *Table {
	t := &Table{pools: map[string]*pool{}}
	for _, u := range upstreams {
		p, ok := t.pools[u.VM.Pool]
		if !ok {
			p = &pool{}
			t.pools[u.VM.Pool] = p
		}
		p.add(u)
	}
	return t
}

func (p *pool) add(u *Upstream) {
	p.all = append(p.all, u)
	e := entry{upstream: u, hash: xxhash.Sum64String(u.VM.ID)}
	for i := range p.centres {
		if p.centres[i].name == u.VM.DataCentre {
			p.centres[i].entries = append(p.centres[i].entries, e)
			return
		}
	}
	p.centres = append(p.centres, centre{name: u.VM.DataCentre, entries: []entry{e}})
}

// Pool returns the upstreams of a pool.
func (t *Table) Pool(name string) []*Upstream {
	p, ok := t.pools[name]
	if !ok {
		return nil
	}
	return p.all
}

// Request describes what an upstream is wanted for. Pool alone suffices for a
// service; the other fields improve the choice of an engine.
type Request struct {
	Pool       string
	Model      string
	DataCentre string
	// Excluded holds ids of VMs that failed this request already.
	Excluded map[string]bool

	Now time.Time
	// Rand picks candidates; nil compares all upstreams.
	Rand *rand.Rand
	// PromptTokens and OutputTokens are the predicted sizes.
	PromptTokens int
	OutputTokens int
	// Prefix is the hash of the first prompt blocks, 0 for no affinity, and
	// PrefixTokens the length that a warm prefix cache is expected to save.
	Prefix       uint64
	PrefixTokens int
	// RemainingTarget is what remains until the target for the first token; 0 means that
	// there is no target, so that the local data centre is kept.
	RemainingTarget time.Duration
	// ExcludeLocal leaves the request's own data centre out.
	ExcludeLocal bool
	// RoundTrips holds the extra round trip to other data centres by name, and
	// RemoteDelay the one to those that are not in it.
	RoundTrips  map[string]time.Duration
	RemoteDelay time.Duration
}

// distance returns the extra round trip to another data centre.
func (r *Request) distance(dataCentre string) time.Duration {
	if roundTrip, ok := r.RoundTrips[dataCentre]; ok {
		return roundTrip
	}
	return r.RemoteDelay
}

// Choice is the result of a decision.
type Choice struct {
	// Upstream is nil when no upstream is usable.
	Upstream *Upstream
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// PrefixAffinity is set when the upstream is the home of the request's prefix.
	PrefixAffinity bool
	// Remote is set when the upstream is in another data centre.
	Remote bool

	cost time.Duration
}

// Pick returns the chosen upstream, or nil.
func (t *Table) Pick(r Request) *Upstream { return t.Choose(r).Upstream }

// Choose compares a few upstreams and returns the one with the lowest predicted
// time. Another data centre is used when the local one has no usable upstream, or
// cannot meet the target while the other one can.
func (t *Table) Choose(r Request) Choice {
	p, ok := t.pools[r.Pool]
	if !ok {
		return Choice{}
	}
	if r.ExcludeLocal {
		return p.chooseRemote(&r)
	}
	local := p.chooseLocal(&r)
	if local.Upstream != nil && (r.RemainingTarget <= 0 || local.FirstToken <= r.RemainingTarget) {
		return local
	}
	remote := p.chooseRemote(&r)
	if remote.Upstream == nil {
		return local
	}
	if local.Upstream == nil || remote.FirstToken <= r.RemainingTarget && remote.cost+remoteMargin < local.cost {
		return remote
	}
	return local
}

func (p *pool) chooseLocal(r *Request) Choice {
	for i := range p.centres {
		if p.centres[i].name == r.DataCentre {
			return p.centres[i].choose(r, 0)
		}
	}
	return Choice{}
}

func (p *pool) chooseRemote(r *Request) Choice {
	var best Choice
	for i := range p.centres {
		if p.centres[i].name == r.DataCentre {
			continue
		}
		c := p.centres[i].choose(r, r.distance(p.centres[i].name))
		c.Remote = true
		if c.Upstream != nil && (best.Upstream == nil || c.cost < best.cost) {
			best = c
		}
	}
	return best
}

// candidates is a small set of upstreams under comparison.
type candidates struct {
	list  [smallPool + 1]*Upstream
	count int
}

// add returns whether the upstream is new to the set.
func (c *candidates) add(u *Upstream) bool {
	for _, known := range c.list[:c.count] {
		if known == u {
			return false
		}
	}
	c.list[c.count] = u
	c.count++
	return true
}

// choose returns the best of one data centre.
func (c *centre) choose(r *Request, distance time.Duration) Choice {
	if r.Rand == nil && len(c.entries) > smallPool {
		return c.scan(r, distance)
	}
	var set candidates
	home := c.home(r)
	if home != nil {
		set.add(home)
	}
	c.sample(r, &set)
	return set.best(r, home, distance)
}

// scan compares all upstreams without a bound on their number.
func (c *centre) scan(r *Request, distance time.Duration) Choice {
	var best Choice
	for i := range c.entries {
		if u := c.entries[i].upstream; u.usable(r) {
			best = better(best, predict(r, u, 0, distance))
		}
	}
	return best
}

// home returns the usable upstream that rendezvous hashing gives the request's
// prefix, or nil.
func (c *centre) home(r *Request) *Upstream {
	if r.Prefix == 0 {
		return nil
	}
	var best *Upstream
	var highest uint64
	for i := range c.entries {
		weight := mix(c.entries[i].hash ^ r.Prefix)
		if weight > highest && c.entries[i].upstream.usable(r) {
			best, highest = c.entries[i].upstream, weight
		}
	}
	return best
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sample adds random usable upstreams, or all of a small data centre.
func (c *centre) sample(r *Request, set *candidates) {
	if len(c.entries) <= smallPool {
		for i := range c.entries {
			if u := c.entries[i].upstream; u.usable(r) {
				set.add(u)
			}
		}
		return
	}
	found := 0
	for range sampleTries {
		u := c.entries[r.Rand.IntN(len(c.entries))].upstream
		if found < candidateCount && u.usable(r) && set.add(u) {
			found++
		}
	}
	if set.count == 0 {
		// Most upstreams are unusable; any usable one will do.
		c.addFirstUsable(r, set)
	}
}

func (c *centre) addFirstUsable(r *Request, set *candidates) {
	offset := r.Rand.IntN(len(c.entries))
	for i := range c.entries {
		u := c.entries[(offset+i)%len(c.entries)].upstream
		if u.usable(r) {
			set.add(u)
			return
		}
	}
}

// best returns the candidate with the lowest predicted time.
func (c *candidates) best(r *Request, home *Upstream, distance time.Duration) Choice {
	var predicted [smallPool + 1]Choice
	var total time.Duration
	for i, u := range c.list[:c.count] {
		predicted[i] = predict(r, u, 0, distance)
		total += predicted[i].cost
	}
	var best Choice
	for _, p := range predicted[:c.count] {
		if p.Upstream == home && withinBound(p.cost, total, c.count) {
			p = predict(r, home, r.PrefixTokens, distance)
			p.PrefixAffinity = true
		}
		best = better(best, p)
	}
	return best
}

// withinBound is the bound of consistent hashing with bounded loads (Mirrokni,
// Thorup and Zadimoghaddam, 2018) over the candidates.
func withinBound(cost, total time.Duration, count int) bool {
	mean := float64(total) / float64(count)
	return float64(cost) <= boundedLoad*mean+float64(boundedSlack)
}

// better returns the choice with the lower cost; at equal cost the first.
func better(a, b Choice) Choice {
	if a.Upstream == nil || b.cost < a.cost {
		return b
	}
	return a
}

// predict returns the time that a request would take at an upstream that has
// cached tokens of its prompt.
func predict(r *Request, u *Upstream, cached int, distance time.Duration) Choice {
	l := u.predictLoad(r.Now)
	prompt := float64(max(0, r.PromptTokens-cached))
	first := (l.prefill + prompt) / l.capacity
	// Each step of a batch produces one token per running request.
	decode := (l.running + 1) * float64(max(1, r.OutputTokens)) / l.capacity
	cost := first + decode
	if mismatch(r, u) {
		cost *= rolePenalty
	}
	if limit := u.limit.Load(); limit > 0 {
		over := float64(u.TokensInFlight()+int64(r.PromptTokens+r.OutputTokens)) / float64(limit)
		cost *= max(1, over)
	}
	return Choice{
		Upstream:   u,
		FirstToken: distance + seconds(first),
		cost:       distance + seconds(cost),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

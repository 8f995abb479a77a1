package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// candidateCount is the number of random candidates. Two candidates already avoid most of
	// the imbalance of a single one; a few more compensate for stale reports.
	candidateCount = 4
	// smallPool is the number of upstreams up to which all are compared: in a data
	// centre of three or four engines a sample would omit one.
	smallPool = 8
	// maxSampleAttempts bounds the attempts to find usable random candidates.
	maxSampleAttempts = 4 * candidateCount
	// affinityLoadFactor is the ratio of the home's predicted cost to the mean of the
	// candidates up to which prefix affinity applies.
	affinityLoadFactor = 1.25
	// affinityLoadSlack is added to the bound on the cost, so that affinity applies in an idle
	// fleet.
	affinityLoadSlack = 50 * time.Millisecond
	// longPrompt is the prompt length in tokens, and promptRatio the ratio of prompt to
	// output, from which prefill dominates a request. Below either, decoding dominates.
	longPrompt  = 1000
	promptRatio = 8
	// rolePenalty multiplies the predicted cost at an engine whose role does not suit the
	// request.
	rolePenalty = 1.5
	// remoteMargin is the amount by which the predicted cost in a remote data centre must be
	// lower for it to be chosen.
	remoteMargin = 20 * time.Millisecond
)

// entry is an upstream of a table with the hash of its id.
type entry struct {
	upstream *Upstream
	hash     uint64
}

// pool holds the upstreams of one pool, in total and by data centre.
type pool struct {
	all         []*Upstream
	dataCentres []dataCentreUpstreams
}

type dataCentreUpstreams struct {
	name    string
	entries []entry
}

// Table is an immutable snapshot of the fleet, indexed by pool. It is safe for concurrent
// use.
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
	for i := range p.dataCentres {
		if p.dataCentres[i].name == u.VM.DataCentre {
			p.dataCentres[i].entries = append(p.dataCentres[i].entries, e)
			return
		}
	}
	p.dataCentres = append(p.dataCentres, dataCentreUpstreams{name: u.VM.DataCentre, entries: []entry{e}})
}

// Pool returns the upstreams of a pool, or nil if there is no such pool.
func (t *Table) Pool(name string) []*Upstream {
	p, ok := t.pools[name]
	if !ok {
		return nil
	}
	return p.all
}

// Request describes a request that needs an upstream. Pool alone is sufficient for a plain
// service; the other fields improve the choice of an engine.
type Request struct {
	Pool       string
	Model      string
	DataCentre string
	// Resumes is set if the request continues a response that engines of the software version
	// Software began. Only engines of that version are then usable.
	Resumes  bool
	Software string
	// Excluded holds the ids of VMs that already failed this request.
	Excluded map[string]bool

	Now time.Time
	// Rand selects candidates; if it is nil, all upstreams are compared. It must not be used
	// by other goroutines meanwhile.
	Rand *rand.Rand
	// PromptTokens and OutputTokens are the predicted sizes.
	PromptTokens int
	OutputTokens int
	// Prefix is the hash of the first blocks of the prompt, 0 for no affinity. PrefixTokens
	// is the number of tokens whose prefill a warm prefix cache is expected to save. See
	// PrefixOf.
	Prefix       uint64
	PrefixTokens int
	// RemainingTarget is the time left until the target for the first token. 0 means that
	// there is no target; a usable local upstream is then always chosen.
	RemainingTarget time.Duration
	// ExcludeLocal excludes the data centre of the request.
	ExcludeLocal bool
	// RoundTrips holds the extra round trip to remote data centres by name. RemoteDelay is
	// the default for data centres that are missing in it.
	RoundTrips  map[string]time.Duration
	RemoteDelay time.Duration
}

// distance returns the extra round trip to a remote data centre.
func (r *Request) distance(dataCentre string) time.Duration {
	if roundTrip, ok := r.RoundTrips[dataCentre]; ok {
		return roundTrip
	}
	return r.RemoteDelay
}

// Choice is a chosen upstream with its predicted times.
type Choice struct {
	// Upstream is nil if no upstream is usable.
	Upstream *Upstream
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// PrefixAffinity is set if the upstream is the home of the request's prefix.
	PrefixAffinity bool
	// Remote is set if the upstream is in a remote data centre.
	Remote bool

	// cost is the predicted time to the last token, with penalties; the choice with the lowest
	// cost wins.
	cost time.Duration
}

// Pick returns the chosen upstream, or nil.
func (t *Table) Pick(r Request) *Upstream { return t.Choose(r).Upstream }

// Choose compares a few upstreams and returns the one with the lowest predicted cost. A
// remote data centre is used if the local one has no usable upstream, or if only the remote
// one is predicted to meet the target, at a lower cost.
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
	for i := range p.dataCentres {
		if p.dataCentres[i].name == r.DataCentre {
			return p.dataCentres[i].choose(r, 0)
		}
	}
	return Choice{}
}

func (p *pool) chooseRemote(r *Request) Choice {
	var best Choice
	for i := range p.dataCentres {
		if p.dataCentres[i].name == r.DataCentre {
			continue
		}
		c := p.dataCentres[i].choose(r, r.distance(p.dataCentres[i].name))
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

// add adds an upstream and reports whether it is new to the set.
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

// choose returns the best choice of one data centre.
func (c *dataCentreUpstreams) choose(r *Request, distance time.Duration) Choice {
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

// scan compares all usable upstreams of a data centre, however many, without prefix affinity.
func (c *dataCentreUpstreams) scan(r *Request, distance time.Duration) Choice {
	var best Choice
	for i := range c.entries {
		if u := c.entries[i].upstream; u.usable(r) {
			best = better(best, predict(r, u, 0, distance))
		}
	}
	return best
}

// home returns the usable upstream that rendezvous hashing assigns to the prefix of the
// request, or nil.
func (c *dataCentreUpstreams) home(r *Request) *Upstream {
	if r.Prefix == 0 {
		return nil
	}
	var best *Upstream
	var highest uint64
	for i := range c.entries {
		weight := splitMix64(c.entries[i].hash ^ r.Prefix)
		if weight > highest && c.entries[i].upstream.usable(r) {
			best, highest = c.entries[i].upstream, weight
		}
	}
	return best
}

// splitMix64 is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sample adds candidateCount random usable upstreams, or fewer if it does not find them in
// maxSampleAttempts. In a data centre of up to smallPool upstreams it adds all usable ones.
func (c *dataCentreUpstreams) sample(r *Request, set *candidates) {
	if len(c.entries) <= smallPool {
		for i := range c.entries {
			if u := c.entries[i].upstream; u.usable(r) {
				set.add(u)
			}
		}
		return
	}
	found := 0
	for range maxSampleAttempts {
		u := c.entries[r.Rand.IntN(len(c.entries))].upstream
		if found < candidateCount && u.usable(r) && set.add(u) {
			found++
		}
	}
	if set.count == 0 {
		// Most upstreams are unusable; any usable one is acceptable.
		c.addFirstUsable(r, set)
	}
}

// addFirstUsable adds the first usable upstream that follows a random position.
func (c *dataCentreUpstreams) addFirstUsable(r *Request, set *candidates) {
	offset := r.Rand.IntN(len(c.entries))
	for i := range c.entries {
		u := c.entries[(offset+i)%len(c.entries)].upstream
		if u.usable(r) {
			set.add(u)
			return
		}
	}
}

// best returns the candidate with the lowest predicted cost. The cost of the home is reduced by
// its cached prefix, unless its load exceeds the bound.
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

// withinBound applies the load bound of consistent hashing with bounded loads (Mirrokni,
// Thorup and Zadimoghaddam, 2018) to the candidates.
func withinBound(cost, total time.Duration, count int) bool {
	mean := float64(total) / float64(count)
	return float64(cost) <= affinityLoadFactor*mean+float64(affinityLoadSlack)
}

// better returns the choice with the lower cost, or a if the costs are equal.
func better(a, b Choice) Choice {
	if a.Upstream == nil || b.cost < a.cost {
		return b
	}
	return a
}

// predict returns the predicted times of a request at an upstream whose prefix cache holds
// the given number of tokens of the prompt.
func predict(r *Request, u *Upstream, cached int, distance time.Duration) Choice {
	l := u.predictLoad(r.Now)
	prompt := float64(max(0, r.PromptTokens-cached))
	first := (l.queuedTokens + prompt) / l.capacity
	// Each decode step of a batch produces one token per running request.
	decode := (l.running + 1) * float64(max(1, r.OutputTokens)) / l.capacity
	cost := first + decode
	if roleMismatch(r, u) {
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

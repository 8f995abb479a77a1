package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

const (
	testInFlightLimit   = 10000.0
	testPrefillRate     = 4000.0
	testMaxWaiting      = 8
	testMaxEngineTokens = 8000
)

var testShares = [3]float64{0.2, 0.3, 0.2}

// testSeeds returns the seeds 1 to 5, or 1 to BERGAMOT_SEEDS when that is set.
func testSeeds() []int64 {
	count := 5
	if v, err := strconv.Atoi(os.Getenv("BERGAMOT_SEEDS")); err == nil {
		count = v
	}
	out := make([]int64, count)
	for i := range out {
		out[i] = int64(i + 1)
	}
	return out
}

func testProfile(rank int, name string, firstToken time.Duration) *profile.Profile {
	return &profile.Profile{
		Name: fmt.Sprintf("%s-%d", name, rank), Rank: profile.Ranks[rank],
		FirstTokenMS: firstToken.Milliseconds(), Worth: 1,
	}
}

// harness runs a queue beside a reference model that only keeps lists of tickets.
type harness struct {
	q       *Queue
	now     time.Time
	waiting []*Ticket
	running []*Ticket
	ended   []*Ticket
}

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0)}
	h.q = NewQueue(Options{MinShares: testShares, MaxWaiting: testMaxWaiting}, NewPredictor())
	h.q.SetCapacity(Capacity{TokensPerSecond: 1000, InFlight: testInFlightLimit, PrefillRates: [3]float64{testPrefillRate, testPrefillRate, testPrefillRate}, Engines: 1, MaxEngineTokens: testMaxEngineTokens, Share: 1})
	return h
}

func (h *harness) totalCost(list []*Ticket, rank int) float64 {
	total := 0.0
	for _, t := range list {
		if t.rank == rank {
			total += t.cost
		}
	}
	return total
}

// prefillTokens returns the prompt tokens of a rank's requests without a first token.
func (h *harness) prefillTokens(rank int) float64 {
	total := 0.0
	for _, t := range h.running {
		if t.rank == rank && t.prefilling {
			total += float64(t.PromptTokens)
		}
	}
	return total
}

// prefillByPriority returns the prompt tokens without a first token by engine priority.
func (h *harness) prefillByPriority() [3]float64 {
	var out [3]float64
	for _, t := range h.running {
		if t.prefilling {
			out[t.Priority()] += float64(t.PromptTokens)
		}
	}
	return out
}

// urgentPrefillFits reports whether every waiting urgent prompt would be prefilled in time
// behind added more tokens.
func (h *harness) urgentPrefillFits(added float64) bool {
	return h.prefillByPriority()[0]+added+h.largest(0) <= testPrefillRate*h.shortestWait(0)
}

// shortestWait returns the shortest MaxEngineWait, in seconds, of a rank's waiting
// requests.
func (h *harness) shortestWait(rank int) float64 {
	shortest := math.Inf(1)
	for _, t := range h.waiting {
		if t.rank == rank {
			shortest = min(shortest, MaxEngineWait(t.Profile).Seconds())
		}
	}
	return shortest
}

func (h *harness) largest(rank int) float64 {
	largest := 0.0
	for _, t := range h.waiting {
		if t.rank == rank {
			largest = max(largest, t.cost)
		}
	}
	return largest
}

// sync moves the tickets that changed state and compares the totals of the queue with
// those of the model.
func (h *harness) sync() error {
	var waiting, running []*Ticket
	for _, t := range append(h.waiting, h.running...) {
		switch t.state {
		case Waiting:
			waiting = append(waiting, t)
		case Running:
			running = append(running, t)
		default:
			h.ended = append(h.ended, t)
		}
	}
	h.waiting, h.running = waiting, running
	if got := h.q.Waiting(); got != len(waiting) || got > testMaxWaiting {
		return fmt.Errorf("queue counts %d waiting, the model %d", got, len(waiting))
	}
	for r := range testShares {
		if got, want := h.q.ranks[r].runningTokens, h.totalCost(running, r); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("rank %d has %g tokens in flight, the model %g", r, got, want)
		}
		if got, want := h.q.ranks[r].prefillTokens, h.prefillTokens(r); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("rank %d has %g tokens to prefill, the model %g", r, got, want)
		}
		if got, want := h.q.prefillByPriority[r], h.prefillByPriority()[r]; math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("priority %d has %g tokens to prefill, the model %g", r, got, want)
		}
		if got, want := h.q.ranks[r].waitingTokens, h.totalCost(waiting, r); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("rank %d has %g tokens waiting, the model %g", r, got, want)
		}
	}
	return nil
}

// grant starts requests and checks their order, and that no request waits that must start.
func (h *harness) grant() error {
	var credit [3]float64
	for r := range credit {
		credit[r] = max(creditLimit, h.largest(r))
	}
	urgent, running := h.largest(0), h.q.Running()
	total, urgentWaiting := 0.0, h.totalCost(h.waiting, 0)
	prefill := prefillModel{byPriority: h.prefillByPriority(), byRank: [3]float64{h.prefillTokens(0), h.prefillTokens(1), h.prefillTokens(2)}}
	for r := range prefill.runningTokens {
		prefill.runningTokens[r] = h.totalCost(h.running, r)
	}
	for _, t := range h.waiting {
		prefill.waitingCount[t.rank]++
	}
	granted := h.q.Grant(h.now)
	prefill.underserved = h.underserved()
	for _, t := range granted {
		total += t.cost
		if err := prefill.start(t); err != nil {
			return err
		}
		if t.rank == 0 {
			urgentWaiting -= t.cost
			continue
		}
		credit[t.rank] -= t.cost
		if urgentWaiting > 0 && running+total+urgent <= testInFlightLimit && h.urgentPrefillFits(total) && credit[t.rank]+testShares[t.rank]*total < -1e-6 {
			return fmt.Errorf("rank %d started before an urgent request that fits", t.rank)
		}
	}
	if err := h.sync(); err != nil {
		return err
	}
	if h.q.Running() == 0 && len(h.waiting) > 0 {
		return fmt.Errorf("%d requests wait while nothing runs", len(h.waiting))
	}
	for r, share := range testShares {
		cost := h.largest(r)
		if h.q.pacer.stalledRank > r && h.q.ranks[r].runningTokens > 0 && h.q.ranks[r].rate >= share*h.q.throughput {
			// A rank that has received its share waits for a less urgent one that is
			// stalled inside the engines.
			continue
		}
		if cost > 0 && h.totalCost(h.running, r)+cost <= share*testInFlightLimit && h.prefillTokens(r)+cost <= share*testPrefillRate*h.shortestWait(r) {
			return fmt.Errorf("rank %d waits below its share: %g in flight", r, h.totalCost(h.running, r))
		}
		sparse := h.underserved()[r] && h.q.ranks[r].waitingCount <= sparseMaxWaiting
		if cost > 0 && sparse && h.totalCost(h.running, r)+cost <= testInFlightLimit && h.prefillTokens(r)+cost <= underservedPrefillFactor*testPrefillRate*h.shortestWait(r) {
			return fmt.Errorf("rank %d waits although it is sparse: %g in flight", r, h.totalCost(h.running, r))
		}
	}
	return nil
}

// underserved returns which ranks have received less than their share. It is valid after
// a Grant, which closes the measurement window.
func (h *harness) underserved() [3]bool {
	var out [3]bool
	for r, share := range testShares {
		out[r] = h.q.ranks[r].rate < share*h.q.throughput
	}
	return out
}

// prefillModel counts the prompt tokens that the engines have yet to prefill.
type prefillModel struct {
	byPriority    [3]float64
	byRank        [3]float64
	runningTokens [3]float64
	// waitingCount counts the requests of each rank that have not started.
	waitingCount [3]int
	underserved  [3]bool
}

// start checks that the engines can prefill a prompt in time: with all that is in flight,
// within its rank's share, as the only prompt, or at the higher rate of a sparse rank.
func (m *prefillModel) start(t *Ticket) error {
	prompt, rank := float64(t.PromptTokens), t.rank
	wait := MaxEngineWait(t.Profile).Seconds()
	ahead := 0.0
	for _, tokens := range m.byPriority[:rank+1] {
		ahead += tokens
	}
	fits := ahead == 0 || ahead+prompt <= testPrefillRate*wait
	fitsShare := m.byRank[rank] == 0 || m.runningTokens[rank] == 0 || m.byRank[rank]+prompt <= testShares[rank]*testPrefillRate*wait
	if m.underserved[rank] && m.waitingCount[rank] <= sparseMaxWaiting {
		fitsShare = fitsShare || m.runningTokens[rank]+t.cost <= testInFlightLimit && m.byRank[rank]+prompt <= underservedPrefillFactor*testPrefillRate*wait
	}
	m.waitingCount[rank]--
	if !fits && !fitsShare && m.runningTokens != [3]float64{} {
		return fmt.Errorf("a prompt of %g tokens started behind %g", prompt, ahead)
	}
	m.byPriority[t.Priority()] += prompt
	m.byRank[rank] += prompt
	m.runningTokens[rank] += t.cost
	return nil
}

// step returns a command that fails when run returns an error, which it does when the
// queue and the model differ.
func step(name string, run func(h *harness) error) commands.Command {
	return &commands.ProtoCommand{
		Name:    name,
		RunFunc: func(s commands.SystemUnderTest) commands.Result { return run(s.(*harness)) },
		PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
			if err, failed := result.(error); failed {
				return &gopter.PropResult{Status: gopter.PropError, Error: err}
			}
			return &gopter.PropResult{Status: gopter.PropTrue}
		},
	}
}

func offerStep(n int) commands.Command {
	return step(fmt.Sprintf("offer %d", n), func(h *harness) error {
		rank, org := n%3, n/3%3
		prompt := 1 + n%9001
		t, r := h.q.Offer(h.now, Request{
			Profile: testProfile(rank, "p"+strconv.Itoa(n/9%2), time.Duration(1+n%40)*time.Second), Organisation: fmt.Sprint("o", org),
			Weight: float64(1 + org), PromptTokens: prompt, MaxTokens: 200, Arrived: h.now,
		})
		if (t == nil) == (r == nil) {
			return fmt.Errorf("offer returned ticket %v and refusal %v", t, r)
		}
		if r != nil && r.Outcome != refusal.NotRun {
			return fmt.Errorf("the outcome of the refusal is %q", r.Outcome)
		}
		tooLarge := r != nil && r.Code == refusal.TooLarge
		if tooLarge && prompt+200 <= testMaxEngineTokens || !tooLarge && prompt+1 > testMaxEngineTokens {
			return fmt.Errorf("prompt of %d tokens got %v", prompt, r)
		}
		if r != nil && r.Code == refusal.Overloaded && r.RetryAfter <= 0 {
			return fmt.Errorf("an overload refusal has no RetryAfter")
		}
		if t != nil {
			h.waiting = append(h.waiting, t)
		}
		return h.sync()
	})
}

func releaseStep(n int) commands.Command {
	return step(fmt.Sprintf("release %d", n), func(h *harness) error {
		pool := h.running
		if n%4 == 0 {
			// Releasing a ticket twice, or a refused ticket, has no effect.
			pool = h.ended
		}
		if len(pool) == 0 {
			return nil
		}
		t := pool[n%len(pool)]
		h.q.Release(h.now, t, Usage{PromptTokens: t.PromptTokens, OutputTokens: n % 200, Complete: n%5 > 0})
		return h.sync()
	})
}

func progressStep(n int) commands.Command {
	return step(fmt.Sprintf("progress %d", n), func(h *harness) error {
		if len(h.running) == 0 {
			return nil
		}
		t := h.running[n%len(h.running)]
		h.q.FirstToken(t)
		h.q.Progress(t, n%200)
		if t.cost < float64(t.PromptTokens+t.produced) {
			return fmt.Errorf("cost %g is below the %d tokens produced", t.cost, t.produced)
		}
		return h.sync()
	})
}

func cancelStep(n int) commands.Command {
	return step(fmt.Sprintf("cancel %d", n), func(h *harness) error {
		all := append(append(append([]*Ticket(nil), h.waiting...), h.running...), h.ended...)
		if len(all) == 0 {
			return nil
		}
		t := all[n%len(all)]
		if was := t.state; h.q.Cancel(t) != (was == Waiting) {
			return fmt.Errorf("cancelled a ticket in state %d", was)
		}
		return h.sync()
	})
}

func expireStep(n int) commands.Command {
	return step(fmt.Sprintf("expire after %d ms", n), func(h *harness) error {
		h.now = h.now.Add(time.Duration(n) * time.Millisecond)
		for _, t := range append([]*Ticket(nil), h.waiting...) {
			late := h.now.After(t.startBy)
			if h.q.Expire(h.now, t) != late || late && (t.Refusal() == nil || t.state != Refused) {
				return fmt.Errorf("expired a request %s before its target", t.startBy.Sub(h.now))
			}
		}
		return h.sync()
	})
}

func grantStep(int) commands.Command {
	return step("grant", func(h *harness) error { return h.grant() })
}

// Guards against capacity that is lost or released twice, requests that wait while their
// rank is below its share, a refusal with a wrong outcome, and a queue that exceeds its
// bound.
func TestQueueAgainstModel(t *testing.T) {
	number := gen.IntRange(0, 9000)
	toCommand := func(f func(int) commands.Command) gopter.Gen { return number.Map(f) }
	proto := &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newHarness() },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.Frequency(map[int]gopter.Gen{
				6: toCommand(offerStep), 4: toCommand(grantStep), 3: toCommand(releaseStep),
				2: gen.OneGenOf(toCommand(progressStep), toCommand(expireStep)), 1: toCommand(cancelStep),
			})
		},
	}
	for _, seed := range testSeeds() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(seed)
			parameters.MaxSize = 150
			properties := gopter.NewProperties(parameters)
			properties.Property("queue follows the model", commands.Prop(proto))
			properties.TestingRun(t)
		})
	}
}

// flood keeps requests of three organisations waiting in each of the given ranks on a
// small engine, and counts the tokens served by rank and by organisation.
type flood struct {
	ranks  []int
	served [3]float64
	orgs   map[string]float64
	steps  int
	rng    *rand.Rand
}

func (f *flood) run() {
	h := newHarness()
	h.q.SetOptions(Options{MinShares: testShares, MaxWaiting: 1 << 20})
	f.orgs = map[string]float64{}
	var running []*Ticket
	for range f.steps {
		for _, rank := range f.ranks {
			for org := range 3 {
				f.offer(h, rank, org)
			}
		}
		for _, t := range h.q.Grant(h.now) {
			f.served[t.rank] += t.cost
			f.orgs[fmt.Sprint(t.rank, t.Organisation)] += t.cost
			running = append(running, t)
			h.q.FirstToken(t)
		}
		i := f.rng.IntN(len(running))
		t := running[i]
		running = append(running[:i], running[i+1:]...)
		h.now = h.now.Add(10 * time.Millisecond)
		h.q.Release(h.now, t, Usage{PromptTokens: t.PromptTokens, OutputTokens: t.MaxTokens / 2, Complete: true})
	}
}

func (f *flood) offer(h *harness, rank, org int) {
	_, _ = h.q.Offer(h.now, Request{
		Profile: testProfile(rank, "p", 1000*time.Hour), Organisation: fmt.Sprint("o", org), Weight: float64(1 + org),
		PromptTokens: 50 + f.rng.IntN(900), MaxTokens: 200, Arrived: h.now,
	})
}

// Guards against a flood of one rank that takes the guaranteed share of another, unused
// shares that do not go to the most urgent rank, and an organisation that receives more
// than its weight.
func TestSharesUnderFlood(t *testing.T) {
	cases := []struct {
		name  string
		ranks []int
		want  [3]float64
	}{
		{"all ranks", []int{0, 1, 2}, [3]float64{0.5, 0.3, 0.2}},
		{"urgent and background", []int{0, 2}, [3]float64{0.8, 0, 0.2}},
		{"standard and background", []int{1, 2}, [3]float64{0, 0.8, 0.2}},
		{"background alone", []int{2}, [3]float64{0, 0, 1}},
	}
	const tolerance = 0.03
	for _, seed := range testSeeds() {
		for _, c := range cases {
			f := &flood{ranks: c.ranks, steps: 4000, rng: rand.New(rand.NewPCG(uint64(seed), 0))}
			f.run()
			total := f.served[0] + f.served[1] + f.served[2]
			for r, want := range c.want {
				if got := f.served[r] / total; math.Abs(got-want) > tolerance {
					t.Errorf("seed %d, %s: rank %d got %.3f of the service, want %.3f", seed, c.name, r, got, want)
				}
				for org := range 3 {
					got, want := f.orgs[fmt.Sprint(r, fmt.Sprint("o", org))]/f.served[r], float64(1+org)/6
					if f.served[r] > 0 && math.Abs(got-want) > tolerance {
						t.Errorf("seed %d, %s: organisation %d of rank %d got %.3f, want %.3f", seed, c.name, org, r, got, want)
					}
				}
			}
		}
	}
}

// Guards against the refusal of a long prompt during an urgent flood because another
// prompt of its rank is being prefilled, although the rank is below its guarantee. The
// second prompt fits either beside the first one or only after it.
func TestLongPromptStartsBesideAnotherInUrgentFlood(t *testing.T) {
	for _, prompt := range []int{6000, 9000} {
		h := newHarness()
		h.q.SetCapacity(Capacity{TokensPerSecond: 6000, InFlight: 60000, PrefillRates: [3]float64{6000, 6000, 6000}, Engines: 1, MaxEngineTokens: 60000, Share: 1})
		offer := func(rank, prompt int, target time.Duration) *refusal.Error {
			_, refused := h.q.Offer(h.now, Request{
				Profile: testProfile(rank, "p", target), Organisation: "o", Weight: 1, PromptTokens: prompt, MaxTokens: 600, Arrived: h.now,
			})
			return refused
		}
		if refused := offer(1, 6000, 5*time.Second); refused != nil {
			t.Fatalf("the first long prompt is refused: %v", refused)
		}
		first := h.q.Grant(h.now)[0]
		for range testMaxWaiting / 2 {
			_ = offer(0, 900, time.Second)
			h.q.Grant(h.now)
		}
		if h.q.ranks[0].waitingCount == 0 {
			t.Fatal("no urgent request waits")
		}
		// The flood has used the whole capacity for some time.
		h.q.ranks[0].rate = 6000
		h.now = h.now.Add(rateWindow / 2)
		if refused := offer(1, prompt, 5*time.Second); refused != nil {
			t.Fatalf("a second long prompt of %d tokens is refused: %v", prompt, refused)
		}
		started := false
		for range 20 {
			for _, granted := range h.q.Grant(h.now) {
				started = started || granted.rank == 1
			}
			h.now = h.now.Add(100 * time.Millisecond)
			if h.now.Sub(first.started) > time.Second {
				h.q.FirstToken(first)
			}
		}
		if !started {
			t.Errorf("the second long prompt of %d tokens has not started after 2 s", prompt)
		}
	}
}

// Guards against a wrong RetryAfter: a refused request that is retried after that time
// must start within its target if no other request has arrived.
func TestRetryAfterIsTruthful(t *testing.T) {
	h := newHarness()
	request := func() Request {
		return Request{Profile: testProfile(1, "p", 2*time.Second), Organisation: "o", Weight: 1, PromptTokens: 900, MaxTokens: 200, Arrived: h.now}
	}
	var refused *refusal.Error
	for refused == nil {
		_, refused = h.q.Offer(h.now, request())
		h.grantAll()
	}
	if refused.Code != refusal.Overloaded || refused.Outcome != refusal.NotRun {
		t.Fatalf("refused with %v", refused)
	}
	deadline := h.now.Add(refused.RetryAfter)
	for h.now.Before(deadline) {
		// One engine finishes the running requests at the reported rate.
		oldest := h.running[0]
		h.now = h.now.Add(time.Second)
		h.q.Release(h.now, oldest, Usage{PromptTokens: 900, OutputTokens: 100, Complete: true})
		h.grantAll()
	}
	ticket, again := h.q.Offer(h.now, request())
	if again != nil {
		t.Fatalf("refused again after RetryAfter: %v", again)
	}
	for ticket.state == Waiting && !h.now.After(ticket.startBy) {
		h.now = h.now.Add(time.Second)
		h.q.Release(h.now, h.running[0], Usage{PromptTokens: 900, OutputTokens: 100, Complete: true})
		h.grantAll()
	}
	if ticket.state != Running || ticket.started.After(ticket.startBy) {
		t.Errorf("the request did not start in time")
	}
}

// grantAll starts the requests that fit on engines that prefill prompts instantly.
func (h *harness) grantAll() {
	for i := 0; i < len(h.running); i++ {
		if h.running[i].state != Running {
			h.running = append(h.running[:i], h.running[i+1:]...)
			i--
		}
	}
	for _, t := range h.q.Grant(h.now) {
		h.q.FirstToken(t)
		h.running = append(h.running, t)
	}
}

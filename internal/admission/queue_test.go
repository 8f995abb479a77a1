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
	testLimit   = 10000.0
	testReading = 4000.0
	testWaiting = 8
	testLargest = 8000
)

var testShares = [3]float64{0.2, 0.3, 0.2}

// testSeeds returns 1 to 5, or as many seeds as BERGAMOT_SEEDS says.
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

// harness runs a queue beside a model that only keeps lists.
type harness struct {
	q       *Queue
	now     time.Time
	waiting []*Ticket
	running []*Ticket
	ended   []*Ticket
}

func newHarness() *harness {
	h := &harness{now: time.Unix(1000, 0)}
	h.q = NewQueue(Options{MinShares: testShares, MaxWaiting: testWaiting}, NewPredictor())
	h.q.SetCapacity(Capacity{TokensPerSecond: 1000, InFlight: testLimit, PrefillRates: [3]float64{testReading, testReading, testReading}, Engines: 1, MaxEngineTokens: testLargest, Share: 1})
	return h
}

func (h *harness) sum(list []*Ticket, rank int) float64 {
	total := 0.0
	for _, t := range list {
		if t.rank == rank {
			total += t.cost
		}
	}
	return total
}

// reading returns the prompt tokens of a rank's requests without a first token.
func (h *harness) reading(rank int) float64 {
	total := 0.0
	for _, t := range h.running {
		if t.rank == rank && t.reading {
			total += float64(t.PromptTokens)
		}
	}
	return total
}

// unread returns the prompt tokens without a first token by engine priority.
func (h *harness) unread() [3]float64 {
	var out [3]float64
	for _, t := range h.running {
		if t.reading {
			out[t.Priority()] += float64(t.PromptTokens)
		}
	}
	return out
}

// urgentIsRead tells whether any waiting urgent prompt would be read in time behind
// added more tokens.
func (h *harness) urgentIsRead(added float64) bool {
	return h.unread()[0]+added+h.largest(0) <= testReading*h.shortestWait(0)
}

// shortestWait returns the shortest wait inside an engine, in seconds, that a
// waiting request of a rank allows.
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

// sync moves the tickets that changed state and checks the accounts.
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
	if got := h.q.Waiting(); got != len(waiting) || got > testWaiting {
		return fmt.Errorf("queue counts %d waiting, the model %d", got, len(waiting))
	}
	for r := range testShares {
		if got, want := h.q.ranks[r].running, h.sum(running, r); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("rank %d has %g tokens in flight, the model %g", r, got, want)
		}
		if got, want := h.q.ranks[r].reading, h.reading(r); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("rank %d has %g tokens to read, the model %g", r, got, want)
		}
		if got, want := h.q.unread[r], h.unread()[r]; math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("priority %d has %g tokens to read, the model %g", r, got, want)
		}
		if got, want := h.q.ranks[r].waiting, h.sum(waiting, r); math.Abs(got-want) > 1e-6 {
			return fmt.Errorf("rank %d has %g tokens waiting, the model %g", r, got, want)
		}
	}
	return nil
}

// grant starts requests and checks their order and that none waits that must run.
func (h *harness) grant() error {
	var credit [3]float64
	for r := range credit {
		credit[r] = max(creditBurst, h.largest(r))
	}
	urgent, running := h.largest(0), h.q.Running()
	total, left := 0.0, h.sum(h.waiting, 0)
	read := readingModel{unread: h.unread(), ranks: [3]float64{h.reading(0), h.reading(1), h.reading(2)}}
	for r := range read.running {
		read.running[r] = h.sum(h.running, r)
	}
	for _, t := range h.waiting {
		read.waiting[t.rank]++
	}
	granted := h.q.Grant(h.now)
	read.underserved = h.underserved()
	for _, t := range granted {
		total += t.cost
		if err := read.start(t); err != nil {
			return err
		}
		if t.rank == 0 {
			left -= t.cost
			continue
		}
		credit[t.rank] -= t.cost
		if left > 0 && running+total+urgent <= testLimit && h.urgentIsRead(total) && credit[t.rank]+testShares[t.rank]*total < -1e-6 {
			return fmt.Errorf("rank %d started before urgent work that fits", t.rank)
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
		if h.q.pace.stalled > r && h.q.ranks[r].running > 0 && h.q.ranks[r].rate >= share*h.q.rate {
			// A rank that has had its share waits for a less urgent one that is
			// stalled inside the engines.
			continue
		}
		if cost > 0 && h.sum(h.running, r)+cost <= share*testLimit && h.reading(r)+cost <= share*testReading*h.shortestWait(r) {
			return fmt.Errorf("rank %d waits below its share: %g in flight", r, h.sum(h.running, r))
		}
		sparse := h.underserved()[r] && h.q.ranks[r].count <= sparseWaiting
		if cost > 0 && sparse && h.sum(h.running, r)+cost <= testLimit && h.reading(r)+cost <= underservedReading*testReading*h.shortestWait(r) {
			return fmt.Errorf("rank %d waits although it is sparse: %g in flight", r, h.sum(h.running, r))
		}
	}
	return nil
}

// underserved tells which ranks have had less than their share, after a Grant has
// closed the windows.
func (h *harness) underserved() [3]bool {
	var out [3]bool
	for r, share := range testShares {
		out[r] = h.q.ranks[r].rate < share*h.q.rate
	}
	return out
}

// readingModel counts the prompts that engines have to read.
type readingModel struct {
	unread  [3]float64
	ranks   [3]float64
	running [3]float64
	// waiting counts the requests of each rank that have not started.
	waiting     [3]int
	underserved [3]bool
}

// start checks that engines can read a prompt in time, in total, in its rank's
// share, as the only one, or faster when the rank is sparse.
func (m *readingModel) start(t *Ticket) error {
	prompt, rank := float64(t.PromptTokens), t.rank
	wait := MaxEngineWait(t.Profile).Seconds()
	ahead := 0.0
	for _, tokens := range m.unread[:rank+1] {
		ahead += tokens
	}
	fits := ahead == 0 || ahead+prompt <= testReading*wait
	fitsShare := m.ranks[rank] == 0 || m.running[rank] == 0 || m.ranks[rank]+prompt <= testShares[rank]*testReading*wait
	if m.underserved[rank] && m.waiting[rank] <= sparseWaiting {
		fitsShare = fitsShare || m.running[rank]+t.cost <= testLimit && m.ranks[rank]+prompt <= underservedReading*testReading*wait
	}
	m.waiting[rank]--
	if !fits && !fitsShare && m.running != [3]float64{} {
		return fmt.Errorf("a prompt of %g tokens started behind %g", prompt, ahead)
	}
	m.unread[t.Priority()] += prompt
	m.ranks[rank] += prompt
	m.running[rank] += t.cost
	return nil
}

// step is one command; it returns an error when the queue and the model differ.
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
			return fmt.Errorf("refusal says %q", r.Outcome)
		}
		tooLarge := r != nil && r.Code == refusal.TooLarge
		if tooLarge && prompt+200 <= testLargest || !tooLarge && prompt+1 > testLargest {
			return fmt.Errorf("prompt of %d tokens got %v", prompt, r)
		}
		if r != nil && r.Code == refusal.Overloaded && r.RetryAfter <= 0 {
			return fmt.Errorf("overload is reported without a time to retry")
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
			// A second release and one of a refused ticket have no effect.
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

// Guards against capacity that is lost or released twice, work that waits while
// its rank has less than its share, a refusal without a true outcome, and a queue
// that outgrows its bound.
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

// flood keeps the given organisations waiting with work of their ranks on a small
// server and returns the tokens served by rank and by organisation.
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

// Guards against a flood of one rank that takes the guaranteed share of another,
// unused share that does not go to the most urgent work, and an organisation that
// gets more than its weight.
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

// Guards against a long prompt of a rank below its guarantee that is refused in an
// urgent flood because another one of its rank is being read, whether there is room
// to read it beside the other one or only after it.
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
		for range testWaiting / 2 {
			_ = offer(0, 900, time.Second)
			h.q.Grant(h.now)
		}
		if h.q.ranks[0].count == 0 {
			t.Fatal("no urgent work waits")
		}
		// The flood has used all capacity for a while.
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

// Guards against a time to retry that is not true: a refused request that comes
// back then must start within its target when nothing else has arrived.
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
		// One engine works through the running requests at the reported rate.
		oldest := h.running[0]
		h.now = h.now.Add(time.Second)
		h.q.Release(h.now, oldest, Usage{PromptTokens: 900, OutputTokens: 100, Complete: true})
		h.grantAll()
	}
	ticket, again := h.q.Offer(h.now, request())
	if again != nil {
		t.Fatalf("refused again at the time to retry: %v", again)
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

// grantAll starts what fits on engines that read prompts at once.
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

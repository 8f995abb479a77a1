package claim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// Windows and skew in seconds, and the table size in entries. The two windows model a
// service whose window is changed.
const (
	shortWindow = 60
	longWindow  = 200
	testSkew    = 10
	testEntries = 12
	// startTime keeps every issue time positive.
	startTime = 1_000_000
)

// history is a stream, its readers, and the state of an oracle that never removes a claim.
type history struct {
	now           int64
	firstRetained int64
	log           []port.Record
	sent          []Record
	// full reads from the start. rebuilt is replaced from time to time by a reader that
	// starts at firstRetained.
	full    *Partition
	rebuilt *Partition
	// decisions holds the decisions of full by offset.
	decisions []Decision
	// holders maps a key to the claim in force on it, withdrawn holds the claims that
	// must never come into force again, finished the keys with an outcome.
	holders   map[string]Attempt
	withdrawn map[Attempt]bool
	finished  map[string]bool
	// refusedThrough is the latest issue time that a reset refuses.
	refusedThrough int64
}

func newHistory() *history {
	options := Options{MaxEntries: testEntries, Skew: testSkew * time.Second, MaxWindow: time.Hour, CheckpointKeys: 3}
	return &history{
		now: startTime, full: NewPartition(options), rebuilt: NewPartition(options),
		holders: map[string]Attempt{}, withdrawn: map[Attempt]bool{}, finished: map[string]bool{},
	}
}

// append adds a record and checks the decision of full against the oracle and those of
// rebuilt against full.
func (h *history) append(r Record) error {
	h.sent = append(h.sent, r)
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	rec := port.Record{Offset: int64(len(h.log)), ID: r.RecordID(), Time: time.Unix(h.now, 0), Data: data}
	h.log = append(h.log, rec)
	tableFull := h.full.Size() >= testEntries
	known, ok := h.full.Decided(r)
	decision := h.full.Apply(rec)
	// The time of this record may expire a key that was still stored when Decided ran.
	if ok && known != decision && h.full.Entry(r.Key) != nil {
		return fmt.Errorf("Decided returned %s, Apply %s", known, decision)
	}
	h.decisions = append(h.decisions, decision)
	if err := h.check(r, decision, tableFull); err != nil {
		return err
	}
	return h.replay(h.rebuilt)
}

// check compares a decision with the oracle and updates the oracle.
func (h *history) check(r Record, decision Decision, tableFull bool) error {
	a := Attempt{Claim: r.Claim, Owner: r.Owner}
	holder, held := h.holders[r.Key]
	switch r.Kind {
	case KindClaim:
		// A key issued within the shortest window cannot be expired or removed.
		fresh := r.Issued > max(h.now-shortWindow, h.refusedThrough) && r.Issued <= h.now+testSkew
		free := !held && !h.withdrawn[a]
		if decision == Accepted && held && holder != a {
			return fmt.Errorf("claim %v accepted on key %s that %v holds", a, r.Key, holder)
		}
		if decision == Accepted && !held && h.full.Size() > testEntries {
			return fmt.Errorf("claim %v accepted with %d entries", a, h.full.Size())
		}
		if decision == Accepted && (h.withdrawn[a] || h.finished[r.Key]) {
			return fmt.Errorf("claim %v accepted after its withdrawal or outcome", a)
		}
		if decision != Accepted && free && fresh && !tableFull {
			return fmt.Errorf("claim %v on free key %s: decision is %s", a, r.Key, decision)
		}
		if decision == Accepted {
			h.holders[r.Key] = a
		}
	case KindWithdraw:
		if held && holder == a && !h.finished[r.Key] {
			delete(h.holders, r.Key)
		}
		// A withdrawal that precedes its claim is not stored if the table is full.
		if holder == a && !h.finished[r.Key] || h.full.Entry(r.Key).withdrawn(a) {
			h.withdrawn[a] = true
		}
	case KindOutcome:
		if held && holder == a {
			h.finished[r.Key] = true
		}
	}
	if size := h.full.Size(); size > 2*testEntries {
		return fmt.Errorf("the table holds %d entries", size)
	}
	return nil
}

// replay applies the retained records page by page, as a daemon does, and compares each
// decision with that of full.
func (h *history) replay(p *Partition) error {
	const page = 7
	if len(h.log) == 0 {
		return nil
	}
	end := int64(len(h.log))
	for range 3*len(h.log) + 3 {
		if p.Next() < h.firstRetained {
			p.MarkTruncated(h.firstRetained)
		}
		from := p.Next()
		for _, rec := range h.log[from:min(from+page, end)] {
			applied := !p.Scanning() && rec.Offset == p.Next()
			decision := p.Apply(rec)
			if applied {
				if err := h.compareDecision(rec.Offset, decision); err != nil {
					return err
				}
			}
		}
		if p.Next() >= end {
			return nil
		}
	}
	return fmt.Errorf("the reader is at offset %d and makes no progress", p.Next())
}

// compareDecision compares a decision with that of full at the same offset. It also holds
// for readers that recovered by a checkpoint or a reset.
func (h *history) compareDecision(offset int64, decision Decision) error {
	if want := h.decisions[offset]; decision != want {
		return fmt.Errorf("offset %d: a reader that started at %d decides %s, the full reader %s", offset, h.firstRetained, decision, want)
	}
	return nil
}

// compareState compares the state of both readers.
func (h *history) compareState() error {
	if h.rebuilt.Scanning() {
		return nil
	}
	a, _ := json.Marshal(h.full.CheckpointRecords("x"))
	b, _ := json.Marshal(h.rebuilt.CheckpointRecords("x"))
	if string(a) != string(b) {
		return fmt.Errorf("state differs: full %s, rebuilt %s", a, b)
	}
	return nil
}

// step is one command: a function to run, and the seed n of its random choices.
type step struct {
	name string
	n    uint64
	run  func(*history, *rand.Rand) error
}

// Run implements commands.Command.
func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	h := sut.(*history)
	if err := s.run(h, rand.New(rand.NewPCG(s.n, 1))); err != nil {
		return err.Error()
	}
	if err := h.compareState(); err != nil {
		return err.Error()
	}
	return ""
}

func (s step) NextState(state commands.State) commands.State { return state }
func (s step) PreCondition(commands.State) bool              { return true }
func (s step) String() string                                { return fmt.Sprintf("%s(%d)", s.name, s.n) }

// PostCondition implements commands.Command.
func (s step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if text := result.(string); text != "" {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{text}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// newClaim claims a key that was issued up to a long window ago or slightly in the future.
// Issue times are multiples of 20 s, so that keys repeat.
func newClaim(h *history, rng *rand.Rand) error {
	issued := (h.now + rng.Int64N(30+longWindow) - longWindow) / 20 * 20
	window := int64(shortWindow)
	if rng.IntN(4) == 0 {
		window = longWindow
	}
	owner := fmt.Sprintf("daemon-%d", rng.IntN(3))
	return h.append(Record{
		Kind: KindClaim, Key: fmt.Sprintf("%d-%d", issued, rng.IntN(2)), Claim: fmt.Sprintf("c%d", len(h.log)),
		Owner: owner, Issued: issued, WindowS: window,
	})
}

// pickClaim returns a random earlier claim, or false if there is none.
func (h *history) pickClaim(rng *rand.Rand) (Record, bool) {
	var claims []Record
	for _, r := range h.sent {
		if r.Kind == KindClaim {
			claims = append(claims, r)
		}
	}
	if len(claims) == 0 {
		return Record{}, false
	}
	// Recent claims are picked more often.
	at := len(claims) - 1 - min(rng.IntN(len(claims)), rng.IntN(len(claims)))
	return claims[at], true
}

// repeatClaimAs appends a record of the given kind that refers to an earlier claim.
func repeatClaimAs(kind Kind) func(*history, *rand.Rand) error {
	return func(h *history, rng *rand.Rand) error {
		r, ok := h.pickClaim(rng)
		if !ok {
			return nil
		}
		r.Kind = kind
		if kind != KindClaim && rng.IntN(4) == 0 {
			r.Owner = "another daemon"
		}
		if kind == KindOutcome {
			r.Result = Answered
			r.Answer = &port.ServiceResponse{Status: 200}
		}
		return h.append(r)
	}
}

// withdrawEarly withdraws a claim that reaches the log afterwards, or never.
func withdrawEarly(h *history, rng *rand.Rand) error {
	issued := h.now / 20 * 20
	r := Record{
		Kind: KindWithdraw, Key: fmt.Sprintf("%d-%d", issued, rng.IntN(2)), Claim: fmt.Sprintf("c%d", len(h.log)),
		Owner: "daemon-0", Issued: issued, WindowS: shortWindow,
	}
	if err := h.append(r); err != nil || rng.IntN(3) == 0 {
		return err
	}
	r.Kind = KindClaim
	return h.append(r)
}

func writeCheckpoint(h *history, rng *rand.Rand) error {
	writer := h.full
	if rng.IntN(3) == 0 {
		writer = h.rebuilt
	}
	records := writer.CheckpointRecords(fmt.Sprintf("k%d", len(h.log)))
	// Other records may precede a checkpoint, and its last parts may be lost.
	for range rng.IntN(2) * rng.IntN(5) {
		if err := newClaim(h, rng); err != nil {
			return err
		}
	}
	for i, r := range records {
		if i > 0 && rng.IntN(8) == 0 {
			return nil
		}
		if err := h.append(r); err != nil {
			return err
		}
	}
	return nil
}

// restart removes old records from the log and replaces rebuilt by a new reader.
func restart(h *history, rng *rand.Rand) error {
	if rng.IntN(2) == 0 {
		h.firstRetained += rng.Int64N(int64(len(h.log)) - h.firstRetained + 1)
	}
	h.rebuilt = NewPartition(h.full.options)
	return h.replay(h.rebuilt)
}

// resetHistory appends the reset of a reader that lost records, sometimes late.
func resetHistory(h *history, rng *rand.Rand) error {
	if !h.rebuilt.Scanning() {
		return nil
	}
	r := h.rebuilt.ResetRecord("r")
	for range rng.IntN(2) * (maxResetDelay - 1 + rng.IntN(2)) {
		if err := malformed(h, rng); err != nil {
			return err
		}
	}
	if int64(len(h.log))-r.Through < maxResetDelay {
		h.refusedThrough = h.now + 2*testSkew
	}
	return h.append(r)
}

func malformed(h *history, _ *rand.Rand) error {
	rec := port.Record{Offset: int64(len(h.log)), Time: time.Unix(h.now, 0), Data: json.RawMessage(`{"kind":7}`)}
	h.log = append(h.log, rec)
	h.decisions = append(h.decisions, h.full.Apply(rec))
	return h.replay(h.rebuilt)
}

var steps = []struct {
	name   string
	weight int
	run    func(*history, *rand.Rand) error
}{
	{"claim", 8, newClaim},
	{"repeat-claim", 4, repeatClaimAs(KindClaim)},
	{"withdraw", 3, repeatClaimAs(KindWithdraw)},
	{"withdraw-early", 2, withdrawEarly},
	{"outcome", 3, repeatClaimAs(KindOutcome)},
	{"checkpoint", 2, writeCheckpoint},
	{"restart", 2, restart},
	{"reset", 1, resetHistory},
	{"malformed", 1, malformed},
	{"time", 3, func(h *history, rng *rand.Rand) error { h.now += rng.Int64N(40); return nil }},
}

func genStep(commands.State) gopter.Gen {
	var weighted []gen.WeightedGen
	for _, s := range steps {
		g := gen.UInt64().Map(func(n uint64) commands.Command { return step{name: s.name, n: n, run: s.run} })
		weighted = append(weighted, gen.WeightedGen{Weight: s.weight, Gen: g})
	}
	return gen.Weighted(weighted)
}

// Guards against two claims in force on one key at the same time, when records are
// repeated, withdrawn late or early, expired, truncated or restored from a checkpoint,
// and against readers that differ in a decision.
func TestPartitionMatchesOracle(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		parameters := gopter.DefaultTestParametersWithSeed(int64(seed))
		parameters.MinSuccessfulTests = 100
		parameters.MaxSize = 150
		properties := gopter.NewProperties(parameters)
		properties.Property(fmt.Sprintf("seed %d", seed), commands.Prop(&commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newHistory() },
			InitialStateGen:        gen.Const(0),
			GenCommandFunc:         genStep,
		}))
		properties.TestingRun(t)
	}
}

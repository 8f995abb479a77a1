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

// Windows, table size and skew of the test, in seconds and entries. Two windows
// stand for a service whose window is changed.
const (
	shortWindow = 60
	longWindow  = 200
	testSkew    = 10
	testEntries = 12
	// startTime keeps every issue time positive.
	startTime = 1_000_000
)

// history is a stream, its readers, and an oracle that never forgets a claim.
type history struct {
	now   int64
	first int64
	log   []port.Record
	sent  []Record
	// full reads from the start, rebuilt is replaced by a reader that starts at
	// first.
	full    *Partition
	rebuilt *Partition
	// verdicts holds the verdicts of full by offset.
	verdicts []Decision
	// owned holds the claim that stands on a key, withdrawn those that must never
	// stand again, finished the keys with an outcome.
	owned     map[string]Attempt
	withdrawn map[Attempt]bool
	finished  map[string]bool
	// refused is the newest issue time that a reset refuses.
	refused int64
}

func newHistory() *history {
	options := Options{MaxEntries: testEntries, Skew: testSkew * time.Second, MaxWindow: time.Hour, CheckpointKeys: 3}
	return &history{
		now: startTime, full: NewPartition(options), rebuilt: NewPartition(options),
		owned: map[string]Attempt{}, withdrawn: map[Attempt]bool{}, finished: map[string]bool{},
	}
}

// append adds a record, checks the verdict of full against the oracle and those of
// rebuilt against full.
func (h *history) append(r Record) error {
	h.sent = append(h.sent, r)
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	rec := port.Record{Offset: int64(len(h.log)), ID: r.RecordID(), Time: time.Unix(h.now, 0), Data: data}
	h.log = append(h.log, rec)
	full := h.full.Size() >= testEntries
	known, ok := h.full.Decided(r)
	verdict := h.full.Apply(rec)
	// The record's own time may expire the key that Known still remembers.
	if ok && known != verdict && h.full.Entry(r.Key) != nil {
		return fmt.Errorf("verdict %s was predicted, %s came", known, verdict)
	}
	h.verdicts = append(h.verdicts, verdict)
	if err := h.check(r, verdict, full); err != nil {
		return err
	}
	return h.read(h.rebuilt)
}

// check is the oracle.
func (h *history) check(r Record, verdict Decision, full bool) error {
	a := Attempt{Claim: r.Claim, Owner: r.Owner}
	owner, owned := h.owned[r.Key]
	switch r.Kind {
	case KindClaim:
		// Keys issued within the shortest window can't be forgotten or expired.
		fresh := r.Issued > max(h.now-shortWindow, h.refused) && r.Issued <= h.now+testSkew
		free := !owned && !h.withdrawn[a]
		if verdict == Accepted && owned && owner != a {
			return fmt.Errorf("claim %v accepted on key %s that %v holds", a, r.Key, owner)
		}
		if verdict == Accepted && !owned && h.full.Size() > testEntries {
			return fmt.Errorf("claim %v accepted with %d entries", a, h.full.Size())
		}
		if verdict == Accepted && (h.withdrawn[a] || h.finished[r.Key]) {
			return fmt.Errorf("claim %v accepted after its withdrawal or outcome", a)
		}
		if verdict != Accepted && free && fresh && !full {
			return fmt.Errorf("claim %v on free key %s got %s", a, r.Key, verdict)
		}
		if verdict == Accepted {
			h.owned[r.Key] = a
		}
	case KindWithdraw:
		if owned && owner == a && !h.finished[r.Key] {
			delete(h.owned, r.Key)
		}
		// A withdrawal that met a full table before its claim is not remembered.
		if owner == a && !h.finished[r.Key] || h.full.Entry(r.Key).withdrawn(a) {
			h.withdrawn[a] = true
		}
	case KindOutcome:
		if owned && owner == a {
			h.finished[r.Key] = true
		}
	}
	if size := h.full.Size(); size > 2*testEntries {
		return fmt.Errorf("the table holds %d entries", size)
	}
	return nil
}

// read applies the retained records the way a daemon does, page by page, and
// compares each verdict with the one of the reader that lost nothing.
func (h *history) read(p *Partition) error {
	const page = 7
	if len(h.log) == 0 {
		return nil
	}
	end := int64(len(h.log))
	for range 3*len(h.log) + 3 {
		if p.Next() < h.first {
			p.MarkTruncated(h.first)
		}
		from := p.Next()
		for _, rec := range h.log[from:min(from+page, end)] {
			applied := !p.Scanning() && rec.Offset == p.Next()
			verdict := p.Apply(rec)
			if applied {
				if err := h.compare(rec.Offset, verdict); err != nil {
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

// compare also applies to readers that recovered by a checkpoint or a reset.
func (h *history) compare(offset int64, verdict Decision) error {
	if want := h.verdicts[offset]; verdict != want {
		return fmt.Errorf("offset %d: a reader that started at %d says %s, the full one %s", offset, h.first, verdict, want)
	}
	return nil
}

// agree compares the entries of both readers.
func (h *history) agree() error {
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

// step is one command: what to do, and a number that selects the rest.
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
	if err := h.agree(); err != nil {
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

// newClaim claims a key that was issued up to a long window ago, or slightly in the
// future. Issue times are multiples of 20 s, so that keys repeat.
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

// pick returns an earlier claim.
func (h *history) pick(rng *rand.Rand) (Record, bool) {
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

func follow(kind Kind) func(*history, *rand.Rand) error {
	return func(h *history, rng *rand.Rand) error {
		r, ok := h.pick(rng)
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
	// The append of a checkpoint may be delayed, and lost after some parts.
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

// restart drops old records and replaces rebuilt by a new reader.
func restart(h *history, rng *rand.Rand) error {
	if rng.IntN(2) == 0 {
		h.first += rng.Int64N(int64(len(h.log)) - h.first + 1)
	}
	h.rebuilt = NewPartition(h.full.options)
	return h.read(h.rebuilt)
}

// resetHistory writes the reset of a reader that lost records; it may come late.
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
		h.refused = h.now + 2*testSkew
	}
	return h.append(r)
}

func malformed(h *history, _ *rand.Rand) error {
	rec := port.Record{Offset: int64(len(h.log)), Time: time.Unix(h.now, 0), Data: json.RawMessage(`{"kind":7}`)}
	h.log = append(h.log, rec)
	h.verdicts = append(h.verdicts, h.full.Apply(rec))
	return h.read(h.rebuilt)
}

var steps = []struct {
	name   string
	weight int
	run    func(*history, *rand.Rand) error
}{
	{"claim", 8, newClaim},
	{"repeat-claim", 4, follow(KindClaim)},
	{"withdraw", 3, follow(KindWithdraw)},
	{"withdraw-early", 2, withdrawEarly},
	{"outcome", 3, follow(KindOutcome)},
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

// Guards against two claims that stand on one key at once, whatever is repeated,
// withdrawn late or early, expired, truncated or read from a checkpoint, and against
// readers that disagree on a verdict.
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

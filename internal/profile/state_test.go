package profile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

const testReaders = 3

// testDocument returns a document that is valid under schema version 1. The weight of
// its only organisation distinguishes documents.
func testDocument(weight int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"ranks":[],"pools":[{"name":"p","models":["m"]}],
		"profiles":[{"name":"a","rank":"urgent","pool":"p","model":"m","first_token_ms":1,"token_ms":1,
		"total_ms":1,"worth":1,"max_output_tokens":1,"max_prompt_tokens":1,"retry_share":0}],
		"organisations":[{"name":"o","weight":%d}]}`, weight))
}

// simulation simulates a log with retention and readers that also send records to
// each other.
type simulation struct {
	records []port.Record
	first   int64
	readers [testReaders]*State
	// transfers are messages of peers, which may arrive late, twice, or at a restarted
	// reader.
	transfers []Transfer
	// recoveryErr is set if a reader cannot continue from a publication after a loss.
	recoveryErr error
}

func (w *simulation) next() int64 { return int64(len(w.records)) }

func (w *simulation) append(id string, data any) {
	raw, err := json.Marshal(data)
	if err != nil {
		panic(err)
	}
	w.records = append(w.records, port.Record{Offset: w.next(), ID: id, Time: time.Unix(w.next(), 0), Data: raw})
}

// read makes a reader apply up to limit records of the log.
func (w *simulation) read(reader, limit int) {
	s := w.readers[reader]
	s.Truncate(w.first)
	for range limit {
		from := s.ReadOffset()
		if from < w.first || from >= w.next() {
			return
		}
		_, _ = s.Apply(w.records[from])
	}
}

func (w *simulation) deliver(transfer Transfer, to *State) {
	if transfer.Checkpoint != nil {
		_ = to.Restore(transfer.Checkpoint)
	}
	for _, rec := range transfer.Records {
		_, _ = to.Apply(rec)
	}
}

// expected holds the oracle's revision and weight for each offset of the log.
type expected struct {
	revision, weight []int
}

// expectedStates is the oracle: it decides about all records of the log in one loop.
func (w *simulation) expectedStates() expected {
	e := expected{revision: []int{0}, weight: []int{0}}
	revision, weight, listed := 0, 0, false
	seen := map[string]bool{}
	for i, rec := range w.records {
		var p struct {
			Kind         string
			Schema, Base int
			AfterLoss    struct{ First, Newest int } `json:"after_loss"`
			Document     struct{ Organisations []struct{ Weight int } }
			Changes      *struct {
				Organisations []struct{ Weight int }
				Remove        struct{ Organisations []string }
			}
		}
		_ = json.Unmarshal(rec.Data, &p)
		valid := len(p.Document.Organisations) > 0 && p.Document.Organisations[0].Weight > 0
		switch {
		case valid && p.Kind == "after-loss" && p.AfterLoss.First > 0 && p.AfterLoss.First <= i && p.AfterLoss.Newest == i-1:
			revision, weight, listed = i+1, p.Document.Organisations[0].Weight, true
			clear(seen)
		case p.Kind != "" || seen[rec.ID] || p.Base != revision:
		case valid && p.Changes == nil:
			revision, weight, listed = i+1, p.Document.Organisations[0].Weight, true
		case p.Changes == nil || valid || revision == 0 || p.Schema < 3:
		case len(p.Changes.Remove.Organisations) > 0 && listed:
			revision, weight, listed = i+1, 1, false
		case len(p.Changes.Remove.Organisations) == 0 && p.Changes.Organisations[0].Weight > 0:
			revision, weight, listed = i+1, p.Changes.Organisations[0].Weight, true
		}
		seen[rec.ID] = seen[rec.ID] || p.Kind != KindCheckpoint
		e.revision = append(e.revision, revision)
		e.weight = append(e.weight, weight)
	}
	return e
}

// check compares every reader with the oracle at that reader's offset.
func (w *simulation) check(before [testReaders]int64) error {
	e := w.expectedStates()
	for i, s := range w.readers {
		want := int64(e.revision[s.Next()])
		if got := s.revision(); got != want {
			return fmt.Errorf("reader %d has revision %d at offset %d, want %d", i, got, s.Next(), want)
		}
		if want > 0 && (int(s.current.Weight("o")) != e.weight[s.Next()] || s.current.Profile("a") == nil) {
			return fmt.Errorf("reader %d has the document of another revision", i)
		}
		if s.Next() < before[i] {
			return fmt.Errorf("reader %d moved back from offset %d to %d", i, before[i], s.Next())
		}
	}
	return w.recoveryErr
}

// step is one action of the simulation. Only the restart of a reader, whose index is
// restarts, may move that reader back; restarts is -1 in other steps.
type step struct {
	name     string
	restarts int
	act      func(*simulation)
}

func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*simulation)
	var before [testReaders]int64
	for i, r := range w.readers {
		before[i] = r.Next()
	}
	s.act(w)
	if s.restarts >= 0 {
		before[s.restarts] = 0
	}
	return w.check(before)
}

func (step) NextState(state commands.State) commands.State { return state }
func (step) PreCondition(commands.State) bool              { return true }
func (step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if err, ok := result.(error); ok && err != nil {
		return gopter.NewPropResult(false, err.Error())
	}
	return gopter.NewPropResult(true, "")
}
func (s step) String() string { return s.name }

// publish appends a publication based on the newest revision plus a shift. There are
// few ids, so that they repeat.
func publish(id, shift, weight int) step {
	name := fmt.Sprintf("publish(id=%d shift=%d weight=%d)", id, shift, weight)
	return step{name, -1, func(w *simulation) {
		e := w.expectedStates()
		w.append(strconv.Itoa(id), Publication{
			Schema:   1 + weight%SchemaVersion,
			Base:     int64(e.revision[w.next()] + shift),
			Document: testDocument(weight),
		})
	}}
}

// afterLoss appends a publication after a loss. With shift 0 it names the newest record
// before it, and every reader of the log must continue from it.
func afterLoss(id, shift, weight int) step {
	name := fmt.Sprintf("afterLoss(id=%d shift=%d weight=%d)", id, shift, weight)
	return step{name, -1, func(w *simulation) {
		loss := &Loss{First: max(w.first, 1), Newest: w.next() - 1 + int64(shift)}
		w.append(strconv.Itoa(id), Publication{
			Kind: KindAfterLoss, Schema: SchemaVersion, AfterLoss: loss, Document: testDocument(weight),
		})
		if shift != 0 || weight == 0 || w.next() < 2 {
			return
		}
		for i, s := range w.readers {
			// A reader that finds a checkpoint continues at the offset that it covers and
			// reads the records from there again.
			w.read(i, 2*len(w.records))
			if s.Next() != w.next() || s.Recovering() {
				w.recoveryErr = fmt.Errorf("reader %d is at offset %d of %d after a publication after a loss", i, s.Next(), w.next())
			}
		}
	}}
}

// publishChanges appends a change of the organisation's weight, or its removal for a
// negative weight.
func publishChanges(id, shift, weight int) step {
	name := fmt.Sprintf("publishChanges(id=%d shift=%d weight=%d)", id, shift, weight)
	return step{name, -1, func(w *simulation) {
		e := w.expectedStates()
		changes := &Changes{Organisations: []Organisation{{Name: "o", Weight: float64(weight)}}}
		if weight < 0 {
			changes = &Changes{Remove: Removal{Organisations: []string{"o"}}}
		}
		data, err := json.Marshal(changes)
		if err != nil {
			panic(err)
		}
		w.append(strconv.Itoa(id), Publication{
			Schema: 2 + id%2, Base: int64(e.revision[w.next()] + shift), Changes: data,
		})
	}}
}

// repeat appends a record again, like a writer that received no response.
func repeat(n int) step {
	return step{fmt.Sprintf("repeat(%d)", n), -1, func(w *simulation) {
		if i := w.next() - int64(n); i >= 0 {
			w.append(w.records[i].ID, w.records[i].Data)
		}
	}}
}

func genStep(reader, other, n int) gopter.Gen {
	return gen.OneConstOf(
		step{fmt.Sprintf("read(%d, %d)", reader, n), -1, func(w *simulation) { w.read(reader, n) }},
		step{fmt.Sprintf("checkpoint(%d)", reader), -1, func(w *simulation) {
			w.append("checkpoint", w.readers[reader].Checkpoint())
		}},
		step{fmt.Sprintf("trim(%d)", n), -1, func(w *simulation) { w.first = max(w.first, w.next()-int64(n)) }},
		step{fmt.Sprintf("answer(%d to %d)", reader, other), -1, func(w *simulation) {
			w.transfers = append(w.transfers, w.readers[reader].Since(w.readers[other].Next()))
		}},
		step{fmt.Sprintf("deliver(%d to %d)", n, other), -1, func(w *simulation) {
			if len(w.transfers) > 0 {
				w.deliver(w.transfers[n%len(w.transfers)], w.readers[other])
			}
		}},
		step{fmt.Sprintf("restart(%d)", reader), reader, func(w *simulation) { w.readers[reader] = NewState() }},
		publish(n, 0, 1+n%7),
		publish(100+n, 0, 1+n%7),
		publish(200+n, 0, 0),
		publish(300+n, -1+n%3, 5),
		afterLoss(n, 0, 1+n%7),
		afterLoss(400+n, -n%3, n%2),
		repeat(n),
		publishChanges(501+2*n, 0, 10+n),
		publishChanges(601+2*n, 0, -1),
		publishChanges(700+n, -n%3, n%3),
	)
}

// choice holds the random parameters of a step.
type choice struct{ Reader, Other, N int }

type stateCommands struct{}

func (stateCommands) NewSystemUnderTest(commands.State) commands.SystemUnderTest {
	w := &simulation{}
	for i := range w.readers {
		w.readers[i] = NewState()
	}
	return w
}
func (stateCommands) DestroySystemUnderTest(commands.SystemUnderTest) {}
func (stateCommands) GenInitialState() gopter.Gen                     { return gen.Const(0) }
func (stateCommands) InitialPreCondition(commands.State) bool         { return true }
func (stateCommands) GenCommand(commands.State) gopter.Gen {
	return gen.Struct(reflect.TypeFor[choice](), map[string]gopter.Gen{
		"Reader": gen.IntRange(0, testReaders-1), "Other": gen.IntRange(0, testReaders-1), "N": gen.IntRange(1, 40),
	}).FlatMap(func(v any) gopter.Gen {
		c := v.(choice)
		return genStep(c.Reader, c.Other, c.N)
	}, reflect.TypeFor[step]())
}

// Guards against a reader whose decisions differ from those of a reader of the whole
// log, after a checkpoint, records from a peer, a repeated record, an expired prefix or
// a restart, and against a reader that moves back to an earlier offset.
func TestStateMatchesWholeLog(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		parameters := gopter.DefaultTestParametersWithSeed(int64(seed))
		parameters.MinSuccessfulTests = 40
		parameters.MinSize, parameters.MaxSize = 20, 120
		properties := gopter.NewProperties(parameters)
		properties.Property(fmt.Sprintf("seed %d", seed), commands.Prop(stateCommands{}))
		properties.TestingRun(t)
	}
}

// Guards against rules that change for a published schema version, and against an older
// program that decides about a record of a newer version instead of waiting for the
// checkpoint of a newer program.
func TestAcceptanceFollowsTheRecordsSchema(t *testing.T) {
	withdrawn := json.RawMessage(`{"withdrawn":{},` + string(testDocument(1))[1:])
	w := &simulation{}
	w.append("old", Publication{Schema: 1, Document: withdrawn})
	w.append("now", Publication{Schema: 2, Document: withdrawn})
	w.append("new", Publication{Schema: SchemaVersion + 1, Base: 2, Document: json.RawMessage(`{"later":1}`)})
	s := NewState()
	old, _ := s.Apply(w.records[0])
	now, _ := s.Apply(w.records[1])
	if old.Accepted || !now.Accepted {
		t.Errorf("accepted is %t under schema 1 and %t under schema 2, want false and true", old.Accepted, now.Accepted)
	}
	if _, err := s.Apply(w.records[2]); !errors.Is(err, ErrNewerSchema) || s.revision() != 2 {
		t.Errorf("revision %d after a newer schema (%v), want 2 to stay", s.revision(), err)
	}
	w.append("checkpoint", Checkpoint{Kind: KindCheckpoint, Covers: 3, Revision: 3, Schema: SchemaVersion + 1,
		Document: json.RawMessage(`{"later":1,` + string(testDocument(9))[1:])})
	_, err := s.Apply(w.records[3])
	if err != nil || s.revision() != 3 || s.current.Weight("o") != 9 || s.Next() != 3 {
		t.Errorf("revision %d, next %d (%v) after the newer program's checkpoint, want 3 and 3", s.revision(), s.Next(), err)
	}
}

// Guards against changes that lose or keep the wrong items, that modify the document of
// the base revision, or whose encoding is as large as the document.
func TestChangesReproduceTheDocument(t *testing.T) {
	for _, seed := range seedtest.Seeds() {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := &simulation{}
		s := NewState()
		w.append("first", Publication{Schema: wholeDocumentSchema, Document: manyOrganisations(rng, nil)})
		_, _ = s.Apply(w.records[0])
		for i := range 3 {
			before, _ := json.Marshal(s.current.Document)
			base := s.current
			whole := manyOrganisations(rng, base.Document)
			doc, list := ParseDocument("", whole)
			if list.Err() != nil {
				t.Fatal(list.Err())
			}
			w.append(strconv.Itoa(i), Publication{Schema: SchemaVersion, Base: s.revision(), Changes: s.ChangesTo(doc)})
			record := w.records[len(w.records)-1]
			if v, err := s.Apply(record); err != nil || !v.Accepted {
				t.Fatalf("seed %d: changes %d: %+v, %v", seed, i, v, err)
			}
			after, _ := json.Marshal(base.Document)
			if !bytes.Equal(before, after) {
				t.Fatalf("seed %d: changes %d modify the base revision", seed, i)
			}
			if rest := newChanges(s.current.Document, doc); !reflect.DeepEqual(rest, &Changes{}) {
				t.Fatalf("seed %d: changes %d leave the differences %+v", seed, i, rest)
			}
			if len(record.Data)*20 > len(whole) {
				t.Errorf("seed %d: changes take %d bytes of %d", seed, len(record.Data), len(whole))
			}
			if i == 0 {
				t.Logf("seed %d: changes take %d bytes, the document %d", seed, len(record.Data), len(whole))
			}
		}
	}
}

// manyOrganisations returns a document with about 9800 organisations that differs from
// base in a few items.
func manyOrganisations(rng *rand.Rand, base *Document) json.RawMessage {
	doc := &Document{}
	if base == nil {
		_ = json.Unmarshal(testDocument(1), doc)
		for i := range 9800 {
			doc.Organisations = append(doc.Organisations, Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 2})
		}
	} else {
		data, _ := json.Marshal(base)
		_ = json.Unmarshal(data, doc)
		at := rng.IntN(len(doc.Organisations))
		doc.Organisations[at].Weight++
		doc.Organisations = slices.Delete(doc.Organisations, at+1, min(at+3, len(doc.Organisations)))
		doc.Organisations = append(doc.Organisations, Organisation{Name: fmt.Sprintf("new-%d", rng.Uint64()), Weight: 3})
		doc.Profiles[0].Worth++
		doc.Pools[0].Versions = []ModelVersion{{Model: "m", Version: fmt.Sprint(rng.IntN(9))}}
		doc.Withdrawn.Upstreams = []string{fmt.Sprint(rng.IntN(9))}
	}
	data, _ := json.Marshal(doc)
	return data
}

// Guards against changes that programs with different schema versions apply differently,
// and against a publication after a loss that needs a base.
func TestChangesAreChecked(t *testing.T) {
	const good = `{"organisations":[{"name":"o","weight":2}]}`
	tests := []struct {
		name     string
		pub      Publication
		accepted bool
	}{
		{"change", Publication{Schema: 3, Base: 1, Changes: json.RawMessage(good)}, true},
		{"schema 2", Publication{Schema: 2, Base: 1, Changes: json.RawMessage(good)}, false},
		{"schema 2 with a document", Publication{Schema: 2, Base: 1, Document: testDocument(3), Changes: json.RawMessage(good)}, true},
		{"old base", Publication{Schema: 3, Changes: json.RawMessage(good)}, false},
		{"document beside it", Publication{Schema: 3, Base: 1, Document: testDocument(3), Changes: json.RawMessage(good)}, false},
		{"after a loss", Publication{Kind: KindAfterLoss, AfterLoss: &Loss{First: 1}, Schema: 3, Changes: json.RawMessage(good)}, false},
		{"name twice", Publication{Schema: 3, Base: 1,
			Changes: json.RawMessage(`{"organisations":[{"name":"o","weight":2},{"name":"o","weight":3}]}`)}, false},
		{"unknown field in a section", Publication{Schema: 3, Base: 1, Changes: json.RawMessage(`{"withdrawn":{"later":[]}}`)}, false},
		{"pool in use removed", Publication{Schema: 3, Base: 1, Changes: json.RawMessage(`{"remove":{"pools":["p"]}}`)}, false},
		{"removed and set", Publication{Schema: 3, Base: 1,
			Changes: json.RawMessage(`{"organisations":[{"name":"o","weight":2}],"remove":{"organisations":["o"]}}`)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &simulation{}
			s := NewState()
			w.append("first", Publication{Schema: wholeDocumentSchema, Document: testDocument(1)})
			w.append("second", test.pub)
			_, _ = s.Apply(w.records[0])
			v, err := s.Apply(w.records[1])
			if err != nil || v.Accepted != test.accepted {
				t.Errorf("decision %+v (%v), want accepted %t", v, err, test.accepted)
			}
		})
	}
}

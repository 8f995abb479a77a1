package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

func document(worth int) []byte {
	doc := profile.Document{
		Pools: []profile.Pool{{Name: "a", Models: []string{"m"}}},
		Profiles: []profile.Profile{{
			Name: "p", Rank: profile.Urgent, Pool: "a", Model: "m", FirstTokenMS: 1, TokenMS: 1, TotalMS: 1,
			Worth: float64(worth), MaxOutputTokens: 1, MaxPromptTokens: 1,
		}},
	}
	// A struct of plain values always encodes.
	data, _ := json.Marshal(doc)
	return data
}

// configurationOracle knows which worth each accepted revision published.
type configurationOracle struct {
	worth   map[int64]int
	current int64
}

// Guards against a roll-forward that publishes another document than the named
// revision's, revives a revision that lost a race, or brings an old revision
// number back, and against a diff that misses or invents a difference.
func TestDiffAndRollForwardFollowTheLog(t *testing.T) {
	seeds := uint64(5)
	if n, err := strconv.ParseUint(os.Getenv("BERGAMOT_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			log := standin.NewLog(0)
			oracle := configurationOracle{worth: map[int64]int{}}
			for step := range 60 {
				log.SetFaults(standin.LogFaults{LoseAnswers: rng.IntN(2)})
				oracle.step(t, rng, log, step)
			}
		})
	}
}

func (o *configurationOracle) step(t *testing.T, rng *rand.Rand, log *standin.Log, step int) {
	t.Helper()
	worth := 1 + rng.IntN(4)
	switch rng.IntN(4) {
	case 0:
		o.publish(t, log, worth)
	case 1:
		o.appendStale(log, worth, step)
	case 2:
		o.rollForward(t, log, int64(1+rng.IntN(step+2)))
	default:
		o.diff(t, log, worth)
	}
}

func (o *configurationOracle) publish(t *testing.T, log *standin.Log, worth int) {
	t.Helper()
	p := Publisher{Log: log, Base: -1}
	verdict, err := p.Publish(context.Background(), "c.json", document(worth))
	if err != nil || !verdict.Accepted {
		t.Fatalf("publish: %+v, %v", verdict, err)
	}
	o.accept(verdict.Revision, worth)
}

func (o *configurationOracle) accept(revision int64, worth int) {
	o.worth[revision] = worth
	o.current = revision
}

// appendStale adds a publication that lost a race: its base is not current.
func (o *configurationOracle) appendStale(log *standin.Log, worth, step int) {
	pub := profile.Publication{Schema: profile.SchemaVersion, Base: o.current + 1000, Document: document(worth)}
	data, _ := json.Marshal(pub)
	// An append whose answer is lost took effect all the same.
	_, _ = log.Append(context.Background(), profile.Stream, []port.Entry{{ID: fmt.Sprint("stale-", step), Data: data}})
}

func (o *configurationOracle) rollForward(t *testing.T, log *standin.Log, revision int64) {
	t.Helper()
	before := o.current
	verdict, err := rollForward(context.Background(), Publisher{Log: log}, revision)
	worth, known := o.worth[revision]
	if !known {
		if err == nil {
			t.Fatalf("roll-forward to revision %d, which was never accepted, succeeded", revision)
		}
		return
	}
	if err != nil || !verdict.Accepted || verdict.Revision <= before {
		t.Fatalf("roll-forward to revision %d: %+v, %v", revision, verdict, err)
	}
	o.accept(verdict.Revision, worth)
	o.diff(t, log, worth)
}

func (o *configurationOracle) diff(t *testing.T, log *standin.Log, worth int) {
	t.Helper()
	revision, list, err := diffFile(context.Background(), log, write(t, "c.json", string(document(worth))))
	if err != nil || revision != o.current {
		t.Fatalf("diff is to revision %d (%v), want %d", revision, err, o.current)
	}
	if o.current == 0 {
		return
	}
	o.checkRevisions(t, log)
	if same := o.worth[o.current] == worth; same != (len(list) == 0) {
		t.Fatalf("worth in force %d, in the file %d: differences %+v", o.worth[o.current], worth, list)
	}
	if len(list) > 0 && list[0].Path != "profiles.p.worth" {
		t.Fatalf("difference at %q, want profiles.p.worth", list[0].Path)
	}
}

// checkRevisions compares the list of revisions with the accepted publications.
func (o *configurationOracle) checkRevisions(t *testing.T, log *standin.Log) {
	t.Helper()
	_, revisions, err := history(context.Background(), log)
	if err != nil || len(revisions) != len(o.worth) {
		t.Fatalf("%d revisions are listed (%v), want %d", len(revisions), err, len(o.worth))
	}
	for _, r := range revisions {
		if worth, ok := o.worth[r.Revision]; !ok || string(r.document) != string(document(worth)) {
			t.Fatalf("revision %d is listed with document %s, want worth %d", r.Revision, r.document, worth)
		}
	}
}

// Guards against exit codes that hide which kind of failure occurred.
func TestExitCodes(t *testing.T) {
	log := standin.NewLog(0)
	doc := document(1)
	if _, err := (Publisher{Log: log, Base: -1}).Publish(context.Background(), "c.json", doc); err != nil {
		t.Fatal(err)
	}
	verdict, err := (Publisher{Log: log, Base: 0}).Publish(context.Background(), "c.json", doc)
	if err != nil || verdict.Accepted {
		t.Fatalf("publication on an old base: %+v, %v", verdict, err)
	}
	root := newRoot("test", &options{})
	if got := ExitCode(report(root, verdict)); got != ExitConflict {
		t.Errorf("exit code of a lost race is %d, want %d", got, ExitConflict)
	}
	opts := &options{}
	if got := ExitCode(opts.showDiff(root.OutOrStdout(), 1, []difference{{Path: "a"}})); got != ExitDifferent {
		t.Errorf("exit code of a difference is %d, want %d", got, ExitDifferent)
	}
	if got := ExitCode(errors.New("other")); got != ExitFailure {
		t.Errorf("exit code of another error is %d, want %d", got, ExitFailure)
	}
}

package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

func document(worth int) []byte {
	doc := profile.Document{
		Ranks: []profile.RankPolicy{},
		Pools: []profile.Pool{{Name: "a", Models: []string{"m"}}},
		Profiles: []profile.Profile{{
			Name: "p", Rank: profile.Urgent, Pool: "a", Model: "m", FirstTokenMS: 1, TokenMS: 1, TotalMS: 1,
			Worth: float64(worth), MaxOutputTokens: 1, MaxPromptTokens: 1,
		}},
	}
	// Encoding a struct of plain values cannot fail.
	data, _ := json.Marshal(doc)
	return data
}

// configurationOracle holds the expected state: the worth in the document of each accepted
// revision, and the revision in force.
type configurationOracle struct {
	worth   map[int64]int
	current int64
}

// Guards against a roll-forward that publishes a document other than that of the given
// revision, publishes a revision that was never accepted, or reuses an old revision number,
// and against a diff that misses a difference or reports one that does not exist.
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
				log.SetFaults(standin.LogFaults{LoseResponses: rng.IntN(2)})
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
	p := Publisher{Log: log, Base: -1, Changes: worth%2 == 0}
	decision, err := p.Publish(context.Background(), "c.json", document(worth))
	if err != nil || !decision.Accepted {
		t.Fatalf("publish: %+v, %v", decision, err)
	}
	o.accept(decision.Revision, worth)
}

func (o *configurationOracle) accept(revision int64, worth int) {
	o.worth[revision] = worth
	o.current = revision
}

// appendStale appends a publication that is rejected because its base is not the current
// revision.
func (o *configurationOracle) appendStale(log *standin.Log, worth, step int) {
	pub := profile.Publication{Schema: profile.SchemaVersion, Base: o.current + 1000, Document: document(worth)}
	data, _ := json.Marshal(pub)
	// An append whose response is lost has taken effect nevertheless.
	_, _ = log.Append(context.Background(), profile.Stream, []port.Entry{{ID: fmt.Sprint("stale-", step), Data: data}})
}

func (o *configurationOracle) rollForward(t *testing.T, log *standin.Log, revision int64) {
	t.Helper()
	before := o.current
	decision, err := rollForward(context.Background(), Publisher{Log: log}, revision)
	worth, known := o.worth[revision]
	if !known {
		if err == nil {
			t.Fatalf("roll-forward to revision %d, which was never accepted, succeeded", revision)
		}
		return
	}
	if err != nil || !decision.Accepted || decision.Revision <= before {
		t.Fatalf("roll-forward to revision %d: %+v, %v", revision, decision, err)
	}
	o.accept(decision.Revision, worth)
	o.diff(t, log, worth)
}

func (o *configurationOracle) diff(t *testing.T, log *standin.Log, worth int) {
	t.Helper()
	revision, list, err := diffFile(context.Background(), log, writeTempFile(t, "c.json", string(document(worth))))
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

// checkRevisions compares the listed revisions with the accepted publications.
func (o *configurationOracle) checkRevisions(t *testing.T, log *standin.Log) {
	t.Helper()
	_, revisions, err := readHistory(context.Background(), log)
	if err != nil || len(revisions) != len(o.worth) {
		t.Fatalf("%d revisions are listed (%v), want %d", len(revisions), err, len(o.worth))
	}
	for _, r := range revisions {
		if worth, ok := o.worth[r.Revision]; !ok || string(r.document) != string(document(worth)) {
			t.Fatalf("revision %d is listed with document %s, want worth %d", r.Revision, r.document, worth)
		}
	}
}

// Guards against exit codes that do not distinguish the kinds of failure.
func TestExitCodes(t *testing.T) {
	log := standin.NewLog(0)
	doc := document(1)
	if _, err := (Publisher{Log: log, Base: -1}).Publish(context.Background(), "c.json", doc); err != nil {
		t.Fatal(err)
	}
	decision, err := (Publisher{Log: log, Base: 0}).Publish(context.Background(), "c.json", doc)
	if err != nil || decision.Accepted {
		t.Fatalf("publication on an old base: %+v, %v", decision, err)
	}
	root := newRoot("test", &options{})
	if got := ExitCode(printDecision(root, decision)); got != ExitConflict {
		t.Errorf("exit code of a conflict is %d, want %d", got, ExitConflict)
	}
	opts := &options{}
	if got := ExitCode(opts.showDiff(root.OutOrStdout(), 1, []difference{{Path: "a"}})); got != ExitDifferent {
		t.Errorf("exit code of a difference is %d, want %d", got, ExitDifferent)
	}
	if got := ExitCode(errors.New("other")); got != ExitFailure {
		t.Errorf("exit code of another error is %d, want %d", got, ExitFailure)
	}
}

// logWithLostRecords returns a log whose first two records have expired. One record is left,
// about which no reader can decide without them.
func logWithLostRecords() *standin.Log {
	log := standin.NewLog(0)
	for i := range 3 {
		data, _ := json.Marshal(profile.Publication{Schema: profile.SchemaVersion, Base: int64(i), Document: document(1)})
		_, _ = log.Append(context.Background(), profile.Stream, []port.Entry{{ID: fmt.Sprint("r", i), Data: data}})
	}
	log.Trim(profile.Stream, 1)
	return log
}

// Guards against accepting the publications of two operators after the same loss, against a
// publication after a loss that replaces a revision its operator did not see, and against
// exit codes that do not distinguish these cases.
func TestPublishAfterLoss(t *testing.T) {
	for _, faults := range []standin.LogFaults{{}, {LoseResponses: 2}, {DropRequests: 2}, {LateAppends: 1, LateMS: 7000}} {
		synctest.Test(t, func(t *testing.T) {
			log := logWithLostRecords()
			p := Publisher{Log: log, Base: -1}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			loss := profile.Loss{First: 2, Newest: 2}
			if _, err := p.Publish(ctx, "c.json", document(2)); ExitCode(err) != ExitLost {
				t.Errorf("ordinary publication after a loss: %v, want exit code %d", err, ExitLost)
			}
			_, err := p.PublishAfterLoss(t.Context(), "c.json", document(2), profile.Loss{First: 2, Newest: 3})
			if ExitCode(err) != ExitInvalid {
				t.Errorf("publication after an offset that is not on the log: %v, want exit code %d", err, ExitInvalid)
			}
			_, err = p.PublishAfterLoss(t.Context(), "c.json", document(2), profile.Loss{First: 2, Newest: 1})
			if ExitCode(err) != ExitLost || !strings.Contains(Message(err), "--after-loss 2:2") {
				t.Errorf("publication after an older offset: %v, want exit code %d and the flag", err, ExitLost)
			}
			log.SetFaults(faults)
			winner, err := p.PublishAfterLoss(t.Context(), "c.json", document(2), loss)
			if err != nil || !winner.Accepted || winner.Revision != 4 {
				t.Fatalf("publication after the loss: %+v, %v, want revision 4", winner, err)
			}
			loser, err := p.PublishAfterLoss(t.Context(), "c.json", document(3), loss)
			if err != nil || loser.Accepted || loser.Revision != 4 || ExitCode(printDecision(newRoot("test", &options{}), loser)) != ExitConflict {
				t.Errorf("second publication after the loss: %+v, %v, want it rejected with revision 4 in force", loser, err)
			}
			newest := log.NextOffset(profile.Stream) - 1
			_, err = p.PublishAfterLoss(t.Context(), "c.json", document(3), profile.Loss{First: 2, Newest: newest})
			if ExitCode(err) != ExitInvalid {
				t.Errorf("publication after a loss that is decided: %v, want exit code %d", err, ExitInvalid)
			}
			time.Sleep(10 * time.Second)
			state, _, err := readHistory(t.Context(), log)
			if err != nil || currentRevision(state) != 4 {
				t.Errorf("revision %d (%v) after a late append, want 4", currentRevision(state), err)
			}
		})
	}
}

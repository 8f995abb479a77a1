package daemon

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a request whose handling operators cannot explain: each decision about
// it, refusals included, must leave a record with its inputs.
func TestExplainShowsEachDecision(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		engines, daemons := c.startSettled(1, 1, standin.EngineOptions{})
		send := func(id, body string) reply {
			header := http.Header{refusal.HeaderRequestID: {id}}
			return c.do(context.Background(), daemons[0], http.MethodPost, "/v1/completions", header, []byte(body))
		}
		if got := send("whole", `{"model":"slot-query","prompt":"slot tokens=3"}`); got.status != http.StatusOK {
			t.Fatalf("completion got %d: %s", got.status, got.body)
		}
		c.engines[engines[0]].SetFaults(standin.EngineFaults{DownMS: 60_000})
		c.engines[engines[0]].Crash()
		if got := send("none", `{"model":"slot-query","prompt":"slot tokens=3"}`); got.status == http.StatusOK {
			t.Fatalf("completion without an engine got %d: %s", got.status, got.body)
		}
		send("unknown", `{"model":"no-such-profile","prompt":"slot"}`)
		for _, want := range []struct {
			id, stage, outcome string
			inputs             []string
		}{
			{"whole", stageAdmission, "admitted", []string{"rank", "prompt-tokens", "predicted-output-tokens", "capacity-share"}},
			{"whole", stageRouting, engines[0], []string{"attempt", "data-centre", "report-age-ms", "predicted-first-token-ms"}},
			{"whole", stageResult, "answered", []string{"duration-ms"}},
			{"none", stageResult, "refused", []string{"code", "outcome", "detail"}},
			{"unknown", stageResult, "refused", []string{"code", "outcome", "detail"}},
		} {
			records := c.daemons[daemons[0]].decisions.Find(want.id)
			i := slices.IndexFunc(records, func(r decision.Record) bool { return r.Stage == want.stage })
			if i < 0 || records[i].Outcome != want.outcome {
				t.Errorf("%s: records %+v, want stage %s with outcome %s", want.id, records, want.stage, want.outcome)
				continue
			}
			for _, name := range want.inputs {
				if !slices.ContainsFunc(records[i].Inputs, func(in decision.Input) bool { return in.Name == name }) {
					t.Errorf("%s, stage %s: input %s is missing from %+v", want.id, want.stage, name, records[i].Inputs)
				}
			}
		}
	})
}

package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a bad request that reaches an upstream, or that is answered without a
// typed error that states whether it ran.
func TestBadRequestsAreRefusedWithTheirType(t *testing.T) {
	const bodyLimit = 2000
	tests := []struct {
		name, method, path, key, body string
		status                        int
		code                          refusal.Code
	}{
		{"body too large", "POST", "/v1/completions", "", `{"prompt":"` + strings.Repeat("x", bodyLimit) + `"}`, 413, refusal.BodyTooLarge},
		{"head too large", "GET", "/v1/completions?" + strings.Repeat("x", 80<<10), "", ``, 431, refusal.HeadTooLarge},
		{"malformed body", "POST", "/v1/completions", "", `{"model":`, 400, refusal.BadRequest},
		{"wrong type", "POST", "/v1/completions", "", `{"model":"slot-query","prompt":7}`, 400, refusal.BadRequest},
		{"missing fields", "POST", "/v1/chat/completions", "", `{}`, 400, refusal.BadRequest},
		{"unknown profile", "POST", "/v1/completions", "", `{"model":"none","prompt":"x"}`, 404, refusal.UnknownProfile},
		{"wrong method", "GET", "/v1/completions", "", ``, 405, refusal.MethodNotAllowed},
		{"unknown path", "GET", "/nowhere", "", ``, 404, refusal.UnknownPath},
		{"missing key", "POST", confirmPath, "", `{}`, 400, refusal.KeyRequired},
		{"body too large with a key", "POST", confirmPath, "key-1", strings.Repeat("x", bodyLimit+1), 413, refusal.BodyTooLarge},
	}
	inCluster(t, 1, func(c *cluster) {
		c.adjustSettings = func(s *settings.Settings) { s.Limits.BodyBytes = bodyLimit }
		engine := c.addEngine("engine-1", "anand", standin.EngineOptions{})
		service := c.addService("service-1", "anand")
		c.addDaemon("daemon-1", "anand")
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)
		for _, tt := range tests {
			header := http.Header{}
			if tt.key != "" {
				header.Set(headerIdempotencyKey, tt.key)
			}
			got := c.do(context.Background(), "daemon-1", tt.method, tt.path, header, []byte(tt.body))
			if got.status != tt.status || got.refusal == nil || got.refusal.Code != tt.code {
				c.t.Errorf("%s: answered %d %s, want %d %s", tt.name, got.status, got.body, tt.status, tt.code)
				continue
			}
			outcome := got.header.Get(refusal.HeaderOutcome)
			if outcome != string(refusal.NotRun) || got.refusal.Outcome != refusal.NotRun || got.refusal.RequestID == "" {
				c.t.Errorf("%s: header %q and body %s do not state that it did not run", tt.name, outcome, got.body)
			}
		}
		if engine.TotalStarts() > 0 || len(service.Executions()) > 0 {
			c.t.Errorf("bad requests reached an upstream, want none")
		}
	})
}

package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a daemon process that interrupts responses in progress when it receives
// SIGTERM, or that exits with an error after it has completed them.
func TestTerminatedDaemonCompletesResponses(t *testing.T) {
	s := newSystem(t)
	s.addEngine("engine-1", "anand", "--token-time", "5ms")
	s.listDaemon("anand-1", "anand")
	s.startPlatform()
	s.publish(configuration(""))
	s.startDaemon("anand-1", "anand")
	s.awaitOK("anand-1", "/readyz")
	s.await("the daemon can reach the engine", func() bool { return s.completesFully("anand-1", "hello tokens=2") })
	before := s.acceptedRequests("anand-1")
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			if prompt := fmt.Sprintf("history %d tokens=%d", i, 400+40*i); !s.completesFully("anand-1", prompt) {
				s.t.Errorf("request %d did not receive its complete response", i)
			}
		})
	}
	s.await("all requests are accepted", func() bool { return s.acceptedRequests("anand-1") >= before+10 })
	s.signal("anand-1", syscall.SIGTERM)
	group.Wait()
	if err := s.processes["anand-1"].Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}

// acceptedRequests returns the number of requests that a daemon has accepted.
func (s *system) acceptedRequests(daemon string) int {
	var vars struct {
		Bergamotd struct {
			Requests int `json:"requests"`
		} `json:"bergamotd"`
	}
	s.get(daemon, "/debug/vars", &vars)
	return vars.Bergamotd.Requests
}

// completesFully reports whether a prompt gets its complete response.
func (s *system) completesFully(daemon, prompt string) bool {
	body, _ := json.Marshal(map[string]string{"model": "slot-query", "prompt": prompt})
	r := s.request(daemon, http.MethodPost, "/v1/completions", nil, string(body))
	var out struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if r.status != http.StatusOK || json.Unmarshal(r.body, &out) != nil || len(out.Choices) != 1 {
		return false
	}
	return out.Choices[0].Text == standin.Answer("feed-rota-7b", prompt, 2000)
}

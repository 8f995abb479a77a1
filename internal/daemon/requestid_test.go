package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// Guards against a process on the path of a request whose log does not contain the
// request id, so that an operator could not follow the request.
func TestRequestIDIsLoggedByEveryProcess(t *testing.T) {
	inCluster(t, 1, func(c *cluster) {
		processes := map[string]*observer.ObservedLogs{}
		logger := func(name string) *zap.Logger {
			core, logs := observer.New(zap.InfoLevel)
			processes[name] = logs
			return zap.New(core)
		}
		engine := standin.NewEngine(standin.EngineOptions{
			Name: "engine-1", Model: testModel, Role: port.RoleMixed, TokenTime: time.Millisecond, Capacity: 1000})
		const engineAddress, serviceAddress = "10.1.0.1:7100", "10.2.0.1:7200"
		c.serve("engine-1", engineAddress, standin.LogRequests(engine.Handler(), logger("engine")))
		c.serve("service-1", serviceAddress, standin.LogRequests(standin.NewService("service-1").Handler(), logger("service")))
		c.addVM(port.VM{ID: "engine-1", Address: engineAddress, DataCentre: "anand", Kind: port.KindEngine, Pool: testPool, State: port.VMLive})
		c.addVM(port.VM{ID: "service-1", Address: serviceAddress, DataCentre: "anand", Kind: port.KindService, Pool: "caretaker", State: port.VMLive})
		startLogged(t, c, logger("daemon"))
		c.publish("r1", 0, document())
		c.awaitReady()
		time.Sleep(2 * time.Second)

		header := func(id string) http.Header { return http.Header{refusal.HeaderRequestID: {id}} }
		body := []byte(`{"model":"slot-query","prompt":"slot tokens=3 "}`)
		completion := c.do(context.Background(), "daemon-1", http.MethodPost, "/v1/completions", header("request-a"), body)
		lookup := c.do(context.Background(), "daemon-1", http.MethodGet, "/caretaker/slots", header("request-b"), nil)
		if completion.status != 200 || lookup.status != 200 {
			t.Fatalf("responses: %d %s, %d %s, want 200 for both", completion.status, completion.body, lookup.status, lookup.body)
		}
		// A process logs a request after its response.
		synctest.Wait()
		for _, want := range []struct{ process, id string }{
			{"daemon", "request-a"}, {"engine", "request-a"}, {"daemon", "request-b"}, {"service", "request-b"},
		} {
			if processes[want.process].FilterField(zap.String(jsonlog.FieldRequestID, want.id)).Len() == 0 {
				t.Errorf("no log line of the %s contains request id %s", want.process, want.id)
			}
		}
		if got := completion.header.Get(refusal.HeaderRequestID); !strings.Contains(got, "request-a") {
			t.Errorf("the response has request id %q, want one that contains request-a", got)
		}
	})
}

// startLogged starts a daemon that logs to the given logger.
func startLogged(t *testing.T, c *cluster, log *zap.Logger) {
	t.Helper()
	s := settings.Default()
	s.Name, s.DataCentre, s.Region = "daemon-1", "anand", "guj-west"
	s.Listen = settings.Listen{Caller: "10.3.0.1:8100", Peer: "10.3.0.1:7600"}
	url := "http://" + platformAddress
	s.Platform = settings.Platform{Log: url, VMList: url, WeightStore: url}
	d := New(s, Connect(s, c.net.Host("daemon-1"), log, "test"))
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	c.daemons["daemon-1"] = d
}

package ctl

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// serveAdmin answers operators' questions for a daemon with the given number of
// answered requests.
func serveAdmin(t *testing.T, net *standin.MemNet, name, address string, answered int64) {
	t.Helper()
	l, err := net.Host(name).Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(map[string]port.PeerHandler{
		admin.MethodBurn: func(context.Context, json.RawMessage) (any, error) {
			row := burn.Row{Rank: profile.Urgent, Profile: "check", Answered: answered, Within: answered - 1,
				Windows: []burn.Window{{Seconds: 300, Total: answered, Missed: 1}}}
			return admin.Burn{Daemon: name, Rows: []burn.Row{row}}, nil
		},
		admin.MethodControl: func(context.Context, json.RawMessage) (any, error) {
			return admin.Control{
				Daemon:   name,
				Leases:   []admin.Lease{{DataCentre: "anand", Holder: "holder", Fencing: 7, Synced: true}},
				Changes:  []admin.Change{{Engine: "runner-1", Draining: true, OpenCopies: 2, Order: &port.Order{ID: "o1", Kind: port.OrderSetRole, Role: port.RoleDecode}}},
				Suspects: []admin.Suspect{{Digest: "d1", Status: "quarantined", Engines: []string{"runner-1", "runner-2"}, RemainingMS: 90_000}},
				Members:  []admin.Member{{Name: "peer", Status: "cut-off"}},
			}, nil
		},
		admin.MethodExplain: func(context.Context, json.RawMessage) (any, error) {
			at := time.Unix(answered, 0)
			return admin.Explanation{Daemon: name, Records: []decision.Record{{Time: at, Outcome: "to-" + name}}}, nil
		},
		admin.MethodStatus: func(context.Context, json.RawMessage) (any, error) {
			status := admin.Status{Daemon: name}
			if answered > 20 {
				status.ConfigLoss = &profile.Loss{First: 5, Newest: 7}
			}
			return status, nil
		},
	})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
}

// Guards against a report that drops a daemon, hides that one did not answer, or
// fails as a whole because one is down.
func TestAskAddsUpDaemonsAndNamesTheMissingOnes(t *testing.T) {
	net := standin.NewMemNet()
	t.Cleanup(net.CloseAll)
	serveAdmin(t, net, "daemon-1", "10.0.0.1:7600", 30)
	serveAdmin(t, net, "daemon-2", "10.0.0.2:7600", 20)
	nw := net.Host("operator")
	out, err := run(nw, "burn", "--daemon", "10.0.0.1:7600,10.0.0.2:7600")
	if err != nil || !strings.Contains(out, "check") || !strings.Contains(out, "50 ") || !strings.Contains(out, "48 ") {
		t.Errorf("burn of two daemons (%v):\n%s", err, out)
	}
	if !strings.Contains(out, "4.0") {
		t.Errorf("2 of 50 missed at an objective of 99%% burns at 4.0:\n%s", out)
	}
	out, err = run(nw, "explain", "r1", "--daemon", "10.0.0.1:7600", "--daemon", "10.0.0.2:7600")
	first, second := strings.Index(out, "to-daemon-2"), strings.Index(out, "to-daemon-1")
	if err != nil || first < 0 || second < first {
		t.Errorf("explain must list both daemons by time (%v):\n%s", err, out)
	}
	out, err = run(nw, "burn", "--daemon", "10.0.0.1:7600,10.0.0.9:7600")
	if ExitCode(err) != ExitPartial || !strings.Contains(Message(err), "10.0.0.9:7600") || !strings.Contains(out, "30 ") {
		t.Errorf("burn with a missing daemon: exit code %d, %v:\n%s", ExitCode(err), err, out)
	}
	if _, err = run(nw, "burn", "--daemon", "10.0.0.9:7600"); ExitCode(err) != ExitFailure {
		t.Errorf("burn with no daemon: exit code %d, %v", ExitCode(err), err)
	}
}

// Guards against a report that leaves out one of the things that are open.
func TestControlListsEverySection(t *testing.T) {
	net := standin.NewMemNet()
	t.Cleanup(net.CloseAll)
	serveAdmin(t, net, "daemon-1", "10.0.0.1:7600", 30)
	out, err := run(net.Host("operator"), "control", "--daemon", "10.0.0.1:7600")
	if err != nil {
		t.Fatal(err)
	}
	lines := []string{
		"daemon-1  anand     holder  7        claimed",
		"daemon-1  runner-1  true      set-role decode o1  2",
		"daemon-1  d1              quarantined  runner-1 runner-2  1m30s",
		"daemon-1  peer                  -            cut-off",
	}
	for _, line := range lines {
		if !strings.Contains(out, line) {
			t.Errorf("output lacks %q:\n%s", line, out)
		}
	}
}

// Guards against a status that hides that records are lost, or which daemons did not
// answer beside those that lost some.
func TestStatusReportsLostRecords(t *testing.T) {
	net := standin.NewMemNet()
	t.Cleanup(net.CloseAll)
	serveAdmin(t, net, "daemon-1", "10.0.0.1:7600", 30)
	serveAdmin(t, net, "daemon-2", "10.0.0.2:7600", 20)
	nw := net.Host("operator")
	out, err := run(nw, "status", "--daemon", "10.0.0.1:7600,10.0.0.2:7600,10.0.0.9:7600")
	if ExitCode(err) != ExitLost || !strings.Contains(out, "daemon-2") {
		t.Errorf("status of a daemon that lost records: exit code %d, %v:\n%s", ExitCode(err), err, out)
	}
	for _, want := range []string{"daemon-1", "offset 5", "--after-loss", "10.0.0.9:7600"} {
		if !strings.Contains(Message(err), want) {
			t.Errorf("the message does not name %s: %s", want, Message(err))
		}
	}
	if _, err = run(nw, "status", "--daemon", "10.0.0.2:7600"); err != nil {
		t.Errorf("status of a daemon that lost nothing: %v", err)
	}
}

package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"
)

const gatewayLog = `{"level":"warn","time":"2026-12-04T10:00:02Z","msg":"metadata store is unavailable","daemon":"d1","purpose":"runners"}
{"level":"warn","time":"2026-12-04T10:00:03Z","msg":"request finished","daemon":"d1","request-id":"r1","route":"a","outcome":"failed","took":0.5,"steps":["0ms run at i-1","500ms unexpected EOF"],"error":"unexpected EOF"}
not JSON
`

// Guards against an explanation without the steps of the request or without the other lines
// of its daemon, and against an error that does not name the files that cannot be read.
func TestLogCommands(t *testing.T) {
	path := writeTempFile(t, "d1.log", gatewayLog)
	out, err := runCommand(nil, "logs", "explain", "r1", path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"500ms unexpected EOF", "outcome: failed", "metadata store is unavailable", "1 lines are not JSON"} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
	if out, err := runCommand(nil, "logs", "outcomes", path); err != nil || !strings.Contains(out, "unexpected EOF") || !strings.Contains(out, "r1") {
		t.Errorf("outcomes are %q, error %v", out, err)
	}
	if _, err := runCommand(nil, "logs", "explain", "r2", path); !trace.IsNotFound(err) {
		t.Errorf("error for an unknown request is %v, want NotFound", err)
	}
	_, err = runCommand(nil, "logs", "outcomes", "/none/a", "/none/b")
	if ExitCode(err) != ExitInvalid || !strings.Contains(Message(err), "/none/a") || !strings.Contains(Message(err), "/none/b") {
		t.Errorf("error is %v, want both files with exit code %d", err, ExitInvalid)
	}
}

// Guards against a plot that is empty or fails although the log contains requests, and
// against one that is drawn from a log without requests or with an invalid step.
func TestLogsPlot(t *testing.T) {
	path := writeTempFile(t, "d1.log", gatewayLog)
	out := filepath.Join(t.TempDir(), "run.svg")
	if _, err := runCommand(nil, "logs", "plot", path, "--out", out); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(out); err != nil || !strings.Contains(string(data), "failed") {
		t.Errorf("the plot has %d bytes, error %v, want a line of failed requests", len(data), err)
	}
	if _, err := runCommand(nil, "logs", "plot", writeTempFile(t, "empty.log", ""), "--out", out); !trace.IsNotFound(err) {
		t.Errorf("error for an empty log is %v, want NotFound", err)
	}
	if _, err := runCommand(nil, "logs", "plot", path, "--step", "0s"); ExitCode(err) != ExitInvalid {
		t.Errorf("error for a step of 0 is %v, want exit code %d", err, ExitInvalid)
	}
}

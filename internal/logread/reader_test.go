package logread_test

import (
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/logread"
)

const sampleLog = `panic: nothing of this is JSON
  12.5 front-1 {"level":"warn","time":"2026-12-04T10:00:02Z","msg":"daemon does not answer","daemon":"d1","peer":"d2"}
{"level":"info","time":"2026-12-04T10:00:09Z","msg":"daemon found","daemon":"d1"}
{"level":"warn","time":"2026-12-04T10:00:02Z","msg":"daemon left","daemon":"d2"}
{"level":"warn","time":"2026-12-04T10:00:03Z","msg":"request finished","daemon":"d1","request-id":"r1","route":"a","outcome":"failed","took":1.5,"error":"read tcp 10.0.0.1:5->10.0.0.2:80: reset of i-0a1b"}
{"level":"warn","time":"2026-12-04T10:00:01Z","msg":"KV cache was not freed; it expires by itself","daemon":"d1","request-id":"r1"}
{"level":"warn","time":"2026-12-04T10:00:04Z","msg":"request finished","daemon":"d2","request-id":"r2","route":"a","outcome":"failed","took":0.1,"error":"read tcp 10.0.0.7:6->10.0.0.3:80: reset of i-99"}
{"level":"info","time":"2026-12-04T10:00:05Z","msg":"request finished","daemon":"d2","request-id":"r3","route":"a","outcome":"answered","took":0.1}
`

func read(t *testing.T, text string) *logread.Log {
	t.Helper()
	var g logread.Log
	if err := g.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	return &g
}

// Guards against skipping valid lines, or against stopping early at lines that are not JSON:
// log files also contain the output of other programs.
func TestRequestLinesAreFoundInOrder(t *testing.T) {
	g := read(t, sampleLog)
	if g.Unreadable != 1 || len(g.Lines) != 7 {
		t.Errorf("%d lines and %d unreadable ones, want 7 and 1", len(g.Lines), g.Unreadable)
	}
	lines := g.RequestLines("r1")
	if len(lines) != 2 || lines[0].Message == "request finished" || lines[1].DurationField("took") != 1500*time.Millisecond {
		t.Fatalf("lines of r1 are %+v, want the older one first", lines)
	}
	around := g.DaemonLines(lines[1], time.Second)
	if len(around) != 1 || around[0].StringField("peer") != "d2" {
		t.Errorf("lines around it are %+v, want the one of its daemon in its time", around)
	}
}

// Guards against listing failures of the same kind separately because their addresses differ.
func TestOutcomesOfTheSameKindAreCountedTogether(t *testing.T) {
	got := read(t, sampleLog).Outcomes()
	if len(got) != 2 || got[0].Count != 2 || got[0].Outcome != "failed" || got[0].Example != "r1" || got[1].Count != 1 {
		t.Errorf("outcomes are %+v, want 2 failed together and 1 answered", got)
	}
}

// Guards against a line above the limit that ends the reading without an error.
func TestLongLineIsReported(t *testing.T) {
	var g logread.Log
	err := g.Read(strings.NewReader("{}\n{\"msg\":\"" + strings.Repeat("x", 2<<20) + "\"}\n"))
	if !trace.IsLimitExceeded(err) || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error is %v, want line 2 to exceed the limit", err)
	}
}

// Guards against intervals that are shifted, or missing because no request ended in them.
func TestSeriesHasEveryInterval(t *testing.T) {
	got := read(t, sampleLog).Series(500 * time.Millisecond)
	if len(got) != 5 || got[0].Outcomes["failed"] != 1 || got[1].Outcomes["failed"] != 0 || got[4].Outcomes["answered"] != 1 {
		t.Errorf("series is %+v, want 5 intervals with 1, 0, 1, 0 failed and 1 answered", got)
	}
}

package jsonlog

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests that wait for a reader of the logs that has stopped, and
// against lost lines that nobody is told of.
func TestStuckOutputBlocksNobody(t *testing.T) {
	reader, output := io.Pipe()
	w := NewAsyncWriter(output)
	logger, err := NewAsyncLogger("info", w)
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * queuedLines
	for i := range lines {
		logger.Info(fmt.Sprintf("line %d", i))
	}
	var text strings.Builder
	var group sync.WaitGroup
	group.Go(func() {
		// The pipe is closed at the end of the test.
		_, _ = io.Copy(&text, reader)
	})
	w.Close(time.Minute)
	output.Close()
	group.Wait()
	written := strings.Count(text.String(), `"msg":"line `)
	if written < queuedLines || written >= lines {
		t.Errorf("%d of %d lines were written, want the %d that were queued and not all", written, lines, queuedLines)
	}
	if !strings.Contains(text.String(), "log lines dropped") {
		t.Error("no line tells that lines were dropped")
	}
}

// Guards against a logger of an unknown level that stays silent.
func TestUnknownLevelIsAnError(t *testing.T) {
	if _, err := NewAsyncLogger("loud", NewAsyncWriter(io.Discard)); err == nil {
		t.Error("the level was accepted")
	}
}

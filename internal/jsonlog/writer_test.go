package jsonlog

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests that block because the reader of the log output has stopped, and
// against lines that are dropped without a report.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	reader, output := io.Pipe()
	w := NewAsyncWriter(output)
	logger, err := NewAsyncLogger("info", w)
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * maxQueuedLines
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
	if written < maxQueuedLines || written >= lines {
		t.Errorf("%d of %d lines were written, want the %d that were queued and not all", written, lines, maxQueuedLines)
	}
	if !strings.Contains(text.String(), "log lines dropped") {
		t.Error("no line reports that lines were dropped")
	}
}

// Guards against lines with long texts of clients that fill the memory while the output is slow.
func TestQueuedLinesAreBoundedInBytes(t *testing.T) {
	reader, output := io.Pipe()
	defer reader.Close()
	w := NewAsyncWriter(output)
	line := make([]byte, 64<<10)
	for range maxQueuedLines / 2 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d bytes, error %v", n, err)
		}
	}
	queued := 0
	for len(w.lines) > 0 {
		queued += len(<-w.lines)
	}
	if queued == 0 || queued > maxQueuedBytes {
		t.Errorf("%d bytes are queued, allowed are %d", queued, maxQueuedBytes)
	}
}

// Guards against a logger that is created with an unknown level and logs nothing.
func TestUnknownLevelIsAnError(t *testing.T) {
	if _, err := NewAsyncLogger("loud", NewAsyncWriter(io.Discard)); err == nil {
		t.Error("the level was accepted")
	}
}

package jsonlog

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the number of lines that are buffered when the output is slow. With
	// lines of about 500 bytes the buffer takes 1 MB.
	maxQueuedLines = 2048
	// maxQueuedBytes bounds the size of these lines. A line may be far longer than usual, because it holds names and paths
	// that clients choose.
	maxQueuedBytes = 2 << 20
	// dropReportInterval is the shortest time between two lines that report dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter writes lines to another writer in the background, so that a slow output never
// blocks the caller. Lines that do not fit into the queue are dropped and counted, and their
// number is written to the output once it accepts lines again. It is safe for concurrent use.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	// queuedBytes is the size of the queued lines.
	queuedBytes atomic.Int64
	dropped     atomic.Int64
	// quit is closed to stop the background goroutine, done when that goroutine has ended.
	// Lines that are queued after done is closed are never written.
	quit      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	// lastReport is when dropped lines were last reported; used by the background goroutine
	// only.
	lastReport time.Time
}

// NewAsyncWriter returns a writer that writes lines to out. Close ends its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of line, and never blocks or fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queuedBytes.Add(size) <= maxQueuedBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queuedBytes.Add(-size)
	w.dropped.Add(1)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: lines are written in the background.
func (w *AsyncWriter) Sync() error { return nil }

// Close stops the writer and waits until the queued lines are written, at most for limit.
func (w *AsyncWriter) Close(limit time.Duration) {
	w.closeOnce.Do(func() { close(w.quit) })
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			w.drain()
			return
		}
	}
}

// drain writes the lines that are still queued.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) write(line []byte) {
	w.queuedBytes.Add(-int64(len(line)))
	// The error is ignored: when the log output fails, there is nowhere to report it.
	_, _ = w.out.Write(line)
	w.reportDropped()
}

func (w *AsyncWriter) reportDropped() {
	if w.dropped.Load() == 0 || time.Since(w.lastReport) < dropReportInterval {
		return
	}
	w.lastReport = time.Now()
	dropped := strconv.FormatInt(w.dropped.Swap(0), 10)
	_, _ = io.WriteString(w.out, `{"level":"warn","msg":"log lines dropped because the output is slow","lost":`+dropped+"}\n")
}

// NewAsyncLogger returns a logger that writes JSON lines to an AsyncWriter. The level is
// debug, info, warn or error.
func NewAsyncLogger(level string, w *AsyncWriter) (*zap.Logger, error) {
	var parsed zapcore.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return nil, trace.BadParameter("log level %q: %v", level, err)
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, parsed)), nil
}

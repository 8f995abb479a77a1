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
	// queuedLines bounds the lines that wait for a slow reader of the output; with
	// lines of about 500 bytes they take 1 MB.
	queuedLines = 2048
	// lostInterval is the shortest time between two lines that count lost lines.
	lostInterval = time.Second
)

// AsyncWriter passes lines on to a writer without ever blocking. Lines that do not fit
// are dropped, counted, and reported once there is room again.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	lost  atomic.Int64
	// quit is closed to end the writer, done when it has ended. Lines that are written
	// later stay unread.
	quit chan struct{}
	done chan struct{}
	once sync.Once
	// reported is when lost lines were reported last.
	reported time.Time
}

// NewAsyncWriter returns a writer that passes lines on to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, queuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written in the background.
func (w *AsyncWriter) Sync() error { return nil }

// Close writes what is queued, for at most a limit.
func (w *AsyncWriter) Close(limit time.Duration) {
	w.once.Do(func() { close(w.quit) })
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

// drain writes the lines that are queued.
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
	// An output that fails leaves no place to say so.
	_, _ = w.out.Write(line)
	w.reportLost()
}

func (w *AsyncWriter) reportLost() {
	if w.lost.Load() == 0 || time.Since(w.reported) < lostInterval {
		return
	}
	w.reported = time.Now()
	lost := strconv.FormatInt(w.lost.Swap(0), 10)
	_, _ = io.WriteString(w.out, `{"level":"warn","msg":"log lines dropped because the output is slow","lost":`+lost+"}\n")
}

// NewAsyncLogger returns a logger that writes JSON lines to an AsyncWriter.
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

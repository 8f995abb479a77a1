package gateway

import (
	"context"
	"errors"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// takeUpFailure says why a stream that its client takes up does not go on. It is the name of a counter.
type takeUpFailure string

const (
	takeUpOriginUnknown  takeUpFailure = "origin-unknown"
	takeUpVersionGone    takeUpFailure = "version-gone"
	takeUpEnginesFull    takeUpFailure = "engines-full"
	takeUpPredictedLate  takeUpFailure = "predicted-late"
	takeUpNoRunner       takeUpFailure = "no-runner"
	takeUpRetryLimit     takeUpFailure = "retry-limit"
	takeUpCrashSuspect   takeUpFailure = "crash-suspect"
	takeUpDaemonStops    takeUpFailure = "daemon-stops"
	takeUpClientLeft     takeUpFailure = "client-left"
	takeUpDeadline       takeUpFailure = "deadline"
	takeUpMemory         takeUpFailure = "memory"
	takeUpRunnerRefused  takeUpFailure = "runner-refused"
	takeUpNotConnected   takeUpFailure = "not-connected"
	takeUpRunnerFailed   takeUpFailure = "runner-failed"
	takeUpStreamBrokeOff takeUpFailure = "broke-off-again"
)

// takeUpFailures maps the errors that end a call to failures. The first match counts.
var takeUpFailures = []struct {
	err     error
	failure takeUpFailure
}{
	{errOriginUnknown, takeUpOriginUnknown}, {errVersionGone, takeUpVersionGone}, {errSaturated, takeUpEnginesFull}, {errPredictedLate, takeUpPredictedLate},
	{errNoRunner, takeUpNoRunner}, {errRetryLimit, takeUpRetryLimit}, {errCrashSuspect, takeUpCrashSuspect}, {errStopping, takeUpDaemonStops},
	{errResponseMemory, takeUpMemory}, {port.ErrNotSent, takeUpNotConnected}, {port.ErrNotRun, takeUpRunnerRefused}, {port.ErrWrongInstance, takeUpRunnerRefused},
}

// recordTakeUpFailure counts a stream that was taken up and ends with err.
func (c *call) recordTakeUpFailure(ctx context.Context, err error) {
	if c.takesUp() {
		c.gateway.metrics.takeUpFailures.Add(string(c.takeUpFailure(ctx, err)), 1)
	}
}

func (c *call) takeUpFailure(ctx context.Context, err error) takeUpFailure {
	if clientDisconnected(ctx) {
		return takeUpClientLeft
	}
	if c.headerWritten {
		return takeUpStreamBrokeOff
	}
	for _, f := range takeUpFailures {
		if errors.Is(err, f.err) {
			return f.failure
		}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, errDeadlineExceeded) {
		return takeUpDeadline
	}
	return takeUpRunnerFailed
}

// logRoom appends a step that says who occupies the engines that could continue the stream, and how late its first event is
// predicted.
func (c *call) logRoom() {
	now, q := time.Now(), c.placementQuery()
	firstEvent, wait, ok := c.gateway.fleet.Predict(now, q)
	c.logStep("refused: first event predicted after %s (known: %t), %s of it in the queue, client waits %s; engines: %s", firstEvent.Round(time.Millisecond), ok,
		wait.Round(time.Millisecond), q.ClientTimeout.Round(time.Millisecond), c.gateway.fleet.DescribeRoom(now, q))
}

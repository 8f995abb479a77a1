package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/port"
)

// restartDelay is the delay before a task that panicked restarts, because the cause may still
// be present.
const restartDelay = time.Second

// runRecovered runs f and reports whether it returned without a panic. A panic ends only f; it is
// logged and counted.
func (g *Gateway) runRecovered(task string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.metrics.panics.Add(1)
			g.log.Error("task panicked", zap.String("task", task), zap.String("cause", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
		}
	}()
	f()
	return true
}

// supervise runs a task until it returns. After a panic it restarts the task, unless ctx is done.
func (g *Gateway) supervise(ctx context.Context, task string, run func(context.Context)) {
	for ctx.Err() == nil {
		if g.runRecovered(task, func() { run(ctx) }) {
			return
		}
		clock.Sleep(ctx, restartDelay)
	}
}

// recoverHandlers wraps handlers so that a panic fails only the call in which it occurs.
func (g *Gateway) recoverHandlers(handlers map[string]port.PeerHandler) map[string]port.PeerHandler {
	out := make(map[string]port.PeerHandler, len(handlers))
	for method, handle := range handlers {
		out[method] = func(ctx context.Context, params json.RawMessage) (result any, err error) {
			if !g.runRecovered(method, func() { result, err = handle(ctx, params) }) {
				return nil, fmt.Errorf("handler of %s panicked", method)
			}
			return result, err
		}
	}
	return out
}

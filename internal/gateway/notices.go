package gateway

import (
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
)

// applyNotice applies what a runner says of itself in a response.
func (g *Gateway) applyNotice(r port.Runner, n port.RunnerNotice) {
	if n.Limit.Named {
		g.metrics.limitNotices.Add(1)
	}
	limitChanged := g.fleet.RecordLimit(time.Now(), r.ID, r.StartedMS, n.SentAt, n.Limit)
	if !n.Leaving && n.Quiet == 0 && !limitChanged {
		return
	}
	fields := []zap.Field{
		zap.String("runner", r.ID), zap.Int64("started-ms", r.StartedMS), zap.String("service", r.Service),
		zap.String(jsonlog.FieldRequestID, n.RequestID), zap.Int("status", n.Status),
	}
	if limitChanged && n.Limit.Named {
		g.log.Info("runner named a request limit", append(fields, zap.Float64("requests-per-second", n.Limit.Rate))...)
	} else if limitChanged {
		g.log.Info("runner names no request limit any more", fields...)
	}
	if n.Leaving && g.fleet.MarkLeaving(r.ID, r.StartedMS) {
		g.metrics.leavingRunners.Add(1)
		g.log.Info("runner announced that it leaves", fields...)
	}
	if n.Quiet > 0 {
		now := time.Now()
		began := g.fleet.MarkQuiet(now, r.ID, r.StartedMS, n.Quiet)
		g.metrics.quietNotices.Add(1)
		if began {
			g.log.Info("runner asked for no requests", append(fields, zap.Duration("for", n.Quiet), zap.Time("until", now.Add(n.Quiet)))...)
		}
	}
}

// Package jsonlog creates the loggers of all programs. They write one JSON object per line,
// with field names in kebab-case.
package jsonlog

import (
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// FieldRequestID is the log field that holds the id of a request, in the logs of every
// process that the request passes through.
const FieldRequestID = "request-id"

// New returns a logger that writes to standard error synchronously. The level is debug,
// info, warn or error.
func New(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if err := cfg.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, trace.BadParameter("log level %q: %v", level, err)
	}
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := cfg.Build()
	return logger, trace.Wrap(err)
}

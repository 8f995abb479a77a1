package standin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotsill.example/bergamotsill/internal/adapter/engine"
	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// LogRequests logs the end of every request with its request id, so that a request can
// be traced from the daemon to the stand-ins. Requests without an id, such as health
// checks, are logged at debug level.
func LogRequests(next http.Handler, log *zap.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, attempt := requestIdentity(r)
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		started := time.Now()
		whole := false
		// This also runs for aborted requests, whose panic propagates to the server.
		defer func() {
			log.Log(logLevel(id), "request served",
				zap.String(jsonlog.FieldRequestID, id),
				zap.Int("attempt", attempt),
				zap.String("method", r.Method),
				zap.String("path", r.URL.Path),
				zap.Int("status", recorder.status),
				zap.Bool("whole", whole),
				zap.Duration("duration", time.Since(started)),
			)
		}()
		next.ServeHTTP(recorder, r)
		// Reached only if the handler did not abort the connection.
		whole = r.Context().Err() == nil
	})
}

func logLevel(id string) zapcore.Level {
	if id == "" {
		return zapcore.DebugLevel
	}
	return zapcore.InfoLevel
}

// requestIdentity returns the request id from the header, path or body of a request,
// and the attempt number if the body has one. The body can be read again.
func requestIdentity(r *http.Request) (id string, attempt int) {
	if id, ok := strings.CutPrefix(r.URL.Path, engine.RequestsPath); ok {
		return id, 0
	}
	if r.URL.Path != engine.GeneratePath {
		return r.Header.Get(refusal.HeaderRequestID), 0
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	var in port.GenerateRequest
	if err != nil || json.Unmarshal(body, &in) != nil {
		return "", 0
	}
	return cmp.Or(in.CallerRequestID, in.RequestID), in.Attempt
}

// statusRecorder records the status code of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (r *statusRecorder) Flush() {
	if f, ok := r.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

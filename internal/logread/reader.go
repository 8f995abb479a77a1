// Package logread reads and queries the JSON logs of daemons, for operators who investigate
// why a request failed.
package logread

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
)

// maxLineBytes is the maximum length of a line. The longest lines list all steps of a request.
const maxLineBytes = 1 << 20

// Line is one log line of a daemon.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Daemon  string    `json:"daemon"`
	// Fields holds all fields, including those above, as decoded from JSON. Numbers are
	// json.Number, so that large ones are printed exactly as they were logged.
	Fields map[string]any `json:"-"`
}

// RequestID returns the id of the request that the line is about, or an empty string.
func (l *Line) RequestID() string {
	id, _ := l.Fields[jsonlog.FieldRequestID].(string)
	return id
}

// StringField returns the value of a string field, or an empty string.
func (l *Line) StringField(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// DurationField returns the value of a field in seconds as a duration, or 0.
func (l *Line) DurationField(field string) time.Duration {
	return time.Duration(l.numberField(field) * float64(time.Second))
}

// numberField returns the value of a numeric field, or 0.
func (l *Line) numberField(field string) float64 {
	number, _ := l.Fields[field].(json.Number)
	// A valid JSON number outside the range of float64 becomes infinite.
	value, _ := number.Float64()
	return value
}

// Log holds the lines that were read. The zero value is an empty log.
type Log struct {
	Lines []Line
	// Unreadable counts the lines that are not JSON objects, such as the stack trace of a
	// panic.
	Unreadable int
}

// Read appends the lines of a reader to the log. Text before the first brace of a line is
// skipped, because log collectors add prefixes. A line of more than 1 MiB is a
// trace.LimitExceeded error.
func (g *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			g.Unreadable++
			continue
		}
		g.Lines = append(g.Lines, line)
	}
	if err := scanner.Err(); err == bufio.ErrTooLong {
		return trace.LimitExceeded("line %d has more than %d bytes", len(g.Lines)+g.Unreadable+1, maxLineBytes)
	} else if err != nil {
		return trace.ConvertSystemError(err)
	}
	return nil
}

// parse parses one line and reports whether it contains a JSON object.
func parse(data []byte) (Line, bool) {
	start := slices.Index(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var l Line
	if json.Unmarshal(data[start:], &l) != nil {
		return Line{}, false
	}
	fields := json.NewDecoder(bytes.NewReader(data[start:]))
	fields.UseNumber()
	return l, fields.Decode(&l.Fields) == nil
}

// RequestLines returns the lines about the request with the given id, the oldest first.
func (g *Log) RequestLines(id string) []Line {
	var out []Line
	for _, l := range g.Lines {
		if l.RequestID() == id {
			out = append(out, l)
		}
	}
	sortLines(out)
	return out
}

// DaemonLines returns the lines about no request that were logged around one request by the
// daemon that ended it, the oldest first. end is the line about the end of the request; the
// lines are those from before, a duration, ahead of the request's start up to end. They show
// the state that the daemon assumed and the connections that it lost.
func (g *Log) DaemonLines(end Line, before time.Duration) []Line {
	from := end.Time.Add(-end.DurationField("took") - before)
	var out []Line
	for _, l := range g.Lines {
		if l.Daemon == end.Daemon && l.RequestID() == "" && !l.Time.Before(from) && !l.Time.After(end.Time) {
			out = append(out, l)
		}
	}
	sortLines(out)
	return out
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Daemon, b.Daemon)) })
}

// Package logread reads the JSON lines of daemons for people who look for the cause of a
// failed request.
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

// maxLineBytes bounds one line; the longest ones list all steps of a request.
const maxLineBytes = 1 << 20

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Daemon  string    `json:"daemon"`
	// Fields holds all fields, also those above, as JSON decodes them; numbers are
	// json.Number, so that large ones are shown as they were written.
	Fields map[string]any `json:"-"`
}

// RequestID returns the id of the request that the line is about, or an empty string.
func (l *Line) RequestID() string {
	id, _ := l.Fields[jsonlog.FieldRequestID].(string)
	return id
}

// StringField returns a field that holds a string, or an empty string.
func (l *Line) StringField(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// DurationField returns a field that holds a time in seconds, or 0.
func (l *Line) DurationField(field string) time.Duration {
	return time.Duration(l.numberField(field) * float64(time.Second))
}

// numberField returns a field that holds a numberField, or 0.
func (l *Line) numberField(field string) float64 {
	number, _ := l.Fields[field].(json.Number)
	// A number that JSON allows but that is out of range becomes infinite.
	value, _ := number.Float64()
	return value
}

// Log is what was read.
type Log struct {
	Lines []Line
	// Unreadable counts lines that are no JSON objects, such as the trace of a panic.
	Unreadable int
}

// Read adds the lines of a reader to the log. Text before the first brace of a line, as
// collectors of logs add, is skipped. A line of more than 1 MiB is a LimitExceeded.
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

// RequestLines returns the lines about a request, the oldest first.
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

// DaemonLines returns the lines about no request that a daemon wrote within a time before a
// line or while its request ran: what the daemon believed and lost then.
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

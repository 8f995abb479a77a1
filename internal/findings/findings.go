// Package findings collects the errors in an input file together with their locations, so
// that all of them can be reported at once.
package findings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// Finding is one error in an input.
type Finding struct {
	// File is the name of the input file; empty when the input is not a file.
	File string `json:"file,omitempty"`
	// Line is the line number, starting at 1; 0 when it is unknown.
	Line int `json:"line,omitempty"`
	// Path is the JSON path of the value, such as "listen.caller".
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as "file:line: path: message", without the parts that are
// unknown.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List collects the findings of one input. The zero value is ready to use.
type List struct {
	// File is the file name that is set in every finding.
	File string
	// Lines maps JSON paths to line numbers; see LineIndex.
	Lines map[string]int

	items []Finding
}

// Add adds a finding for the value at a JSON path. The message is formatted as by
// fmt.Sprintf.
func (l *List) Add(path, format string, args ...any) {
	l.addAt(l.line(path), path, format, args...)
}

func (l *List) addAt(line int, path, format string, args ...any) {
	l.items = append(l.items, Finding{
		File:    l.File,
		Line:    line,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

// line returns the line of the value at path or, when the input lacks it, of its nearest
// ancestor; 0 when there is none.
func (l *List) line(path string) int {
	for path != "" {
		if n, ok := l.Lines[path]; ok {
			return n
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 0
}

// Items returns the findings in the order in which they were added.
func (l *List) Items() []Finding { return l.items }

// Err returns nil when there are no findings, otherwise a single trace.BadParameter error
// that lists all of them.
func (l *List) Err() error { return Error(l.items) }

// Error returns nil when items is empty, otherwise a single trace.BadParameter error that
// lists all of them.
func Error(items []Finding) error {
	if len(items) == 0 {
		return nil
	}
	lines := make([]string, len(items))
	for i, f := range items {
		lines[i] = f.String()
	}
	return trace.BadParameter("%d findings:\n%s", len(lines), strings.Join(lines, "\n"))
}

// LineIndex returns the line of each value in data by JSON path. It stops at the first
// syntax error and returns the entries up to there.
func LineIndex(data []byte) map[string]int {
	w := lineIndexer{dec: json.NewDecoder(bytes.NewReader(data)), data: data, line: 1, index: map[string]int{}}
	w.indexValue("")
	return w.index
}

// lineIndexer reads a document in one pass and counts lines incrementally. Counting from the
// start for each value takes quadratic time, which is noticeable at 400 KB.
type lineIndexer struct {
	dec  *json.Decoder
	data []byte
	// line is the line number at offset, the byte position up to which lines are counted.
	line   int
	offset int64
	index  map[string]int
}

// currentLine returns the line at the decoder's current position.
func (w *lineIndexer) currentLine() int {
	position := w.dec.InputOffset()
	w.line += bytes.Count(w.data[w.offset:position], []byte("\n"))
	w.offset = position
	return w.line
}

// indexValue indexes one value and its nested values and reports whether their syntax is
// valid.
func (w *lineIndexer) indexValue(path string) bool {
	tok, err := w.dec.Token()
	if err != nil {
		return false
	}
	w.index[path] = w.currentLine()
	delim, ok := tok.(json.Delim)
	if !ok {
		return true
	}
	for i := 0; w.dec.More(); i++ {
		child := fmt.Sprintf("%s[%d]", path, i)
		if delim == '{' {
			key, err := w.dec.Token()
			if err != nil {
				return false
			}
			child = Join(path, fmt.Sprint(key))
		}
		if !w.indexValue(child) {
			return false
		}
	}
	_, err = w.dec.Token()
	return err == nil
}

// Join appends a field name to a JSON path.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// LineAt returns the line number, starting at 1, of a byte offset in data.
func LineAt(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return bytes.Count(data[:offset], []byte("\n")) + 1
}

// SyntaxError describes an error that encoding/json returned for data, with its line.
func SyntaxError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("line %d: %v", LineAt(data, syntax.Offset), err)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Sprintf("line %d: unexpected end of input", LineAt(data, int64(len(data))))
	}
	return err.Error()
}

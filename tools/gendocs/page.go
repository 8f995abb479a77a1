package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// notice is the header of every generated page.
const notice = "<!-- Written by `go run ./tools/gendocs` from the comments in %s. -->\n\n"

// page is one reference page and the function that generates its content.
type page struct {
	path     string
	generate func(root string) (string, error)
}

var pages = []page{
	{"docs/settings.md", settingsPage},
	{"docs/configuration.md", configurationPage},
	{"docs/metrics.md", metricsPage},
}

const settingsIntroduction = `# Settings

A daemon reads one JSON file at its start (` + "`bergamotd --settings FILE`" + `). Unknown and duplicate fields,
wrong units and values out of range are refused, all together and each with its place.
` + "`bergamotd --settings FILE --check`" + ` and ` + "`bergamotctl validate FILE`" + ` check a file without starting.
Durations are text with a unit, such as ` + "`\"250ms\"`" + `. Fields without a default are empty when left out.

`

func settingsPage(root string) (string, error) {
	const dir = "internal/settings"
	src, err := readSource(filepath.Join(root, dir))
	if err != nil {
		return "", err
	}
	defaults, err := defaultValues()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, notice, dir)
	b.WriteString(settingsIntroduction)
	w := writer{src: src, out: &b, defaults: defaults}
	w.section("", "Settings")
	return b.String(), nil
}

// defaultValues returns the default of each setting as JSON, keyed by the path of the
// setting.
func defaultValues() (map[string]string, error) {
	data, err := json.Marshal(settings.Default())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var tree map[string]any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return nil, trace.Wrap(err)
	}
	out := map[string]string{}
	flatten(out, "", tree)
	return out, nil
}

// flatten adds the values below tree to out as Markdown, keyed by their paths. It omits
// empty strings.
func flatten(out map[string]string, path string, tree map[string]any) {
	for name, value := range tree {
		child := findings.Join(path, name)
		switch v := value.(type) {
		case map[string]any:
			flatten(out, child, v)
		case json.Number, bool:
			out[child] = fmt.Sprintf("`%v`", v)
		case string:
			if v != "" {
				out[child] = fmt.Sprintf("`%q`", v)
			}
		}
	}
}

const configurationIntroduction = `# Configuration document

Operators publish this JSON document with ` + "`bergamotctl publish`" + `; all daemons apply it. Unknown and
duplicate fields and values out of range are refused, all together and each with its place;
` + "`bergamotctl validate FILE`" + ` checks a file. ` + "`examples/feed-board/configuration.json`" + ` is an example.

`

func configurationPage(root string) (string, error) {
	const dir = "internal/profile"
	src, err := readSource(filepath.Join(root, dir))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, notice, dir)
	b.WriteString(configurationIntroduction)
	w := writer{src: src, out: &b}
	w.section("", "Document")
	return b.String(), nil
}

const metricsIntroduction = `# Metrics

` + "`GET /debug/vars`" + ` at a daemon's caller address answers JSON in the form of ` + "`expvar`" + `. The daemon's own
metrics are below ` + "`bergamotd`" + `; ` + "`memstats`" + ` and ` + "`cmdline`" + ` are those of the Go runtime. Counters start at 0
with the process. A metric by code or reason is an object with one number for each.

`

func metricsPage(root string) (string, error) {
	const dir = "internal/daemon"
	src, err := readSource(filepath.Join(root, dir))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, notice, dir+"/metrics.go")
	b.WriteString(metricsIntroduction)
	b.WriteString("| metric | meaning |\n| --- | --- |\n")
	metrics := src.structs["Metrics"].fields
	for _, m := range metrics {
		name, ok := src.metrics[m.goName]
		if !ok {
			return "", trace.NotFound("metric %s is not published", m.goName)
		}
		if m.doc == "" {
			return "", trace.NotFound("metric %s has no comment", m.goName)
		}
		fmt.Fprintf(&b, "| `%s` | %s |\n", name, replaceGoNames(m.doc, metrics, src.metrics))
	}
	return b.String(), nil
}

// writer renders structs as Markdown tables.
type writer struct {
	src      *source
	out      *strings.Builder
	defaults map[string]string
}

// section writes the table of one struct, followed by the sections of its nested
// structs.
func (w *writer) section(path, typeName string) {
	s := w.src.structs[typeName]
	if path != "" {
		fmt.Fprintf(w.out, "\n## %s\n\n%s\n\n", path, replaceGoNames(s.doc, s.fields, nil))
	}
	w.tableHead()
	for _, f := range s.fields {
		if f.name != "" {
			w.row(findings.Join(path, f.name), f, s.fields)
		}
	}
	for _, f := range s.fields {
		if _, ok := w.src.structs[f.typeName]; ok && f.name != "" {
			w.section(w.nestedPath(path, f), f.typeName)
		}
	}
}

// nestedPath returns the path of a struct field, with [] after the name of a list.
func (w *writer) nestedPath(path string, f field) string {
	child := findings.Join(path, f.name)
	if f.list {
		child += "[]"
	}
	return child
}

func (w *writer) tableHead() {
	if w.defaults != nil {
		w.out.WriteString("| setting | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
		return
	}
	w.out.WriteString("| field | type | meaning |\n| --- | --- | --- |\n")
}

func (w *writer) row(path string, f field, siblings []field) {
	meaning := replaceGoNames(f.doc, siblings, nil)
	if nested, ok := w.src.structs[f.typeName]; ok {
		if meaning == "" {
			meaning = replaceGoNames(nested.doc, append(siblings, field{goName: f.typeName, name: f.name}), nil)
		}
		meaning += " See below."
	}
	if w.defaults == nil {
		fmt.Fprintf(w.out, "| `%s` | %s | %s |\n", path, w.typeText(f), meaning)
		return
	}
	fmt.Fprintf(w.out, "| `%s` | %s | %s | %s | %s |\n", path, w.typeText(f), w.defaults[path], rangeText(path, f), meaning)
}

// typeTexts maps Go types to the terms that the pages use for JSON values.
var typeTexts = map[string]string{
	"string": "text", "bool": "true or false", "int": "whole number", "int64": "whole number",
	"float64": "number", "Duration": "duration", "Rank": "rank", "Role": "role",
}

func (w *writer) typeText(f field) string {
	name, ok := typeTexts[f.typeName]
	if !ok {
		name = "object"
	}
	if f.list {
		return "list of " + name
	}
	return name
}

// rangeText returns the valid range of a setting, or "" if it has none.
func rangeText(path string, f field) string {
	r, ok := settings.RangeOf(path)
	switch {
	case !ok:
		return ""
	case f.typeName == "Duration":
		return fmt.Sprintf("%s to %s", time.Duration(r.Min), time.Duration(r.Max))
	}
	return fmt.Sprintf("%d to %d", r.Min, r.Max)
}

// replaceGoNames replaces the Go names of fields in doc, where they are whole words, by
// their JSON names. If names is not nil, it maps the Go names to the replacements
// instead. The result is escaped for a Markdown table.
func replaceGoNames(doc string, fields []field, names map[string]string) string {
	for _, f := range fields {
		name := f.name
		if names != nil {
			name = names[f.goName]
		}
		if name == "" {
			continue
		}
		word := regexp.MustCompile(`\b` + regexp.QuoteMeta(f.goName) + `\b`)
		doc = word.ReplaceAllString(doc, "`"+name+"`")
	}
	return strings.ReplaceAll(doc, "|", "\\|")
}

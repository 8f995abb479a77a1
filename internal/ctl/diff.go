package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// difference is one value that differs between two documents. Old or New is nil when the
// value exists in only one of them.
type difference struct {
	Path string `json:"path"`
	Old  any    `json:"old"`
	New  any    `json:"new"`
}

func newDiff(opts *options) *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare the configuration in force with a file",
		Long: `Compares the configuration in force with a configuration document in a file.
The exit code is 0 when they are equal and 5 when they differ.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			log, err := opts.openLog(logURL)
			if err != nil {
				return err
			}
			revision, list, err := diffFile(ctx, log, args[0])
			if err != nil {
				return err
			}
			return opts.showDiff(cmd.OutOrStdout(), revision, list)
		},
	}
	addLogFlag(cmd, &logURL)
	return cmd
}

// diffFile compares the document in a file with the configuration in force. It returns the
// revision in force and the differences.
func diffFile(ctx context.Context, log port.Log, file string) (int64, []difference, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, nil, trace.ConvertSystemError(err)
	}
	doc, list := profile.ParseDocument(file, data)
	if err := list.Err(); err != nil {
		return 0, nil, err
	}
	state, _, err := readHistory(ctx, log)
	if err != nil {
		return 0, nil, err
	}
	var current any = map[string]any{}
	if s := state.Current(); s != nil {
		current, err = toGenericJSON(s.Document)
	}
	if err != nil {
		return 0, nil, err
	}
	proposed, err := toGenericJSON(doc)
	if err != nil {
		return 0, nil, err
	}
	return currentRevision(state), compare(nil, "", current, proposed), nil
}

// toGenericJSON converts a document to nested maps and lists, so that documents that differ
// only in formatting compare equal.
func toGenericJSON(doc *profile.Document) (any, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var v any
	return v, trace.Wrap(json.Unmarshal(data, &v))
}

// compare appends the differences between the values at path to out.
func compare(out []difference, path string, from, to any) []difference {
	from, to = keyByName(from), keyByName(to)
	fromMap, ok1 := from.(map[string]any)
	toMap, ok2 := to.(map[string]any)
	if !ok1 || !ok2 {
		if !reflect.DeepEqual(from, to) {
			out = append(out, difference{Path: path, Old: from, New: to})
		}
		return out
	}
	for _, key := range unionKeys(fromMap, toMap) {
		out = compare(out, findings.Join(path, key), fromMap[key], toMap[key])
	}
	return out
}

// keyByName converts a list whose items all are objects with a name into a map by name, so
// that a different order of items is not reported as a difference. Other values are returned
// unchanged.
func keyByName(v any) any {
	list, ok := v.([]any)
	if !ok || len(list) == 0 {
		return v
	}
	named := map[string]any{}
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return v
		}
		name, ok := object["name"].(string)
		if !ok {
			return v
		}
		named[name] = object
	}
	return named
}

// unionKeys returns the sorted union of the keys of the maps.
func unionKeys(maps ...map[string]any) []string {
	seen := map[string]bool{}
	for _, m := range maps {
		for k := range m {
			seen[k] = true
		}
	}
	keys := make([]string, 0, len(seen))
	for k := range seen {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// showDiff prints the differences and returns ErrDifferent when there are any.
func (o *options) showDiff(out io.Writer, revision int64, list []difference) error {
	if o.json {
		if err := printJSON(out, list); err != nil {
			return err
		}
	} else {
		printDiff(out, list)
	}
	if len(list) == 0 {
		return nil
	}
	return trace.Wrap(ErrDifferent, "%d differences to revision %d", len(list), revision)
}

func printDiff(out io.Writer, list []difference) {
	for _, d := range list {
		switch {
		case d.Old == nil:
			fmt.Fprintf(out, "+ %s: %s\n", d.Path, compactJSON(d.New))
		case d.New == nil:
			fmt.Fprintf(out, "- %s: %s\n", d.Path, compactJSON(d.Old))
		default:
			fmt.Fprintf(out, "~ %s: %s -> %s\n", d.Path, compactJSON(d.Old), compactJSON(d.New))
		}
	}
}

func compactJSON(v any) string {
	// The value was decoded from JSON, so it can be encoded again.
	data, _ := json.Marshal(v)
	return string(data)
}

package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// revisionInfo describes one accepted publication.
type revisionInfo struct {
	Revision int64     `json:"revision"`
	Base     int64     `json:"base"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	document json.RawMessage
}

// recordingLog keeps the records that are read through it.
type recordingLog struct {
	port.Log

	mu      sync.Mutex
	records []port.Record
	// documents holds the whole documents of revisions by number. Those before the
	// checkpoint that the reader started from are missing.
	documents map[int64]json.RawMessage
}

// keepDocument keeps the document of a record that was accepted.
func (l *recordingLog) keepDocument(rec port.Record, state *profile.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if currentRevision(state) == rec.Offset+1 {
		l.documents[rec.Offset+1] = state.Document()
	}
}

// Read implements port.Log.
func (l *recordingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (port.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, page.Records...)
	return page, err
}

// accepted returns the accepted publications among the records that were read,
// oldest first.
func (l *recordingLog) accepted(state *profile.State) []revisionInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []revisionInfo
	for _, rec := range l.records {
		verdict, ok := state.Decision(rec.ID)
		// A repeated record has the verdict of the first one but another offset.
		if !ok || !verdict.Accepted || verdict.Revision != rec.Offset+1 {
			continue
		}
		var pub profile.Publication
		if json.Unmarshal(rec.Data, &pub) != nil || len(pub.Document)+len(pub.Changes) == 0 {
			continue
		}
		document := pub.Document
		if len(document) == 0 {
			document = l.documents[verdict.Revision]
		}
		out = append(out, revisionInfo{
			Revision: verdict.Revision,
			Base:     pub.Base,
			Author:   pub.Author,
			Time:     rec.Time,
			document: document,
		})
	}
	return out
}

// history reads the configuration stream to its end.
func history(ctx context.Context, log port.Log) (*profile.State, []revisionInfo, error) {
	recording := &recordingLog{Log: log, documents: map[int64]json.RawMessage{}}
	state := profile.NewState()
	if err := (Publisher{Log: recording, applied: recording.keepDocument}).follow(ctx, state); err != nil {
		return nil, nil, err
	}
	return state, recording.accepted(state), nil
}

// addLogFlag adds the required flag that names the log service.
func addLogFlag(cmd *cobra.Command, url *string) {
	cmd.Flags().StringVar(url, "log", "", "base URL of the log service")
	// The flag exists, so marking it cannot fail.
	_ = cmd.MarkFlagRequired("log")
}

func newRevisions(opts *options) *cobra.Command {
	var logURL string
	cmd := &cobra.Command{
		Use:   "revisions",
		Short: "List the accepted revisions that the log still holds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			log, err := opts.openLog(logURL)
			if err != nil {
				return err
			}
			_, revisions, err := history(ctx, log)
			if err != nil {
				return trace.Wrap(err)
			}
			if opts.json {
				return printJSON(cmd.OutOrStdout(), revisions)
			}
			return printRevisions(cmd.OutOrStdout(), revisions)
		},
	}
	addLogFlag(cmd, &logURL)
	return cmd
}

func printRevisions(out io.Writer, revisions []revisionInfo) error {
	w := newTable(out)
	fmt.Fprintln(w, "REVISION\tBASE\tAUTHOR\tTIME")
	for _, r := range revisions {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\n", r.Revision, r.Base, r.Author, r.Time.Format(time.RFC3339))
	}
	return w.Flush()
}

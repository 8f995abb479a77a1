package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/logplot"
	"bergamotsill.example/bergamotsill/internal/logread"
)

// newLogs returns the commands that read log files of daemons. They also work when the
// daemons are no longer running.
func newLogs(opts *options) *cobra.Command {
	logs := &cobra.Command{Use: "logs", Short: "Explain requests from the log lines of daemons"}
	logs.AddCommand(newLogsExplain(opts), newLogsOutcomes(opts), newLogsPlot())
	return logs
}

// requestExplanation is the result of logs explain.
type requestExplanation struct {
	Lines []logread.Line `json:"lines"`
	// Around holds the lines about no request of the daemon that ended the request, from
	// shortly before and during the request; see logread.Log.DaemonLines.
	Around []logread.Line `json:"around"`
}

func newLogsExplain(opts *options) *cobra.Command {
	var before time.Duration
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID FILE...",
		Short: "Show the log lines about a request, and other lines of its daemon at that time",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := readLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			var e requestExplanation
			if e.Lines = log.RequestLines(args[0]); len(e.Lines) == 0 {
				return trace.NotFound("no log line about request %q", args[0])
			}
			e.Around = log.DaemonLines(e.Lines[len(e.Lines)-1], before)
			if opts.json {
				return printJSON(cmd.OutOrStdout(), e)
			}
			return e.print(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&before, "before", 5*time.Second, "how long before the request other lines of its daemon are shown")
	return cmd
}

func newLogsOutcomes(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "outcomes FILE...",
		Short: "Count how requests ended, by route and reason, with an example of each",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			if opts.json {
				return printJSON(cmd.OutOrStdout(), log.Outcomes())
			}
			w := newTable(cmd.OutOrStdout())
			fmt.Fprintln(w, "COUNT\tROUTE\tOUTCOME\tEXAMPLE\tREASON")
			for _, o := range log.Outcomes() {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", o.Count, o.Route, o.Outcome, o.Example, o.Reason)
			}
			return w.Flush()
		},
	}
}

func newLogsPlot() *cobra.Command {
	var out string
	var step time.Duration
	cmd := &cobra.Command{
		Use:   "plot FILE...",
		Short: "Draw requests by outcome and times to the first event over time",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if step <= 0 {
				return trace.BadParameter("--step is %s, it must be greater than 0", step)
			}
			log, err := readLogs(cmd, args)
			if err != nil {
				return err
			}
			return logplot.Write(out, log, step)
		},
	}
	cmd.Flags().StringVar(&out, "out", "run.svg", "file to write; its extension chooses the format (svg, png, pdf)")
	cmd.Flags().DurationVar(&step, "step", time.Second, "interval over which requests are counted")
	return cmd
}

// readLogs reads log files, or standard input for "-". The error lists all files that cannot
// be read.
func readLogs(cmd *cobra.Command, paths []string) (*logread.Log, error) {
	log := &logread.Log{}
	var failures []error
	for _, path := range paths {
		if err := readLog(cmd, log, path); err != nil {
			failures = append(failures, fmt.Errorf("%s: %s", path, trace.UserMessage(err)))
		}
	}
	if err := errors.Join(failures...); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	if log.Unreadable > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "%d lines are not JSON and were skipped\n", log.Unreadable)
	}
	return log, nil
}

func readLog(cmd *cobra.Command, log *logread.Log, path string) error {
	if path == "-" {
		return log.Read(cmd.InOrStdin())
	}
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return log.Read(file)
}

// separateFields are the fields that are not listed by name, because they are printed in
// another form or are the same in all lines of a daemon.
var separateFields = []string{"time", "level", "msg", "daemon", "data-centre", "version", "request-id", "steps"}

func (e *requestExplanation) print(out io.Writer) error {
	for _, l := range e.Lines {
		fmt.Fprintf(out, "%s %s %s: %s\n", l.Time.Format(time.RFC3339Nano), l.Level, l.Daemon, l.Message)
		steps, _ := l.Fields["steps"].([]any)
		for _, s := range steps {
			fmt.Fprintf(out, "    %s\n", oneLine(s))
		}
		for _, name := range otherFieldNames(l.Fields) {
			fmt.Fprintf(out, "  %s: %s\n", name, oneLine(l.Fields[name]))
		}
	}
	if len(e.Around) > 0 {
		fmt.Fprintln(out, "\nOther lines of the daemon before and meanwhile:")
	}
	for _, l := range e.Around {
		fmt.Fprintf(out, "%s %s: %s %s\n", l.Time.Format(time.RFC3339Nano), l.Level, l.Message, fieldList(l.Fields))
	}
	return nil
}

// otherFieldNames returns the sorted names of the fields that are not in separateFields.
func otherFieldNames(fields map[string]any) []string {
	var names []string
	for name := range fields {
		if !slices.Contains(separateFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// oneLine formats a value on one line. Joined errors contain a line break between errors.
func oneLine(value any) string { return strings.ReplaceAll(fmt.Sprint(value), "\n", "; ") }

func fieldList(fields map[string]any) string {
	var parts []string
	for _, name := range otherFieldNames(fields) {
		parts = append(parts, name+"="+oneLine(fields[name]))
	}
	return strings.Join(parts, " ")
}

package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/admin"
)

func newStatus(opts *options) *cobra.Command {
	var upstreams bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the given daemons and, for one daemon or with --upstreams, what they see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			answers, asked := ask[admin.Status](cmd.Context(), opts, admin.MethodStatus, struct{}{})
			err := show(asked, func() error {
				if opts.json {
					return printJSON(cmd.OutOrStdout(), answers)
				}
				return printStatus(cmd.OutOrStdout(), answers, upstreams || len(opts.daemons) == 1)
			})
			return withLosses(err, answers)
		},
	}
	cmd.Flags().BoolVar(&upstreams, "upstreams", false, "list the upstreams that each daemon sees")
	return cmd
}

// withLosses adds to the error of a command which daemons lost configuration
// records; that one decides the exit code.
func withLosses(err error, answers []admin.Status) error {
	var lost []string
	if err != nil {
		lost = append(lost, Message(err))
	}
	before := len(lost)
	for _, s := range answers {
		if s.ConfigLoss != nil {
			lost = append(lost, fmt.Sprintf("daemon %s has revision %d and lost records below offset %d", s.Daemon, s.Revision, s.ConfigLoss.First))
		}
	}
	if len(lost) == before {
		return err
	}
	return trace.Wrap(ErrLost, "%s\nwhen no daemon has the records, publish with --after-loss (docs/operations.md)", strings.Join(lost, "\n"))
}

func printStatus(out io.Writer, answers []admin.Status, upstreams bool) error {
	if err := printDaemons(out, answers); err != nil {
		return err
	}
	if !upstreams {
		return nil
	}
	for _, s := range answers {
		fmt.Fprintf(out, "\nupstreams seen by %s:\n", s.Daemon)
		if err := printUpstreams(out, s.Upstreams); err != nil {
			return err
		}
	}
	return nil
}

func printDaemons(out io.Writer, answers []admin.Status) error {
	w := newTable(out)
	fmt.Fprintln(w, "DAEMON\tDATA CENTRE\tREGION\tVERSION\tREADY\tSTOPPING\tREVISION\tUPSTREAMS\tIN FLIGHT")
	for _, s := range answers {
		inFlight := int64(0)
		for _, u := range s.Upstreams {
			inFlight += u.InFlight
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d\n", s.Daemon, s.DataCentre, s.Region,
			s.Version, s.Ready, s.Stopping, s.Revision, len(s.Upstreams), inFlight)
	}
	return w.Flush()
}

func printUpstreams(out io.Writer, upstreams []admin.Upstream) error {
	w := newTable(out)
	fmt.Fprintln(w, "VM\tKIND\tPOOL\tDATA CENTRE\tSTATE\tIN FLIGHT\tMODEL\tROLE\tPHASE\tRUNNING\tAGE")
	for _, u := range upstreams {
		model, role, phase, running, age := "-", "-", "-", "-", "-"
		if u.Report != nil {
			model, role, phase = u.Report.Model, string(u.Report.Role), string(u.Report.Phase)
			running = fmt.Sprint(u.Report.Running)
			age = u.ReportAge.Round(time.Millisecond).String()
		}
		if u.Failed {
			phase = "unreachable"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", u.VM.ID, u.VM.Kind, u.VM.Pool,
			u.VM.DataCentre, u.VM.State, u.InFlight, model, role, phase, running, age)
	}
	return w.Flush()
}

package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/decision"
)

// newTable returns a writer that aligns tab-separated columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
}

func newStatus(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show a daemon and the upstreams that it sees",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status admin.Status
			if err := opts.call(cmd.Context(), admin.MethodStatus, struct{}{}, &status); err != nil {
				return err
			}
			if opts.json {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
}

func printStatus(out io.Writer, s admin.Status) error {
	fmt.Fprintf(out, "daemon %s (%s) in %s, %s: ready=%t stopping=%t revision=%d\n",
		s.Daemon, s.Version, s.DataCentre, s.Region, s.Ready, s.Stopping, s.Revision)
	w := newTable(out)
	fmt.Fprintln(w, "VM\tKIND\tPOOL\tDATA CENTRE\tSTATE\tIN FLIGHT\tMODEL\tROLE\tPHASE\tRUNNING\tAGE")
	for _, u := range s.Upstreams {
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

func newExplain(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show the decisions that a request met, and why",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var out admin.Explanation
			params := admin.ExplainParams{RequestID: args[0]}
			if err := opts.call(cmd.Context(), admin.MethodExplain, params, &out); err != nil {
				return err
			}
			if opts.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			return printRecords(cmd.OutOrStdout(), out.Records)
		},
	}
}

func printRecords(out io.Writer, records []decision.Record) error {
	if len(records) == 0 {
		_, err := fmt.Fprintln(out, "no decisions recorded")
		return err
	}
	w := newTable(out)
	fmt.Fprintln(w, "TIME\tSUBJECT\tSTAGE\tVERDICT\tINPUTS")
	for _, r := range records {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", r.Time.Format(time.RFC3339Nano), r.Subject, r.Stage, r.Verdict)
		for _, in := range r.Inputs {
			fmt.Fprintf(w, "%s=%v ", in.Name, in.Value)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func newBurn(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "burn",
		Short: "Report service-level burn by rank and profile",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out admin.Burn
			if err := opts.call(cmd.Context(), admin.MethodBurn, struct{}{}, &out); err != nil {
				return err
			}
			if opts.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			return printBurn(cmd.OutOrStdout(), out)
		},
	}
}

func printBurn(out io.Writer, b admin.Burn) error {
	w := newTable(out)
	fmt.Fprintln(w, "RANK\tPROFILE\tANSWERED\tWITHIN\tREFUSED\tUNKNOWN\tMISSED\tWORTH")
	for _, r := range b.Rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f\n",
			r.Rank, r.Profile, r.Answered, r.Within, r.Refused, r.Unknown, 100*r.MissedShare(), r.Worth)
	}
	return w.Flush()
}

func newRoles(opts *options) *cobra.Command {
	roles := &cobra.Command{Use: "roles", Short: "Inspect engine roles"}
	roles.AddCommand(&cobra.Command{
		Use:   "history",
		Short: "Show recorded role changes with their reasons",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out admin.Roles
			if err := opts.call(cmd.Context(), admin.MethodRoles, struct{}{}, &out); err != nil {
				return err
			}
			if opts.json {
				return printJSON(cmd.OutOrStdout(), out)
			}
			return printRecords(cmd.OutOrStdout(), out.Records)
		},
	})
	return roles
}

package ctl

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// burnReport holds the merged burn rows of several daemons, by rank and by profile.
type burnReport struct {
	Daemons []string   `json:"daemons"`
	Ranks   []burn.Row `json:"ranks"`
	Rows    []burn.Row `json:"rows"`
}

func newBurn(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "burn",
		Short: "Report service-level burn by rank and profile, added up over the given daemons",
		Long: `Reports service-level burn by rank and profile, added up over the given daemons.

TARGETS are milliseconds until the first token, between tokens, and for the whole
response. OBJECTIVE is the share of a rank's requests that should meet them. A burn
rate of 1 means that exactly the allowed share misses them; above 1 the objective is
being missed.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			responses, callErr := callDaemons[admin.Burn](cmd.Context(), opts, admin.MethodBurn, struct{}{})
			return printPartial(callErr, func() error {
				report := newBurnReport(responses)
				if opts.json {
					return printJSON(cmd.OutOrStdout(), report)
				}
				return printBurn(cmd.OutOrStdout(), report)
			})
		},
	}
}

func newBurnReport(responses []admin.Burn) burnReport {
	var report burnReport
	var lists [][]burn.Row
	for _, a := range responses {
		report.Daemons = append(report.Daemons, a.Daemon)
		lists = append(lists, a.Rows)
	}
	report.Rows = burn.Merge(lists...)
	report.Ranks = sumByRank(report.Rows)
	return report
}

// sumByRank returns one row per rank with the sums over its profiles.
func sumByRank(rows []burn.Row) []burn.Row {
	var out []burn.Row
	for _, rank := range profile.Ranks {
		var ofRank []burn.Row
		for _, r := range rows {
			if r.Rank == rank {
				r.Profile, r.Targets = "", burn.Targets{}
				ofRank = append(ofRank, r)
			}
		}
		out = append(out, burn.Merge(ofRank)...)
	}
	return out
}

func printBurn(out io.Writer, report burnReport) error {
	w := newTable(out)
	fmt.Fprint(w, "RANK\tPROFILE\tTARGETS\tOBJECTIVE\tANSWERED\tWITHIN\tREFUSED\tUNKNOWN\tMISSED\tWORTH")
	for _, length := range burn.Windows {
		fmt.Fprintf(w, "\tBURN %s", shortDuration(length))
	}
	fmt.Fprintln(w)
	for _, rank := range report.Ranks {
		printBurnRow(w, rank)
		for _, r := range report.Rows {
			if r.Rank == rank.Rank {
				printBurnRow(w, r)
			}
		}
	}
	return w.Flush()
}

func printBurnRow(w io.Writer, r burn.Row) {
	name, targets := r.Profile, "-"
	if name == "" {
		name = "all"
	} else {
		targets = fmt.Sprintf("%d/%d/%d", r.Targets.FirstTokenMS, r.Targets.TokenMS, r.Targets.TotalMS)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.0f%%\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f", r.Rank, name, targets,
		100*burn.Objective(r.Rank), r.Answered, r.OnTime, r.Refused, r.Unknown, 100*r.MissedShare(), r.Worth)
	for _, window := range r.Windows {
		fmt.Fprintf(w, "\t%.1f", window.BurnRate(r.Rank))
	}
	fmt.Fprintln(w)
}

// shortDuration formats a duration as whole hours, or else as whole minutes.
func shortDuration(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

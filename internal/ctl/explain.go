package ctl

import (
	"sort"

	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/decision"
)

func newExplain(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show the decisions of the given daemons about a request, with their reasons",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			params := admin.ExplainParams{RequestID: args[0]}
			responses, callErr := callDaemons[admin.Explanation](cmd.Context(), opts, admin.MethodExplain, params)
			return printPartial(callErr, func() error {
				var records []daemonRecord
				for _, a := range responses {
					records = appendRecords(records, a.Daemon, a.Records)
				}
				return opts.showRecords(cmd, records)
			})
		},
	}
}

func newRoles(opts *options) *cobra.Command {
	roles := &cobra.Command{Use: "roles", Short: "Inspect engine roles"}
	roles.AddCommand(&cobra.Command{
		Use:   "history",
		Short: "Show the role changes that the given daemons recorded, with their reasons",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			responses, callErr := callDaemons[admin.Roles](cmd.Context(), opts, admin.MethodRoles, struct{}{})
			return printPartial(callErr, func() error {
				var records []daemonRecord
				for _, a := range responses {
					records = appendRecords(records, a.Daemon, a.Records)
				}
				return opts.showRecords(cmd, records)
			})
		},
	})
	return roles
}

// appendRecords appends the records of one daemon to out.
func appendRecords(out []daemonRecord, daemon string, records []decision.Record) []daemonRecord {
	for _, r := range records {
		out = append(out, daemonRecord{Daemon: daemon, Record: r})
	}
	return out
}

// showRecords prints records in chronological order.
func (o *options) showRecords(cmd *cobra.Command, records []daemonRecord) error {
	sort.SliceStable(records, func(i, j int) bool { return records[i].Time.Before(records[j].Time) })
	if o.json {
		return printJSON(cmd.OutOrStdout(), records)
	}
	return printRecords(cmd.OutOrStdout(), records)
}

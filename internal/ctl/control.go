package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/admin"
)

func newControl(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "control",
		Short: "Show leases, engine changes in progress, suspect requests and daemons as the given daemons see them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			responses, callErr := callDaemons[admin.Control](cmd.Context(), opts, admin.MethodControl, struct{}{})
			return printPartial(callErr, func() error {
				if opts.json {
					return printJSON(cmd.OutOrStdout(), responses)
				}
				return printControl(cmd.OutOrStdout(), responses)
			})
		},
	}
}

func printControl(out io.Writer, responses []admin.Control) error {
	for _, print := range []func(io.Writer, []admin.Control){printLeases, printChanges, printSuspects, printMembers} {
		w := newTable(out)
		print(w, responses)
		fmt.Fprintln(w)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func printLeases(w io.Writer, responses []admin.Control) {
	fmt.Fprintln(w, "SEEN BY\tLEASE OF\tHOLDER\tFENCING\tSTATE")
	for _, a := range responses {
		for _, l := range a.Leases {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", a.Daemon, l.DataCentre, orDash(l.Holder), l.Fencing, leaseState(l))
		}
	}
}

func leaseState(l admin.Lease) string {
	switch {
	case !l.Synced:
		return "stream not read yet"
	case l.Holder == "":
		return "never claimed"
	case l.Released:
		return "released"
	}
	return "claimed"
}

func printChanges(w io.Writer, responses []admin.Control) {
	fmt.Fprintln(w, "SEEN BY\tENGINE\tDRAINING\tPENDING ORDER\tOPEN COPIES")
	for _, a := range responses {
		for _, c := range a.Changes {
			fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%d\n", a.Daemon, c.Engine, c.Draining, pendingOrder(c), c.OpenCopies)
		}
	}
}

func pendingOrder(c admin.Change) string {
	if c.Order == nil {
		return "-"
	}
	parts := []string{string(c.Order.Kind), string(c.Order.Role), c.Order.Model, c.Order.Version, c.Order.Adapter, c.Order.ID}
	return strings.Join(strings.Fields(strings.Join(parts, " ")), " ")
}

func printSuspects(w io.Writer, responses []admin.Control) {
	fmt.Fprintln(w, "SEEN BY\tREQUEST DIGEST\tSTATUS\tCRASHED ENGINES\tFORGOTTEN IN")
	for _, a := range responses {
		for _, s := range a.Suspects {
			remaining := (time.Duration(s.RemainingMS) * time.Millisecond).Round(time.Second)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", a.Daemon, s.Digest, s.Status, strings.Join(s.Engines, " "), remaining)
		}
	}
}

func printMembers(w io.Writer, responses []admin.Control) {
	fmt.Fprintln(w, "SEEN BY\tDAEMON\tPEER ADDRESS\tDATA CENTRE\tSTATUS")
	for _, a := range responses {
		for _, m := range a.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", a.Daemon, orDash(m.Name), m.PeerAddress, orDash(m.DataCentre), m.Status)
		}
	}
}

// orDash returns s, or "-" when s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

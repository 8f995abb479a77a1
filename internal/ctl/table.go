package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bergamotsill.example/bergamotsill/internal/decision"
)

// newTable returns a writer that aligns tab-separated columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
}

// daemonRecord is a decision record with the name of the daemon that recorded it.
type daemonRecord struct {
	Daemon string `json:"daemon"`
	decision.Record
}

func printRecords(out io.Writer, records []daemonRecord) error {
	if len(records) == 0 {
		_, err := fmt.Fprintln(out, "no decisions recorded")
		return err
	}
	w := newTable(out)
	fmt.Fprintln(w, "TIME\tDAEMON\tSUBJECT\tSTAGE\tVERDICT\tINPUTS")
	for _, r := range records {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t",
			r.Time.Format(time.RFC3339Nano), r.Daemon, r.Subject, r.Stage, r.Outcome)
		for _, in := range r.Inputs {
			fmt.Fprintf(w, "%s=%v ", in.Name, in.Value)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

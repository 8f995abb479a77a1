package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the results as one table per fleet and scenario.
func WriteTable(out io.Writer, results []Result) error {
	last := ""
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range results {
		if section := r.Fleet + " " + r.Scenario; section != last {
			last = section
			fmt.Fprintf(w, "\n%s\t\n", section)
			fmt.Fprintln(w, "policy\tgoodput\tuseful\troles\turgent\tstandard\tbackgr\tkept u\tkept s\tkept b\trefused\tlate\tlost\twasted Mtok\t")
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.2f\t%d\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%.1f\t\n",
			r.Policy, r.Goodput, r.Useful, r.RoleChanges, r.Within[0], r.Within[1], r.Within[2],
			r.Kept[0], r.Kept[1], r.Kept[2], r.Refused, r.Late, r.Lost, float64(r.Wasted)/1e6)
	}
	return w.Flush()
}

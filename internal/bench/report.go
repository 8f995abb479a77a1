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
			fmt.Fprintln(w, "policy\tgoodput\tuseful\troles\trole gain\turgent\tstandard\tbackgr\tkept u/of\tkept s/of\tkept b/of\trefused\tlate\tlost\twasted Mtok\t")
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.2f\t%d\t%.2f\t%.3f\t%.3f\t%.3f\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t\n",
			r.Policy, r.Goodput, r.Useful, r.RoleChanges, r.RoleGain, r.Within[0], r.Within[1], r.Within[2],
			r.formatKept(0), r.formatKept(1), r.formatKept(2), r.Refused, r.Late, r.Lost, float64(r.Wasted)/1e6)
	}
	return w.Flush()
}

// formatKept formats the kept goodput of a rank and its guarantee.
func (r Result) formatKept(rank int) string {
	if r.Guarantee[rank] == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f/%.2f", r.Kept[rank], r.Guarantee[rank])
}

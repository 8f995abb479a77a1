package bench

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Inch
	plotHeight = 6 * vg.Inch
	barWidth   = vg.Inch / 8
	// plottedPolicies is the number of plotted policies. Ablations are not plotted.
	plottedPolicies = 5
	// yAxisMax is the upper end of the vertical axis, which leaves space above
	// the bars for the legend.
	yAxisMax = 1.3
)

// WritePlot plots the goodput of the policies as a share of the upper bound. The file
// extension determines the image format.
func WritePlot(path string, results []Result) error {
	bounds := map[string]float64{}
	var sections []string
	for _, r := range results {
		if r.Policy == upperBound {
			section := r.Fleet + "\n" + r.Scenario
			bounds[section] = r.Goodput
			sections = append(sections, section)
		}
	}
	p := plot.New()
	p.Title.Text = "Goodput as a share of the upper bound"
	p.Y.Min, p.Y.Max = 0, yAxisMax
	p.Legend.Top = true
	p.NominalX(sections...)
	for i, policy := range policies()[:plottedPolicies] {
		values := make(plotter.Values, len(sections))
		for j, section := range sections {
			values[j] = shareOf(results, policy.name, section, bounds[section])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Length(i-plottedPolicies/2) * barWidth
		p.Add(bars)
		p.Legend.Add(policy.name, bars)
	}
	p.X.Max = float64(len(sections))
	return p.Save(plotWidth, plotHeight, path)
}

// shareOf returns the goodput of a policy in a section as a share of the upper bound, or
// 0 if the policy has no result there.
func shareOf(results []Result, policy, section string, bound float64) float64 {
	for _, r := range results {
		if r.Policy == policy && r.Fleet+"\n"+r.Scenario == section {
			return ratio(r.Goodput, bound)
		}
	}
	return 0
}

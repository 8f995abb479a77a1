// Package logplot plots request outcomes and latencies over time from the logs of daemons.
package logplot

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"bergamotsill.example/bergamotsill/internal/logread"
)

const (
	width  = 14 * vg.Inch
	height = 9 * vg.Inch
	// quantile is the quantile of the time to the first event that is plotted.
	quantile = 0.95
)

// outcomes are the outcomes that are plotted. The order is fixed, so that each has the same
// colour in all plots.
var outcomes = []string{"answered", "refused", "failed", "broken", "abandoned"}

// urgencies are the request urgencies that are plotted.
var urgencies = []int{0, 1, 2, 3}

// Write plots the requests per second by outcome and, below, the time to the first event by
// urgency, both over time in intervals of length step. The extension of path determines the
// format. A log without finished requests is a trace.NotFound error.
func Write(path string, log *logread.Log, step time.Duration) error {
	series := log.Series(step)
	if len(series) == 0 {
		return trace.NotFound("no log line reports the end of a request")
	}
	counts, err := drawOutcomes(series, step)
	if err != nil {
		return trace.Wrap(err)
	}
	times, err := drawFirstEvents(series, step)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(save(path, counts, times))
}

func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds since the first request ended"
	p.Legend.Top = true
	return p
}

func drawOutcomes(series []logread.Interval, step time.Duration) (*plot.Plot, error) {
	p := newPlot("Requests per second by outcome")
	for i, outcome := range outcomes {
		points := make(plotter.XYs, len(series))
		for j, interval := range series {
			points[j] = plotter.XY{X: seconds(j, step), Y: float64(interval.Outcomes[outcome]) / step.Seconds()}
		}
		if err := addLine(p, i, outcome, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func drawFirstEvents(series []logread.Interval, step time.Duration) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("Seconds to the first event or response, %.0f%% of answered requests, by urgency", 100*quantile))
	for i, urgency := range urgencies {
		var points plotter.XYs
		for j, interval := range series {
			if len(interval.FirstEvents[urgency]) > 0 {
				points = append(points, plotter.XY{X: seconds(j, step), Y: interval.Quantile(urgency, quantile).Seconds()})
			}
		}
		if err := addLine(p, i, fmt.Sprint(urgency), points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func seconds(i int, step time.Duration) float64 { return (time.Duration(i) * step).Seconds() }

// addLine adds a line to the plot unless it has no points. colour is an index into the
// palette.
func addLine(p *plot.Plot, colour int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(colour)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// save draws the plots one above the other and writes them to path.
func save(path string, plots ...*plot.Plot) (err error) {
	canvas, err := draw.NewFormattedCanvas(width, height, extension(path))
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Inch / 4}
	for i, p := range plots {
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	_, err = canvas.WriteTo(file)
	return err
}

// extension returns the extension of a file name without the dot, which is the name of the
// image format, or "svg" when there is none.
func extension(path string) string {
	if ext := filepath.Ext(path); ext != "" {
		return ext[1:]
	}
	return "svg"
}

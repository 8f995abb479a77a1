// Package logplot draws what the log lines of daemons say about a run.
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
	// quantile is the share of requests whose first event is drawn.
	quantile = 0.95
)

// outcomes are drawn in this order, so that colours stay the same between plots.
var outcomes = []string{"answered", "refused", "failed", "broken", "abandoned"}

// urgencies are the classes of requests that are drawn.
var urgencies = []int{0, 1, 2, 3}

// Write draws requests by outcome above the time to the first event by urgency, both over
// time, into a file whose extension chooses the format. A log without requests is a
// NotFound.
func Write(path string, log *logread.Log, step time.Duration) error {
	series := log.Series(step)
	if len(series) == 0 {
		return trace.NotFound("no line about the end of a request")
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
	p := newPlot(fmt.Sprintf("Seconds to the first event or answer, %.0f%% of answered requests, by urgency", 100*quantile))
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

// addLine adds a line unless it has no points.
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

// save draws the plots one above the other.
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

// extension returns the format that a file name asks for.
func extension(path string) string {
	if ext := filepath.Ext(path); ext != "" {
		return ext[1:]
	}
	return "svg"
}

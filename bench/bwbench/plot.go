package bwbench

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Run is the finished run of one variant with its raw distributions.
type Run struct {
	Result   Result
	Recorder *Recorder
}

var plotQuantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 97, 99, 99.5, 99.9}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot draws the distribution of one latency under each policy. The file
// extension, .svg or .png, selects the format. It returns an error if no run has
// recorded the latency.
func WritePlot(path, measure string, runs []Run) error {
	plt := plot.New()
	plt.Title.Text = measure
	plt.X.Label.Text = "percentile"
	plt.Y.Label.Text = "latency, ms"
	plt.Legend.Top = true
	plt.Legend.Left = true
	var lines []any
	for _, run := range runs {
		points := run.Recorder.quantiles(measure, plotQuantiles)
		if len(points) == 0 {
			continue
		}
		lines = append(lines, run.Result.Policy, toXY(points))
	}
	if len(lines) == 0 {
		return fmt.Errorf("plot %s: no run has recorded this latency", measure)
	}
	if err := plotutil.AddLinePoints(plt, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", measure, err)
	}
	if err := plt.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

func toXY(points []quantilePoint) plotter.XYs {
	xys := make(plotter.XYs, 0, len(points))
	for _, pnt := range points {
		xys = append(xys, plotter.XY{X: pnt.quantile, Y: float64(pnt.latency) / float64(time.Millisecond)})
	}
	return xys
}

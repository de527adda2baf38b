package play

import (
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes one SVG file for each workload into a directory: the share of requests on time over the time of arrival,
// by policy.
func WritePlots(directory string, rows []Row) error {
	for len(rows) > 0 {
		count := 1
		for count < len(rows) && rows[count].Workload == rows[0].Workload {
			count++
		}

		if err := plotWorkload(directory, rows[:count]); err != nil {
			return errors.Wrapf(err, "plot load %s", rows[0].Workload)
		}

		rows = rows[count:]
	}

	return nil
}

func plotWorkload(directory string, rows []Row) error {
	chart := plot.New()
	chart.Title.Text = rows[0].Workload
	chart.X.Label.Text = "arrival, s"
	chart.Y.Label.Text = "on time, %"
	chart.Y.Min, chart.Y.Max = 0, 100

	lines := make([]any, 0, 2*len(rows))

	for _, row := range rows {
		lines = append(lines, row.Policy, row.points())
	}

	if err := plotutil.AddLines(chart, lines...); err != nil {
		return errors.Wrap(err, "add lines")
	}

	name := strings.ReplaceAll(rows[0].Workload, "/", "-") + ".svg"

	return errors.Wrap(chart.Save(plotWidth, plotHeight, filepath.Join(directory, name)), "save")
}

// points returns the mean share of requests on time in each window.
func (r *Row) points() plotter.XYs {
	points := make(plotter.XYs, len(r.Results[0].Windows))

	for i := range points {
		points[i].X = float64(i) * windowLength.Seconds()

		for _, result := range r.Results {
			points[i].Y += 100 * result.Windows[i] / float64(len(r.Results))
		}
	}

	return points
}

package burn

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg" // PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // SVG

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	plotWidth        = 24 * vg.Centimeter
	plotHeight       = 14 * vg.Centimeter
	barGroupWidth    = 3 * vg.Centimeter
	maxPlottedSeries = 12
)

// Plot writes a bar chart of the burn rates to a file whose name ends in .png or .svg.
func Plot(rows []*chicoryv1.BurnRow, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(path)), ".")
	if err := Render(rows, format, f); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

// Render writes the chart in the format "png" or "svg". It shows the series that
// cover all teams; of more than maxPlottedSeries, those with the highest burn rates.
func Render(rows []*chicoryv1.BurnRow, format string, out io.Writer) error {
	if format != "png" && format != "svg" {
		return errors.NotSupportedf("plot format %q", format)
	}
	p := plot.New()
	p.Title.Text = "Error budget burn rate (1 spends the budget in " + formatWindow(uint32(BudgetPeriod.Seconds())) + ")"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	if err := addBars(p, fastestSeries(rows)); err != nil {
		return errors.Trace(err)
	}
	p.Y.Max = max(p.Y.Max, 1)
	w, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = w.WriteTo(out)
	return errors.Trace(err)
}

// fastestSeries returns the series that cover all teams, at most the maxPlottedSeries
// with the highest burn rates.
func fastestSeries(rows []*chicoryv1.BurnRow) [][]*chicoryv1.BurnRow {
	var all [][]*chicoryv1.BurnRow
	for _, series := range groupBySeries(rows) {
		if series[0].GetTeam() == "" {
			all = append(all, series)
		}
	}
	for len(all) > maxPlottedSeries {
		slowest := 0
		for i := range all {
			if maxBurnRate(all[i]) < maxBurnRate(all[slowest]) {
				slowest = i
			}
		}
		all = append(all[:slowest], all[slowest+1:]...)
	}
	return all
}

func maxBurnRate(series []*chicoryv1.BurnRow) float64 {
	var m float64
	for _, r := range series {
		m = max(m, r.GetBurnRate())
	}
	return m
}

// addBars adds a group of bars for each window, with a bar for each series.
func addBars(p *plot.Plot, all [][]*chicoryv1.BurnRow) error {
	names := make([]string, len(windows))
	for i, w := range windows {
		names[i] = formatWindow(uint32(w.length.Seconds()))
	}
	p.NominalX(names...)
	width := barGroupWidth / vg.Length(max(len(all), 1))
	for i, series := range all {
		values := make(plotter.Values, len(windows))
		for j, r := range series {
			values[j] = r.GetBurnRate()
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Trace(err)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(float64(i)-float64(len(all)-1)/2)
		p.Add(bars)
		p.Legend.Add(series[0].GetRoute()+" "+orAll(series[0].GetVersion())+" "+series[0].GetObjective(), bars)
	}
	return nil
}

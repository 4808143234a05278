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
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barSpace   = 3 * vg.Centimeter
	maxBars    = 12
)

// Plot writes a plot of the burn rates to the file, whose name ends in .png or .svg.
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

// Render writes the plot in the format "png" or "svg". It shows the lines of all
// teams; when there are more than maxBars of them, those that burn fastest.
func Render(rows []*chicoryv1.BurnRow, format string, out io.Writer) error {
	if format != "png" && format != "svg" {
		return errors.NotSupportedf("plot format %q", format)
	}
	p := plot.New()
	p.Title.Text = "Service-level burn (1 spends the budget over " + windowName(uint32(BudgetPeriod.Seconds())) + ")"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	if err := addBars(p, fastest(rows)); err != nil {
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

// fastest returns the lines of all teams, at most maxBars.
func fastest(rows []*chicoryv1.BurnRow) [][]*chicoryv1.BurnRow {
	var lines [][]*chicoryv1.BurnRow
	for _, line := range linesOf(rows) {
		if line[0].GetTeam() == "" {
			lines = append(lines, line)
		}
	}
	for len(lines) > maxBars {
		slowest := 0
		for i := range lines {
			if highest(lines[i]) < highest(lines[slowest]) {
				slowest = i
			}
		}
		lines = append(lines[:slowest], lines[slowest+1:]...)
	}
	return lines
}

func highest(line []*chicoryv1.BurnRow) float64 {
	var m float64
	for _, r := range line {
		m = max(m, r.GetBurnRate())
	}
	return m
}

// addBars adds one group of bars for each window and one bar for each line.
func addBars(p *plot.Plot, lines [][]*chicoryv1.BurnRow) error {
	names := make([]string, len(windows))
	for i, w := range windows {
		names[i] = windowName(uint32(w.length.Seconds()))
	}
	p.NominalX(names...)
	width := barSpace / vg.Length(max(len(lines), 1))
	for i, line := range lines {
		values := make(plotter.Values, len(windows))
		for j, r := range line {
			values[j] = r.GetBurnRate()
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Trace(err)
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(float64(i)-float64(len(lines)-1)/2)
		p.Add(bars)
		p.Legend.Add(line[0].GetRoute()+" "+orAll(line[0].GetVersion())+" "+line[0].GetObjective(), bars)
	}
	return nil
}

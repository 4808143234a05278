package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// report holds the slopes in the order in which they were measured.
type report struct {
	slopes []*slope
}

// slope adds an empty slope to the report.
func (r *report) slope(name, per, unit string) *slope {
	s := &slope{name: name, per: per, unit: unit}
	r.slopes = append(r.slopes, s)
	return s
}

// print writes the slopes as a table.
func (r *report) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "slope\tper\tunit\tvalue\tbase\tspread\tpoints")
	for _, s := range r.slopes {
		intercept, perUnit := s.fit()
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t%s\n", s.name, s.per, s.unit, perUnit, intercept, 100*s.spread(), formatPoints(s))
	}
	_ = tw.Flush()
}

// formatPoints returns the points as "x:y", separated by spaces.
func formatPoints(s *slope) string {
	var parts []string
	for _, p := range s.points {
		parts = append(parts, fmt.Sprintf("%g:%.4g", p.x, p.y))
	}
	return strings.Join(parts, " ")
}

// write writes capacity.csv and capacity.png into folder.
func (r *report) write(folder string) error {
	const folderMode = 0o755
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Trace(err)
	}
	if err := r.writeCSV(filepath.Join(folder, "capacity.csv")); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(r.writePlot(filepath.Join(folder, "capacity.png")))
}

// writeCSV writes one line for each point.
func (r *report) writeCSV(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	w := csv.NewWriter(f)
	_ = w.Write([]string{"slope", "per", "unit", "x", "y"})
	for _, s := range r.slopes {
		for _, p := range s.points {
			_ = w.Write([]string{s.name, s.per, s.unit, fmt.Sprint(p.x), fmt.Sprint(p.y)})
		}
	}
	w.Flush()
	if err := w.Error(); err != nil {
		_ = f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

// Layout of the plot, which has one chart for each slope.
const (
	plotColumns = 4
	chartWidth  = 8 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
	chartPad    = 4 * vg.Millimeter
)

// writePlot writes the charts as one PNG image.
func (r *report) writePlot(path string) error {
	rows := (len(r.slopes) + plotColumns - 1) / plotColumns
	img := vgimg.New(plotColumns*chartWidth, vg.Length(rows)*chartHeight)
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: chartPad, PadY: chartPad}
	for i, s := range r.slopes {
		p, err := s.chart()
		if err != nil {
			return errors.Trace(err)
		}
		p.Draw(tiles.At(draw.New(img), i%plotColumns, i/plotColumns))
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

// chart returns the measured points with the fitted line.
func (s *slope) chart() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.per
	p.Y.Label.Text = s.unit
	var xys plotter.XYs
	for _, pt := range s.points {
		xys = append(xys, plotter.XY{X: pt.x, Y: pt.y})
	}
	scatter, err := plotter.NewScatter(xys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	intercept, perUnit := s.fit()
	p.Add(scatter, plotter.NewFunction(func(x float64) float64 { return intercept + perUnit*x }))
	return p, nil
}

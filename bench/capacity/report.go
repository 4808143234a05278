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

// report collects slopes in the order of measurement.
type report struct {
	slopes []*slope
}

func (r *report) slope(name, of, unit string) *slope {
	s := &slope{name: name, of: of, unit: unit}
	r.slopes = append(r.slopes, s)
	return s
}

func (r *report) print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "slope\tper\tunit\tvalue\tbase\tspread\tpoints")
	for _, s := range r.slopes {
		base, per := s.fit()
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t%s\n", s.name, s.of, s.unit, per, base, 100*s.spread(), pointsText(s))
	}
	_ = tw.Flush()
}

func pointsText(s *slope) string {
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

func (r *report) writeCSV(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	w := csv.NewWriter(f)
	_ = w.Write([]string{"slope", "per", "unit", "x", "y"})
	for _, s := range r.slopes {
		for _, p := range s.points {
			_ = w.Write([]string{s.name, s.of, s.unit, fmt.Sprint(p.x), fmt.Sprint(p.y)})
		}
	}
	w.Flush()
	if err := w.Error(); err != nil {
		_ = f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

// Layout of the plot: one small chart for each slope.
const (
	plotColumns = 4
	chartWidth  = 8 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
	chartPad    = 4 * vg.Millimeter
)

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

func (s *slope) chart() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.of
	p.Y.Label.Text = s.unit
	var xys plotter.XYs
	for _, pt := range s.points {
		xys = append(xys, plotter.XY{X: pt.x, Y: pt.y})
	}
	scatter, err := plotter.NewScatter(xys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	base, per := s.fit()
	p.Add(scatter, plotter.NewFunction(func(x float64) float64 { return base + per*x }))
	return p, nil
}

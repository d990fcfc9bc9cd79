package rigcmd

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/monsoonmoor/monsoonmoor/load"
)

// Size of a picture.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	// legendHeadroom is the height of the axis over that of the lines.
	legendHeadroom = 1.4
)

// plotResult draws a run: answered calls a second by owner above, answered
// and failed calls a second below. The file's suffix sets its format.
func plotResult(res *load.Result, path string) error {
	balance, err := plotBalance(res)
	if err != nil {
		return err
	}
	served, err := plotServed(res)
	if err != nil {
		return err
	}
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("plot as %q: %w", format, err)
	}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	plots := [][]*plot.Plot{{balance}, {served}}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	balance.Draw(canvases[0][0])
	served.Draw(canvases[1][0])
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	_, err = canvas.WriteTo(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func plotBalance(res *load.Result) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("Calls by owner: most over mean %.2f", res.Imbalance))
	var lines []any
	for _, owner := range slices.Sorted(maps.Keys(res.Owners)) {
		lines = append(lines, owner, course(res, func(s load.Second) int { return s.Owners[owner] }))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return nil, fmt.Errorf("plot balance: %w", err)
	}
	addHeadroom(p)
	return p, nil
}

func plotServed(res *load.Result) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("Longest time a key was unavailable: %.0f ms", res.Unavailable.Millis))
	err := plotutil.AddLines(p,
		"answered", course(res, func(s load.Second) int { return s.Answered }),
		"failed", course(res, func(s load.Second) int { return s.Failed }))
	if err != nil {
		return nil, fmt.Errorf("plot availability: %w", err)
	}
	addHeadroom(p)
	return p, nil
}

// addHeadroom makes room for the legend above the lines.
func addHeadroom(p *plot.Plot) {
	p.Y.Max *= legendHeadroom
}

func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "calls a second"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

func course(res *load.Result, value func(load.Second) int) plotter.XYs {
	points := make(plotter.XYs, len(res.PerSecond))
	for i, s := range res.PerSecond {
		points[i] = plotter.XY{X: float64(i), Y: float64(value(s))}
	}
	return points
}

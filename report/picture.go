package report

import (
	"fmt"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes of the picture.
const (
	columnWidth = 14 * vg.Centimeter
	rowHeight   = 5.5 * vg.Centimeter
	padding     = 0.4 * vg.Centimeter
	barWidth    = 1.1 * vg.Centimeter
	lineWidth   = 1.6
	// headroom is the height of an axis over that of what it shows.
	headroom = 1.25
	// legendRoom makes room for the legend in the first row.
	legendRoom = 1.5
	// leastHighest keeps small differences from looking large.
	leastHighest = 1.5
)

// Colours tell placements apart, for readers who see no red or green, too.
var (
	movedColour  = color.RGBA{R: 0x00, G: 0x5f, B: 0xa8, A: 0xff}
	staticColour = color.RGBA{R: 0xd9, G: 0x82, B: 0x1e, A: 0xff}
	leastColour  = color.RGBA{R: 0x70, G: 0x70, B: 0x70, A: 0xff}
	lightColour  = color.RGBA{R: 0xb5, G: 0xd0, B: 0xe8, A: 0xff}
)

// WritePicture draws the course of the imbalance, a row for each load and a
// column for each service, and below how long keys were unavailable. Format is
// png, svg or pdf.
func (r *Report) WritePicture(w io.Writer, format string) error {
	services, shapes := r.names()
	var plots [][]*plot.Plot
	for i, shape := range shapes {
		row := make([]*plot.Plot, len(services))
		highest := r.highest(shape)
		if i == 0 {
			highest = 1 + (highest-1)*legendRoom
		}
		for j, service := range services {
			p, err := r.course(service, shape, highest, i == 0 && j == 0)
			if err != nil {
				return err
			}
			row[j] = p
		}
		plots = append(plots, row)
	}
	row := make([]*plot.Plot, len(services))
	for j, service := range services {
		p, err := r.gaps(service, j == 0)
		if err != nil {
			return err
		}
		row[j] = p
	}
	return drawAll(append(plots, row), w, format)
}

func drawAll(plots [][]*plot.Plot, w io.Writer, format string) error {
	rows, columns := len(plots), len(plots[0])
	if columns == 0 {
		return fmt.Errorf("draw report: %w", errEmpty)
	}
	canvas, err := draw.NewFormattedCanvas(columnWidth*vg.Length(columns), rowHeight*vg.Length(rows), format)
	if err != nil {
		return fmt.Errorf("draw report as %q: %w", format, err)
	}
	tiles := draw.Tiles{
		Rows: rows, Cols: columns, PadX: padding, PadY: padding,
		PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding,
	}
	canvases := plot.Align(plots, tiles, draw.New(canvas))
	for i, row := range plots {
		for j, p := range row {
			p.Draw(canvases[i][j])
		}
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write picture: %w", err)
	}
	return nil
}

// names returns the services and loads in the order of the trials.
func (r *Report) names() (services, shapes []string) {
	for _, t := range r.Trials {
		if !slices.Contains(services, t.Service) {
			services = append(services, t.Service)
		}
		if !slices.Contains(shapes, t.Shape) {
			shapes = append(shapes, t.Shape)
		}
	}
	for _, g := range r.Gaps {
		if !slices.Contains(services, g.Service) {
			services = append(services, g.Service)
		}
	}
	return services, shapes
}

// highest returns the highest imbalance under a load, for one axis in its row.
func (r *Report) highest(shape string) float64 {
	highest := leastHighest
	for _, t := range r.Trials {
		if t.Shape != shape {
			continue
		}
		for _, v := range t.Imbalance() {
			highest = max(highest, v)
		}
	}
	return highest
}

// course draws the imbalance of a service under a load over time.
func (r *Report) course(service, shape string, highest float64, legend bool) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = service + ": " + shape
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "max / mean load"
	p.Y.Min, p.Y.Max = 1, 1+(highest-1)*headroom
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Legend.Padding = vg.Millimeter
	for _, t := range r.Trials {
		if t.Service != service || t.Shape != shape {
			continue
		}
		name, colour := "moved by load, keys pinned", movedColour
		if t.Placement == Static {
			name, colour = "static rendezvous hashing", staticColour
		}
		if err := addLine(p, name, t.Imbalance(), colour, nil, legend); err != nil {
			return nil, err
		}
		if t.Placement != Moved {
			continue
		}
		least := make([]float64, len(t.Imbalance()))
		for i := range least {
			least[i] = t.least(i)
		}
		dashes := []vg.Length{vg.Points(3), vg.Points(3)}
		if err := addLine(p, "least possible (hottest key)", least, leastColour, dashes, legend); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addLine(p *plot.Plot, name string, values []float64, colour color.Color, dashes []vg.Length, legend bool) error {
	points := make(plotter.XYs, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: float64(i), Y: v}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("draw %s: %w", name, err)
	}
	line.Color, line.Width, line.Dashes = colour, vg.Points(lineWidth), dashes
	p.Add(line)
	if legend {
		p.Legend.Add(name, line)
	}
	return nil
}

// gaps draws for how long keys of a service were unavailable.
func (r *Report) gaps(service string, legend bool) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = service + ": time for which a key was unavailable"
	p.Y.Label.Text = "milliseconds"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.Padding = vg.Millimeter
	var medians, longest plotter.Values
	var names []string
	for _, g := range r.Gaps {
		if g.Service == service {
			medians, longest = append(medians, g.Time.P50), append(longest, g.Time.Max)
			name := string(g.Cause)
			if g.Cause == Loss {
				name = "loss, " + string(g.Placement)
			}
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return p, nil
	}
	for i, bars := range []struct {
		name   string
		values plotter.Values
		colour color.Color
	}{{"median of keys", medians, movedColour}, {"longest of keys", longest, lightColour}} {
		chart, err := plotter.NewBarChart(bars.values, barWidth)
		if err != nil {
			return nil, fmt.Errorf("draw %s: %w", bars.name, err)
		}
		chart.Color, chart.LineStyle.Width = bars.colour, 0
		chart.Offset = barWidth * vg.Length(2*i-1) / 2
		p.Add(chart)
		if legend {
			p.Legend.Add(bars.name, chart)
		}
		if err := addFigures(p, bars.values, chart.Offset); err != nil {
			return nil, err
		}
	}
	p.NominalX(names...)
	p.Y.Max = slices.Max(longest) * headroom * headroom
	return p, nil
}

// addFigures writes the value above each bar.
func addFigures(p *plot.Plot, values plotter.Values, offset vg.Length) error {
	points := make(plotter.XYs, len(values))
	texts := make([]string, len(values))
	for i, v := range values {
		points[i] = plotter.XY{X: float64(i), Y: v}
		texts[i] = fmt.Sprintf("%.0f", v)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: texts})
	if err != nil {
		return fmt.Errorf("draw figures: %w", err)
	}
	labels.Offset = vg.Point{X: offset, Y: vg.Points(2)}
	for i := range labels.TextStyle {
		labels.TextStyle[i].XAlign = draw.XCenter
	}
	p.Add(labels)
	return nil
}

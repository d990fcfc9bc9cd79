package course

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes of the picture.
const (
	width     = 24 * vg.Centimeter
	height    = 6 * vg.Centimeter
	padding   = 0.4 * vg.Centimeter
	lineWidth = 1.4
	// headroom is the height of an axis over that of what it shows, for the legend.
	headroom = 1.3
)

// errEmpty reports logs without any step.
var errEmpty = errors.New("no log lines")

// Colours that readers who see no red or green tell apart, too.
var colours = []color.Color{
	color.RGBA{R: 0x00, G: 0x5f, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x82, B: 0x1e, A: 0xff},
	color.RGBA{R: 0x70, G: 0x70, B: 0x70, A: 0xff},
}

// curve is one line of a panel.
type curve struct {
	name  string
	value func(*Step) float64
}

// panels are the parts of the picture, from the top.
var panels = []struct {
	title  string
	curves []curve
}{
	{"requests in a step", []curve{
		{"answered", func(s *Step) float64 { return float64(s.answered) }},
		{"refused", func(s *Step) float64 { return float64(s.refused) }},
		{"unknown", func(s *Step) float64 { return float64(s.unknown) }},
	}},
	{"milliseconds", []curve{
		{"half of them took", func(s *Step) float64 { return s.quantile(50).Seconds() * 1000 }},
		{"99 of 100 took", func(s *Step) float64 { return s.quantile(99).Seconds() * 1000 }},
	}},
	{"ownership", []curve{
		{"ranges handed over", func(s *Step) float64 { return float64(s.moved) }},
		{"tables written", func(s *Step) float64 { return float64(s.writes) }},
		{"lost races", func(s *Step) float64 { return float64(s.lost) }},
	}},
}

// WritePicture draws the course: requests, latency, changes of owners, and below
// them marks where something happened. Format is png, svg or pdf.
func (c *Course) WritePicture(w io.Writer, format string) error {
	steps := c.Steps()
	if len(steps) == 0 {
		return fmt.Errorf("draw course: %w", errEmpty)
	}
	var rows [][]*plot.Plot
	for _, panel := range panels {
		p := plot.New()
		p.Y.Label.Text, p.Y.Min = panel.title, 0
		p.Add(plotter.NewGrid())
		p.X.Min, p.X.Max = 0, span(steps)
		p.Legend.Top, p.Legend.Padding = true, vg.Millimeter
		for i, curve := range panel.curves {
			if err := addCurve(p, steps, curve, colours[i]); err != nil {
				return err
			}
		}
		p.Y.Max *= headroom
		rows = append(rows, []*plot.Plot{p})
	}
	events, err := marks(steps)
	if err != nil {
		return err
	}
	return drawAll(append(rows, []*plot.Plot{events}), w, format)
}

func addCurve(p *plot.Plot, steps []*Step, c curve, colour color.Color) error {
	points := make(plotter.XYs, len(steps))
	for i, s := range steps {
		points[i] = plotter.XY{X: since(steps, s), Y: c.value(s)}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("draw %s: %w", c.name, err)
	}
	line.Color, line.Width = colour, vg.Points(lineWidth)
	p.Add(line)
	p.Legend.Add(c.name, line)
	return nil
}

// since returns the seconds from the first step to one.
func since(steps []*Step, s *Step) float64 { return s.start.Sub(steps[0].start).Seconds() }

// span returns the seconds from the first step to the last, at least one.
func span(steps []*Step) float64 { return max(since(steps, steps[len(steps)-1]), 1) }

// marks draws a row of points for each kind of event.
func marks(steps []*Step) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "seconds after " + steps[0].start.UTC().Format(time.DateTime)
	p.X.Min, p.X.Max = 0, span(steps)
	var points plotter.XYs
	var names []string
	for _, name := range notable {
		seen := false
		for _, s := range steps {
			if s.events[name] > 0 {
				seen = true
				points = append(points, plotter.XY{X: since(steps, s), Y: float64(len(names))})
			}
		}
		if seen {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return p, nil
	}
	p.NominalY(names...)
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, fmt.Errorf("draw events: %w", err)
	}
	scatter.Color, scatter.Shape = colours[0], draw.CircleGlyph{}
	p.Add(scatter)
	return p, nil
}

func drawAll(rows [][]*plot.Plot, w io.Writer, format string) error {
	canvas, err := draw.NewFormattedCanvas(width, height*vg.Length(len(rows)), format)
	if err != nil {
		return fmt.Errorf("draw course as %q: %w", format, err)
	}
	tiles := draw.Tiles{
		Rows: len(rows), Cols: 1, PadY: padding,
		PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding,
	}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(row[0])
	}
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("write picture: %w", err)
	}
	return nil
}

package load

import (
	"image/color"
	"os"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"celerybank/internal/events"
)

// Size of the image.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// maxServedY is the top of the axis of requests served, in percent: above 100, to keep the curve off the edge.
const maxServedY = 105

var (
	servedColor  = color.RGBA{R: 0x1b, G: 0x7f, B: 0x3b, A: 0xff}
	latencyColor = color.RGBA{R: 0x1f, G: 0x4e, B: 0x9c, A: 0xff}
	eventColor   = color.RGBA{R: 0xb0, G: 0x2a, B: 0x2a, A: 0xff}
)

// Plot writes a PNG to file with the percentage of requests served and the latency over time. It draws
// the events in marks as vertical lines, without those before the start of the run.
func (r Report) Plot(file string, marks []events.Event) error {
	served, latency := plot.New(), plot.New()
	served.Y.Label.Text, latency.Y.Label.Text = "served, %", "p99, ms"
	latency.X.Label.Text = "seconds"
	served.Y.Min, served.Y.Max = 0, maxServedY
	var percent, p99 plotter.XYs
	top := 1.0
	for _, b := range r.Series {
		percent = append(percent, plotter.XY{X: b.At, Y: 100 * float64(b.OK) / float64(max(b.Requests, 1))})
		p99 = append(p99, plotter.XY{X: b.At, Y: b.P99})
		top = max(top, b.P99)
	}
	if err := addLine(served, percent, servedColor); err != nil {
		return err
	}
	if err := addLine(latency, p99, latencyColor); err != nil {
		return err
	}
	for _, e := range marks {
		if e.Time.Before(r.Start) {
			continue
		}
		if err := addMark(served, e, r.Start); err != nil {
			return err
		}
	}
	latency.Y.Min, latency.Y.Max = 0, top*1.05
	return writePNG(file, served, latency)
}

func addLine(p *plot.Plot, xy plotter.XYs, c color.Color) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return errors.Wrap(err, "plot curve")
	}
	l.Color, l.Width = c, vg.Points(1.2)
	p.Add(l, plotter.NewGrid())
	return nil
}

func addMark(p *plot.Plot, e events.Event, start time.Time) error {
	at := e.Time.Sub(start).Seconds()
	l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: maxServedY}})
	if err != nil {
		return errors.Wrap(err, "plot event")
	}
	l.Color, l.Dashes = eventColor, []vg.Length{vg.Points(3), vg.Points(3)}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: at, Y: 4}}, Labels: []string{markLabel(e)}})
	if err != nil {
		return errors.Wrap(err, "plot label of event")
	}
	labels.TextStyle[0].Rotation = 1.5708 // radians: vertical text
	p.Add(l, labels)
	return nil
}

// markLabel returns the name of an event, followed by its subject if it has one.
func markLabel(e events.Event) string {
	if subject, ok := e.Fields["subject"].(string); ok {
		return e.Name + " " + subject
	}
	return e.Name
}

// writePNG writes the plots to file as one image, one above the other.
func writePNG(file string, plots ...*plot.Plot) error {
	img := vgimg.New(plotWidth, plotHeight)
	canvas := draw.New(img)
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Points(6), PadTop: vg.Points(6), PadBottom: vg.Points(4), PadLeft: vg.Points(4), PadRight: vg.Points(12)}
	for i, row := range plot.Align(rows, tiles, canvas) {
		plots[i].Draw(row[0])
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	defer f.Close()
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return f.Close()
}

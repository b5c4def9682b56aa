package bench

import (
	"image/color"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Plot writes two charts for each deployment to dir, with the traces on the x axis
// and the bounds beside the policies: bars of the cold start p99, and points of
// the idle accelerator hours on a logarithmic scale.
func Plot(dir string, ms []*Metrics) error {
	charts := []struct {
		name, label  string
		value, bound func(*Metrics) float64
		logScale     bool
	}{
		{"cold-start-p99", "cold start p99 (s)", func(m *Metrics) float64 { return m.Cold[p99] }, func(m *Metrics) float64 { return m.ColdBound[p99] }, false},
		{"idle-accelerator-hours", "idle accelerator hours", func(m *Metrics) float64 { return m.IdleHours }, func(m *Metrics) float64 { return m.IdleBound }, true},
	}
	for _, deployment := range Deployments() {
		for _, c := range charts {
			var traces []string
			series := map[string]plotter.Values{}
			for _, m := range ms {
				if m.Deployment != deployment.Name {
					continue
				}
				if m.Policy == "azurespan" {
					traces = append(traces, m.Trace)
					series["bound"] = append(series["bound"], c.bound(m))
				}
				series[m.Policy] = append(series[m.Policy], c.value(m))
			}
			p := plot.New()
			p.Title.Text = deployment.Name
			p.Y.Label.Text = c.label
			if c.logScale {
				p.Y.Scale = plot.LogScale{}
				p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
			}
			for i, name := range append([]string{"bound"}, PolicyNames...) {
				if err := addSeries(p, i, name, series[name], c.logScale); err != nil {
					return &WriteError{What: "plot of " + name, Cause: err}
				}
			}
			p.Legend.Top = true
			p.NominalX(traces...)
			p.X.Tick.Label.Rotation = labelRotation
			p.X.Tick.Label.XAlign = labelXAlign
			if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, deployment.Name+"-"+c.name+".png")); err != nil {
				return &WriteError{What: "plot " + c.name, Cause: err}
			}
		}
	}
	return nil
}

const (
	plotWidth     = 26 * vg.Centimeter
	plotHeight    = 12 * vg.Centimeter
	labelRotation = -0.35 // radians
	labelXAlign   = -0.1
	// centralSeries is the middle of the four series, which is drawn at the
	// x value of the trace.
	centralSeries = 1.5
	pointSpacing  = 0.1  // between the series, in x units
	minLogValue   = 0.01 // zero has no place on a logarithmic scale
	pointRadius   = 4    // typographic points
	barWidth      = 10   // typographic points
)

// colors holds the color of each series.
var colors = []color.Color{color.Gray{Y: 130}, color.RGBA{B: 200, G: 90, A: 255}, color.RGBA{R: 220, G: 120, A: 255}, color.RGBA{R: 90, G: 160, B: 60, A: 255}}

// addSeries adds the i-th series as points if points is true, else as bars. A
// logarithmic scale requires points, because bars start at zero.
func addSeries(p *plot.Plot, i int, name string, values plotter.Values, points bool) error {
	if points {
		var xys plotter.XYs
		for k, v := range values {
			xys = append(xys, plotter.XY{X: float64(k) + pointSpacing*(float64(i)-centralSeries), Y: math.Max(v, minLogValue)})
		}
		s, err := plotter.NewScatter(xys)
		if err != nil {
			return err
		}
		s.Color, s.Shape, s.Radius = colors[i], draw.CircleGlyph{}, vg.Points(pointRadius)
		p.Add(s)
		p.Legend.Add(name, s)
		return nil
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color, bars.LineStyle.Width, bars.Offset = colors[i], 0, vg.Points(barWidth*(float64(i)-centralSeries))
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

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

// Plot writes, for each deployment, a bar chart of the cold start p99 and one
// of the idle accelerator hours by trace, with the bounds beside the policies.
func Plot(dir string, ms []*Metrics) error {
	charts := []struct {
		name, label    string
		value, bound   func(*Metrics) float64
		logarithmScale bool
	}{
		{"cold-start-p99", "cold start p99 (s)", func(m *Metrics) float64 { return m.Cold[2] }, func(m *Metrics) float64 { return m.ColdBound[2] }, false},
		{"idle-accelerator-hours", "idle accelerator hours", func(m *Metrics) float64 { return m.IdleHours }, func(m *Metrics) float64 { return m.IdleBound }, true},
	}
	for _, size := range Sizes() {
		for _, c := range charts {
			var traces []string
			series := map[string]plotter.Values{}
			for _, m := range ms {
				if m.Deployment != size.Name {
					continue
				}
				if m.Policy == "azurespan" {
					traces = append(traces, m.Trace)
					series["bound"] = append(series["bound"], c.bound(m))
				}
				series[m.Policy] = append(series[m.Policy], c.value(m))
			}
			p := plot.New()
			p.Title.Text = size.Name
			p.Y.Label.Text = c.label
			if c.logarithmScale {
				p.Y.Scale = plot.LogScale{}
				p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
			}
			for i, name := range append([]string{"bound"}, PolicyNames...) {
				if err := addSeries(p, i, name, series[name], c.logarithmScale); err != nil {
					return &OutputError{What: "plot of " + name, Cause: err}
				}
			}
			p.Legend.Top = true
			p.NominalX(traces...)
			p.X.Tick.Label.Rotation = -0.35
			p.X.Tick.Label.XAlign = -0.1
			if err := p.Save(26*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, size.Name+"-"+c.name+".png")); err != nil {
				return &OutputError{What: "plot " + c.name, Cause: err}
			}
		}
	}
	return nil
}

var colors = []color.Color{color.Gray{Y: 130}, color.RGBA{B: 200, G: 90, A: 255}, color.RGBA{R: 220, G: 120, A: 255}, color.RGBA{R: 90, G: 160, B: 60, A: 255}}

// addSeries adds the i-th series as bars, or as points if the scale is
// logarithmic, because bars need a zero.
func addSeries(p *plot.Plot, i int, name string, values plotter.Values, points bool) error {
	if points {
		var xys plotter.XYs
		for k, v := range values {
			xys = append(xys, plotter.XY{X: float64(k) + 0.1*(float64(i)-1.5), Y: math.Max(v, 0.01)})
		}
		s, err := plotter.NewScatter(xys)
		if err != nil {
			return err
		}
		s.Color, s.Shape, s.Radius = colors[i], draw.CircleGlyph{}, vg.Points(4)
		p.Add(s)
		p.Legend.Add(name, s)
		return nil
	}
	const width = 10
	bars, err := plotter.NewBarChart(values, vg.Points(width))
	if err != nil {
		return err
	}
	bars.Color, bars.LineStyle.Width, bars.Offset = colors[i], 0, vg.Points(width*(float64(i)-1.5))
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

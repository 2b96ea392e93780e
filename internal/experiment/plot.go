package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 0.4 * vg.Centimeter
)

// PlotSteps writes a bar chart of each policy's step time relative to the lower bound to path.
func (r *Report) PlotSteps(path string) error {
	p := plot.New()
	p.Title.Text = "step time to the offline lower bound, " + r.Workload
	p.Y.Label.Text = "ratio"
	p.Y.Min = 0
	p.Legend.Top = true
	var groups []string
	values := map[string]plotter.Values{}
	for _, s := range r.Steps {
		values[s.Policy] = append(values[s.Policy], s.Ratio)
		if s.Policy == Policies()[0].Name {
			groups = append(groups, fmt.Sprintf("%s %.2f", s.Failure, s.WaitShare))
		}
	}
	for i, policy := range Policies() {
		bars, err := plotter.NewBarChart(values[policy.Name], barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i-len(Policies())/2)
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	p.NominalX(groups...)
	return p.Save(plotWidth, plotHeight, path)
}

// PlotGoodput writes a plot of the goodput of lookups without trainers over the offered load to path.
func (r *Report) PlotGoodput(path string) error {
	p := plot.New()
	p.Title.Text = "goodput of lookups alone, " + r.Workload
	p.X.Label.Text = "offered load, relative to capacity"
	p.Y.Label.Text = "answers a second within the deadline"
	p.Y.Min = 0
	var points plotter.XYs
	for _, l := range r.Lookups {
		if l.Trainers == 0 {
			points = append(points, plotter.XY{X: l.Offered, Y: l.Goodput})
		}
	}
	if err := plotutil.AddLinePoints(p, "goodput", points); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

package rebalance_test

import (
	"fmt"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// minX is the left end of the logarithmic axis, in GiB per minute.
const minX = 0.01

// plotResults writes the trade-off curves of skew over moved weights to path as SVG.
func plotResults(path string, results []result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d ranks, %d experts, %d layers", results[0].shape.Ranks, results[0].shape.Experts, results[0].shape.Layers)
	p.X.Label.Text = "weights moved, GiB per minute (static map: at the left edge)"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "mean over layers of max/mean rank load"
	p.X.Min, p.Y.Min = minX, 1
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, r := range results {
		if err := addResult(p, i, r); err != nil {
			return err
		}
	}
	return p.Save(20*vg.Centimeter, 14*vg.Centimeter, path)
}

// addResult draws the planner as a line and the baselines as points.
func addResult(p *plot.Plot, colour int, r result) error {
	var curve, baselines plotter.XYs
	for _, o := range r.outcomes {
		const gib = 1 << 30
		rate := float64(o.moved) * expertSize / gib / (intervals - reportLag - 1)
		xy := plotter.XY{X: max(rate, minX), Y: o.skew}
		if strings.HasPrefix(o.policy, "planner") {
			curve = append(curve, xy)
			continue
		}
		baselines = append(baselines, xy)
	}
	line, points, err := plotter.NewLinePoints(curve)
	if err != nil {
		return err
	}
	base, err := plotter.NewScatter(baselines)
	if err != nil {
		return err
	}
	line.Color, points.Color, base.Color = plotutil.Color(colour), plotutil.Color(colour), plotutil.Color(colour)
	points.Shape, base.Shape = plotutil.Shape(0), plotutil.Shape(2)
	base.Radius = vg.Points(4)
	p.Add(line, points, base)
	p.Legend.Add(r.drift+": planner", line, points)
	p.Legend.Add(r.drift+": static, re-pack matched, re-pack", base)
	return nil
}

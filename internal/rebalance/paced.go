package rebalance

import "time"

const (
	// settledSkew is the skew from which a layer is not worth further loads.
	settledSkew = 1.08
	// leastProgress is the part of a layer's cost that a load has to save for the search
	// to go on with the layer.
	leastProgress = 0.02
	// worseLevels is the number of quotas in a row without a better plan after which the
	// search ends.
	worseLevels = 2
)

// quota bounds the experts that each rank loads over all layers.
type quota struct {
	used []int
	most int
}

// pacedSearch improves all layers together within a quota that is raised step by step.
type pacedSearch struct {
	shape  Shape
	quota  quota
	layers []*search
}

func (p *Planner) newPacedSearch(current Map) *pacedSearch {
	s := &pacedSearch{shape: p.cfg.Shape, quota: quota{used: make([]int, p.cfg.Shape.Ranks)}}
	loads := make([][]float64, len(p.reports))
	for l := range p.cfg.Shape.Layers {
		for k, report := range p.reports {
			loads[k] = report.Layer(l)
		}
		f := newSearch(p.cfg.Shape, len(p.reports))
		f.maxNew, f.quota = p.cfg.MaxNewPerRank, &s.quota
		f.begin(current.Layer(l), loads)
		s.layers = append(s.layers, f)
	}
	return s
}

// paced returns the change for which the mean step over the horizon is the shortest.
// Ranks load at the same time, so that the rank with the most loads sets how long the
// present map stays; a map that is a little worse and there sooner may be the better one.
func (p *Planner) paced(current Map) Plan {
	s := p.newPacedSearch(current)
	best := Plan{Map: current}
	before := s.skew()
	steps := float64(p.cfg.Horizon) / float64(p.cfg.StepInterval) * float64(p.cfg.StepTime)
	least := steps * before
	worse := 0
	for most := 1; worse < worseLevels && time.Duration(most)*p.cfg.LoadTime < p.cfg.Horizon; most++ {
		s.raise(most, p.cfg.MaxMoves)
		waiting := float64(most) * float64(p.cfg.LoadTime) / float64(p.cfg.Horizon)
		plan := s.plan(current)
		skew := waiting*before*(1+p.cfg.LoadSlowdown) + (1-waiting)*(before-plan.Gain)
		if cost := steps*skew + float64(plan.Moved)*float64(p.cfg.MoveCost); cost < least {
			best, least, worse = plan, cost, 0
			best.Bytes = int64(plan.Moved) * p.cfg.ExpertSize
		} else {
			worse++
		}
	}
	return best
}

// skew returns the mean skew of the layers.
func (s *pacedSearch) skew() float64 {
	total := 0.0
	for _, f := range s.layers {
		total += f.skew()
	}
	return total / float64(len(s.layers))
}

// raise lets each rank load most experts and makes the loads that help, those of the
// most skewed layer first, at most maxMoves a layer.
func (s *pacedSearch) raise(most, maxMoves int) {
	s.quota.most = most
	done := make([]bool, len(s.layers))
	moves := make([]int, len(s.layers))
	for {
		l := s.worst(done)
		if l < 0 {
			return
		}
		f := s.layers[l]
		before := f.totalCost()
		c, found := f.bestReplacement()
		if !found {
			done[l] = true
			continue
		}
		f.apply(c)
		moves[l] += c.loads()
		done[l] = moves[l] >= maxMoves || f.totalCost() > (1-leastProgress)*before
	}
}

// worst returns the most skewed layer that is not done, or -1.
func (s *pacedSearch) worst(done []bool) int {
	worst, highest := -1, settledSkew
	for l, f := range s.layers {
		if skew := f.skew(); !done[l] && skew > highest {
			worst, highest = l, skew
		}
	}
	return worst
}

// plan returns the layers as they are now.
func (s *pacedSearch) plan(current Map) Plan {
	plan := Plan{Map: current.Clone(), gains: make([]float64, len(s.layers))}
	for l, f := range s.layers {
		copy(plan.Map.Layer(l), f.slots)
		for _, n := range f.fresh {
			plan.Moved += n
		}
		plan.gains[l] = f.before - f.skew()
		plan.Gain += plan.gains[l] / float64(len(s.layers))
	}
	return plan
}

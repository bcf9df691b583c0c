package rebalance

import "time"

const (
	// acceptableSkew is the skew of a layer up to which further loads are not worthwhile.
	acceptableSkew = 1.12
	// minProgress is the share of a layer's cost that a load has to save for the search to
	// continue with the layer.
	minProgress = 0.02
	// maxWorseLimits is the number of consecutive quota limits without a better plan after
	// which the search ends.
	maxWorseLimits = 2
)

// quota limits the number of experts that each rank loads over all layers.
type quota struct {
	used  []int
	limit int
}

// quotaSearch improves all layers together within a quota whose limit is raised step by
// step.
type quotaSearch struct {
	shape  Shape
	quota  quota
	layers []*search
}

// newQuotaSearch returns a search that starts from the current map.
func (p *Planner) newQuotaSearch(current Map) *quotaSearch {
	s := &quotaSearch{shape: p.cfg.Shape, quota: quota{used: make([]int, p.cfg.Shape.Ranks)}}
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

// planWithQuota returns the change that gives the lowest total step time within the
// horizon, including the cost of the loads. Ranks load at the same time, so that the rank
// with the most loads determines how long the current map remains active; a slightly worse
// map that is ready sooner may be the better one.
func (p *Planner) planWithQuota(current Map) Plan {
	s := p.newQuotaSearch(current)
	best := Plan{Map: current}
	before := s.skew()
	steps := float64(p.cfg.Horizon) / float64(p.cfg.StepInterval) * float64(p.cfg.StepTime)
	lowestCost := steps * before
	worse := 0
	for limit := 1; worse < maxWorseLimits && time.Duration(limit)*p.cfg.LoadTime < p.cfg.Horizon; limit++ {
		s.raiseLimit(limit, p.cfg.MaxMoves)
		waiting := float64(limit) * float64(p.cfg.LoadTime) / float64(p.cfg.Horizon)
		plan := s.plan(current)
		skew := waiting*before*(1+p.cfg.LoadSlowdown) + (1-waiting)*(before-plan.Gain)
		if cost := steps*skew + float64(plan.Moved)*float64(p.cfg.MoveCost); cost < lowestCost {
			best, lowestCost, worse = plan, cost, 0
			best.Bytes = int64(plan.Moved) * p.cfg.ExpertSize
		} else {
			worse++
		}
	}
	return best
}

// skew returns the mean skew of the layers.
func (s *quotaSearch) skew() float64 {
	total := 0.0
	for _, f := range s.layers {
		total += f.skew()
	}
	return total / float64(len(s.layers))
}

// raiseLimit sets the quota of each rank to limit experts and makes the loads that lower
// the cost, those of the most skewed layer first, until a layer has had maxMoves loads.
func (s *quotaSearch) raiseLimit(limit, maxMoves int) {
	s.quota.limit = limit
	done := make([]bool, len(s.layers))
	moves := make([]int, len(s.layers))
	for {
		l := s.mostSkewedLayer(done)
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
		done[l] = moves[l] >= maxMoves || f.totalCost() > (1-minProgress)*before
	}
}

// mostSkewedLayer returns the most skewed layer that is not done and whose skew is above
// acceptableSkew, or -1.
func (s *quotaSearch) mostSkewedLayer(done []bool) int {
	worst, highest := -1, acceptableSkew
	for l, f := range s.layers {
		if skew := f.skew(); !done[l] && skew > highest {
			worst, highest = l, skew
		}
	}
	return worst
}

// plan returns the plan that consists of the layers in their current state.
func (s *quotaSearch) plan(current Map) Plan {
	plan := Plan{Map: current.Clone(), gains: make([]float64, len(s.layers))}
	for l, f := range s.layers {
		copy(plan.Map.Layer(l), f.slots)
		for _, n := range f.newExperts {
			plan.Moved += n
		}
		plan.gains[l] = f.before - f.skew()
		plan.Gain += plan.gains[l] / float64(len(s.layers))
	}
	return plan
}

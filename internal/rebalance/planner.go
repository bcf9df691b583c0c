package rebalance

import (
	"sort"
	"time"
)

// Config contains the settings of a Planner.
type Config struct {
	Shape Shape
	// ExpertSize is the size of one expert's weights in bytes.
	ExpertSize int64
	// StepTime is the time that ranks spend in experts in one step at a skew of 1.
	StepTime time.Duration
	// StepInterval is the time between the starts of two steps.
	StepInterval time.Duration
	// Horizon is the time for which a change is expected to be useful.
	Horizon time.Duration
	// MoveCost is the step time lost by loading one expert.
	MoveCost time.Duration
	// ChangeCost is the step time that one change of the map costs on average: the
	// probability that the group holds at the switch step, times the duration of the hold.
	ChangeCost time.Duration
	// Window is the number of most recent reports that a map has to serve.
	Window int
	// Delay is the number of reports from the one that a plan is made from to the first one
	// that covers the time when the plan is in effect.
	Delay int
	// MaxMoves limits the search: the largest number of loads tried per layer in one
	// decision.
	MaxMoves int
	// MaxNewPerRank limits the number of experts of a layer that one rank loads for a
	// change; zero means no limit.
	MaxNewPerRank int
	// LoadTime is the time in which a rank loads one expert. While any rank loads, steps
	// take longer by the share LoadSlowdown. If LoadTime is zero, only the number of loads
	// counts.
	LoadTime     time.Duration
	LoadSlowdown float64
}

// repackSkew is the skew of a layer above which the layer is repacked instead of improved
// load by load. Repacking is faster and, after a sudden shift, gives a better map.
const repackSkew = 1.75

// evenShare is the share of a report's load that is treated as spread evenly over a layer.
const evenShare = 0.05

// minRepackShare is the least realised share of predicted gains for which a layer is
// repacked. Popularity that alternates quickly is served better by a map that is changed
// step by step.
const minRepackShare = 0.25

// Planner chooses changes of a group's map from delayed reports of popularity.
type Planner struct {
	cfg     Config
	reports []Popularity
	tracker gainTracker
}

// NewPlanner returns a Planner without reports.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, tracker: newGainTracker()}
}

// Observe adds a report; the planner keeps the last Window reports.
func (p *Planner) Observe(report Popularity) {
	p.tracker.observe(report, p.cfg.Delay)
	p.reports = append(p.reports, smoothPopularity(report))
	if extra := len(p.reports) - p.cfg.Window; extra > 0 {
		p.reports = append([]Popularity(nil), p.reports[extra:]...)
	}
}

// smoothPopularity returns the report with each expert's load moved towards the mean of its
// layer, since a report is delayed and popularity may have changed since.
func smoothPopularity(report Popularity) Popularity {
	h := Popularity{Experts: report.Experts, Load: make([]float64, len(report.Load))}
	for l := range len(report.Load) / report.Experts {
		sum := 0.0
		for _, v := range report.Layer(l) {
			sum += v
		}
		mean := sum / float64(report.Experts)
		for e, v := range report.Layer(l) {
			h.Layer(l)[e] = (1-evenShare)*v + evenShare*mean
		}
	}
	return h
}

// Plan is a map to change to, with its cost and gain.
type Plan struct {
	Map Map
	// Moved is the number of experts to load; zero means no change.
	Moved int
	// Bytes is the size of the weights to load.
	Bytes int64
	// Gain is the predicted reduction of the skew, averaged over the reports in the window.
	Gain float64
	// gains contains the predicted reduction of each layer's skew.
	gains []float64
}

// Plan returns the best change of current that loads at most budget bytes; the budget is
// ignored if LoadTime is set. The result has Moved zero if no change recovers its cost
// within the horizon.
func (p *Planner) Plan(current Map, budget int64) Plan {
	none := Plan{Map: current}
	if len(p.reports) == 0 {
		return none
	}
	plan := p.bestPlan(current, budget)
	if p.value(plan.Gain) <= time.Duration(plan.Moved)*p.cfg.MoveCost+p.cfg.ChangeCost {
		return none
	}
	p.tracker.recordPlan(current, plan)
	return plan
}

// bestPlan returns the best plan without regard to the cost of the change itself.
func (p *Planner) bestPlan(current Map, budget int64) Plan {
	if p.cfg.LoadTime > 0 {
		return p.planWithQuota(current)
	}
	return p.selectWithinBudget(current, p.proposals(current), budget)
}

// RealisedShare returns the share of predicted gains that were realised recently.
func (p *Planner) RealisedShare() float64 { return p.tracker.realisedShare }

// proposal is a set of loads in one layer and their predicted gain.
type proposal struct {
	layer int
	slots []uint16
	moved int
	gain  float64
}

// net returns the gain less the cost of the loads.
func (p proposal) net(minGain float64) float64 { return p.gain - float64(p.moved)*minGain }

// perMove returns the gain per load.
func (p proposal) perMove() float64 { return p.gain / float64(p.moved) }

// proposals returns the best change of each layer, highest gain per load first.
func (p *Planner) proposals(current Map) []proposal {
	var all []proposal
	s := newSearch(p.cfg.Shape, len(p.reports))
	s.maxNew = p.cfg.MaxNewPerRank
	loads := make([][]float64, len(p.reports))
	for l := range p.cfg.Shape.Layers {
		for k, report := range p.reports {
			loads[k] = report.Layer(l)
		}
		if best, ok := p.improve(s, current.Layer(l), loads); ok {
			best.layer = l
			all = append(all, best)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].perMove() > all[j].perMove() })
	return all
}

// improve returns the best change of one layer; ok is false if no change recovers the cost
// of its loads.
func (p *Planner) improve(s *search, current []uint16, loads [][]float64) (best proposal, ok bool) {
	s.begin(current, loads)
	before, minGain := s.skew(), p.minGain()
	if before > repackSkew && p.tracker.realisedShare >= minRepackShare {
		best = p.repack(s, current, loads, before)
		if best.net(minGain) > 0 && s.withinMaxNew(best.slots) {
			return best, true
		}
		s.reset(current, loads)
	}
	best, ok = s.run(p.cfg.MaxMoves, minGain)
	best.moved = movedSlots(p.cfg.Shape, current, best.slots)
	return best, ok
}

// repack returns a proposal that repacks the layer for the last report.
func (p *Planner) repack(s *search, current []uint16, loads [][]float64, before float64) proposal {
	packed := make([]uint16, len(current))
	matched := make([]uint16, len(current))
	packLayer(p.cfg.Shape, loads[len(loads)-1], packed)
	matchLayer(p.cfg.Shape, current, packed, matched)
	s.reset(matched, loads)
	return proposal{slots: matched, moved: movedSlots(p.cfg.Shape, current, matched), gain: before - s.skew()}
}

// minGain returns the least reduction of a layer's skew that recovers the cost of one load.
func (p *Planner) minGain() float64 {
	perUnit := p.value(1) / time.Duration(p.cfg.Shape.Layers)
	return float64(p.cfg.MoveCost) / float64(max(perUnit, 1))
}

// value returns the step time that a predicted reduction of the group's skew by gain is
// expected to save within the horizon.
func (p *Planner) value(gain float64) time.Duration {
	steps := float64(p.cfg.Horizon) / float64(p.cfg.StepInterval)
	return time.Duration(p.tracker.realisedShare * gain * steps * float64(p.cfg.StepTime))
}

// selectWithinBudget returns a plan of the proposals, in order, that fit into the budget.
func (p *Planner) selectWithinBudget(current Map, proposals []proposal, budget int64) Plan {
	plan := Plan{Map: current.Clone(), gains: make([]float64, p.cfg.Shape.Layers)}
	for _, next := range proposals {
		size := int64(next.moved) * p.cfg.ExpertSize
		if plan.Bytes+size > budget {
			continue
		}
		copy(plan.Map.Layer(next.layer), next.slots)
		plan.Bytes += size
		plan.Moved += next.moved
		plan.gains[next.layer] = next.gain
		plan.Gain += next.gain / float64(p.cfg.Shape.Layers)
	}
	return plan
}

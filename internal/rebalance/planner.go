package rebalance

import (
	"sort"
	"time"
)

// Config holds the settings of a Planner.
type Config struct {
	Shape Shape
	// ExpertSize is the size of one expert's weights in bytes.
	ExpertSize int64
	// StepTime is the time of a step that ranks spend in experts at skew 1.
	StepTime time.Duration
	// StepInterval is the time between the starts of two steps.
	StepInterval time.Duration
	// Horizon is the time for which a change is expected to be of use.
	Horizon time.Duration
	// MoveCost is the step time that is lost by loading one expert.
	MoveCost time.Duration
	// ChangeCost is the step time that one change of the map costs on average:
	// the chance that the group holds at the switch step, times the hold.
	ChangeCost time.Duration
	// Window is the number of latest reports that a map has to serve.
	Window int
	// Delay is the number of reports between the one that a plan is made from and
	// the first one about the time when the plan is in effect.
	Delay int
	// MaxMoves bounds the search: the most loads tried per layer in one decision.
	MaxMoves int
	// MaxNewPerRank bounds the experts of a layer that one rank loads for a change; zero
	// means no bound.
	MaxNewPerRank int
	// LoadTime is the time in which a rank loads one expert; steps take longer by the part
	// LoadSlowdown while any rank does. If it is zero, loads count by their number only.
	LoadTime     time.Duration
	LoadSlowdown float64
}

// repackSkew is the skew of a layer from which it is packed anew rather than
// improved load by load; that is faster, and after a sudden shift better.
const repackSkew = 1.75

// hedge is the share of a report's load that is taken as spread evenly.
const hedge = 0.05

// repackTrust is the least trust for which a layer is packed anew. Popularity that
// jumps to and fro is served better by a map that was changed step by step.
const repackTrust = 0.25

// Planner chooses changes of a group's map from late reports of popularity.
type Planner struct {
	cfg     Config
	reports []Popularity
	trust   trust
}

// NewPlanner returns a Planner.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, trust: newTrust()}
}

// Observe adds a report; the planner keeps the last Window of them.
func (p *Planner) Observe(report Popularity) {
	p.trust.observe(report, p.cfg.Delay)
	p.reports = append(p.reports, hedged(report))
	if extra := len(p.reports) - p.cfg.Window; extra > 0 {
		p.reports = append([]Popularity(nil), p.reports[extra:]...)
	}
}

// hedged returns the report with each expert's load moved towards the mean of its
// layer, as a report is late and popularity may have changed since.
func hedged(report Popularity) Popularity {
	h := Popularity{Experts: report.Experts, Load: make([]float64, len(report.Load))}
	for l := range len(report.Load) / report.Experts {
		sum := 0.0
		for _, v := range report.Layer(l) {
			sum += v
		}
		mean := sum / float64(report.Experts)
		for e, v := range report.Layer(l) {
			h.Layer(l)[e] = (1-hedge)*v + hedge*mean
		}
	}
	return h
}

// Plan is a decision: the map to change to and what it costs and gains.
type Plan struct {
	Map Map
	// Moved is the number of experts to load; zero means no change.
	Moved int
	// Bytes is the size of the weights to load.
	Bytes int64
	// Gain is the predicted cut of the skew, averaged over the reports in the window.
	Gain float64
	// gains holds the predicted gain of each layer's skew.
	gains []float64
}

// Plan returns the best change of current that loads at most budget bytes. The
// result has Moved zero if no change pays for itself within the horizon.
func (p *Planner) Plan(current Map, budget int64) Plan {
	none := Plan{Map: current}
	if len(p.reports) == 0 {
		return none
	}
	plan := p.best(current, budget)
	if p.value(plan.Gain) <= time.Duration(plan.Moved)*p.cfg.MoveCost+p.cfg.ChangeCost {
		return none
	}
	p.trust.expect(current, plan)
	return plan
}

func (p *Planner) best(current Map, budget int64) Plan {
	if p.cfg.LoadTime > 0 {
		return p.paced(current)
	}
	return p.choose(current, p.proposals(current), budget)
}

// Trust returns the share of predicted gains that came true lately.
func (p *Planner) Trust() float64 { return p.trust.share }

// proposal is a number of loads in one layer and their predicted gain.
type proposal struct {
	layer int
	slots []uint16
	moved int
	gain  float64
}

// net is the gain less the cost of the loads.
func (p proposal) net(minGain float64) float64 { return p.gain - float64(p.moved)*minGain }

// perMove is the gain of one load.
func (p proposal) perMove() float64 { return p.gain / float64(p.moved) }

// proposals returns the best few loads of each layer, best gain per load first.
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

// improve returns the best change of one layer; ok is false if none pays for its loads.
func (p *Planner) improve(s *search, current []uint16, loads [][]float64) (best proposal, ok bool) {
	s.begin(current, loads)
	before, minGain := s.skew(), p.minGain()
	if before > repackSkew && p.trust.share >= repackTrust {
		best = p.repack(s, current, loads, before)
		if best.net(minGain) > 0 && s.withinBound(best.slots) {
			return best, true
		}
		s.reset(current, loads)
	}
	best, ok = s.run(p.cfg.MaxMoves, minGain)
	best.moved = movedSlots(p.cfg.Shape, current, best.slots)
	return best, ok
}

// repack returns the layer packed anew for the last report.
func (p *Planner) repack(s *search, current []uint16, loads [][]float64, before float64) proposal {
	packed := make([]uint16, len(current))
	matched := make([]uint16, len(current))
	packLayer(p.cfg.Shape, loads[len(loads)-1], packed)
	matchLayer(p.cfg.Shape, current, packed, matched)
	s.reset(matched, loads)
	return proposal{slots: matched, moved: movedSlots(p.cfg.Shape, current, matched), gain: before - s.skew()}
}

// minGain returns the least gain of a layer's skew that pays for one load.
func (p *Planner) minGain() float64 {
	perUnit := p.value(1) / time.Duration(p.cfg.Shape.Layers)
	return float64(p.cfg.MoveCost) / float64(max(perUnit, 1))
}

// value returns the step time that a predicted cut of the group's skew by gain is
// expected to save within the horizon.
func (p *Planner) value(gain float64) time.Duration {
	steps := float64(p.cfg.Horizon) / float64(p.cfg.StepInterval)
	return time.Duration(p.trust.share * gain * steps * float64(p.cfg.StepTime))
}

// choose takes proposals in order as long as the budget lasts.
func (p *Planner) choose(current Map, proposals []proposal, budget int64) Plan {
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

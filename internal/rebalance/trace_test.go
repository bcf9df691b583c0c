package rebalance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A trace is the demand for the experts of a group over time. Requests belong to topics, each of
// which prefers its own experts beside those that all topics prefer. The demand shifts as most of
// the requests move to another topic.
type trace struct {
	rng   *rand.Rand
	shape Shape
	// preferences contains the probabilities of the experts by topic, layer and expert.
	preferences [][]float64
	weights     []float64
	// requests is the number of requests whose choices a report contains.
	requests int
}

const (
	traceTopics = 9
	// traceTokens is the number of choices of one request in a report and layer.
	traceTokens = 120
)

func newTrace(s Shape, skew, common float64, requests int, seed uint64) *trace {
	tr := &trace{rng: rand.New(rand.NewPCG(seed, 9)), shape: s, requests: requests, weights: make([]float64, traceTopics)}
	n := s.Layers * s.Experts
	shared := make([]float64, n)
	for i := range shared {
		shared[i] = tr.rng.NormFloat64()
	}
	for range traceTopics {
		p := make([]float64, n)
		for l := range s.Layers {
			sum := 0.0
			for e := range s.Experts {
				i := l*s.Experts + e
				p[i] = math.Exp(skew * (math.Sqrt(common)*shared[i] + math.Sqrt(1-common)*tr.rng.NormFloat64()))
				sum += p[i]
			}
			for e := range s.Experts {
				p[l*s.Experts+e] /= sum
			}
		}
		tr.preferences = append(tr.preferences, p)
	}
	tr.shift(1)
	return tr
}

// shift moves a share of the requests to one topic.
func (tr *trace) shift(share float64) {
	for i := range tr.weights {
		tr.weights[i] *= 1 - share
	}
	tr.weights[tr.rng.IntN(traceTopics)] += share
}

// demand returns the expected popularity.
func (tr *trace) demand() Popularity {
	p := Popularity{Experts: tr.shape.Experts, Load: make([]float64, tr.shape.Layers*tr.shape.Experts)}
	for t, w := range tr.weights {
		for i, v := range tr.preferences[t] {
			p.Load[i] += w * v
		}
	}
	return p
}

// report returns a sample of the popularity.
func (tr *trace) report() Popularity {
	p := Popularity{Experts: tr.shape.Experts, Load: make([]float64, tr.shape.Layers*tr.shape.Experts)}
	counts := make([]int, traceTopics)
	for range tr.requests {
		u, t := tr.rng.Float64(), 0
		for u > tr.weights[t] && t < traceTopics-1 {
			u -= tr.weights[t]
			t++
		}
		counts[t]++
	}
	for t, n := range counts {
		for i, v := range tr.preferences[t] {
			mean := float64(n*traceTokens) * v
			p.Load[i] += max(0, mean+math.Sqrt(mean)*tr.rng.NormFloat64())
		}
	}
	return p
}

const (
	traceShiftInterval = 3200 * time.Millisecond
	// traceDetection is the time from a shift to the first plan after it, and traceSwitch the time
	// of a change without the copies.
	traceDetection = 300 * time.Millisecond
	traceSwitch    = 150 * time.Millisecond
	tracePlanEvery = 250 * time.Millisecond
	traceTick      = 50 * time.Millisecond
)

// traceResult sums up a group's maps over a trace.
type traceResult struct {
	meanSkew        float64
	copies, changes int
}

// runTrace lets a planner follow a trace with a shift in each traceShiftInterval.
func runTrace(cfg Config, tr *trace, shifts int) traceResult {
	var r traceResult
	planner := NewPlanner(cfg)
	current := roundRobin(cfg.Shape)
	var pending Map
	var readyAt time.Duration
	ticks := 0
	for s := range shifts {
		if s > 0 {
			tr.shift(0.65)
		}
		p := tr.demand()
		nextPlan := traceDetection
		for now := time.Duration(0); now < traceShiftInterval; now += traceTick {
			if pending.Slots != nil && now >= readyAt {
				current, pending = pending, Map{}
				r.changes++
			}
			if pending.Slots == nil && now >= nextPlan {
				planner.Observe(tr.report())
				if plan := planner.Plan(current, math.MaxInt64); plan.Moved > 0 {
					r.copies += plan.Moved
					pending, readyAt = plan.Map, now+traceSwitch+time.Duration(mostLoads(cfg.Shape, current, plan.Map))*cfg.LoadTime
				}
				nextPlan = now + tracePlanEvery
			}
			r.meanSkew += Skew(current, p)
			ticks++
		}
		pending = Map{} // a shift abandons the change that is being prepared
	}
	r.meanSkew /= float64(ticks)
	return r
}

// mostLoads returns the largest number of experts that one rank loads for a change.
func mostLoads(s Shape, from, to Map) int {
	most, n := 0, s.SlotsPerRank
	for r := range s.Ranks {
		loads := 0
		for l := range s.Layers {
			for _, e := range to.Layer(l)[r*n : (r+1)*n] {
				if !contains(from.Layer(l)[r*n:(r+1)*n], e) {
					loads++
				}
			}
		}
		most = max(most, loads)
	}
	return most
}

// traceGroups are groups of the sizes of deployments, with the spread of their demand.
var traceGroups = []struct {
	shape        Shape
	skew, common float64
	maxNew       int
	loadTime     time.Duration
	shifts       int
}{
	{Shape{12, 4, 72, 8}, 1.3, 0.65, 3, 35 * time.Millisecond, 11},
	{Shape{8, 6, 64, 11}, 1.6, 0.75, 4, 148 * time.Millisecond, 11},
	{Shape{32, 12, 128, 5}, 0.82, 0.75, 2, 37 * time.Millisecond, 4},
	{Shape{63, 8, 252, 5}, 0.65, 0.65, 2, 5 * time.Millisecond, 4},
	{Shape{96, 16, 192, 3}, 0.53, 0.75, 2, 18 * time.Millisecond, 4},
}

// traceMoveWeight is the weight of a copy's cost in the settings of package mapper.
const traceMoveWeight = 5

// TestMapFollowsATraceOfShifts follows demand that shifts every few seconds, from reports of a
// limited number of requests. The changes of the map must remove more than half of the excess load
// of the busiest rank, including the time before each change.
func TestMapFollowsATraceOfShifts(t *testing.T) {
	for _, g := range traceGroups {
		moveCost := traceMoveWeight * 0.15 * float64(g.loadTime) / float64(g.shape.Ranks)
		cfg := Config{
			Shape: g.shape, ExpertSize: 1, StepTime: 15 * time.Millisecond, StepInterval: 80 * time.Millisecond,
			Horizon: 5 * time.Second, MoveCost: time.Duration(moveCost), ChangeCost: 100 * time.Millisecond,
			Window: 1, Delay: 2, MaxMoves: 64, MaxNewPerRank: g.maxNew, LoadTime: g.loadTime, LoadSlowdown: 0.15,
		}
		r := runTrace(cfg, newTrace(g.shape, g.skew, g.common, 60, 1), g.shifts)
		static := runTrace(Config{Shape: g.shape, Window: 1, Horizon: time.Second, StepInterval: time.Second}, newTrace(g.shape, g.skew, g.common, 60, 1), g.shifts)
		t.Logf("%+v: mean skew %.3f, without changes %.3f; %d copies in %d changes", g.shape, r.meanSkew, static.meanSkew, r.copies, r.changes)
		assert.Equal(t, static.copies, 0)
		assert.Assert(t, r.meanSkew-1 < (static.meanSkew-1)/2)
	}
}

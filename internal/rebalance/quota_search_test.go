package rebalance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shiftingDemand generates popularities, each of which moves about half of the previous
// one's preferences to other experts.
type shiftingDemand struct {
	rng             *rand.Rand
	shape           Shape
	skew            float64
	popularityRanks []int
}

func newShiftingDemand(s Shape, skew float64, seed uint64) *shiftingDemand {
	d := &shiftingDemand{rng: rand.New(rand.NewPCG(seed, 0)), shape: s, skew: skew}
	for range s.Layers {
		d.popularityRanks = append(d.popularityRanks, d.rng.Perm(s.Experts)...)
	}
	return d
}

func (d *shiftingDemand) next() Popularity {
	p := Popularity{Experts: d.shape.Experts, Load: make([]float64, len(d.popularityRanks))}
	n := d.shape.Experts
	for l := range d.shape.Layers {
		popularityRanks := d.popularityRanks[l*n : (l+1)*n]
		for i := range popularityRanks {
			if d.rng.IntN(2) == 0 {
				j := d.rng.IntN(n)
				popularityRanks[i], popularityRanks[j] = popularityRanks[j], popularityRanks[i]
			}
			p.Load[l*n+i] = 0
		}
		for i, r := range popularityRanks {
			p.Load[l*n+i] = math.Pow(float64(r+1), -d.skew)
		}
	}
	return p
}

// meanSkew returns the mean skew over the horizon if a group changes to a plan's map: the
// previous map remains active until the rank with the most loads has finished.
func meanSkew(c Config, from Map, plan Plan, p Popularity) float64 {
	maxLoads := 0
	n := c.Shape.SlotsPerRank
	for r := range c.Shape.Ranks {
		loads := 0
		for l := range c.Shape.Layers {
			for _, e := range plan.Map.Layer(l)[r*n : (r+1)*n] {
				if !contains(from.Layer(l)[r*n:(r+1)*n], e) {
					loads++
				}
			}
		}
		maxLoads = max(maxLoads, loads)
	}
	waiting := min(1, float64(maxLoads)*float64(c.LoadTime)/float64(c.Horizon))
	return waiting*Skew(from, p)*(1+c.LoadSlowdown) + (1-waiting)*Skew(plan.Map, p)
}

// TestQuotaPlansReduceSkewWhileDemandShifts simulates demand that shifts every few seconds,
// for a small group with large experts and a large group with small experts. Plans made
// with a quota per rank must give a lower mean skew than plans that only count loads.
func TestQuotaPlansReduceSkewWhileDemandShifts(t *testing.T) {
	for _, tc := range []struct {
		shape         Shape
		skew          float64
		maxNewPerRank int
		loadTime      time.Duration
	}{
		{Shape{Ranks: 8, Layers: 6, Experts: 64, SlotsPerRank: 11}, 1.2, 4, 148 * time.Millisecond},
		{Shape{Ranks: 32, Layers: 12, Experts: 128, SlotsPerRank: 5}, 0.8, 2, 37 * time.Millisecond},
	} {
		withoutQuota := Config{
			Shape: tc.shape, ExpertSize: 1, StepTime: 15 * time.Millisecond, StepInterval: 80 * time.Millisecond,
			Horizon: 4 * time.Second, ChangeCost: 100 * time.Millisecond, Window: 1, Delay: 2, MaxMoves: 64,
			MoveCost: time.Duration(0.75 * float64(tc.loadTime) / float64(tc.shape.Ranks)), MaxNewPerRank: tc.maxNewPerRank,
		}
		withQuota := withoutQuota
		withQuota.LoadTime, withQuota.LoadSlowdown = tc.loadTime, 0.15
		var took [2]time.Duration
		total := [2]float64{}
		for k, cfg := range []Config{withoutQuota, withQuota} {
			demand := newShiftingDemand(tc.shape, tc.skew, 7)
			planner := NewPlanner(cfg)
			current := roundRobin(tc.shape)
			for range 12 {
				p := demand.next()
				planner.Observe(p)
				begin := time.Now()
				plan := planner.Plan(current, math.MaxInt64)
				took[k] += time.Since(begin)
				for range withQuota.Delay {
					planner.Observe(p) // the demand lasts long enough for the plan's gain to be checked
				}
				assert.NilError(t, plan.Map.Validate())
				for l := range tc.shape.Layers {
					s := newSearch(tc.shape, 1)
					s.maxNew = tc.maxNewPerRank
					copy(s.base, current.Layer(l))
					assert.Assert(t, s.withinMaxNew(plan.Map.Layer(l)), "a rank loads more experts of a layer than MaxNewPerRank")
				}
				total[k] += meanSkew(withQuota, current, plan, p) / 12
				current = plan.Map
			}
		}
		t.Logf("%+v: mean skew without quota %.3f, with quota %.3f; a plan took %v and %v", tc.shape, total[0], total[1], took[0]/12, took[1]/12)
		assert.Assert(t, total[1] < total[0], total)
	}
}

// roundRobin assigns the experts to the ranks in turn, and starts again from the first
// expert until no slot is free.
func roundRobin(s Shape) Map {
	m := Map{Shape: s, Slots: make([]uint16, s.Layers*s.LayerSlots())}
	for l := range s.Layers {
		for i := range s.LayerSlots() {
			r, k := i%s.Ranks, i/s.Ranks
			m.Layer(l)[r*s.SlotsPerRank+k] = uint16(i % s.Experts)
		}
	}
	return m
}

package rebalance

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testPopularity(rng *rand.Rand, s Shape) Popularity {
	p := Popularity{Experts: s.Experts, Load: make([]float64, s.Layers*s.Experts)}
	for i := range p.Load {
		p.Load[i] = math.Exp(rng.NormFloat64())
	}
	return p
}

func testConfig(s Shape) Config {
	return Config{
		Shape: s, ExpertSize: 64 << 20, StepTime: 15 * time.Millisecond, StepInterval: 29 * time.Millisecond,
		Horizon: 10 * time.Minute, MoveCost: 30 * time.Millisecond, ChangeCost: 50 * time.Millisecond,
		Window: 1, Delay: 3, MaxMoves: 24,
	}
}

// naiveSkew computes the skew straight from its definition.
func naiveSkew(m Map, p Popularity) float64 {
	total := 0.0
	for l := range m.Shape.Layers {
		highest, sum := 0.0, 0.0
		for r := range m.Shape.Ranks {
			rank := 0.0
			for i := range m.Shape.SlotsPerRank {
				e := m.Layer(l)[r*m.Shape.SlotsPerRank+i]
				count := 0
				for _, other := range m.Layer(l) {
					if other == e {
						count++
					}
				}
				rank += p.Layer(l)[e] / float64(count)
			}
			highest, sum = max(highest, rank), sum+rank
		}
		total += highest / (sum / float64(m.Shape.Ranks))
	}
	return total / float64(m.Shape.Layers)
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{
			Ranks:        rapid.IntRange(2, 12).Draw(t, "ranks"),
			Layers:       rapid.IntRange(1, 4).Draw(t, "layers"),
			SlotsPerRank: rapid.IntRange(1, 4).Draw(t, "slots"),
		}
		s.Experts = rapid.IntRange(1, s.LayerSlots()).Draw(t, "experts")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		current := Repack(s, testPopularity(rng, s))
		cfg := testConfig(s)
		cfg.Window = rapid.IntRange(1, 3).Draw(t, "window")
		planner := NewPlanner(cfg)
		for range 6 {
			planner.Observe(testPopularity(rng, s))
			budget := int64(rapid.IntRange(0, 20).Draw(t, "budget")) * cfg.ExpertSize
			plan := planner.Plan(current, budget)
			assert.NilError(t, plan.Map.Validate())
			assert.Equal(t, plan.Moved, current.Moved(plan.Map))
			assert.Equal(t, plan.Bytes, int64(plan.Moved)*cfg.ExpertSize)
			assert.Assert(t, plan.Bytes <= budget)
			gain := 0.0
			for _, p := range planner.reports {
				gain += (naiveSkew(current, p) - naiveSkew(plan.Map, p)) / float64(len(planner.reports))
			}
			assert.Assert(t, math.Abs(gain-plan.Gain) < 1e-9, "predicted %v, naive %v", plan.Gain, gain)
			current = plan.Map
		}
	})
}

func TestRepackAndMatchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: 8, Layers: 2, Experts: rapid.IntRange(4, 16).Draw(t, "experts"), SlotsPerRank: 2}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		p := testPopularity(rng, s)
		current, packed := Repack(s, testPopularity(rng, s)), Repack(s, p)
		matched := MatchRanks(current, packed)
		assert.NilError(t, packed.Validate())
		assert.NilError(t, matched.Validate())
		assert.Assert(t, math.Abs(naiveSkew(packed, p)-Skew(matched, p)) < 1e-9)
		assert.Assert(t, current.Moved(matched) <= current.Moved(packed))
		assert.Assert(t, SkewLowerBound(s, p) <= Skew(packed, p)+1e-9)
		data, err := matched.Encode()
		assert.NilError(t, err)
		decoded, err := DecodeMap(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, matched)
	})
}

func TestPacerNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pacer{Rate: int64(rapid.IntRange(1, 1<<30).Draw(t, "rate"))}
		now, first, sent := time.Duration(0), time.Duration(-1), 0.0
		for range 20 {
			size := int64(rapid.IntRange(1, 1<<28).Draw(t, "size"))
			now += time.Duration(rapid.IntRange(0, int(time.Second)).Draw(t, "wait"))
			start := p.Reserve(now, size)
			if first < 0 || start == now {
				first, sent = start, 0
			}
			sent += float64(size)
			busy := (start + p.MinDuration(size) - first).Seconds()
			assert.Assert(t, start >= now)
			assert.Assert(t, sent <= busy*float64(p.Rate)*(1+1e-9))
		}
	})
}

// BenchmarkPlan measures one decision for a group of 128 ranks whose popularity drifts,
// shifts, or alternates.
func BenchmarkPlan(b *testing.B) {
	s := Shape{Ranks: 128, Layers: 60, Experts: 64, SlotsPerRank: 2}
	cases := []struct {
		name         string
		noise, share float64
	}{{"drift", 0.08, 1}, {"shift", 1, 1}, {"flip", 1, minRealisedShare}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			p := testPopularity(rng, s)
			current := Repack(s, p)
			next := testPopularity(rng, s)
			for i := range next.Load {
				next.Load[i] = math.Exp((1-c.noise)*math.Log(p.Load[i]) + c.noise*math.Log(next.Load[i]))
			}
			planner := NewPlanner(testConfig(s))
			planner.Observe(next)
			for b.Loop() {
				planner.tracker = gainTracker{realisedShare: c.share}
				planner.Plan(current, math.MaxInt64)
			}
		})
	}
}
